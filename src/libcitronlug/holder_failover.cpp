#include "holder_impl.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace citronlug {

namespace {

constexpr auto primary_probe_interval = 200ms;
/// Longer than for the primary, since a read that no replica satisfies triggers probes at once.
constexpr auto replica_probe_interval = 400ms;
/// Keeps the data age evidence below 1 s, so that replicas can serve the first read after an idle period.
constexpr auto idle_probe_interval = 800ms;
constexpr auto idle_after = 2s;
constexpr auto probe_timeout = 400ms;       // before the probe is repeated over a new connection
constexpr auto fresh_probe_timeout = 500ms; // before the new connection counts as failed
constexpr auto suspicion_timeout = 1200ms;  // a shorter value would turn brief server stalls into failovers
constexpr auto reachability_window = 1s;
constexpr auto min_failover_interval = 5s;       // prevents two failing members from alternating as primary
constexpr auto promotion_retry_interval = 500ms; // after a failed promotion
constexpr auto promotion_timeout = 2s;           // for the result of a promotion
constexpr auto follow_retry_interval = 1s;
constexpr auto hand_over_drain_timeout = 3s; // then running writes and transactions are aborted
constexpr auto hand_over_timeout = 8s;       // then writes resume, since no replica catches up
constexpr auto hand_over_retry_delay = 5s;

} // namespace

auto database_holder::implementation::send_probe(time_point now, const member_id& member,
                                                 bool fresh_connection) -> void {
    auto& it = probes_[member];
    it.sequence = next_probe_++;
    it.sent_at = now;
    it.fresh_connection = fresh_connection;
    actions_.emplace_back(probe_member{member, it.sequence, fresh_connection});
}

auto database_holder::implementation::probe_if_due(time_point now, const member_id& member,
                                                   duration min_interval) -> void {
    const auto& it = probes_[member];
    if (it.sequence == 0 && !it.last_failed && now - it.sent_at >= min_interval) {
        send_probe(now, member, false);
    }
}

auto database_holder::implementation::probe_interval(time_point now, const member_id& member) const
    -> duration {
    if (work_items_.empty() && transactions_.empty() && now - last_request_ >= idle_after) {
        return idle_probe_interval;
    }
    const auto* const primary = view_.primary();
    const auto is_replica = primary != nullptr && primary->id != member;
    return is_replica ? replica_probe_interval : primary_probe_interval;
}

auto database_holder::implementation::send_due_probes(time_point now) -> void {
    for (const auto& member : view_.members()) {
        auto& it = probes_[member.id];
        const auto silence = now - it.sent_at;
        if (it.sequence == 0) {
            if (silence >= probe_interval(now, member.id) || it.sent_at == time_point{}) {
                send_probe(now, member.id, it.last_failed);
            }
        } else if (silence >= (it.fresh_connection ? fresh_probe_timeout : probe_timeout)) {
            it.reconnect_failed = it.reconnect_failed || it.fresh_connection;
            send_probe(now, member.id, true);
        }
    }
}

auto database_holder::implementation::on_member_status(time_point now, const member_id& member,
                                                       std::uint64_t sequence,
                                                       std::optional<member_status> status) -> void {
    const auto found = probes_.find(member);
    if (found == probes_.end() || found->second.sequence != sequence || sequence == 0) {
        return; // late answer to a probe that timed out
    }
    auto& it = found->second;
    it.sequence = 0;
    it.last_failed = !status;
    if (!status) {
        it.reconnect_failed = it.reconnect_failed || it.fresh_connection;
        it.connection_refused = it.connection_refused || it.fresh_connection;
        return;
    }
    it.reconnect_failed = false;
    it.connection_refused = false;
    view_.on_status(now, member, it.sent_at, std::move(*status));
    sync_primary(now);
    if (const auto* const known = view_.find(member)) {
        send_follow_order(now, *known);
    }
    check_confirmations(now);
    hand_over(now);
    dispatch(now);
}

auto database_holder::implementation::send_follow_order(time_point now, const member_info& member) -> void {
    const auto* const primary = view_.primary();
    if (primary == nullptr || primary == &member || !member.status || !has_authority(now)) {
        return;
    }
    const auto behind =
        member.data_position().term < view_.term() || member.status->role == member_role::primary;
    auto& it = probes_[member.id];
    if (behind && now - it.follow_sent_at >= follow_retry_interval) {
        it.follow_sent_at = now;
        actions_.emplace_back(follow_primary{member.id, primary->id, view_.term()});
    }
}

auto database_holder::implementation::is_reachable(time_point now, const member_info& member) const -> bool {
    const auto it = probes_.find(member.id);
    return member.status && now - member.last_contact < reachability_window && it != probes_.end() &&
           !it->second.last_failed;
}

auto database_holder::implementation::is_suspected(time_point now, const member_info& member) const -> bool {
    const auto it = probes_.find(member.id);
    return it != probes_.end() && it->second.reconnect_failed &&
           now - std::max(member.last_contact, observing_since_) >= suspicion_timeout;
}

auto database_holder::implementation::monitor_group(time_point now) -> void {
    send_due_probes(now);
    sync_primary(now);
    if (!has_authority(now)) {
        return;
    }
    if (promotion_) {
        if (now - promotion_->ordered_at < promotion_timeout) {
            return;
        }
        emit_event("promotion-unanswered", fmt::format("member={}", promotion_->member.value));
        promotion_.reset();
    }
    if (now - last_promotion_attempt_ < promotion_retry_interval) {
        return;
    }
    if (const auto* const primary = view_.primary()) {
        const auto& it = probes_[primary->id];
        if (is_suspected(now, *primary) &&
            (it.connection_refused || now - last_primary_change_ >= min_failover_interval)) {
            start_failover(now, primary->id, "the primary does not answer");
            return;
        }
        failover_blocked_ = failover_blocked_ && is_suspected(now, *primary);
        hand_over(now);
        return;
    }
    // A member that has not answered may be the primary, so it must be suspected before another is promoted.
    const auto undetermined =
        std::any_of(view_.members().begin(), view_.members().end(),
                    [&](const auto& it) { return !is_reachable(now, it) && !is_suspected(now, it); });
    if (!undetermined && now - std::max(primary_missing_since_, observing_since_) >= suspicion_timeout) {
        start_failover(now, std::nullopt, "no member is primary");
    }
}

auto database_holder::implementation::start_failover(time_point now, const std::optional<member_id>& old,
                                                     const std::string& reason) -> void {
    auto candidates = std::vector<promotion_candidate>{};
    for (const auto& it : view_.members()) {
        if (it.id != old && is_reachable(now, it)) {
            candidates.push_back({it.id, it.data_position(), it.leaving});
        }
    }
    last_promotion_attempt_ = now;
    // Without a majority this instance itself may be partitioned, and a more advanced replica may exist.
    if (candidates.size() * 2 <= view_.members().size()) {
        if (!std::exchange(failover_blocked_, true)) {
            emit_event("change-impossible",
                       fmt::format("reason=\"{}\" reachable={}", reason, candidates.size()));
        }
        return;
    }
    failover_blocked_ = false;
    const auto n = promotion_policy_->choose(candidates);
    if (!n) {
        return;
    }
    emit_event("primary-suspected",
               fmt::format("reason=\"{}\" old={}", reason, old.value_or(member_id{}).value));
    promote(now, candidates[*n].member, view_.find(candidates[*n].member)->term());
}

auto database_holder::implementation::promote(time_point now, const member_id& member,
                                              term_number expected_term) -> void {
    // From here on a primary of an older term is superseded, even if the result of the promotion is lost.
    view_.set_fence(expected_term + 1, member);
    view_.clear_primary();
    promotion_ = pending_promotion{member, expected_term, now};
    last_promotion_attempt_ = now;
    actions_.emplace_back(promote_member{member, expected_term});
    emit_event("promotion-ordered", fmt::format("member={} expected_term={}", member.value, expected_term));
    sync_primary(now);
}

auto database_holder::implementation::on_promoted(time_point now, const member_id& member, bool success,
                                                  term_number term) -> void {
    if (!promotion_ || promotion_->member != member) {
        return;
    }
    const auto expected_term = promotion_->expected_term;
    promotion_.reset();
    if (!success) {
        emit_event("promotion-failed", fmt::format("member={} term={}", member.value, term));
        if (term > 0 && term <= expected_term) {
            view_.clear_fence(expected_term + 1, member); // it refused, so it will not claim the term later
        }
        probe_all(now);
        return;
    }
    ++counters_.promotions;
    if (!view_.accepts(member, term)) {
        // Another member may have claimed the same or a higher term, so a newer term is needed.
        promote(now, member, term);
        return;
    }
    view_.set_primary(member, term);
    last_primary_change_ = now;
    sync_primary(now);
    probe_if_due(now, member, duration{});
    for (const auto& it : view_.members()) {
        probes_[it.id].follow_sent_at = time_point{};
        if (is_reachable(now, it)) {
            send_follow_order(now, it);
        }
    }
    dispatch(now);
}

auto database_holder::implementation::sync_primary(time_point now) -> void {
    const auto* const primary = view_.primary();
    const auto id = primary != nullptr ? std::optional{primary->id} : std::nullopt;
    if (id == served_primary_ && view_.term() == served_term_) {
        return;
    }
    const auto old = std::exchange(served_primary_, id);
    served_term_ = view_.term();
    hand_over_started_.reset();
    writes_idle_since_.reset();
    if (!id) {
        primary_missing_since_ = now;
    }
    emit_event("primary-changed", fmt::format("old={} new={} term={}", old.value_or(member_id{}).value,
                                              id.value_or(member_id{}).value, served_term_));
    select_connected_members();
    if (old) {
        close_member_connections(now, *old);
        for (const auto number : std::vector<std::uint64_t>(confirming_.begin(), confirming_.end())) {
            if (auto* const work = find(number)) {
                resolve_in_doubt(now, *work);
            }
        }
    }
}

auto database_holder::implementation::close_member_connections(time_point now, const member_id& member)
    -> void {
    closing_member_connections_ = true; // prevents dispatch on connections that are about to be closed
    for (const auto number : pool_.connections_to(member)) {
        drop_connection(now, number);
    }
    closing_member_connections_ = false;
}

auto database_holder::implementation::writes_running() const -> bool {
    return !transactions_.empty() || std::any_of(work_items_.begin(), work_items_.end(), [](const auto& it) {
        const auto& work = it.second;
        return work.kind != work_kind::read &&
               (work.stage == work_stage::running || work.stage == work_stage::confirming);
    });
}

auto database_holder::implementation::abort_writes(time_point now) -> void {
    end_transactions(now, failure_code::transaction_ended,
                     "the backend server is being taken out of service");
    auto connections = std::vector<connection_number>{};
    for (const auto& [number, it] : work_items_) {
        if (it.kind != work_kind::read && it.stage == work_stage::running) {
            connections.push_back(it.connection);
        }
    }
    for (const auto it : connections) {
        drop_connection(now, it);
    }
}

auto database_holder::implementation::hand_over(time_point now) -> void {
    const auto* const primary = view_.primary();
    const auto target = [&]() -> const member_info* {
        const member_info* best = nullptr;
        for (const auto& it : view_.members()) {
            const auto usable = &it != primary && !it.leaving && is_reachable(now, it);
            if (usable && (best == nullptr || it.data_position() > best->data_position())) {
                best = &it;
            }
        }
        return best;
    };
    if (primary == nullptr || !primary->leaving || promotion_ || !has_authority(now) ||
        now < next_hand_over_) {
        return;
    }
    const auto* const next = target();
    if (next == nullptr) {
        hand_over_started_.reset();
        return;
    }
    if (!hand_over_started_) {
        hand_over_started_ = now;
        writes_idle_since_.reset();
        emit_event("hand-over-started", fmt::format("member={}", primary->id.value));
    }
    if (writes_running()) {
        writes_idle_since_.reset();
        if (now - *hand_over_started_ >= hand_over_drain_timeout) {
            abort_writes(now);
        }
        return;
    }
    if (!writes_idle_since_) {
        writes_idle_since_ = now;
    }
    if (primary->requested_at >= *writes_idle_since_ && view_.replica_has(*next, primary->data_position())) {
        promote(now, next->id, next->term());
        return;
    }
    if (now - *hand_over_started_ >= hand_over_timeout) {
        emit_event("hand-over-given-up", "no replica caught up with the primary in time");
        hand_over_started_.reset();
        next_hand_over_ = now + hand_over_retry_delay;
        return;
    }
    probe_if_due(now, primary->id, 5ms);
    probe_if_due(now, next->id, 5ms);
}

} // namespace citronlug
