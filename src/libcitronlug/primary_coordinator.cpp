#include <citronlug/primary_coordinator.h>

#include <citronlug/log_events.h>

#include <fmt/format.h>

#include <algorithm>

namespace citronlug {

namespace {

/// Renewals of the duty; three of them fit into its life.
constexpr auto renewal_interval = duration{900ms};
/// Another instance takes the duty this long after its life without a renewal, counted from first seeing the
/// last one.
constexpr auto takeover_margin = duration{500ms};
/// Instances try to take the duty at different times within this span.
constexpr auto takeover_spread = duration{200ms};
/// A record is as old as the last answer of the store; without one of this age the duty is not taken.
constexpr auto confirmation_life = duration{2s};
/// A write without an answer is given up; the record itself then tells whether it was done.
constexpr auto write_patience = duration{1500ms};
/// Clocks of two machines may differ by this part while a permission runs out.
constexpr auto drift_part = 0.06;

constexpr auto steady_probe = duration{500ms};
constexpr auto suspect_probe = duration{120ms};
constexpr auto leading_probe = duration{60ms};
/// A server that answers nothing for this time, neither on an old connection nor on a new one, is taken for
/// lost.
constexpr auto silence_limit = duration{1100ms};
/// So many connections in a row that nothing accepts mean that the process is gone.
constexpr auto refusals_limit = std::uint32_t{3};
/// What instances say of a primary counts for this time.
constexpr auto report_life = duration{1s};
/// An instance that reached the primary within this time contradicts its loss.
constexpr auto reached_life = duration{600ms};
/// Age of a replica's status that makes it a possible successor.
constexpr auto status_life = duration{1500ms};
/// Wait for the statuses of all replicas before the successor is chosen.
constexpr auto choice_wait = duration{250ms};
/// Longest wait for a replica that has all acknowledged writes, when the old primary is leaving or replicates
/// synchronously.
constexpr auto catch_up_wait = duration{1500ms};
constexpr auto promotion_retry = duration{200ms};
/// A promotion that was accepted but has not made the server lead by then is ordered again.
constexpr auto promotion_limit = duration{2500ms};
/// Time after a change before the next one of the group.
constexpr auto change_pause = duration{3s};
constexpr auto list_retry = duration{300ms};
/// Orders to a superseded primary to step down, one each probe interval.
constexpr auto step_down_orders = std::uint32_t{10};

enum class change_phase {
    steady,
    writing_intent,
    collecting,
    choosing,
    writing_candidate,
    promoting,
    writing_result
};

struct known_server {
    backend_server entry;
    time_point asked_at;
    bool pending = false;
    time_point answered_at;
    time_point failed_since; ///< first failure after the last answer
    std::uint32_t refusals = 0;
    std::optional<server_status> status;
    time_point status_asked_at;
};

struct group_change {
    primary_record record;
    std::uint64_t revision = 0; ///< 0: there is no record
    change_phase phase = change_phase::steady;
    std::string reason;
    bool planned = false;
    time_point phase_since;
    time_point permissions_end;
    std::optional<std::set<instance_id>> expected;
    time_point listed_at;
    std::set<server_id> excluded;
    server_id candidate;
    time_point ordered_at;
    bool order_pending = false;
    bool order_accepted = false;
    time_point not_before;
    bool write_pending = false;
    time_point written_at;
    std::optional<position> sample;
    time_point sample_asked_at;
    server_id old_primary; ///< to be stepped down
    std::uint32_t step_downs = 0;
    time_point missing_since;
};

} // namespace

class primary_coordinator::implementation {
public:
    implementation(instance_id self, incarnation run, std::string peer_address, std::string fresh_secret,
                   duration reluctance, event_sink events)
        : self_{std::move(self)}
        , run_{run}
        , peer_address_{std::move(peer_address)}
        , fresh_secret_{std::move(fresh_secret)}
        , events_{std::move(events)}
        , stagger_{reluctance + std::chrono::milliseconds{std::hash<std::string>{}(self_.value) %
                                                          static_cast<std::size_t>(takeover_spread / 1ms)}} {}

    auto tick(time_point now) -> std::vector<coordinator_action> {
        actions_.clear();
        tick_duty(now);
        const auto holds = holds_duty(now);
        if (holds != held_) {
            held_ = holds;
            emit(holds ? log_event::duty_taken : log_event::duty_lost, {},
                 fmt::format("token={} renewals={}", duty_ ? duty_->token : 0, duty_ ? duty_->renewals : 0));
            if (!holds) {
                for (auto& [id, group] : groups_) {
                    group.phase = change_phase::steady;
                    group.write_pending = false;
                }
            }
        }
        if (holds) {
            for (auto& [id, group] : groups_) {
                tick_group(now, id, group);
            }
        }
        return std::move(actions_);
    }

    [[nodiscard]] auto has_authority(time_point now) const -> bool {
        return duty_ && duty_->holder == self_ && duty_->run == run_ && now < authority_until_ && !left_;
    }

    // The last holder may have changed a record just before; its word would be wrong without it.
    [[nodiscard]] auto holds_duty(time_point now) const -> bool {
        return has_authority(now) && primaries_confirmed_at_ >= taken_at_;
    }

    [[nodiscard]] auto wants_primaries(time_point now) const -> bool {
        return has_authority(now) && primaries_confirmed_at_ < taken_at_;
    }

    [[nodiscard]] auto wants_duty_record() const -> bool { return !duty_ || unsure_; }

    auto leave(time_point now) -> std::vector<coordinator_action> {
        auto given_up = std::vector<coordinator_action>{};
        if (duty_ && duty_->holder == self_ && duty_->run == run_ && !left_) {
            auto next = *duty_;
            next.holder = {};
            for (const auto& [name, it] : reports_) {
                if (name != self_ && now - it.first < report_life && !it.second.leaving) {
                    next = {name, it.second.run,          duty_->token + 1,
                            0,    it.second.peer_address, duty_->peer_secret};
                    break;
                }
            }
            given_up.emplace_back(write_record{duty_name, to_text(next), duty_revision_});
        }
        left_ = true;
        return given_up;
    }

    auto on_record(time_point now, const std::string& name, const std::string& value, std::uint64_t revision)
        -> void {
        if (name == duty_name) {
            on_duty(now, value, revision);
            return;
        }
        const auto id = group_of_record(name);
        const auto record = parse_primary(value);
        if (!id || !record) {
            emit(log_event::change_abandoned, name, "the record cannot be read");
            return;
        }
        auto& group = groups_[*id];
        if (revision > group.revision) {
            group.revision = revision;
            if (*record != group.record && group.phase != change_phase::steady && !group.write_pending) {
                group.phase = change_phase::steady; // another holder has written meanwhile
            }
            group.record = *record;
        }
    }

    auto on_duty(time_point now, const std::string& value, std::uint64_t revision) -> void {
        const auto record = parse_duty(value);
        if (!record || revision <= duty_revision_) {
            return;
        }
        if (!duty_ || record->token != duty_->token) {
            taken_at_ = now;
        }
        duty_ = record;
        duty_revision_ = revision;
        duty_seen_at_ = observed_since(now);
        unsure_ = false;
        if (duty_write_ && record->holder == self_ && record->run == run_ &&
            record->renewals == duty_write_->renewals && record->token == duty_write_->token) {
            // The write whose answer was lost.
            authority_until_ = std::max(authority_until_, duty_asked_at_ + duty_life);
            duty_write_.reset();
        }
    }

    auto on_written(time_point now, const std::string& name, time_point asked_at, write_outcome outcome,
                    std::uint64_t revision) -> void {
        if (name == duty_name) {
            if (outcome == write_outcome::done && duty_write_) {
                if (revision > duty_revision_) {
                    if (!duty_ || duty_->token != duty_write_->token) {
                        taken_at_ = now;
                    }
                    duty_ = *duty_write_;
                    duty_revision_ = revision;
                    duty_seen_at_ = now;
                }
                authority_until_ = std::max(authority_until_, asked_at + duty_life);
            }
            unsure_ = outcome != write_outcome::done;
            if (outcome != write_outcome::unknown) {
                duty_write_.reset();
            }
            return;
        }
        const auto id = group_of_record(name);
        if (!id || !groups_[*id].write_pending) {
            return;
        }
        auto& group = groups_[*id];
        group.write_pending = false;
        if (outcome != write_outcome::done) {
            emit(log_event::change_abandoned, id->value,
                 fmt::format("record not written: {}", name_of(outcome)));
            group.phase = change_phase::steady; // the record, once read again, says how to go on
            group.not_before = now + promotion_retry;
            return;
        }
        if (revision > group.revision) {
            group.revision = revision;
            group.record = writing_[*id];
        }
        on_group_written(now, *id, group);
    }

    auto on_group_written(time_point now, const group_id& id, group_change& group) -> void {
        group.phase_since = now;
        switch (group.phase) {
        case change_phase::writing_intent:
            begin_collecting(now, group);
            emit(log_event::change_started, id.value,
                 fmt::format("generation={} primary={} reason={}", group.record.generation,
                             group.record.primary.value, group.reason));
            break;
        case change_phase::writing_candidate:
            group.phase = change_phase::promoting;
            group.order_pending = false;
            group.order_accepted = false;
            group.ordered_at = {};
            break;
        case change_phase::writing_result:
            group.phase = change_phase::steady;
            group.not_before = group.record.generation > 1 ? now + change_pause : now;
            group.sample.reset();
            group.step_downs = step_down_orders;
            group.excluded.clear();
            emit(log_event::change_finished, id.value,
                 fmt::format("generation={} primary={} term={}", group.record.generation,
                             group.record.primary.value, group.record.term));
            break;
        default:
            break;
        }
    }

    auto on_probe(time_point now, const server_id& id, time_point asked_at, const probe_result& result)
        -> void {
        const auto it = servers_.find(id);
        if (it == servers_.end()) {
            return;
        }
        auto& server = it->second;
        server.pending = false;
        if (!result.answered) {
            server.refusals = result.refused ? server.refusals + 1 : 0;
            if (server.failed_since <= server.answered_at) {
                server.failed_since = now;
            }
            return;
        }
        server.answered_at = now;
        server.refusals = 0;
        if (!result.status) {
            return;
        }
        server.status = result.status;
        server.status_asked_at = asked_at;
        auto& group = groups_[server.entry.group];
        if (group.record.primary == id && !group.record.changing && result.status->is_primary &&
            asked_at >= group.sample_asked_at) {
            group.sample = result.status->received;
            group.sample_asked_at = asked_at;
        }
    }

    auto on_promotion(time_point now, const group_id& id, promotion_outcome outcome) -> void {
        auto& group = groups_[id];
        if (group.phase != change_phase::promoting) {
            return;
        }
        group.order_pending = false;
        emit(log_event::change_ordered, id.value,
             fmt::format("server={} outcome={}", group.candidate.value, name_of(outcome)));
        if (outcome == promotion_outcome::accepted) {
            group.order_accepted = true;
        } else if (outcome == promotion_outcome::not_running) {
            group.excluded.insert(group.candidate);
            choose_again(now, group);
        }
    }

    // State that the interface reads.
    std::optional<duty_record> duty_;
    std::map<group_id, group_change> groups_;
    std::map<server_id, known_server> servers_;
    std::map<group_id, std::uint32_t> synchronous_;
    std::map<instance_id, std::pair<time_point, instance_report>> reports_;
    std::set<instance_id> registered_;
    time_point confirmed_at_ = time_point{} - 1h; ///< of the duty
    time_point primaries_confirmed_at_ = time_point{} - 1h;

    auto listed(const std::set<instance_id>& names) -> void {
        registered_ = names;
        for (auto& [id, group] : groups_) {
            if (group.phase == change_phase::collecting && !group.expected) {
                group.expected = names;
            }
        }
    }

    [[nodiscard]] auto hears(time_point now, const instance_id& instance) const -> bool {
        const auto it = reports_.find(instance);
        return it != reports_.end() && now - it->second.first < report_life;
    }

    [[nodiscard]] auto heard(time_point now) const -> std::set<instance_id> {
        auto names = std::set<instance_id>{};
        for (const auto& [name, it] : reports_) {
            if (now - it.first < report_life) {
                names.insert(name);
            }
        }
        return names;
    }

    /// Since when the duty record is known to be as it is now: the holder may have stated it before it was
    /// read.
    [[nodiscard]] auto observed_since(time_point now) const -> time_point {
        const auto stated = duty_ && heard_token_ == duty_->token && heard_renewals_ == duty_->renewals;
        return stated ? std::min(now, heard_at_) : now;
    }

    std::uint64_t heard_token_ = 0;
    std::uint64_t heard_renewals_ = 0;
    time_point heard_at_; ///< of the last answer of the holder that stated these

private:
    auto emit(log_event event, const std::string& group, std::string detail) -> void {
        events_({name_of(event), group, std::move(detail)});
    }

    auto tick_duty(time_point now) -> void {
        if (left_) {
            return;
        }
        if (duty_write_ && now - duty_asked_at_ < write_patience) {
            return;
        }
        duty_write_.reset();
        const auto is_holder = duty_ && duty_->holder == self_ && duty_->run == run_;
        if (!is_holder && now - confirmed_at_ > confirmation_life) {
            return; // another instance may have renewed it meanwhile
        }
        if (!duty_) {
            if (now - first_confirmed_at_ >= stagger_) {
                write_duty(now, {self_, run_, 1, 1, peer_address_, fresh_secret_}, 0);
            }
            return;
        }
        if (is_holder) {
            if (now - duty_asked_at_ >= renewal_interval) {
                auto next = *duty_;
                ++next.renewals;
                write_duty(now, next, duty_revision_);
            }
            return;
        }
        // An instance of the same name is this one before its restart.
        const auto unchanged = now - duty_seen_at_;
        const auto vacant = duty_->holder.empty() && unchanged >= stagger_;
        if (duty_->holder == self_ || vacant || unchanged >= duty_life + takeover_margin + stagger_) {
            write_duty(now, {self_, run_, duty_->token + 1, 1, peer_address_, duty_->peer_secret},
                       duty_revision_);
        }
    }

    auto write_duty(time_point now, const duty_record& next, std::uint64_t expected) -> void {
        duty_write_ = next;
        duty_asked_at_ = now;
        actions_.emplace_back(write_record{duty_name, to_text(next), expected});
    }

    auto write_group(time_point now, const group_id& id, group_change& group, primary_record next,
                     change_phase phase) -> void {
        group.phase = phase;
        group.phase_since = now;
        group.write_pending = true;
        group.written_at = now;
        writing_[id] = next;
        actions_.emplace_back(write_record{record_name(id), to_text(next), group.revision});
    }

    auto probe(time_point now, const server_id& id, duration interval) -> void {
        const auto it = servers_.find(id);
        if (it != servers_.end() && !it->second.pending && now - it->second.asked_at >= interval) {
            it->second.pending = true;
            it->second.asked_at = now;
            actions_.emplace_back(probe_server{id});
        }
    }

    auto probe_others(time_point now, const group_id& id, const group_change& group, duration interval)
        -> void {
        for (const auto& [name, it] : servers_) {
            if (it.entry.group == id && name != group.record.primary) {
                probe(now, name, interval);
            }
        }
    }

    [[nodiscard]] auto find(const server_id& id) const -> const known_server* {
        const auto it = servers_.find(id);
        return it == servers_.end() ? nullptr : &it->second;
    }

    [[nodiscard]] auto is_silent(time_point now, const known_server& server) const -> bool {
        if (server.refusals >= refusals_limit) {
            return true;
        }
        const auto failing = server.failed_since > server.answered_at;
        const auto waits = server.pending && now - server.asked_at >= silence_limit / 2;
        return now - server.answered_at >= silence_limit && (failing || waits);
    }

    [[nodiscard]] auto is_successor(time_point now, const group_change& group,
                                    const known_server& server) const -> bool {
        return server.entry.id != group.record.primary && server.entry.state == server_state::ready &&
               !group.excluded.contains(server.entry.id) && server.status &&
               now - server.status_asked_at < status_life && !is_silent(now, server);
    }

    [[nodiscard]] auto has_successor(time_point now, const group_id& id, const group_change& group) const
        -> bool {
        return std::any_of(servers_.begin(), servers_.end(), [&](const auto& it) {
            return it.second.entry.group == id && is_successor(now, group, it.second);
        });
    }

    /// Votes of the instances that reported lately: how many reach the primary, and how many fail to.
    [[nodiscard]] auto votes(time_point now, const group_id& id) const
        -> std::pair<std::size_t, std::size_t> {
        auto reach = std::size_t{0};
        auto fail = std::size_t{0};
        for (const auto& [name, it] : reports_) {
            const auto& [at, report] = it;
            if (name == self_ || now - at > report_life) {
                continue;
            }
            for (const auto& group : report.groups) {
                if (group.group != id) {
                    continue;
                }
                const auto since = now - at;
                const auto reached = group.answered && *group.answered + since < reached_life;
                const auto failed = group.failed && (!group.answered || *group.failed < *group.answered) &&
                                    (!group.answered || *group.answered + since > silence_limit);
                reach += reached ? 1 : 0;
                fail += failed ? 1 : 0;
            }
        }
        return {reach, fail};
    }

    /// Why the primary should be replaced; empty if it should not.
    [[nodiscard]] auto reason_to_change(time_point now, const group_id& id, const group_change& group)
        -> std::string {
        const auto* primary = find(group.record.primary);
        const auto [reach, fail] = votes(now, id);
        if (primary == nullptr) {
            return reach > 0 ? "" : "the primary is not registered any more";
        }
        if (primary->entry.state == server_state::draining) {
            return "the primary is leaving";
        }
        if (primary->status && !primary->status->is_primary && primary->status->term > group.record.term &&
            now - primary->status_asked_at < status_life) {
            return "the primary follows another one";
        }
        if (is_silent(now, *primary) && reach <= fail) {
            return fmt::format(
                "the primary is silent for {} ms, refusals {}, reached by {} instances, not by {}",
                (now - primary->answered_at) / 1ms, primary->refusals, reach, fail);
        }
        if (fail >= 2 && fail > reach + 1) {
            return fmt::format("the primary is reached by {} instances and this one, not by {}", reach, fail);
        }
        return {};
    }

    auto tick_group(time_point now, const group_id& id, group_change& group) -> void {
        if (group.write_pending && now - group.written_at > write_patience) {
            group.write_pending = false;
            group.phase = change_phase::steady;
        }
        if (group.write_pending) {
            return;
        }
        if (group.revision == 0) {
            record_first(now, id, group);
            return;
        }
        if (group.phase == change_phase::steady) {
            tick_steady(now, id, group);
            return;
        }
        probe_others(now, id, group, suspect_probe);
        probe(now, group.record.primary, steady_probe);
        if (group.phase == change_phase::collecting) {
            tick_collecting(now, id, group);
        }
        if (group.phase == change_phase::choosing) {
            tick_choosing(now, id, group);
        }
        if (group.phase == change_phase::promoting) {
            tick_promoting(now, id, group);
        }
    }

    /// The first record of a group names the server that leads. Nobody has a permission before.
    auto record_first(time_point now, const group_id& id, group_change& group) -> void {
        auto all_known = true;
        auto any = false;
        const known_server* leader = nullptr;
        for (const auto& [name, it] : servers_) {
            if (it.entry.group != id) {
                continue;
            }
            any = true;
            probe(now, name, suspect_probe);
            all_known = all_known && it.status;
            if (it.status && it.status->is_primary &&
                (leader == nullptr || it.status->term > leader->status->term)) {
                leader = &it;
            }
        }
        if (!any) {
            group.missing_since = now;
            return;
        }
        if (leader != nullptr && (all_known || now - group.missing_since > choice_wait * 2)) {
            write_group(now, id, group, {leader->entry.id, leader->status->term, 1, false, {}},
                        change_phase::writing_result);
        }
    }

    auto tick_steady(time_point now, const group_id& id, group_change& group) -> void {
        if (group.record.changing) {
            if (now >= group.not_before) {
                // A change that another holder, or a lost answer, left behind.
                group.reason = "continued";
                begin_collecting(now, group);
            }
            return;
        }
        const auto* primary = find(group.record.primary);
        const auto suspect = primary == nullptr || primary->refusals > 0 ||
                             primary->failed_since > primary->answered_at ||
                             primary->entry.state == server_state::draining;
        probe(now, group.record.primary, suspect ? suspect_probe : steady_probe);
        if (group.step_downs > 0 && !group.old_primary.empty() && now - group.phase_since > steady_probe) {
            group.phase_since = now;
            --group.step_downs;
            if (find(group.old_primary) != nullptr) {
                actions_.emplace_back(order_step_down{group.old_primary, group.record.term});
            }
        }
        const auto reason = reason_to_change(now, id, group);
        if (suspect || !reason.empty()) {
            probe_others(now, id, group, suspect_probe);
        }
        const auto leaving = primary != nullptr && primary->entry.state == server_state::draining;
        if (reason.empty() || (now < group.not_before && !leaving) || !has_successor(now, id, group)) {
            return;
        }
        group.reason = reason;
        group.planned = leaving;
        auto next = group.record;
        ++next.generation;
        next.changing = true;
        next.candidate = {};
        write_group(now, id, group, next, change_phase::writing_intent);
    }

    auto begin_collecting(time_point now, group_change& group) -> void {
        group.phase = change_phase::collecting;
        group.phase_since = now;
        group.permissions_end =
            now + std::chrono::duration_cast<duration>(permission_life * (1 + drift_part));
        group.expected.reset();
        group.excluded.clear();
        group.listed_at = now;
        actions_.emplace_back(list_instances{});
    }

    auto tick_collecting(time_point now, const group_id& id, group_change& group) -> void {
        if (!group.expected && now - group.listed_at > list_retry) {
            group.listed_at = now;
            actions_.emplace_back(list_instances{});
        }
        const auto has_released = [&](const instance_id& name) {
            const auto it = reports_.find(name);
            return it != reports_.end() && std::any_of(it->second.second.groups.begin(),
                                                       it->second.second.groups.end(), [&](const auto& word) {
                                                           return word.group == id &&
                                                                  word.released >= group.record.generation;
                                                       });
        };
        const auto all =
            group.expected && std::all_of(group.expected->begin(), group.expected->end(), has_released);
        if (!all && now < group.permissions_end) {
            return;
        }
        auto missing = std::string{group.expected ? "" : " unknown"};
        for (const auto& name : group.expected.value_or(std::set<instance_id>{})) {
            missing += has_released(name) ? "" : " " + name.value;
        }
        emit(log_event::change_released, id.value,
             fmt::format("generation={} by={} waited_ms={} missing={}", group.record.generation,
                         all ? "answers" : "expiry", (now - group.phase_since) / 1ms,
                         missing.empty() ? "none" : missing.substr(1)));
        group.phase = change_phase::choosing;
        group.phase_since = now;
    }

    auto choose_again(time_point now, group_change& group) -> void {
        group.phase = change_phase::choosing;
        group.phase_since = now;
        group.candidate = {};
    }

    [[nodiscard]] auto acknowledged(const group_id& id) const -> position {
        auto newest = position{};
        for (const auto& [name, it] : reports_) {
            for (const auto& word : it.second.groups) {
                if (word.group == id && word.acknowledged) {
                    newest = std::max(newest, *word.acknowledged);
                }
            }
        }
        return newest;
    }

    auto tick_choosing(time_point now, const group_id& id, group_change& group) -> void {
        // A successor that the record names may have been promoted already.
        if (!group.record.candidate.empty() && !group.excluded.contains(group.record.candidate) &&
            find(group.record.candidate) != nullptr) {
            group.candidate = group.record.candidate;
            group.phase = change_phase::promoting;
            group.phase_since = now;
            group.order_pending = false;
            group.order_accepted = false;
            group.ordered_at = {};
            return;
        }
        auto all_fresh = true;
        const known_server* best = nullptr;
        for (const auto& [name, it] : servers_) {
            if (it.entry.group != id || name == group.record.primary ||
                it.entry.state != server_state::ready) {
                continue;
            }
            const auto fresh = it.status && it.status_asked_at >= group.phase_since;
            all_fresh = all_fresh && (fresh || group.excluded.contains(name));
            if (!is_successor(now, group, it)) {
                continue;
            }
            const auto leads = it.status->is_primary && it.status->term > group.record.term;
            const auto best_leads =
                best != nullptr && best->status->is_primary && best->status->term > group.record.term;
            if (best == nullptr || (leads && !best_leads) ||
                (leads == best_leads && it.status->received > best->status->received)) {
                best = &it;
            }
        }
        const auto waited = now - group.phase_since;
        if (best == nullptr || (!all_fresh && waited < choice_wait)) {
            if (best == nullptr && waited > catch_up_wait) {
                group.excluded.clear();
            }
            return;
        }
        const auto it = synchronous_.find(id);
        const auto keeps_all = group.planned || (it != synchronous_.end() && it->second > 0);
        if (keeps_all && best->status->received < acknowledged(id) && waited < catch_up_wait) {
            return;
        }
        group.candidate = best->entry.id;
        auto next = group.record;
        next.candidate = group.candidate;
        write_group(now, id, group, next, change_phase::writing_candidate);
    }

    auto tick_promoting(time_point now, const group_id& id, group_change& group) -> void {
        const auto* server = find(group.candidate);
        probe(now, group.candidate, leading_probe);
        if (server != nullptr && server->status && server->status->is_primary &&
            server->status->term > group.record.term) {
            group.old_primary = group.record.primary;
            write_group(now, id, group,
                        {group.candidate, server->status->term, group.record.generation, false, {}},
                        change_phase::writing_result);
            return;
        }
        if (server == nullptr || (is_silent(now, *server) && now - group.phase_since > silence_limit)) {
            group.excluded.insert(group.candidate);
            choose_again(now, group);
            return;
        }
        const auto due = !group.order_accepted ? now - group.ordered_at >= promotion_retry
                                               : now - group.ordered_at >= promotion_limit;
        if (!group.order_pending && due) {
            group.order_pending = true;
            group.order_accepted = false;
            group.ordered_at = now;
            actions_.emplace_back(order_promotion{id, group.candidate, duty_->token});
        }
    }

    instance_id self_;
    incarnation run_;
    std::string peer_address_;
    std::string fresh_secret_;
    event_sink events_;
    duration stagger_; ///< wait before a vacant duty is taken, so that not all instances try at once
    std::vector<coordinator_action> actions_;
    std::map<group_id, primary_record> writing_;
    std::optional<duty_record> duty_write_;
    std::uint64_t duty_revision_ = 0;
    time_point duty_asked_at_;
    time_point authority_until_;
    time_point taken_at_; ///< the present holder was first seen
    bool unsure_ = false; ///< the last write to the duty may have been done
    bool held_ = false;
    bool left_ = false;

public:
    time_point first_confirmed_at_;
    time_point duty_seen_at_; ///< since when the record is known to be unchanged
};

primary_coordinator::primary_coordinator(instance_id self, incarnation run, std::string peer_address,
                                         std::string fresh_secret, duration reluctance, event_sink events)
    : impl_{std::make_unique<implementation>(std::move(self), run, std::move(peer_address),
                                             std::move(fresh_secret), reluctance, std::move(events))} {}

primary_coordinator::~primary_coordinator() = default;

auto primary_coordinator::on_record(time_point now, const std::string& name, const std::string& value,
                                    std::uint64_t revision) -> void {
    impl_->on_record(now, name, value, revision);
}

auto primary_coordinator::on_record_removed(time_point /*now*/, const std::string& name) -> void {
    const auto id = group_of_record(name);
    if (id) {
        impl_->groups_.erase(*id);
    }
}

auto primary_coordinator::on_primaries_confirmed(time_point asked_at) -> void {
    impl_->primaries_confirmed_at_ = std::max(impl_->primaries_confirmed_at_, asked_at);
}

auto primary_coordinator::wants_duty_record() const -> bool {
    return impl_->wants_duty_record();
}

auto primary_coordinator::wants_primaries(time_point now) const -> bool {
    return impl_->wants_primaries(now);
}

auto primary_coordinator::on_duty_confirmed(time_point now, time_point asked_at) -> void {
    if (impl_->confirmed_at_ < time_point{}) {
        impl_->first_confirmed_at_ = now;
    }
    if (now - impl_->confirmed_at_ > confirmation_life) {
        // Whether it was renewed between the last reading and this one is not known.
        impl_->duty_seen_at_ = impl_->observed_since(now);
    }
    impl_->confirmed_at_ = std::max(impl_->confirmed_at_, asked_at);
}

auto primary_coordinator::set_servers(time_point now, const std::vector<backend_server>& servers) -> void {
    auto next = std::map<server_id, known_server>{};
    for (const auto& it : servers) {
        auto& entry = next[it.id];
        const auto known = impl_->servers_.find(it.id);
        if (known != impl_->servers_.end() && known->second.entry.started_ms == it.started_ms) {
            entry = known->second;
        } else {
            entry.answered_at = now; // silence counts from its registration
        }
        entry.entry = it;
        impl_->groups_.try_emplace(it.group);
    }
    impl_->servers_ = std::move(next);
}

auto primary_coordinator::set_groups(const std::map<group_id, server_group>& groups) -> void {
    impl_->synchronous_.clear();
    for (const auto& [id, group] : groups) {
        impl_->synchronous_[id] = group.synchronous_replicas;
    }
}

auto primary_coordinator::on_instances(time_point /*now*/, const std::set<instance_id>& registered) -> void {
    impl_->listed(registered);
}

auto primary_coordinator::on_report(time_point now, const instance_report& report) -> void {
    impl_->reports_.insert_or_assign(report.instance, std::pair{now, report});
}

auto primary_coordinator::on_probe(time_point now, const server_id& server, time_point asked_at,
                                   const probe_result& result) -> void {
    impl_->on_probe(now, server, asked_at, result);
}

auto primary_coordinator::on_written(time_point now, const std::string& name, time_point asked_at,
                                     write_outcome outcome, std::uint64_t revision) -> void {
    impl_->on_written(now, name, asked_at, outcome, revision);
}

auto primary_coordinator::on_promotion(time_point now, const group_id& group, promotion_outcome outcome)
    -> void {
    impl_->on_promotion(now, group, outcome);
}

auto primary_coordinator::on_tick(time_point now) -> std::vector<coordinator_action> {
    return impl_->tick(now);
}

auto primary_coordinator::on_holder_heard(time_point asked_at, std::uint64_t token, std::uint64_t renewals)
    -> void {
    impl_->heard_token_ = token;
    impl_->heard_renewals_ = renewals;
    impl_->heard_at_ = asked_at;
}

auto primary_coordinator::leave(time_point now) -> std::vector<coordinator_action> {
    return impl_->leave(now);
}

auto primary_coordinator::holds_duty(time_point now) const -> bool {
    return impl_->holds_duty(now);
}

auto primary_coordinator::duty() const -> const std::optional<duty_record>& {
    return impl_->duty_;
}

auto primary_coordinator::record_of(const group_id& group) const -> std::optional<primary_record> {
    const auto it = impl_->groups_.find(group);
    return it == impl_->groups_.end() || it->second.revision == 0 ? std::nullopt
                                                                  : std::optional{it->second.record};
}

auto primary_coordinator::records() const -> std::map<group_id, primary_record> {
    auto found = std::map<group_id, primary_record>{};
    for (const auto& [id, it] : impl_->groups_) {
        if (it.revision != 0) {
            found[id] = it.record;
        }
    }
    return found;
}

auto primary_coordinator::registered() const -> std::uint32_t {
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, impl_->registered_.size()));
}

auto primary_coordinator::heard(time_point now) const -> std::set<instance_id> {
    return impl_->heard(now);
}

auto primary_coordinator::hears(time_point now, const instance_id& instance) const -> bool {
    return impl_->hears(now, instance);
}

auto primary_coordinator::sample_of(const group_id& group) const
    -> std::optional<std::pair<time_point, position>> {
    const auto it = impl_->groups_.find(group);
    return it == impl_->groups_.end() || !it->second.sample
               ? std::nullopt
               : std::optional{std::pair{it->second.sample_asked_at, *it->second.sample}};
}

} // namespace citronlug
