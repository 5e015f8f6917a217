#include "cell_node_impl.h"

#include <algorithm>

namespace citronlug {

namespace {

/// Number of heartbeat calls kept; an answer to an older one would extend no authority.
constexpr std::size_t max_remembered_heartbeats = 16;
/// A peer gets a heartbeat every second interval; no answer for three intervals means that it missed one.
constexpr auto missed_heartbeat_intervals = 3;

} // namespace

/// Time after which a lease has expired on the holder's clock, measured on any other clock. Two clocks that
/// are off by 5% in opposite directions differ by 10.5%, which the drift allowance of a tenth of the lease
/// does not quite cover, so another tenth of the allowance is added.
auto cell_node::implementation::expiry_delay() const -> duration {
    return settings_.lease + settings_.drift_allowance + settings_.drift_allowance / 10;
}

/// End of the authority by contact with more than half of the table. In a table of one the instance is its
/// own majority; its authority runs from the last event, so that it expires during a process pause too.
auto cell_node::implementation::majority_authority_until() const -> time_point {
    if (own_member() == nullptr) {
        return time_point{};
    }
    const auto needed = majority() - 1;
    if (needed == 0) {
        return now_ + settings_.lease;
    }
    auto times = std::vector<time_point>{};
    for (const auto& [id, member] : record_.members) {
        const auto it = contacts_.find(id);
        if (it != contacts_.end() && id != self_.instance.value) {
            times.push_back(it->second);
        }
    }
    if (times.size() < needed) {
        return time_point{};
    }
    std::sort(times.begin(), times.end(), std::greater<>{});
    return times[needed - 1] + settings_.lease;
}

auto cell_node::implementation::authority_until() const -> time_point {
    return active_ ? std::max({store_authority_until_, previous_table_authority_until_,
                               majority_authority_until()})
                   : time_point{};
}

auto cell_node::implementation::has_majority(time_point now) const -> bool {
    return majority_authority_until() > now;
}

/// Runs before each event is handled, so that an event cannot extend authority that has already expired.
auto cell_node::implementation::advance_clock(time_point now) -> void {
    if (active_ && now >= authority_until()) {
        active_ = false;
        emit_event("authority-lost", self_.instance.value);
        while (!held_roles_.empty()) {
            stop_role(held_roles_.begin()->first);
        }
        next_store_call_ = std::min(next_store_call_, now);
    }
    now_ = std::max(now_, now);
}

auto cell_node::implementation::stop_role(const role_id& role) -> void {
    if (const auto it = held_roles_.find(role); it != held_roles_.end()) {
        actions_.emplace_back(role_lost{role, it->second});
        held_roles_.erase(it);
    }
}

/// An instance accepts heartbeats and grants promises only once no promise granted by an earlier incarnation
/// of its slot can still be in force.
auto cell_node::implementation::may_vote(time_point now) const -> bool {
    return own_member() != nullptr && now - started_ >= expiry_delay();
}

auto cell_node::implementation::send_heartbeats(time_point now) -> void {
    next_heartbeat_ = now + settings_.heartbeat_interval;
    if (own_member() == nullptr) {
        return;
    }
    const auto call = ++last_call_;
    sent_heartbeats_.emplace(call, now);
    if (sent_heartbeats_.size() > max_remembered_heartbeats) {
        sent_heartbeats_.erase(sent_heartbeats_.begin());
    }
    // Without authority the heartbeat carries table version 0, so that peers do not accept it: there is
    // nothing to extend, and accepted heartbeats would keep the peers from taking over the roles.
    const auto message =
        heartbeat_message{self_.instance,  self_.run,       active_ ? record_.table_version : 0,
                          record_.version, config_version_, call};
    // Heartbeats go to alternating halves of the peers. One half and this instance are a majority, so
    // majority contact is as recent as with all peers, at half of the traffic. All peers get them while one
    // of them does not answer.
    const auto send_to_all = std::any_of(record_.members.begin(), record_.members.end(), [&](const auto& it) {
        const auto contact = contacts_.find(it.first);
        return it.first != self_.instance.value &&
               (contact == contacts_.end() ||
                now - contact->second > settings_.heartbeat_interval * missed_heartbeat_intervals);
    });
    heartbeat_half_ = !heartbeat_half_;
    auto in_half = heartbeat_half_;
    for (const auto& [id, member] : record_.members) {
        if (id != self_.instance.value) {
            if (send_to_all || in_half) {
                send(member.instance, message);
            }
            in_half = !in_half;
        }
    }
}

auto cell_node::implementation::on_message(time_point now, const heartbeat_message& message) -> void {
    on_peer_versions(now, message.from, message.record_version, message.config_version);
    const auto member = record_.members.find(message.from.value);
    const auto known = member != record_.members.end() && member->second.run == message.run;
    if (known && message.table_version != 0) {
        auto& received = received_[message.from.value];
        if (received.run != message.run || now - received.at > settings_.lease) {
            received.since = now;
        }
        received.run = message.run;
        received.at = now;
    }
    const auto promise = promises_.find(message.run);
    const auto promised = promise != promises_.end() && now < promise->second;
    const auto accepted =
        known && may_vote(now) && message.table_version == record_.table_version && !promised;
    if (accepted) {
        last_accepted_[message.run] = now;
    }
    send(message.from, heartbeat_answer{self_.instance, self_.run, record_.table_version, record_.version,
                                        config_version_, message.call, accepted});
}

auto cell_node::implementation::on_message(time_point now, const heartbeat_answer& message) -> void {
    on_peer_versions(now, message.from, message.record_version, message.config_version);
    const auto member = record_.members.find(message.from.value);
    const auto sent = sent_heartbeats_.find(message.call);
    if (!message.accepted || sent == sent_heartbeats_.end() || member == record_.members.end() ||
        member->second.run != message.run) {
        return;
    }
    auto& contact = contacts_[message.from.value];
    contact = std::max(contact, sent->second);
}

/// Handles the versions that a peer reports. Requests a newer record from the peer, or from the store if the
/// peer is not in the table.
auto cell_node::implementation::on_peer_versions(time_point now, const instance_id& from,
                                                 std::uint64_t record_version, std::uint64_t config_version)
    -> void {
    peer_config_version_ = std::max(peer_config_version_, config_version);
    if (record_version <= record_.version) {
        return;
    }
    if (!record_.members.contains(from.value)) {
        read_needed_ = true;
    } else if (now - record_requested_at_ >= settings_.heartbeat_interval / 4) {
        record_requested_at_ = now;
        send(from, record_request{self_.instance, ++last_call_});
    }
}

auto cell_node::implementation::live_members(time_point now) const -> std::vector<cell_member> {
    auto found = std::vector<cell_member>{};
    for (const auto& [id, member] : record_.members) {
        if (is_live(now, id)) {
            found.push_back(member);
        }
    }
    return found;
}

auto cell_node::implementation::is_live(time_point now, const std::string& id) const -> bool {
    const auto member = record_.members.find(id);
    if (member == record_.members.end()) {
        return false;
    }
    if (id == self_.instance.value) {
        return member->second.run == self_.run;
    }
    const auto it = received_.find(id);
    return it != received_.end() && it->second.run == member->second.run &&
           now - it->second.at <= settings_.lease;
}

} // namespace citronlug
