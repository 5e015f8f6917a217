#include <citronlug/primary_coordinator.h>

#include <citronlug/acknowledged_writes.h>
#include <citronlug/confirming_servers.h>
#include <citronlug/log_events.h>
#include <citronlug/store_history.h>

#include <fmt/format.h>

#include <algorithm>

namespace citronlug {

namespace {

/// Three renewals of the lease fit into its duration.
constexpr auto renewal_interval = duration{900ms};
/// Another instance takes the lease over this long after it has expired, as counted from when that instance
/// first observed the last renewal.
constexpr auto takeover_margin = duration{500ms};
/// Instances spread their attempts to take the lease over across this span.
constexpr auto takeover_spread = duration{200ms};
/// The lease is not taken over without a reading of its record from the store that is at most this old.
constexpr auto confirmation_validity = duration{2s};
/// A write without an answer by then is abandoned; reading the record shows whether it took effect.
constexpr auto write_timeout = duration{1500ms};
/// Maximum relative drift between the clocks of two machines during the lifetime of a permission.
constexpr auto max_clock_drift_fraction = 0.06;

constexpr auto steady_probe_interval = duration{500ms};
constexpr auto suspect_probe_interval = duration{120ms};
constexpr auto promotion_probe_interval = duration{60ms};
/// A server that has not answered for this time, on an existing or a new connection, is considered failed.
constexpr auto unresponsive_timeout = duration{1100ms};
/// After this many consecutively refused connections, the process of the server is considered terminated.
constexpr auto refusal_threshold = std::uint32_t{3};
/// Reports of instances are used for this time.
constexpr auto report_validity = duration{1s};
/// An instance that reached the primary within this time counts as evidence that the primary is alive.
constexpr auto reachability_validity = duration{600ms};
/// Maximum age of the status of a replica that is eligible as successor.
constexpr auto status_validity = duration{1500ms};
/// Maximum wait for the statuses of all replicas before the successor is chosen.
constexpr auto status_wait = duration{250ms};
/// Maximum wait for a replica that has all acknowledged writes, if the old primary was draining, no longer
/// answers and replicates asynchronously.
constexpr auto catch_up_timeout = duration{1500ms};
/// Maximum wait for a replica that keeps up with a draining primary before the change begins. Callers are
/// served meanwhile.
constexpr auto keep_up_timeout = duration{2s};
/// The same for a primary in an evacuated failure domain. A quarter of the usual time until the stop, so that
/// the change can still ask the old primary for its position.
constexpr auto evacuation_keep_up_timeout = duration{500ms};
constexpr auto promotion_retry_interval = duration{200ms};
/// An order without an answer by then is cancelled.
constexpr auto promotion_answer_timeout = duration{1s};
/// No order is sent this shortly before the lease ends; the lease is renewed first.
constexpr auto min_order_lifetime = duration{200ms};
/// An accepted promotion is ordered again if the server does not lead by then.
constexpr auto promotion_timeout = duration{2500ms};
/// Minimum time between two changes of primary in a group, unless the primary is draining.
constexpr auto change_cooldown = duration{3s};
constexpr auto list_retry_interval = duration{300ms};
/// Interval of checks whether the confirming servers in a group's record are still right.
constexpr auto confirming_check_interval = duration{500ms};
/// After the store came back older, its list of instances may lack some for this time: they register within
/// `registration_spread`, and what they were permitted before lapses in `permission_lifetime`; the rest
/// covers drift and failed writes.
constexpr auto registration_recovery = registration_spread + permission_lifetime + duration{1s};
/// Number of orders to step down sent to a superseded primary, one per probe interval.
constexpr auto step_down_attempts = std::uint32_t{10};

enum class change_phase {
    steady,
    writing_intent,
    awaiting_release,
    choosing_successor,
    writing_candidate,
    promoting,
    writing_result,
    writing_restored, ///< over a restored or missing record
    writing_confirming_servers
};

struct tracked_server {
    backend_server entry;
    time_point asked_at;
    bool pending = false;
    time_point answered_at;
    time_point failed_since; ///< first failure after the last answer
    std::uint32_t refusals = 0;
    std::optional<server_status> status;
    time_point status_asked_at;
};

struct coordinated_group {
    primary_record record;
    std::uint64_t revision = 0;        ///< 0: the store has no record, as far as is known
    bool is_carried = false;           ///< `record` is known although the store may have lost it
    std::uint64_t generation_step = 1; ///< to the next change
    change_phase phase = change_phase::steady;
    std::string reason;
    bool planned = false;
    bool for_evacuation = false; ///< begun here, because the primary's failure domain was evacuated
    time_point phase_since;
    time_point permissions_end;
    std::optional<std::set<instance_id>> awaited_instances;
    bool all_released = false; ///< all instances have reported that they released their permissions
    acknowledged_writes acknowledged;
    /// The write of a result begins a term, and no acknowledged write before is newer than this, unless a
    /// report stated it.
    std::optional<position> term_begins_after;
    /// Instances whose reports state all that they acknowledged before the change under way.
    std::set<instance_id> witnesses;
    bool all_are_witnesses = false;
    confirming_servers confirming;
    time_point confirming_checked_at;
    time_point draining_since; ///< when the primary was first seen draining; zero if it is not
    bool is_waiting_logged = false;
    time_point list_requested_at;
    std::set<server_id> excluded;
    server_id candidate;
    bool candidate_chosen_here = false; ///< no other coordinator can have ordered it to lead
    server_id dropped_candidate;        ///< evacuated before it was ordered to lead
    time_point ordered_at;
    bool order_pending = false;
    bool order_accepted = false;
    time_point not_before;
    bool write_pending = false;
    time_point written_at;
    std::optional<position> sample;
    time_point sample_asked_at;
    server_id old_primary; ///< to be stepped down
    std::uint32_t step_downs_left = 0;
    time_point missing_since;

    [[nodiscard]] auto has_record() const -> bool { return revision != 0 || is_carried; }
};

} // namespace

class primary_coordinator::implementation {
public:
    implementation(instance_id self, incarnation run, std::string peer_address, std::string new_secret,
                   duration acquisition_delay, event_sink events)
        : self_{std::move(self)}
        , run_{run}
        , peer_address_{std::move(peer_address)}
        , new_secret_{std::move(new_secret)}
        , events_{std::move(events)}
        , acquisition_delay_{acquisition_delay +
                             std::chrono::milliseconds{std::hash<std::string>{}(self_.value) %
                                                       static_cast<std::size_t>(takeover_spread / 1ms)}} {}

    auto tick(time_point now) -> std::vector<coordinator_action> {
        actions_.clear();
        tick_lease(now);
        const auto coordinating = is_coordinating(now);
        if (coordinating != was_coordinating_) {
            if (coordinating && needs_collection()) {
                collecting_until_ = now + record_collection_time;
                registrations_complete_at_ = now + registration_recovery;
            }
            took_restored_lease_ = took_restored_lease_ && !coordinating;
            was_coordinating_ = coordinating;
            emit(coordinating ? log_event::duty_taken : log_event::duty_lost, {},
                 fmt::format("token={} renewals={}", lease_ ? lease_->fencing_token : 0,
                             lease_ ? lease_->renewals : 0));
            if (!coordinating) {
                cancel_orders(actions_);
                for (auto& [id, group] : groups_) {
                    group.phase = change_phase::steady;
                    group.write_pending = false;
                }
            }
        }
        if (coordinating && !is_collecting(now)) {
            for (auto& [id, group] : groups_) {
                tick_group(now, id, group);
            }
        }
        return std::move(actions_);
    }

    [[nodiscard]] auto has_valid_lease(time_point now) const -> bool {
        return lease_ && lease_->holder == self_ && lease_->run == run_ && now < lease_valid_until_ &&
               !has_left_;
    }

    // The previous holder may have changed a primary record just before; this instance must not act on an
    // older one.
    [[nodiscard]] auto is_coordinating(time_point now) const -> bool {
        return has_valid_lease(now) && primaries_confirmed_at_ >= holder_since_;
    }

    [[nodiscard]] auto needs_primaries(time_point now) const -> bool {
        return has_valid_lease(now) && primaries_confirmed_at_ < holder_since_;
    }

    [[nodiscard]] auto needs_lease_record() const -> bool {
        return !lease_ || lease_write_uncertain_ ||
               (is_lease_restored_ && lease_confirmed_at_ < time_point{});
    }

    auto on_store_era(time_point now, std::uint64_t era, bool restored) -> void {
        era_ = era;
        if (!restored) {
            return;
        }
        era_since_ = now;
        registrations_complete_at_ = now + registration_recovery;
        is_lease_restored_ = true;
        lease_revision_ = 0;
        lease_confirmed_at_ = time_point{} - 1h;
        lease_unchanged_since_ = now;
        lease_requested_at_ = now - renewal_interval;
        pending_lease_.reset();
        lease_write_uncertain_ = false;
        for (auto& [id, group] : groups_) {
            group.is_carried = group.has_record();
            group.revision = 0;
            group.phase = change_phase::steady; // continued from the record once it is written again
            group.write_pending = false;
        }
    }

    /// True if the records in the store may lack changes that other instances know.
    [[nodiscard]] auto needs_collection() const -> bool {
        return took_restored_lease_ || std::any_of(groups_.begin(), groups_.end(), [&](const auto& it) {
                   return it.second.has_record() && is_restored(it.second.record.era, era_);
               });
    }

    [[nodiscard]] auto is_collecting(time_point now) const -> bool {
        return is_coordinating(now) &&
               (now < collecting_until_ || (!was_coordinating_ && needs_collection()));
    }

    auto on_record_removed(const group_id& id) -> void {
        const auto it = groups_.find(id);
        if (it == groups_.end()) {
            return;
        }
        // The first listing after the store came back older lacks records that still count.
        if (it->second.has_record() && primaries_confirmed_at_ < era_since_) {
            it->second.is_carried = true;
            it->second.revision = 0;
            return;
        }
        groups_.erase(it);
    }

    /// The record with the highest generation among the store and the reports counts.
    auto on_known_records(const std::vector<known_record>& records) -> void {
        for (const auto& it : records) {
            auto& group = groups_[it.group];
            if (it.record.generation > group.record.generation) {
                group.is_carried = group.is_carried || group.revision == 0;
                group.record = it.record;
                group.record.era = 0; // to be written again
            }
        }
    }

    /// The instance that the lease is handed over to: the one with the most processor time, because all
    /// instances connect to the next coordinator at once; among equals the one that started last, because a
    /// restart of the whole fleet in turn has passed it already. Null if no instance reported recently.
    [[nodiscard]] auto choose_heir(time_point now) const -> const instance_report* {
        const instance_report* best = nullptr;
        for (const auto& [name, it] : reports_) {
            const auto& [at, report] = it;
            if (name == self_ || report.leaving || now - at >= report_validity) {
                continue;
            }
            if (best == nullptr || report.processor_share > best->processor_share ||
                (report.processor_share == best->processor_share && report.running_for < best->running_for)) {
                best = &report;
            }
        }
        return best;
    }

    auto leave(time_point now) -> std::vector<coordinator_action> {
        auto actions = std::vector<coordinator_action>{};
        cancel_orders(actions);
        if (lease_ && lease_->holder == self_ && lease_->run == run_ && !has_left_) {
            auto next = *lease_;
            next.holder = {};
            if (const auto* heir = choose_heir(now)) {
                next = {heir->instance,     heir->run,          lease_->fencing_token + 1, 0,
                        heir->peer_address, lease_->peer_secret};
            }
            next.era = era_;
            actions.emplace_back(write_record{coordinator_lease_name, to_text(next), lease_revision_});
        }
        has_left_ = true;
        return actions;
    }

    auto on_record(time_point now, const std::string& name, const std::string& value, std::uint64_t revision)
        -> void {
        if (name == coordinator_lease_name) {
            on_lease_record(now, value, revision);
            return;
        }
        const auto id = group_of_record(name);
        const auto record = parse_primary(value);
        if (!id || !record) {
            emit(log_event::change_abandoned, name, "the primary record is not valid");
            return;
        }
        auto& group = groups_[*id];
        if (revision > group.revision) {
            const auto counts =
                era_ != 0 && group.has_record() ? newer_primary(group.record, *record, era_) : *record;
            group.revision = revision;
            group.is_carried = false;
            if (counts != group.record && group.phase != change_phase::steady && !group.write_pending) {
                group.phase = change_phase::steady; // another coordinator has written it
            }
            group.record = counts;
        }
    }

    auto on_lease_record(time_point now, const std::string& value, std::uint64_t revision) -> void {
        auto record = parse_coordinator_lease(value);
        if (!record || revision <= lease_revision_) {
            return;
        }
        highest_token_ = std::max(highest_token_, record->fencing_token);
        const auto is_copy = is_restored(record->era, era_);
        if (lease_ && is_superseded(*record, *lease_, has_valid_lease(now), era_)) {
            lease_revision_ = revision; // the holder writes its lease again over this record
            lease_unchanged_since_ = now;
            lease_write_uncertain_ = false;
            is_lease_restored_ = true;
            return;
        }
        if (lease_ && is_copy) {
            record->peer_secret = lease_->peer_secret; // the one that the instances use
        }
        is_lease_restored_ = is_copy;
        if (!lease_ || record->fencing_token != lease_->fencing_token) {
            holder_since_ = now;
        }
        lease_ = record;
        lease_revision_ = revision;
        lease_unchanged_since_ = observed_since(now);
        lease_write_uncertain_ = false;
        if (pending_lease_ && record->holder == self_ && record->run == run_ &&
            record->renewals == pending_lease_->renewals && record->era == pending_lease_->era &&
            record->fencing_token == pending_lease_->fencing_token) {
            // The pending write took effect although its answer was lost.
            lease_valid_until_ =
                std::max(lease_valid_until_, lease_requested_at_ + coordinator_lease_duration);
            pending_lease_.reset();
        }
    }

    auto on_written(time_point now, const std::string& name, time_point asked_at, write_outcome outcome,
                    std::uint64_t revision) -> void {
        if (name == coordinator_lease_name) {
            if (outcome == write_outcome::done && pending_lease_) {
                if (revision > lease_revision_) {
                    if (!lease_ || lease_->fencing_token != pending_lease_->fencing_token) {
                        holder_since_ = now;
                    }
                    lease_ = *pending_lease_;
                    highest_token_ = std::max(highest_token_, lease_->fencing_token);
                    is_lease_restored_ = false;
                    lease_revision_ = revision;
                    lease_unchanged_since_ = now;
                }
                lease_valid_until_ = std::max(lease_valid_until_, asked_at + coordinator_lease_duration);
            }
            lease_write_uncertain_ = outcome != write_outcome::done;
            if (outcome != write_outcome::unknown) {
                pending_lease_.reset();
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
                 fmt::format("the primary record was not written: {}", name_of(outcome)));
            group.phase = change_phase::steady; // continued from the record once it has been read again
            group.not_before = now + promotion_retry_interval;
            return;
        }
        if (revision > group.revision) {
            group.revision = revision;
            group.is_carried = false;
            group.record = pending_records_[*id];
        }
        on_group_written(now, *id, group);
    }

    auto on_group_written(time_point now, const group_id& id, coordinated_group& group) -> void {
        group.phase_since = now;
        switch (group.phase) {
        case change_phase::writing_intent:
            begin_release(now, group);
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
            if (group.term_begins_after) {
                group.acknowledged.begin_term(group.written_at, *group.term_begins_after);
            }
            group.phase = change_phase::steady;
            group.not_before = group.record.generation > 1 ? now + change_cooldown : now;
            group.sample.reset();
            group.step_downs_left = group.old_primary == group.record.primary ? 0 : step_down_attempts;
            group.excluded.clear();
            emit(log_event::change_finished, id.value,
                 fmt::format("generation={} primary={} term={} history=[{}]", group.record.generation,
                             group.record.primary.value, group.record.term, to_text(group.record.history)));
            break;
        case change_phase::writing_restored:
        case change_phase::writing_confirming_servers:
            group.phase = change_phase::steady;
            break;
        default:
            break;
        }
    }

    auto on_probe_deferred(const server_id& id) -> void {
        const auto it = servers_.find(id);
        if (it != servers_.end()) {
            it->second.pending = false;
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
        if (group.record.primary != id || !result.status->is_primary ||
            result.status->term != group.record.term) {
            return;
        }
        if (is_synchronous(server.entry.group)) {
            group.acknowledged.on_primary_position(asked_at, result.status->received, runs_);
        }
        if (!group.record.changing && asked_at >= group.sample_asked_at) {
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
            restart_choice(now, group);
        }
    }

    // State that the public interface accesses.
    std::optional<coordinator_lease> lease_;
    std::map<group_id, coordinated_group> groups_;
    std::map<server_id, tracked_server> servers_;
    std::map<group_id, std::uint32_t> synchronous_replicas_;
    bool knows_groups_ = false; ///< `synchronous_replicas_` is as in the rules
    std::map<instance_id, std::pair<time_point, instance_report>> reports_;
    instance_runs runs_;
    std::set<instance_id> registered_;
    time_point lease_confirmed_at_ = time_point{} - 1h; ///< when the record was last read
    time_point primaries_confirmed_at_ = time_point{} - 1h;
    evacuation_view evacuations_;

    auto set_evacuations(time_point now, const evacuation_view& view) -> void {
        for (auto& [id, it] : servers_) {
            if (evacuations_.is_stopped(it.entry) && !view.is_stopped(it.entry)) {
                // It was not asked meanwhile, so its silence means nothing.
                it.answered_at = now;
                it.refusals = 0;
                it.pending = false;
            }
        }
        evacuations_ = view;
    }

    auto on_registered(const std::set<instance_id>& names) -> void {
        registered_ = names;
        for (auto& [id, group] : groups_) {
            if (group.phase == change_phase::awaiting_release && !group.awaited_instances) {
                group.awaited_instances = names;
            }
        }
    }

    auto on_report(time_point now, const instance_report& report) -> void {
        reports_.insert_or_assign(report.instance, std::pair{now, report});
        runs_.on_report(now, report.instance, report.run);
        on_token_seen(now, report.highest_fencing_token);
        if (is_collecting(now)) {
            on_known_records(report.known_records);
        }
        // Kept apart from the reports because those of a restarted instance lack its earlier writes.
        for (const auto& it : report.groups) {
            const auto known = groups_.find(it.group);
            if (known == groups_.end() || !it.acknowledged) {
                continue;
            }
            auto& group = known->second;
            group.acknowledged.on_reported(*it.acknowledged);
        }
    }

    /// Of two leases, the one with the higher token counts; the holder of the lower one gives up.
    auto on_token_seen(time_point now, std::uint64_t token) -> void {
        highest_token_ = std::max(highest_token_, token);
        if (era_ != 0 && has_valid_lease(now) && token > lease_->fencing_token) {
            lease_valid_until_ = {};
            is_lease_restored_ = true;
            lease_unchanged_since_ = now;
        }
    }

    [[nodiscard]] auto has_reported_recently(time_point now, const instance_id& instance) const -> bool {
        const auto it = reports_.find(instance);
        return it != reports_.end() && now - it->second.first < report_validity;
    }

    [[nodiscard]] auto recent_reporters(time_point now) const -> std::set<instance_id> {
        auto names = std::set<instance_id>{};
        for (const auto& [name, it] : reports_) {
            if (now - it.first < report_validity) {
                names.insert(name);
            }
        }
        return names;
    }

    /// Since when the lease record is known to be unchanged: the holder may have confirmed the same values
    /// before the record was read.
    [[nodiscard]] auto observed_since(time_point now) const -> time_point {
        const auto confirmed_by_holder = lease_ && !is_lease_restored_ &&
                                         answered_token_ == lease_->fencing_token &&
                                         answered_renewals_ == lease_->renewals;
        return confirmed_by_holder ? std::min(now, answered_request_at_) : now;
    }

    std::uint64_t answered_token_ = 0;
    std::uint64_t answered_renewals_ = 0;
    time_point answered_request_at_; ///< when the report was sent that the holder answered with these

private:
    auto emit(log_event event, const std::string& group, std::string detail) -> void {
        events_({name_of(event), group, std::move(detail)});
    }

    /// Orders may not take effect under the next holder of the lease.
    auto cancel_orders(std::vector<coordinator_action>& actions) -> void {
        if (std::any_of(groups_.begin(), groups_.end(),
                        [](const auto& it) { return it.second.order_pending; })) {
            actions.emplace_back(cancel_promotions{});
        }
    }

    auto tick_lease(time_point now) -> void {
        if (has_left_) {
            return;
        }
        if (pending_lease_ && now - lease_requested_at_ < write_timeout) {
            return;
        }
        pending_lease_.reset();
        // A restored copy gives the lease to nobody; its holder keeps it until it ends by time.
        const auto is_holder = lease_ && lease_->holder == self_ && lease_->run == run_ &&
                               (!is_lease_restored_ || now < lease_valid_until_);
        if (is_lease_restored_ && lease_confirmed_at_ < time_point{}) {
            return; // the revision of the record is not known
        }
        if (!is_holder && now - lease_confirmed_at_ > confirmation_validity) {
            return; // the holder may have renewed it since the last reading
        }
        // A store of era 1 has never come back older, so a missing record was never written.
        if (!is_holder && (is_lease_restored_ || (!lease_ && era_ > 1))) {
            if (now - std::max(lease_unchanged_since_, lease_first_confirmed_at_) >=
                coordinator_lease_duration + takeover_margin + acquisition_delay_) {
                const auto known = std::max(highest_token_, lease_ ? lease_->fencing_token : 0);
                took_restored_lease_ = true;
                write_lease(now,
                            {self_, run_, known + restored_number_step, 1, peer_address_,
                             lease_ ? lease_->peer_secret : new_secret_},
                            lease_revision_);
            }
            return;
        }
        if (!lease_) {
            if (now - lease_first_confirmed_at_ >= acquisition_delay_) {
                write_lease(now, {self_, run_, 1, 1, peer_address_, new_secret_}, 0);
            }
            return;
        }
        if (is_holder) {
            if (now - lease_requested_at_ >= renewal_interval) {
                auto next = *lease_;
                ++next.renewals;
                write_lease(now, next, lease_revision_);
            }
            return;
        }
        // A lease of the same instance id but another run was held before a restart, so it is taken over at
        // once.
        const auto unchanged = now - lease_unchanged_since_;
        const auto vacant = lease_->holder.empty() && unchanged >= acquisition_delay_;
        if (lease_->holder == self_ || vacant ||
            unchanged >= coordinator_lease_duration + takeover_margin + acquisition_delay_) {
            write_lease(now, {self_, run_, lease_->fencing_token + 1, 1, peer_address_, lease_->peer_secret},
                        lease_revision_);
        }
    }

    auto write_lease(time_point now, coordinator_lease next, std::uint64_t expected) -> void {
        next.era = era_;
        pending_lease_ = next;
        lease_requested_at_ = now;
        actions_.emplace_back(write_record{coordinator_lease_name, to_text(next), expected});
    }

    auto write_group(time_point now, const group_id& id, coordinated_group& group, primary_record next,
                     change_phase phase) -> void {
        next.era = era_;
        group.phase = phase;
        group.phase_since = now;
        group.write_pending = true;
        group.written_at = now;
        pending_records_[id] = next;
        actions_.emplace_back(write_record{primary_record_name(id), to_text(next), group.revision});
    }

    auto probe(time_point now, const server_id& id, duration interval) -> void {
        const auto it = servers_.find(id);
        if (it != servers_.end() && !evacuations_.is_stopped(it->second.entry) && !it->second.pending &&
            now - it->second.asked_at >= interval) {
            it->second.pending = true;
            it->second.asked_at = now;
            actions_.emplace_back(probe_server{id});
        }
    }

    auto probe_others(time_point now, const group_id& id, const coordinated_group& group, duration interval)
        -> void {
        for (const auto& [name, it] : servers_) {
            if (it.entry.group == id && name != group.record.primary) {
                probe(now, name, interval);
            }
        }
    }

    [[nodiscard]] auto find(const server_id& id) const -> const tracked_server* {
        const auto it = servers_.find(id);
        return it == servers_.end() ? nullptr : &it->second;
    }

    [[nodiscard]] auto is_evacuated(const server_id& id) const -> bool {
        const auto* server = find(id);
        return server != nullptr && evacuations_.is_evacuated(server->entry);
    }

    [[nodiscard]] auto is_stopped(const server_id& id) const -> bool {
        const auto* server = find(id);
        return server != nullptr && evacuations_.is_stopped(server->entry);
    }

    [[nodiscard]] auto is_unresponsive(time_point now, const tracked_server& server) const -> bool {
        if (server.refusals >= refusal_threshold) {
            return true;
        }
        const auto failing = server.failed_since > server.answered_at;
        const auto overdue = server.pending && now - server.asked_at >= unresponsive_timeout / 2;
        return now - server.answered_at >= unresponsive_timeout && (failing || overdue);
    }

    /// Not a server whose log is not in the history: it would restore entries that were rolled back.
    [[nodiscard]] auto is_eligible_successor(time_point now, const coordinated_group& group,
                                             const tracked_server& server) const -> bool {
        return server.entry.id != group.record.primary && !group.excluded.contains(server.entry.id) &&
               !evacuations_.is_evacuated(server.entry) && server.status &&
               group.record.history.contains(server.status->received) &&
               now - server.status_asked_at < status_validity && !is_unresponsive(now, server);
    }

    [[nodiscard]] auto has_eligible_successor(time_point now, const group_id& id,
                                              const coordinated_group& group) const -> bool {
        return std::any_of(servers_.begin(), servers_.end(), [&](const auto& it) {
            const auto& server = it.second;
            return server.entry.group == id &&
                   (server.entry.state == server_state::ready || is_synchronous(id)) &&
                   is_eligible_successor(now, group, server);
        });
    }

    /// True if a server that is ready has received what the primary had when it was asked before.
    [[nodiscard]] auto is_followed(time_point now, const group_id& id, const coordinated_group& group) const
        -> bool {
        return !group.sample || std::any_of(servers_.begin(), servers_.end(), [&](const auto& it) {
            const auto& server = it.second;
            return server.entry.group == id && server.entry.state == server_state::ready &&
                   is_eligible_successor(now, group, server) &&
                   group.record.history.covers(server.status->received, *group.sample);
        });
    }

    /// Counts the other instances with recent reports by whether they reach the primary: reachable,
    /// unreachable.
    [[nodiscard]] auto reachability_votes(time_point now, const group_id& id) const
        -> std::pair<std::size_t, std::size_t> {
        auto reachable = std::size_t{0};
        auto unreachable = std::size_t{0};
        for (const auto& [name, it] : reports_) {
            const auto& [at, report] = it;
            if (name == self_ || now - at > report_validity) {
                continue;
            }
            for (const auto& group : report.groups) {
                if (group.group != id) {
                    continue;
                }
                const auto since = now - at;
                const auto reached =
                    group.since_answer && *group.since_answer + since < reachability_validity;
                const auto failed =
                    group.since_failure &&
                    (!group.since_answer || *group.since_failure < *group.since_answer) &&
                    (!group.since_answer || *group.since_answer + since > unresponsive_timeout);
                reachable += reached ? 1 : 0;
                unreachable += failed ? 1 : 0;
            }
        }
        return {reachable, unreachable};
    }

    /// Reason to replace the primary; empty if there is none.
    [[nodiscard]] auto reason_to_change(time_point now, const group_id& id, const coordinated_group& group)
        -> std::string {
        const auto* primary = find(group.record.primary);
        const auto [reachable, unreachable] = reachability_votes(now, id);
        if (primary == nullptr) {
            return reachable > 0 ? "" : "the primary is no longer registered";
        }
        if (primary->entry.state == server_state::draining) {
            return "the primary is draining";
        }
        if (evacuations_.is_evacuated(primary->entry)) {
            return "the failure domain of the primary is evacuated";
        }
        if (primary->status && !primary->status->is_primary && primary->status->term > group.record.term &&
            now - primary->status_asked_at < status_validity) {
            return "the primary has become a replica";
        }
        if (is_unresponsive(now, *primary) && reachable <= unreachable) {
            return fmt::format(
                "the primary has not answered for {} ms; refused connections: {}; reachable from {} other "
                "instances, unreachable from {}",
                (now - primary->answered_at) / 1ms, primary->refusals, reachable, unreachable);
        }
        if (unreachable >= 2 && unreachable > reachable + 1) {
            return fmt::format(
                "the primary is reachable from this and {} other instances, unreachable from {}", reachable,
                unreachable);
        }
        return {};
    }

    auto tick_group(time_point now, const group_id& id, coordinated_group& group) -> void {
        if (group.write_pending && now - group.written_at > write_timeout) {
            group.write_pending = false;
            group.phase = change_phase::steady;
        }
        if (group.write_pending || !evacuations_.is_known) {
            return;
        }
        if (group.has_record() && is_restored(group.record.era, era_)) {
            // The revision in the store is known after the first listing of the era.
            if (primaries_confirmed_at_ >= era_since_ && now - group.written_at >= promotion_retry_interval) {
                group.generation_step = restored_number_step;
                write_group(now, id, group, group.record, change_phase::writing_restored);
            }
            return;
        }
        if (group.revision == 0) {
            record_initial_primary(now, id, group);
            return;
        }
        if (!knows_groups_) {
            return; // how the group replicates decides which server may succeed
        }
        if (group.phase == change_phase::steady) {
            tick_steady(now, id, group);
            return;
        }
        const auto choosing = group.phase == change_phase::choosing_successor;
        probe_others(now, id, group, choosing ? promotion_probe_interval : suspect_probe_interval);
        probe(now, group.record.primary, choosing ? promotion_probe_interval : steady_probe_interval);
        if (group.phase == change_phase::awaiting_release) {
            tick_awaiting_release(now, id, group);
        }
        if (group.phase == change_phase::choosing_successor) {
            tick_choosing_successor(now, id, group);
        }
        if (group.phase == change_phase::promoting) {
            tick_promoting(now, id, group);
        }
    }

    /// Writes the first record of a group, which names the leading server. No instance has a permission
    /// before.
    auto record_initial_primary(time_point now, const group_id& id, coordinated_group& group) -> void {
        auto all_known = true;
        auto has_servers = false;
        const tracked_server* leader = nullptr;
        const tracked_server* evacuated_leader = nullptr; // by its own entry
        for (const auto& [name, it] : servers_) {
            if (it.entry.group != id) {
                continue;
            }
            has_servers = true;
            probe(now, name, suspect_probe_interval);
            all_known = all_known && (it.status || evacuations_.is_stopped(it.entry));
            if (evacuations_.is_evacuated(it.entry) && it.entry.reports_primary) {
                evacuated_leader = &it;
            }
            if (it.status && it.status->is_primary &&
                (leader == nullptr || it.status->term > leader->status->term)) {
                leader = &it;
            }
        }
        if (!has_servers) {
            group.missing_since = now;
            return;
        }
        if (!all_known && now - group.missing_since <= status_wait * 2) {
            return;
        }
        const auto generation = era_ > 1 ? restored_number_step : 1;
        group.reason = "the failure domain of the leading server is evacuated";
        if (leader != nullptr) {
            const auto evacuated = evacuations_.is_evacuated(leader->entry);
            auto first =
                primary_record{leader->entry.id, leader->status->term, generation, evacuated, {}, era_};
            // Its term began here or before, so nothing beyond this belongs to an earlier term.
            first.history.begin_term(leader->status->term, leader->status->received.log);
            first.confirming = next_confirming_servers(now, id, group);
            // Under a record that the store has lost, an instance may have acknowledged writes of this term.
            group.term_begins_after = era_ <= 1 ? std::optional{position{}} : std::nullopt;
            write_group(now, id, group, first,
                        evacuated ? change_phase::writing_intent : change_phase::writing_result);
        } else if (evacuated_leader != nullptr) {
            const auto& status = evacuated_leader->status;
            write_group(
                now, id, group,
                {evacuated_leader->entry.id, status ? status->term : term_number{}, generation, true, {}},
                change_phase::writing_intent);
        }
    }

    auto tick_steady(time_point now, const group_id& id, coordinated_group& group) -> void {
        if (group.record.changing) {
            if (now >= group.not_before) {
                group.for_evacuation = false;
                // A change left unfinished by another coordinator, or by a write whose answer was lost.
                group.reason = "continued";
                begin_release(now, group);
            }
            return;
        }
        const auto* primary = find(group.record.primary);
        const auto suspect =
            primary == nullptr || primary->refusals > 0 || primary->failed_since > primary->answered_at ||
            primary->entry.state == server_state::draining || evacuations_.is_evacuated(primary->entry);
        probe(now, group.record.primary, suspect ? suspect_probe_interval : steady_probe_interval);
        if (group.step_downs_left > 0 && !group.old_primary.empty() && !is_stopped(group.old_primary) &&
            now - group.phase_since > steady_probe_interval) {
            group.phase_since = now;
            --group.step_downs_left;
            if (find(group.old_primary) != nullptr) {
                actions_.emplace_back(order_step_down{group.old_primary, group.record.term});
            }
        }
        if (!suspect && update_confirming_servers(now, id, group)) {
            return;
        }
        const auto reason = reason_to_change(now, id, group);
        if (suspect || !reason.empty()) {
            probe_others(now, id, group, suspect_probe_interval);
        }
        const auto evacuated = is_evacuated(group.record.primary);
        const auto stopped = is_stopped(group.record.primary);
        const auto leaving =
            primary != nullptr && (primary->entry.state == server_state::draining || evacuated);
        if (!leaving) {
            group.draining_since = {};
        } else if (group.draining_since == time_point{}) {
            group.draining_since = now;
        }
        const auto patience = evacuated ? evacuation_keep_up_timeout : keep_up_timeout;
        // After the stop nothing shows that another server catches up but its own position.
        if (leaving && (stopped || !is_unresponsive(now, *primary)) && !is_followed(now, id, group) &&
            (stopped || now - group.draining_since < patience)) {
            return;
        }
        if (reason.empty() || (now < group.not_before && !leaving) ||
            !has_eligible_successor(now, id, group)) {
            return;
        }
        group.reason = reason;
        group.planned = leaving;
        group.for_evacuation = evacuated;
        auto next = group.record;
        next.generation += std::exchange(group.generation_step, 1);
        next.changing = true;
        next.candidate = {};
        write_group(now, id, group, next, change_phase::writing_intent);
    }

    /// Confirming servers of the group as they should be recorded.
    [[nodiscard]] auto next_confirming_servers(time_point now, const group_id& id, coordinated_group& group)
        -> std::vector<server_id> {
        if (!is_synchronous(id)) {
            return {};
        }
        auto registered = std::set<server_id>{};
        auto replicas = std::vector<position>{};
        for (const auto& [name, it] : servers_) {
            if (it.entry.group != id) {
                continue;
            }
            registered.insert(name);
            if (name != group.record.primary && it.status) {
                replicas.push_back(it.status->received);
            }
        }
        auto primary = std::optional<confirming_servers::primary_position>{};
        if (group.sample) {
            primary = {group.sample_asked_at, *group.sample};
        }
        return group.confirming.next(now, group.record, registered, primary, replicas);
    }

    /// True if the record has to be written again.
    [[nodiscard]] auto update_confirming_servers(time_point now, const group_id& id, coordinated_group& group)
        -> bool {
        if (!is_synchronous(id) && group.record.confirming.empty()) {
            return false;
        }
        if (group.confirming.has_missing()) {
            probe_others(now, id, group, steady_probe_interval);
        }
        if (now - std::max(group.written_at, group.confirming_checked_at) < confirming_check_interval) {
            return false;
        }
        group.confirming_checked_at = now;
        auto next = group.record;
        next.confirming = next_confirming_servers(now, id, group);
        if (next.confirming == group.record.confirming) {
            return false;
        }
        write_group(now, id, group, next, change_phase::writing_confirming_servers);
        return true;
    }

    auto begin_release(time_point now, coordinated_group& group) -> void {
        group.phase = change_phase::awaiting_release;
        group.phase_since = now;
        group.permissions_end =
            now + std::chrono::duration_cast<duration>(permission_lifetime * (1 + max_clock_drift_fraction));
        group.awaited_instances.reset();
        group.witnesses.clear();
        group.all_are_witnesses = false;
        group.excluded.clear();
        group.list_requested_at = {}; // the next tick requests the list
    }

    [[nodiscard]] auto has_released(const group_id& id, const coordinated_group& group,
                                    const instance_id& name) const -> bool {
        const auto it = reports_.find(name);
        return it != reports_.end() &&
               std::any_of(it->second.second.groups.begin(), it->second.second.groups.end(),
                           [&](const auto& group_entry) {
                               return group_entry.group == id &&
                                      group_entry.released_generation >= group.record.generation;
                           });
    }

    [[nodiscard]] auto have_all_released(const group_id& id, const coordinated_group& group) const -> bool {
        return group.awaited_instances &&
               std::all_of(group.awaited_instances->begin(), group.awaited_instances->end(),
                           [&](const auto& name) { return has_released(id, group, name); });
    }

    /// Notes which instances have reported all that they acknowledged. Their runs may end afterwards.
    auto update_witnesses(time_point now, const group_id& id, coordinated_group& group) -> void {
        if (!group.awaited_instances || now < registrations_complete_at_) {
            return;
        }
        for (const auto& name : *group.awaited_instances) {
            if (has_released(id, group, name) && group.acknowledged.covers_earlier_runs(name, runs_)) {
                group.witnesses.insert(name);
            }
        }
        group.all_are_witnesses = group.witnesses.size() == group.awaited_instances->size();
    }

    auto tick_awaiting_release(time_point now, const group_id& id, coordinated_group& group) -> void {
        if (!group.awaited_instances && now - group.list_requested_at > list_retry_interval) {
            group.list_requested_at = now;
            actions_.emplace_back(list_instances{});
        }
        update_witnesses(now, id, group);
        const auto all = now >= registrations_complete_at_ && have_all_released(id, group);
        if (!all && now < group.permissions_end) {
            return;
        }
        auto missing = std::string{group.awaited_instances ? "" : " unknown"};
        for (const auto& name : group.awaited_instances.value_or(std::set<instance_id>{})) {
            missing += has_released(id, group, name) ? "" : " " + name.value;
        }
        emit(log_event::change_released, id.value,
             fmt::format("generation={} by={} waited_ms={} missing={} witnesses={}", group.record.generation,
                         all ? "answers" : "expiry", (now - group.phase_since) / 1ms,
                         missing.empty() ? "none" : missing.substr(1),
                         group.all_are_witnesses ? "all" : std::to_string(group.witnesses.size())));
        group.all_released = all;
        group.is_waiting_logged = false;
        group.phase = change_phase::choosing_successor;
        group.phase_since = now;
    }

    auto restart_choice(time_point now, coordinated_group& group) -> void {
        group.phase = change_phase::choosing_successor;
        group.phase_since = now;
        group.candidate = {};
    }

    [[nodiscard]] auto is_synchronous(const group_id& id) const -> bool {
        const auto it = synchronous_replicas_.find(id);
        return it != synchronous_replicas_.end() && it->second > 0;
    }

    [[nodiscard]] auto is_fresh(const coordinated_group& group, const tracked_server& server) const -> bool {
        return server.status && server.status_asked_at >= group.phase_since;
    }

    /// A server without a log, in a group that has one, has started anew under its id. What it confirmed
    /// before is not in its log any more, so its answer says nothing.
    [[nodiscard]] static auto has_lost_log(const coordinated_group& group, const tracked_server& server)
        -> bool {
        const auto start = group.record.history.newest_start();
        return server.status->received.log == 0 && start && start->start > 0;
    }

    /// True if the server has received all that each other replica of the group has, also those that are not
    /// registered any more.
    [[nodiscard]] auto is_most_advanced(const group_id& id, const coordinated_group& group,
                                        const tracked_server& server) const -> bool {
        const auto is_covered = [&](const tracked_server& other) {
            return is_fresh(group, other) && !has_lost_log(group, other) &&
                   group.record.history.covers(server.status->received, other.status->received);
        };
        return std::all_of(servers_.begin(), servers_.end(),
                           [&](const auto& it) {
                               return it.second.entry.group != id || it.first == group.record.primary ||
                                      is_covered(it.second);
                           }) &&
               std::all_of(group.record.confirming.begin(), group.record.confirming.end(),
                           [&](const auto& it) { return it == group.record.primary || find(it) != nullptr; });
    }

    /// True if the server is known to have all acknowledged writes, asked after the permissions were
    /// released:
    /// - it has all writes of the old primary, which still answers; or
    /// - it has the newest write that an instance acknowledged, and either all instances have reported
    ///   theirs, or it is the most advanced of all replicas, one of which has each acknowledged write if the
    ///   group replicates synchronously. Only in such a group do the writes of ended runs count too: a group
    ///   that may lose them anyway is not held up for them.
    [[nodiscard]] auto has_all_writes(const group_id& id, const coordinated_group& group,
                                      const tracked_server& server) const -> bool {
        const auto& history = group.record.history;
        const auto received = server.status->received;
        const auto* old_primary = find(group.record.primary);
        if (old_primary != nullptr && is_fresh(group, *old_primary) && !has_lost_log(group, *old_primary) &&
            history.covers(received, old_primary->status->received)) {
            return true;
        }
        if (!history.covers(received, group.acknowledged.bound())) {
            return false;
        }
        const auto all_reported = is_synchronous(id) ? group.all_are_witnesses : group.all_released;
        // An evacuation must not lose a write that only the old primary has.
        return all_reported || ((is_synchronous(id) || !is_evacuated(group.record.primary)) &&
                                is_most_advanced(id, group, server));
    }

    /// What a choice of the successor depends on, for the log.
    [[nodiscard]] auto describe_logs(time_point now, const group_id& id, const coordinated_group& group) const
        -> std::string {
        auto text = fmt::format("acknowledged={}.{} witnesses={} history=[{}] logs=[",
                                group.acknowledged.bound().term, group.acknowledged.bound().log,
                                group.all_are_witnesses ? "all" : std::to_string(group.witnesses.size()),
                                to_text(group.record.history));
        for (const auto& [name, it] : servers_) {
            if (it.entry.group != id) {
                continue;
            }
            text += fmt::format("{}{}=", text.ends_with('[') ? "" : " ", name.value);
            if (it.status) {
                const auto received = it.status->received;
                text += fmt::format("{}.{}{}", received.term, received.log,
                                    group.record.history.contains(received) ? "" : ":parted");
                text += is_fresh(group, it) ? "" : fmt::format(":{}ms-old", (now - it.status_asked_at) / 1ms);
            } else {
                text += "unknown";
            }
            text += it.entry.state == server_state::draining ? ":draining" : "";
        }
        return text + "]";
    }

    /// The most advanced of the servers in this state that may become the primary. A server that leads
    /// already goes first.
    [[nodiscard]] auto best_successor(time_point now, const group_id& id, const coordinated_group& group,
                                      server_state state) const -> const tracked_server* {
        const auto leads = [&](const tracked_server& it) {
            return it.status->is_primary && it.status->term > group.record.term;
        };
        const tracked_server* best = nullptr;
        for (const auto& [name, it] : servers_) {
            if (it.entry.group != id || it.entry.state != state || !is_eligible_successor(now, group, it)) {
                continue;
            }
            if (best == nullptr || (leads(it) && !leads(*best)) ||
                (leads(it) == leads(*best) && it.status->received > best->status->received)) {
                best = &it;
            }
        }
        return best;
    }

    /// True if the status of each server that is ready has arrived since the permissions were released.
    [[nodiscard]] auto all_ready_servers_fresh(const group_id& id, const coordinated_group& group) const
        -> bool {
        return std::all_of(servers_.begin(), servers_.end(), [&](const auto& it) {
            const auto& server = it.second;
            return server.entry.group != id || server.entry.id == group.record.primary ||
                   server.entry.state != server_state::ready || group.excluded.contains(server.entry.id) ||
                   evacuations_.is_evacuated(server.entry) || is_fresh(group, server);
        });
    }

    /// The successor, if it can be chosen now. A group that replicates synchronously, or whose old primary is
    /// draining, waits for a server that has all acknowledged writes: the first as long as it takes, the
    /// second while its old primary can still pass them on.
    [[nodiscard]] auto choose_successor(time_point now, const group_id& id, const coordinated_group& group)
        -> const tracked_server* {
        const auto waited = now - group.phase_since;
        const auto* best = best_successor(now, id, group, server_state::ready);
        if (!all_ready_servers_fresh(id, group) && waited < status_wait) {
            return nullptr;
        }
        if (best != nullptr && best->status->is_primary && best->status->term > group.record.term) {
            return best;
        }
        const auto is_kept_by = [&](const tracked_server* it) {
            return it != nullptr && is_fresh(group, *it) && has_all_writes(id, group, *it);
        };
        if (is_evacuated(group.record.primary) && !is_synchronous(id)) {
            return is_kept_by(best) ? best : nullptr;
        }
        if (is_synchronous(id)) {
            const auto* draining = best_successor(now, id, group, server_state::draining);
            return is_kept_by(best) ? best : is_kept_by(draining) ? draining : nullptr;
        }
        if (!group.planned || is_kept_by(best)) {
            return best;
        }
        const auto* old_primary = find(group.record.primary);
        const auto can_catch_up = old_primary != nullptr && !is_unresponsive(now, *old_primary);
        return can_catch_up || waited < catch_up_timeout ? nullptr : best;
    }

    /// True if no successor can have been ordered to lead, and the primary leads and answers again or is no
    /// longer evacuated.
    [[nodiscard]] auto may_keep_primary(time_point now, const coordinated_group& group) const -> bool {
        const auto* primary = find(group.record.primary);
        const auto has_asked_others = group.for_evacuation || now - group.phase_since >= status_wait;
        return has_asked_others && group.record.candidate.empty() && primary != nullptr &&
               !evacuations_.is_evacuated(primary->entry) && primary->entry.state == server_state::ready &&
               is_fresh(group, *primary) && primary->status->is_primary &&
               primary->status->term == group.record.term;
    }

    auto tick_choosing_successor(time_point now, const group_id& id, coordinated_group& group) -> void {
        // The candidate in the record may already have been promoted.
        if (!group.record.candidate.empty() && !group.excluded.contains(group.record.candidate) &&
            !is_stopped(group.record.candidate) &&
            !(is_evacuated(group.record.candidate) && group.dropped_candidate == group.record.candidate) &&
            find(group.record.candidate) != nullptr) {
            group.candidate_chosen_here = false;
            group.candidate = group.record.candidate;
            group.phase = change_phase::promoting;
            group.phase_since = now;
            group.order_pending = false;
            group.order_accepted = false;
            group.ordered_at = {};
            return;
        }
        // An instance that did not report in time may do so while an evacuation waits for it.
        group.all_released =
            group.all_released || (now >= registrations_complete_at_ && have_all_released(id, group));
        update_witnesses(now, id, group);
        const auto* best = choose_successor(now, id, group);
        if (best == nullptr && may_keep_primary(now, group)) {
            auto next = group.record;
            next.changing = false;
            group.term_begins_after.reset();
            write_group(now, id, group, next, change_phase::writing_result);
            return;
        }
        if (best == nullptr) {
            const auto waited = now - group.phase_since;
            if (waited > catch_up_timeout) {
                group.excluded.clear();
            }
            if (waited > catch_up_timeout && !std::exchange(group.is_waiting_logged, true)) {
                emit(log_event::change_waiting, id.value,
                     fmt::format("generation={} no server is known to have all acknowledged writes: {}",
                                 group.record.generation, describe_logs(now, id, group)));
            }
            return;
        }
        group.candidate = best->entry.id;
        group.candidate_chosen_here = true;
        emit(log_event::change_chosen, id.value,
             fmt::format("generation={} server={} {}", group.record.generation, group.candidate.value,
                         describe_logs(now, id, group)));
        auto next = group.record;
        next.candidate = group.candidate;
        write_group(now, id, group, next, change_phase::writing_candidate);
    }

    auto tick_promoting(time_point now, const group_id& id, coordinated_group& group) -> void {
        const auto* server = find(group.candidate);
        const auto is_ordered = !group.candidate_chosen_here || group.ordered_at != time_point{};
        if (is_stopped(group.candidate) || (is_evacuated(group.candidate) && !is_ordered)) {
            // It may lead already, but no instance has a permission to use it.
            group.dropped_candidate = group.candidate;
            group.excluded.insert(group.candidate);
            restart_choice(now, group);
            return;
        }
        probe(now, group.candidate, promotion_probe_interval);
        if (server != nullptr && server->status && server->status->is_primary &&
            server->status->term > group.record.term) {
            group.old_primary = group.record.primary;
            auto next = group.record;
            next.primary = group.candidate;
            next.term = server->status->term;
            next.changing = false;
            next.candidate = {};
            // No instance has a permission to use it yet, so its log has no entry of its term.
            next.history.begin_term(next.term, server->status->received.log);
            group.term_begins_after = group.all_are_witnesses ? position{} : server->status->received;
            write_group(now, id, group, next, change_phase::writing_result);
            return;
        }
        if (server == nullptr ||
            (is_unresponsive(now, *server) && now - group.phase_since > unresponsive_timeout)) {
            group.excluded.insert(group.candidate);
            restart_choice(now, group);
            return;
        }
        const auto due = !group.order_accepted ? now - group.ordered_at >= promotion_retry_interval
                                               : now - group.ordered_at >= promotion_timeout;
        const auto deadline = std::min(now + promotion_answer_timeout, lease_valid_until_);
        if (!group.order_pending && due && deadline - now >= min_order_lifetime) {
            group.order_pending = true;
            group.order_accepted = false;
            group.ordered_at = now;
            actions_.emplace_back(order_promotion{id, group.candidate, lease_->fencing_token, deadline});
        }
    }

    instance_id self_;
    incarnation run_;
    std::string peer_address_;
    std::string new_secret_;
    event_sink events_;
    duration acquisition_delay_; ///< of a vacant lease; differs so that instances do not all try at once
    std::vector<coordinator_action> actions_;
    std::map<group_id, primary_record> pending_records_;
    std::optional<coordinator_lease> pending_lease_;
    std::uint64_t lease_revision_ = 0;
    time_point lease_requested_at_;
    time_point lease_valid_until_;
    time_point holder_since_;            ///< when the present holder was first observed
    bool lease_write_uncertain_ = false; ///< the last write of the lease may have taken effect
    bool was_coordinating_ = false;
    bool is_lease_restored_ = false;   ///< the store's record is a restored copy, missing or not read yet
    bool took_restored_lease_ = false; ///< and has not coordinated since
    std::uint64_t era_ = 0;            ///< of the store; 0: not stated
    time_point era_since_ = time_point{} - 2h; ///< when the store was first seen to have come back older
    time_point collecting_until_;
    time_point registrations_complete_at_; ///< before, the store's list of instances may lack some
    bool has_left_ = false;

public:
    std::uint64_t highest_token_ = 0; ///< of any coordinator
    time_point lease_first_confirmed_at_;
    time_point lease_unchanged_since_; ///< see `observed_since`
};

primary_coordinator::primary_coordinator(instance_id self, incarnation run, std::string peer_address,
                                         std::string new_secret, duration acquisition_delay,
                                         event_sink events)
    : impl_{std::make_unique<implementation>(std::move(self), run, std::move(peer_address),
                                             std::move(new_secret), acquisition_delay, std::move(events))} {}

primary_coordinator::~primary_coordinator() = default;

auto primary_coordinator::on_record(time_point now, const std::string& name, const std::string& value,
                                    std::uint64_t revision) -> void {
    impl_->on_record(now, name, value, revision);
}

auto primary_coordinator::on_record_removed(time_point /*now*/, const std::string& name) -> void {
    const auto id = group_of_record(name);
    if (id) {
        impl_->on_record_removed(*id);
    }
}

auto primary_coordinator::on_store_era(time_point now, std::uint64_t era, bool restored) -> void {
    impl_->on_store_era(now, era, restored);
}

auto primary_coordinator::on_token_seen(std::uint64_t fencing_token) -> void {
    impl_->highest_token_ = std::max(impl_->highest_token_, fencing_token);
}

auto primary_coordinator::highest_fencing_token() const -> std::uint64_t {
    return impl_->highest_token_;
}

auto primary_coordinator::is_collecting(time_point now) const -> bool {
    return impl_->is_collecting(now);
}

auto primary_coordinator::on_primaries_confirmed(time_point asked_at) -> void {
    impl_->primaries_confirmed_at_ = std::max(impl_->primaries_confirmed_at_, asked_at);
}

auto primary_coordinator::needs_lease_record() const -> bool {
    return impl_->needs_lease_record();
}

auto primary_coordinator::needs_primaries(time_point now) const -> bool {
    return impl_->needs_primaries(now);
}

auto primary_coordinator::on_lease_confirmed(time_point now, time_point asked_at) -> void {
    if (impl_->lease_confirmed_at_ < time_point{}) {
        impl_->lease_first_confirmed_at_ = now;
    }
    if (now - impl_->lease_confirmed_at_ > confirmation_validity) {
        // The lease may have been renewed between the last reading and this one.
        impl_->lease_unchanged_since_ = impl_->observed_since(now);
    }
    impl_->lease_confirmed_at_ = std::max(impl_->lease_confirmed_at_, asked_at);
}

auto primary_coordinator::set_servers(time_point now, const std::vector<backend_server>& servers) -> void {
    auto next = std::map<server_id, tracked_server>{};
    for (const auto& it : servers) {
        auto& entry = next[it.id];
        const auto known = impl_->servers_.find(it.id);
        if (known != impl_->servers_.end() && known->second.entry.started_ms == it.started_ms) {
            entry = known->second;
        } else {
            entry.answered_at = now; // a server that never answers is timed from its registration
        }
        entry.entry = it;
        impl_->groups_.try_emplace(it.group);
    }
    impl_->servers_ = std::move(next);
}

auto primary_coordinator::set_groups(const std::map<group_id, server_group>& groups) -> void {
    impl_->knows_groups_ = true;
    impl_->synchronous_replicas_.clear();
    for (const auto& [id, group] : groups) {
        impl_->synchronous_replicas_[id] = group.synchronous_replicas;
    }
}

auto primary_coordinator::set_evacuations(time_point now, const evacuation_view& view) -> void {
    impl_->set_evacuations(now, view);
}

auto primary_coordinator::on_instances(time_point /*now*/, const std::set<instance_id>& registered) -> void {
    impl_->on_registered(registered);
}

auto primary_coordinator::on_report(time_point now, const instance_report& report) -> void {
    impl_->on_report(now, report);
}

auto primary_coordinator::on_probe_deferred(const server_id& server) -> void {
    impl_->on_probe_deferred(server);
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

auto primary_coordinator::on_holder_answer(time_point asked_at, std::uint64_t fencing_token,
                                           std::uint64_t renewals) -> void {
    impl_->highest_token_ = std::max(impl_->highest_token_, fencing_token);
    impl_->answered_token_ = fencing_token;
    impl_->answered_renewals_ = renewals;
    impl_->answered_request_at_ = asked_at;
}

auto primary_coordinator::leave(time_point now) -> std::vector<coordinator_action> {
    return impl_->leave(now);
}

auto primary_coordinator::is_coordinating(time_point now) const -> bool {
    return impl_->is_coordinating(now);
}

auto primary_coordinator::lease() const -> const std::optional<coordinator_lease>& {
    return impl_->lease_;
}

auto primary_coordinator::record_of(const group_id& group) const -> std::optional<primary_record> {
    const auto it = impl_->groups_.find(group);
    return it == impl_->groups_.end() || !it->second.has_record() ? std::nullopt
                                                                  : std::optional{it->second.record};
}

auto primary_coordinator::records() const -> std::map<group_id, primary_record> {
    auto found = std::map<group_id, primary_record>{};
    for (const auto& [id, it] : impl_->groups_) {
        if (it.has_record()) {
            found[id] = it.record;
        }
    }
    return found;
}

auto primary_coordinator::registered() const -> std::uint32_t {
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, impl_->registered_.size()));
}

auto primary_coordinator::recent_reporters(time_point now) const -> std::set<instance_id> {
    return impl_->recent_reporters(now);
}

auto primary_coordinator::recent_reports(time_point now) const -> std::vector<instance_report> {
    auto recent = std::vector<instance_report>{};
    for (const auto& [name, it] : impl_->reports_) {
        if (now - it.first < report_validity) {
            recent.push_back(it.second);
        }
    }
    return recent;
}

auto primary_coordinator::has_reported_recently(time_point now, const instance_id& instance) const -> bool {
    return impl_->has_reported_recently(now, instance);
}

auto primary_coordinator::sample_of(const group_id& group) const
    -> std::optional<std::pair<time_point, position>> {
    const auto it = impl_->groups_.find(group);
    return it == impl_->groups_.end() || !it->second.sample
               ? std::nullopt
               : std::optional{std::pair{it->second.sample_asked_at, *it->second.sample}};
}

} // namespace citronlug
