#include "cell_node_impl.h"

#include <algorithm>

namespace citronlug {

namespace {

/// Maximum number of members; bounds the heartbeat traffic of a node.
constexpr std::size_t max_members = 9;
constexpr duration confirmation_interval = 200ms;

} // namespace

/// Adds this instance to the record: as the first member of a new record, as a new incarnation in its slot,
/// or as a new member. Only the last case changes the table, so only it needs confirmation.
auto cell_node::implementation::plan_join(cell_record& next) const -> bool {
    if (leaving_) {
        return false;
    }
    auto entry = self_;
    entry.leaving = false;
    if (const auto slot = next.members.find(self_.instance.value); slot != next.members.end()) {
        entry.renewals = slot->second.renewals;
        slot->second = std::move(entry);
        return true;
    }
    entry.renewals = 0;
    if (record_.version != 0) {
        if (next.members.size() >= max_members || !table_confirmed()) {
            return false;
        }
        ++next.table_version;
    }
    next.members.emplace(self_.instance.value, std::move(entry));
    return true;
}

/// Returns a member that is no longer in the platform's list, has sent no heartbeat for the removal delay and
/// holds no role. Only the live member with the lowest id removes members, which avoids conflicting writes.
auto cell_node::implementation::removable(time_point now) const -> std::optional<std::string> {
    if (listed_.empty() || !may_vote(now)) {
        return std::nullopt;
    }
    for (const auto& [id, member] : record_.members) {
        if (is_live(now, id)) {
            if (id != self_.instance.value) {
                return std::nullopt;
            }
            break;
        }
    }
    for (const auto& [id, member] : record_.members) {
        const auto received = received_.find(id);
        const auto last_received =
            received == received_.end() ? started_ : std::max(started_, received->second.at);
        const auto holds_role =
            std::any_of(record_.roles.begin(), record_.roles.end(),
                        [&member = member](const auto& it) { return it.second.holder == member.instance; });
        if (id != self_.instance.value && !listed_.contains(id) && !holds_role &&
            now - last_received >= settings_.member_removal_delay) {
            return id;
        }
    }
    return std::nullopt;
}

/// True if more than half of the current table have confirmed that they hold the current table version.
/// Versions held by an instance never decrease, so a confirmation does not expire.
auto cell_node::implementation::table_confirmed() const -> bool {
    if (confirmation_version_ != record_.table_version) {
        return false;
    }
    const auto held = std::count_if(confirmed_.begin(), confirmed_.end(),
                                    [&](const auto& id) { return record_.members.contains(id); });
    return static_cast<std::size_t>(held) >= majority();
}

auto cell_node::implementation::request_confirmation(time_point now) -> void {
    const auto joining = own_member() == nullptr && record_.version != 0 && !leaving_ && !superseded_ &&
                         !record_.members.contains(self_.instance.value) &&
                         record_.members.size() < max_members;
    if ((!joining && !removable(now)) || table_confirmed()) {
        return;
    }
    if (confirmation_version_ != record_.table_version) {
        confirmation_version_ = record_.table_version;
        confirmed_.clear();
        confirmation_call_ = last_call_ + 1;
    } else if (now - confirmation_requested_at_ < confirmation_interval) {
        return;
    }
    confirmation_requested_at_ = now;
    if (own_member() != nullptr) {
        confirmed_.insert(self_.instance.value);
    }
    const auto request = table_request{self_.instance, record_.table_version, ++last_call_};
    for (const auto& [id, member] : record_.members) {
        if (id != self_.instance.value && !confirmed_.contains(id)) {
            send(member.instance, request);
        }
    }
    // The table may have changed meanwhile: an instance gets no heartbeats before it has joined.
    read_needed_ = read_needed_ || (joining && now - store_called_at_ >= settings_.store_renewal_interval);
}

auto cell_node::implementation::on_message(time_point now, const table_request& message) -> void {
    const auto held = own_member() != nullptr && record_.table_version >= message.table_version;
    send(message.from, table_answer{self_.instance, message.call, held});
    if (record_.table_version < message.table_version) {
        read_needed_ = true;
        advance_store_calls(now);
    }
}

auto cell_node::implementation::on_message(time_point now, const table_answer& message) -> void {
    // Call numbers increase, so older calls were requests about an earlier table version.
    if (message.held && message.call >= confirmation_call_) {
        confirmed_.insert(message.from.value);
        advance_store_calls(now);
    }
}

auto cell_node::implementation::on_message(time_point /*now*/, const record_request& message) -> void {
    send(message.from, record_answer{self_.instance, message.call, record_.version, record_text_});
}

auto cell_node::implementation::on_message(time_point now, const record_answer& message) -> void {
    if (message.version <= record_.version) {
        return;
    }
    if (auto parsed = parse_cell_record(message.text, message.version); succeeded(parsed)) {
        adopt(now, std::get<cell_record>(std::move(parsed)), message.text);
        advance_store_calls(now);
    }
}

} // namespace citronlug
