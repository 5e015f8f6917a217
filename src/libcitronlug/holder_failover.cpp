#include "holder_impl.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace citronlug {

namespace {

constexpr auto primary_probe_interval = 200ms;
/// Reads that no replica satisfies probe at once, so the regular questions need not be as frequent.
constexpr auto replica_probe_interval = 400ms;
/// A database without requests is probed just often enough that a first read finds evidence younger than 1 s.
constexpr auto idle_probe_interval = 800ms;
constexpr auto idle_after = 2s;
constexpr auto probe_silence = 400ms; // then a new connection is tried
constexpr auto fresh_probe_silence =
    500ms;                              // a new connection without an answer for this long counts as failed
constexpr auto suspicion_time = 1200ms; // shorter than this, a pause of the server would cost a change
constexpr auto reachable_time = 1s;
constexpr auto change_spacing = 5s;     // between changes, so that two failing members do not alternate
constexpr auto attempt_spacing = 500ms; // between promotions that failed
constexpr auto promotion_time = 2s;     // for the result of an order
constexpr auto follow_spacing = 1s;
constexpr auto hand_over_wait = 3s;  // for running writes and transactions on a leaving primary
constexpr auto hand_over_limit = 8s; // then writes resume, because no replica catches up
constexpr auto hand_over_pause = 5s;

} // namespace

auto database_holder::implementation::send_probe(time_point now, const member_id& member, bool fresh)
    -> void {
    auto& it = probes_[member];
    it.sequence = next_probe_++;
    it.asked = now;
    it.fresh = fresh;
    actions_.emplace_back(probe_member{member, it.sequence, fresh});
}

auto database_holder::implementation::probe_soon(time_point now, const member_id& member, duration spacing)
    -> void {
    const auto& it = probes_[member];
    if (it.sequence == 0 && !it.failed && now - it.asked >= spacing) {
        send_probe(now, member, false);
    }
}

auto database_holder::implementation::probe_interval(time_point now, const member_id& member) const
    -> duration {
    if (works_.empty() && transactions_.empty() && now - last_request_ >= idle_after) {
        return idle_probe_interval;
    }
    const auto* const primary = view_.primary();
    const auto is_replica = primary != nullptr && primary->id != member;
    return is_replica ? replica_probe_interval : primary_probe_interval;
}

auto database_holder::implementation::keep_probing(time_point now) -> void {
    for (const auto& member : view_.members()) {
        auto& it = probes_[member.id];
        const auto silence = now - it.asked;
        if (it.sequence == 0) {
            if (silence >= probe_interval(now, member.id) || it.asked == time_point{}) {
                send_probe(now, member.id, it.failed);
            }
        } else if (silence >= (it.fresh ? fresh_probe_silence : probe_silence)) {
            it.fresh_failed = it.fresh_failed || it.fresh;
            send_probe(now, member.id, true);
        }
    }
}

auto database_holder::implementation::on_member_status(time_point now, const member_id& member,
                                                       std::uint64_t sequence,
                                                       std::optional<member_status> status) -> void {
    const auto found = probes_.find(member);
    if (found == probes_.end() || found->second.sequence != sequence || sequence == 0) {
        return; // the answer to a question that was given up
    }
    auto& it = found->second;
    it.sequence = 0;
    it.failed = !status;
    if (!status) {
        it.fresh_failed = it.fresh_failed || it.fresh;
        it.refused = it.refused || it.fresh;
        return;
    }
    it.fresh_failed = false;
    it.refused = false;
    view_.on_status(now, member, it.asked, std::move(*status));
    sync_primary(now);
    if (const auto* const known = view_.find(member)) {
        order_follow(now, *known);
    }
    check_confirmations(now);
    hand_over(now);
    pump(now);
}

auto database_holder::implementation::order_follow(time_point now, const member_info& member) -> void {
    const auto* const primary = view_.primary();
    if (primary == nullptr || primary == &member || !member.status || !has_authority(now)) {
        return;
    }
    const auto behind =
        member.data_position().term < view_.term() || member.status->role == member_role::primary;
    auto& it = probes_[member.id];
    if (behind && now - it.followed >= follow_spacing) {
        it.followed = now;
        actions_.emplace_back(follow_primary{member.id, primary->id, view_.term()});
    }
}

auto database_holder::implementation::reachable(time_point now, const member_info& member) const -> bool {
    const auto it = probes_.find(member.id);
    return member.status && now - member.last_contact < reachable_time && it != probes_.end() &&
           !it->second.failed;
}

auto database_holder::implementation::is_suspected(time_point now, const member_info& member) const -> bool {
    const auto it = probes_.find(member.id);
    return it != probes_.end() && it->second.fresh_failed &&
           now - std::max(member.last_contact, observing_since_) >= suspicion_time;
}

auto database_holder::implementation::watch_group(time_point now) -> void {
    keep_probing(now);
    sync_primary(now);
    if (!has_authority(now)) {
        return;
    }
    if (promotion_) {
        if (now - promotion_->ordered < promotion_time) {
            return;
        }
        event("promotion-unanswered", fmt::format("member={}", promotion_->member.value));
        promotion_.reset();
    }
    if (now - change_attempted_ < attempt_spacing) {
        return;
    }
    if (const auto* const primary = view_.primary()) {
        const auto& it = probes_[primary->id];
        if (is_suspected(now, *primary) && (it.refused || now - changed_ >= change_spacing)) {
            order_change(now, primary->id, "the primary does not answer");
            return;
        }
        change_blocked_ = change_blocked_ && is_suspected(now, *primary);
        hand_over(now);
        return;
    }
    // A member that was not heard may be the primary, so it must be suspected before another is promoted.
    const auto unclear = std::any_of(view_.members().begin(), view_.members().end(), [&](const auto& it) {
        return !reachable(now, it) && !is_suspected(now, it);
    });
    if (!unclear && now - std::max(primary_missing_since_, observing_since_) >= suspicion_time) {
        order_change(now, std::nullopt, "no member is primary");
    }
}

auto database_holder::implementation::order_change(time_point now, const std::optional<member_id>& old,
                                                   const std::string& reason) -> void {
    auto candidates = std::vector<promotion_candidate>{};
    for (const auto& it : view_.members()) {
        if (it.id != old && reachable(now, it)) {
            candidates.push_back({it.id, it.data_position(), it.leaving});
        }
    }
    change_attempted_ = now;
    // Without most members this instance itself is probably cut off, and a more advanced replica may exist.
    if (candidates.size() * 2 <= view_.members().size()) {
        if (!std::exchange(change_blocked_, true)) {
            event("change-impossible", fmt::format("reason=\"{}\" reachable={}", reason, candidates.size()));
        }
        return;
    }
    change_blocked_ = false;
    const auto n = promotions_->choose(candidates);
    if (!n) {
        return;
    }
    event("primary-suspected", fmt::format("reason=\"{}\" old={}", reason, old.value_or(member_id{}).value));
    promote(now, candidates[*n].member, view_.find(candidates[*n].member)->term());
}

auto database_holder::implementation::promote(time_point now, const member_id& member, term_number expected)
    -> void {
    // From here on a primary of an older term is superseded, even if the result of the order never arrives.
    view_.set_fence(expected + 1, member);
    view_.clear_primary();
    promotion_ = pending_promotion{member, expected, now};
    change_attempted_ = now;
    actions_.emplace_back(promote_member{member, expected});
    event("promotion-ordered", fmt::format("member={} expected_term={}", member.value, expected));
    sync_primary(now);
}

auto database_holder::implementation::on_promoted(time_point now, const member_id& member, bool success,
                                                  term_number term) -> void {
    if (!promotion_ || promotion_->member != member) {
        return;
    }
    const auto expected = promotion_->expected;
    promotion_.reset();
    if (!success) {
        event("promotion-failed", fmt::format("member={} term={}", member.value, term));
        if (term > 0 && term <= expected) {
            view_.clear_fence(expected + 1, member); // it refused, so it will not take the term later
        }
        probe_all(now);
        return;
    }
    ++counters_.promotions;
    if (!view_.accepts(member, term)) {
        // Another member may have taken the same or a higher term.
        promote(now, member, term);
        return;
    }
    view_.set_primary(member, term);
    changed_ = now;
    sync_primary(now);
    probe_soon(now, member, duration{});
    for (const auto& it : view_.members()) {
        probes_[it.id].followed = time_point{};
        if (reachable(now, it)) {
            order_follow(now, it);
        }
    }
    pump(now);
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
    quiet_since_.reset();
    if (!id) {
        primary_missing_since_ = now;
    }
    event("primary-changed", fmt::format("old={} new={} term={}", old.value_or(member_id{}).value,
                                         id.value_or(member_id{}).value, served_term_));
    choose_connections();
    if (old) {
        abandon_member(now, *old);
        for (const auto number : std::vector<std::uint64_t>(confirming_.begin(), confirming_.end())) {
            if (auto* const work = find(number)) {
                resolve_doubt(now, *work);
            }
        }
    }
}

auto database_holder::implementation::abandon_member(time_point now, const member_id& member) -> void {
    abandoning_ = true; // nothing starts on the connections that are closed next
    for (const auto number : pool_.connections_to(member)) {
        drop_connection(now, number);
    }
    abandoning_ = false;
}

auto database_holder::implementation::writes_running() const -> bool {
    return !transactions_.empty() || std::any_of(works_.begin(), works_.end(), [](const auto& it) {
        const auto& work = it.second;
        return work.kind != work_kind::read &&
               (work.stage == work_stage::running || work.stage == work_stage::confirming);
    });
}

auto database_holder::implementation::end_writes(time_point now) -> void {
    end_transactions(now, failure_code::transaction_ended, "the backend server is leaving");
    auto connections = std::vector<connection_number>{};
    for (const auto& [number, it] : works_) {
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
            const auto usable = &it != primary && !it.leaving && reachable(now, it);
            if (usable && (best == nullptr || it.data_position() > best->data_position())) {
                best = &it;
            }
        }
        return best;
    };
    if (primary == nullptr || !primary->leaving || promotion_ || !has_authority(now) ||
        now < hand_over_after_) {
        return;
    }
    const auto* const next = target();
    if (next == nullptr) {
        hand_over_started_.reset();
        return;
    }
    if (!hand_over_started_) {
        hand_over_started_ = now;
        quiet_since_.reset();
        event("hand-over-started", fmt::format("member={}", primary->id.value));
    }
    if (writes_running()) {
        quiet_since_.reset();
        if (now - *hand_over_started_ >= hand_over_wait) {
            end_writes(now);
        }
        return;
    }
    if (!quiet_since_) {
        quiet_since_ = now;
    }
    if (primary->requested_at >= *quiet_since_ && view_.replica_has(*next, primary->data_position())) {
        promote(now, next->id, next->term());
        return;
    }
    if (now - *hand_over_started_ >= hand_over_limit) {
        event("hand-over-given-up", "no replica has the position of the primary");
        hand_over_started_.reset();
        hand_over_after_ = now + hand_over_pause;
        return;
    }
    probe_soon(now, primary->id, 5ms);
    probe_soon(now, next->id, 5ms);
}

} // namespace citronlug
