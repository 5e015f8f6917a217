#include "cell_node_impl.h"

#include <fmt/format.h>

#include <algorithm>

namespace citronlug {

namespace {

/// A store call without a reply for this long is treated as `store_status::unavailable`.
constexpr duration store_timeout = 5s;
/// Mean time between two attempts while the store does not answer.
constexpr duration store_retry_interval = 500ms;

} // namespace

/// The lease is renewed at the store when authority by majority contact has less than half a lease left; when
/// that authority has ended it would be too late.
auto cell_node::implementation::renewal_due(time_point now) const -> bool {
    return !active_ || (majority_authority_until() < now + settings_.lease / 2 &&
                        now - last_renewal_ >= settings_.store_renewal_interval);
}

/// Starts the next store call if one is due. Each write is preceded by a read: the local record may be stale,
/// and after a lost reply the read shows whether the write was applied.
auto cell_node::implementation::advance_store_calls(time_point now) -> void {
    if (store_phase_ != store_phase::idle && now - store_called_at_ >= store_timeout) {
        on_store_reply(now, store_call_, store_reply{});
        return;
    }
    if (superseded_ || store_phase_ != store_phase::idle || now < next_store_call_) {
        return;
    }
    if (read_needed_ || plan_next_record(now).has_value()) {
        read_store(now);
    }
}

auto cell_node::implementation::read_store(time_point now) -> void {
    store_phase_ = store_phase::reading;
    store_call_ = ++last_call_;
    store_called_at_ = now;
    actions_.emplace_back(store_get{store_call_, "cells/" + cell_.value});
}

auto cell_node::implementation::write_store(time_point now, cell_record next) -> void {
    // Stop the roles that the write assigns elsewhere before it is sent, whether or not it will succeed.
    for (const auto& [role, entry] : record_.roles) {
        const auto it = next.roles.find(role);
        if (it == next.roles.end() || it->second.epoch != entry.epoch || !is_own(it->second)) {
            stop_role(role);
        }
    }
    pending_text_ = to_json(next);
    store_phase_ = store_phase::writing;
    store_call_ = ++last_call_;
    store_called_at_ = now;
    last_renewal_ = now;
    actions_.emplace_back(store_put{store_call_, "cells/" + cell_.value, pending_text_, record_.version});
    pending_record_ = std::move(next);
}

auto cell_node::implementation::on_store_reply(time_point now, std::uint64_t call, store_reply reply)
    -> void {
    advance_clock(now);
    if (store_phase_ == store_phase::idle || call != store_call_) {
        return;
    }
    const auto phase = std::exchange(store_phase_, store_phase::idle);
    if (reply.status == store_status::unavailable) {
        // A write may or may not have been applied. The next call is always a read, and only an acknowledged
        // write creates authority.
        read_needed_ = true;
        next_store_call_ = now + store_retry_interval / 2 +
                           duration{random_() % static_cast<std::uint64_t>(store_retry_interval.count())};
        return;
    }
    last_store_success_ = now;
    if (phase == store_phase::reading) {
        on_read(now, std::move(reply));
    } else {
        on_written(now, reply);
    }
}

auto cell_node::implementation::on_read(time_point now, store_reply reply) -> void {
    read_needed_ = false;
    if (reply.status == store_status::ok) {
        if (reply.version <= record_.version) {
            // No change, or a stale read. Writes are conditional on the newest version known.
        } else if (auto parsed = parse_cell_record(reply.value, reply.version); succeeded(parsed)) {
            adopt(now, std::get<cell_record>(std::move(parsed)), std::move(reply.value));
        } else {
            emit_event("record-malformed", std::get<failure>(parsed).message);
            next_store_call_ = now + store_retry_interval;
            return;
        }
    }
    if (superseded_) {
        return;
    }
    check_holders(now);
    request_confirmation(now);
    if (auto next = plan_next_record(now)) {
        write_store(now, *std::move(next));
    }
}

auto cell_node::implementation::on_written(time_point now, const store_reply& reply) -> void {
    if (reply.status != store_status::ok) {
        // Read again at once after the first conflict, with a random delay after further ones.
        read_needed_ = true;
        ++conflicts_;
        next_store_call_ = conflicts_ == 1 ? now : now + duration{random_() % 150'000};
        advance_store_calls(now);
        return;
    }
    conflicts_ = 0;
    if (superseded_) {
        return;
    }
    const auto previous_record = record_;
    // The previous holder of a role that was reassigned within the expiry delay may have handed it over and
    // still be alive, so expiry is not proven.
    const auto roles_stable = now - roles_changed_ >= expiry_delay();
    pending_record_.version = reply.version;
    adopt(now, pending_record_, pending_text_);
    if (now < store_called_at_ + settings_.lease) {
        store_authority_until_ = store_called_at_ + settings_.lease;
        if (!active_) {
            active_ = true;
            emit_event("authority-gained", self_.instance.value);
        }
        // Only epochs created by this write are gained; one whose authority expired meanwhile is not resumed.
        for (const auto& [role, entry] : pending_record_.roles) {
            const auto previous = previous_record.roles.find(role);
            const auto created =
                previous == previous_record.roles.end() || previous->second.epoch != entry.epoch;
            if (created && is_own(entry) && record_.version == pending_record_.version && !leaving_) {
                const auto taken_over = previous != previous_record.roles.end() &&
                                        !previous->second.holder.empty() && !is_own(previous->second);
                held_roles_[role] = entry.epoch;
                actions_.emplace_back(role_gained{role, entry.epoch, taken_over && roles_stable});
                if (taken_over) {
                    emit_event("takeover",
                               fmt::format("{} from {}", role.name, previous->second.holder.value));
                }
            }
        }
    }
    if (pending_record_.table_version != previous_record.table_version ||
        pending_record_.roles != previous_record.roles ||
        pending_record_.members.size() != previous_record.members.size()) {
        send_heartbeats(now); // tell the peers the new version immediately
    }
    advance_store_calls(now);
}

/// Replaces the local record by a newer one and stops the roles that it assigns elsewhere.
auto cell_node::implementation::adopt(time_point now, cell_record record, std::string text) -> void {
    if (record.version <= record_.version) {
        return;
    }
    const auto until = majority_authority_until();
    const auto table_changed = record.table_version != record_.table_version || record_.version == 0;
    if (record.roles != record_.roles) {
        roles_changed_ = now;
    }
    record_ = std::move(record);
    record_text_ = std::move(text);
    if (table_changed) {
        // Contact under the previous table still proves authority until it expires: majorities of consecutive
        // tables intersect, and only members that have held their table for the expiry delay grant promises.
        previous_table_authority_until_ = std::max(previous_table_authority_until_, until);
        table_since_ = now;
    }
    observe_renewals(now);
    const auto slot = record_.members.find(self_.instance.value);
    if (own_member() != nullptr) {
        if (!was_member_) {
            member_since_ = now;
        }
        was_member_ = true;
    } else if (was_member_ && slot != record_.members.end()) {
        superseded_ = true;
        active_ = false;
        emit_event("superseded", self_.instance.value);
    }
    for (auto it = held_roles_.begin(); it != held_roles_.end();) {
        const auto role = (it++)->first;
        const auto entry = record_.roles.find(role);
        if (superseded_ || entry == record_.roles.end() || !is_own(entry->second) ||
            entry->second.epoch != held_roles_.at(role)) {
            stop_role(role);
        }
    }
    std::erase_if(pending_moves_, [&](const auto& it) {
        const auto entry = record_.roles.find(it.first);
        return entry == record_.roles.end() || !is_own(entry->second);
    });
}

auto cell_node::implementation::observe_renewals(time_point now) -> void {
    for (const auto& [id, member] : record_.members) {
        auto& slot = observed_[id];
        if (slot.run != member.run) {
            slot = observed_slot{member.run, now, member.renewals, now};
        } else if (slot.renewals != member.renewals) {
            slot.renewals = member.renewals;
            slot.renewals_since = now;
        }
    }
    std::erase_if(observed_, [&](const auto& it) { return !record_.members.contains(it.first); });
}

/// Returns the record that this instance should write next, or nothing if no change is due.
auto cell_node::implementation::plan_next_record(time_point now) -> std::optional<cell_record> {
    if (superseded_) {
        return std::nullopt;
    }
    auto next = record_;
    auto changed = renewal_due(now);
    if (own_member() == nullptr) {
        if (!plan_join(next)) {
            return std::nullopt;
        }
        changed = true;
    } else if (const auto removed_id = removable(now); removed_id && table_confirmed()) {
        next.members.erase(*removed_id);
        ++next.table_version;
        changed = true;
    }
    changed = plan_roles(now, next) || changed;
    changed = next.members.at(self_.instance.value).leaving != leaving_ || changed;
    if (!changed) {
        return std::nullopt;
    }
    auto& slot = next.members.at(self_.instance.value);
    ++slot.renewals;
    slot.leaving = leaving_;
    return next;
}

} // namespace citronlug
