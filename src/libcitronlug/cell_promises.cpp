#include "cell_node_impl.h"

#include <algorithm>

namespace citronlug {

namespace {

/// Time between two rounds of promise requests for the same takeover.
constexpr duration promise_interval = 200ms;
/// Delay per candidate rank; longer than a round of promises and a store write.
constexpr duration candidate_delay = 600ms;

} // namespace

/// Step 1 of a takeover: the subject has not renewed its lease for the expiry delay. A later incarnation in
/// its slot also proves that the earlier one no longer renews.
auto cell_node::implementation::renewal_counter_unchanged(time_point now, const instance_id& subject,
                                                          incarnation run) const -> bool {
    const auto it = observed_.find(subject.value);
    if (it == observed_.end()) {
        return false;
    }
    const auto since = it->second.run == run ? it->second.renewals_since : it->second.run_since;
    return now - since >= expiry_delay();
}

/// Step 2 of a takeover, on the peer: grants the promise if this instance has accepted no heartbeat of the
/// subject for the expiry delay. It must also have held this table version for that long, because it may have
/// accepted heartbeats under an older table whose majorities need not intersect with those of this one.
auto cell_node::implementation::grant_promise(time_point now, const promise_request& message) -> bool {
    // Not needed for safety: repeated requests of one peer must not keep this instance from accepting the
    // heartbeats of a holder whose contact has returned.
    const auto subject_live = std::any_of(received_.begin(), received_.end(), [&](const auto& it) {
        return it.second.run == message.subject_run && now - it.second.at < settings_.lease;
    });
    const auto requester = record_.members.find(message.from.value);
    const auto accepted = last_accepted_.find(message.subject_run);
    if (subject_live || !may_vote(now) || message.table_version != record_.table_version ||
        now - table_since_ < expiry_delay() || requester == record_.members.end() ||
        requester->second.run != message.run || message.subject_run == self_.run ||
        (accepted != last_accepted_.end() && now - accepted->second < expiry_delay())) {
        return false;
    }
    promises_[message.subject_run] = now + expiry_delay();
    return true;
}

auto cell_node::implementation::on_message(time_point now, const promise_request& message) -> void {
    send(message.from, promise_answer{self_.instance, message.call, grant_promise(now, message)});
}

auto cell_node::implementation::on_message(time_point now, const promise_answer& message) -> void {
    for (auto& [run, attempt] : takeovers_) {
        const auto it = attempt.requests.find(message.call);
        if (it != attempt.requests.end() && message.granted) {
            auto& granted = attempt.granted[message.from.value];
            granted = std::max(granted, it->second);
            count_promises(now, run, attempt);
            advance_store_calls(now);
            return;
        }
    }
}

/// Rank of this instance among the candidates for the roles of `run`: the recorded standby has rank 0.
auto cell_node::implementation::takeover_rank(time_point now, const instance_id& subject,
                                              incarnation run) const -> int {
    auto standby = std::string{};
    for (const auto& [role, entry] : record_.roles) {
        if (entry.run == run && is_live(now, entry.standby.value)) {
            standby = entry.standby.value;
            break;
        }
    }
    if (standby == self_.instance.value) {
        return 0;
    }
    auto rank = standby.empty() ? 0 : 1;
    const auto own_weight = rendezvous_weight(subject.value, self_.instance.value);
    for (const auto& it : candidates(now)) {
        const auto& id = it.instance.value;
        if (id != self_.instance.value && id != standby && id != subject.value &&
            rendezvous_weight(subject.value, id) > own_weight) {
            ++rank;
        }
    }
    return rank;
}

/// True if the subject's authority has certainly expired and it has not renewed its lease since.
auto cell_node::implementation::is_fenced(incarnation run, const takeover& attempt) const -> bool {
    return attempt.fenced && attempt.table_version == record_.table_version &&
           attempt.fenced_renewals == renewals_of(attempt.subject, run);
}

/// Renewal counter of an incarnation; 0 if a later incarnation has its slot, so that it can no longer renew.
auto cell_node::implementation::renewals_of(const instance_id& subject, incarnation run) const
    -> std::uint64_t {
    const auto slot = record_.members.find(subject.value);
    return slot != record_.members.end() && slot->second.run == run ? slot->second.renewals : 0;
}

/// Finds holders without recent heartbeats and lease renewals and requests promises against them.
auto cell_node::implementation::check_holders(time_point now) -> void {
    auto holders = std::map<incarnation, instance_id>{};
    for (const auto& [role, entry] : record_.roles) {
        if (!entry.holder.empty() && entry.run != self_.run) {
            holders.emplace(entry.run, entry.holder);
        }
    }
    std::erase_if(takeovers_, [&](const auto& it) { return !holders.contains(it.first); });
    std::erase_if(last_accepted_, [&](const auto& it) { return now - it.second > 2 * expiry_delay(); });
    std::erase_if(promises_, [&](const auto& it) { return now > it.second; });
    if (!may_vote(now) || leaving_) {
        return;
    }
    for (const auto& [run, subject] : holders) {
        if (const auto it = takeovers_.find(run); it != takeovers_.end() && it->second.fenced) {
            if (!is_fenced(run, it->second)) {
                takeovers_.erase(it);
            }
            continue;
        }
        const auto accepted = last_accepted_.find(run);
        const auto received = received_.find(subject.value);
        // Recent heartbeats mean that contact with the holder has returned: promises would only keep it from
        // extending its authority.
        const auto silent = (accepted == last_accepted_.end() || now - accepted->second >= expiry_delay()) &&
                            (received == received_.end() || received->second.run != run ||
                             now - received->second.at >= settings_.lease);
        if (!silent || !renewal_counter_unchanged(now, subject, run)) {
            takeovers_.erase(run);
            continue;
        }
        auto& attempt = takeovers_[run];
        if (attempt.subject.empty()) {
            attempt.subject = subject;
            attempt.eligible_since = now;
        }
        if (now - attempt.eligible_since >= takeover_rank(now, subject, run) * candidate_delay) {
            request_promises(now, run, attempt);
        }
    }
}

auto cell_node::implementation::request_promises(time_point now, incarnation run, takeover& attempt) -> void {
    // Without the store a takeover cannot complete, and its promises would only endanger a live holder.
    if (now - last_store_success_ >= settings_.lease / 2) {
        read_needed_ = true;
        return;
    }
    if (now - attempt.last_request_at < promise_interval) {
        return;
    }
    if (attempt.table_version != record_.table_version) {
        attempt.table_version = record_.table_version;
        attempt.requests.clear();
        attempt.granted.clear();
    }
    attempt.last_request_at = now;
    const auto call = ++last_call_;
    std::erase_if(attempt.requests, [&](const auto& it) { return now - it.second > settings_.lease; });
    attempt.requests.emplace(call, now);
    const auto request =
        promise_request{self_.instance, self_.run, record_.table_version, call, attempt.subject, run};
    if (grant_promise(now, request)) {
        attempt.granted[self_.instance.value] = now;
    }
    for (const auto& [id, member] : record_.members) {
        if (id != self_.instance.value && id != attempt.subject.value) {
            send(member.instance, request);
        }
    }
    count_promises(now, run, attempt);
}

/// Step 2 of a takeover, on the requester: complete when promises of more than half of the table are in force
/// at the same time. In tables of three or more the subject's slot has no vote, because the earlier
/// incarnation counts that slot towards its own majority.
auto cell_node::implementation::count_promises(time_point now, incarnation run, takeover& attempt) -> void {
    if (attempt.fenced || attempt.table_version != record_.table_version ||
        !renewal_counter_unchanged(now, attempt.subject, run)) {
        return;
    }
    const auto subject_slot_votes = record_.members.size() < 3;
    auto votes = std::size_t{0};
    for (const auto& [id, requested] : attempt.granted) {
        const auto in_force = now - requested <= settings_.lease;
        if (in_force && record_.members.contains(id) && (subject_slot_votes || id != attempt.subject.value)) {
            ++votes;
        }
    }
    if (votes < majority()) {
        return;
    }
    attempt.fenced = true;
    attempt.fenced_renewals = renewals_of(attempt.subject, run);
}

} // namespace citronlug
