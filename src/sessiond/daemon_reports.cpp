#include "session_daemon.h"

#include <algorithm>

namespace citronlug {

namespace {

/// Interval between announcements to instances that do not report to the coordinator.
constexpr auto announce_interval = duration{500ms};

} // namespace

auto session_daemon::make_report(time_point now, std::uint64_t coordinator) -> instance_report {
    auto report = instance_report{settings_.instance, run_, settings_.peer_address, leaving_, {}, {}};
    report.processor_share = settings_.processor_share;
    report.lends_tokens = true;
    report.running_for = now - started_at_;
    auto reported = std::map<group_id, primary_record>{};
    for (const auto& [id, it] : reported_primaries_) {
        reported.emplace(id, it.record);
    }
    for (const auto& [id, generation] : newest_generations(coordinator_.records(), reported)) {
        auto it = group_report{};
        it.group = id;
        it.released_generation = proxy_.has_released(id, generation) ? generation : generation - 1;
        it.acknowledged = proxy_.newest_acknowledged(id);
        const auto observations = proxy_.observations_of(id);
        if (observations.answered_at != time_point{}) {
            it.since_answer = now - observations.answered_at;
        }
        if (observations.failed_at != time_point{}) {
            it.since_failure = now - observations.failed_at;
        }
        it.rejected_as_replica = observations.lost_lead;
        report.groups.push_back(std::move(it));
    }
    report.token_requests = proxy_.limiter().take_requests(now, coordinator);
    report.cold_requests = proxy_.cold_start().take_requests(now);
    report.highest_fencing_token = coordinator_.highest_fencing_token();
    // A new coordinator may need them at once, so the first report to it does not wait to be asked.
    if (store_.era() != 0 && (wants_records_ || answered_token_ != coordinator)) {
        for (const auto& [id, record] : coordinator_.records()) {
            report.known_records.push_back({id, record});
        }
        for (const auto& [id, record] : reported) {
            report.known_records.push_back({id, record});
        }
    }
    return report;
}

auto session_daemon::send_report(time_point now) -> void {
    const auto lease = newest_lease();
    if (report_pending_ || !lease || lease->holder.empty()) {
        return;
    }
    report_pending_ = true;
    report_due_ = false;
    reported_at_ = now;
    const auto report = report_sender_.reduce(now, make_report(now, lease->fencing_token));
    pending_token_requests_ = report.token_requests;
    metrics_.count("citronlug_reports_total");
    fleet_.report(lease->peer_address, report,
                  [this, now, number = ++report_number_](const std::optional<report_answer>& answer) {
                      on_report_answer(number, now, answer);
                  });
}

auto session_daemon::on_report_answer(std::uint64_t number, time_point asked_at,
                                      const std::optional<report_answer>& received) -> void {
    const auto now = clock_now();
    if (number != report_number_ || !report_pending_) {
        return; // the report has timed out before
    }
    report_pending_ = false;
    const auto reachable = received && received->is_coordinating;
    if (reachable != coordinator_reachable_) {
        coordinator_reachable_ = reachable;
        update_store_watches(now);
        // Spread over the interval, so that some instance of a large fleet reads the lease soon.
        const auto spread =
            static_cast<std::uint64_t>((lease_read_interval(fleet_size_) - lease_read_interval(1)) / 1us);
        next_lease_read_at_ =
            now + duration{spread == 0 ? 0 : static_cast<std::int64_t>(random_number() % spread)};
        const auto lease = newest_lease();
        log(log_level::info, reachable ? log_event::dependency_regained : log_event::dependency_lost,
            {{"dependency", "coordinator"}, {"holder", lease ? lease->holder.value : std::string{}}});
    }
    if (!reachable) {
        report_sender_.on_failure();
        proxy_.limiter().on_request_failed(now, pending_token_requests_);
        proxy_.retry_admission(now);
        return;
    }
    const auto answer = report_sender_.expand(*received);
    report_due_ = report_due_ || answer.wants_complete_report;
    store_.learn(answer.store_era);
    wants_records_ = answer.wants_records;
    answered_token_ = answer.fencing_token;
    coordinator_.on_holder_answer(asked_at, answer.fencing_token, answer.renewals);
    proxy_.limiter().on_responses(now, asked_at, answer.fencing_token, answer.tokens);
    deputy_requests_.set_deputies(answer.deputies);
    proxy_.on_cold_grants(now, asked_at, answer.cold_grants);
    proxy_.set_instances(now, answer.instances);
    fleet_size_ = answer.instances;
    if (answer.rules_age) {
        rules_copy_.on_statement(now, copy_source::coordinator, answer.rules_version,
                                 asked_at - *answer.rules_age);
    }
    if (answer.servers_age) {
        servers_copy_.on_statement(now, copy_source::coordinator, answer.servers_version,
                                   asked_at - *answer.servers_age);
    }
    for (const auto& it : answer.groups) {
        auto& known = reported_primaries_[it.group];
        if (it.record.generation >= known.record.generation) {
            known = {asked_at, it.record};
        }
    }
    if (!is_coordinating_ && answer.evacuations_age) {
        auto list = evacuation_evidence{
            answer.fencing_token, {}, {}, now - *answer.evacuations_age, answer.store_era};
        list.since = asked_at - *answer.evacuations_age;
        for (const auto& it : answer.evacuated) {
            list.domains.push_back(it.value);
        }
        apply_evacuations(now, list);
    }
    rules_deputies_ = answer.deputies;
    fetch_lacking_records(now);
    apply_primaries(now);
    for (const auto& it : answer.groups) {
        // Ignores positions of a primary that is known here to be replaced: they may be missing in the log of
        // the next primary.
        const auto record = coordinator_.record_of(it.group);
        const auto is_newest = !record || record->generation < it.record.generation ||
                               (record->generation == it.record.generation && !record->changing);
        if (it.sample && !it.record.changing && is_newest &&
            reported_primaries_.at(it.group).record.generation == it.record.generation) {
            proxy_.add_position(now, it.group, asked_at - it.sample_age, *it.sample);
        }
    }
    proxy_.retry_admission(now);
    if (proxy_.limiter().has_requests()) {
        send_report(now);
    }
}

auto session_daemon::active_rules_version() const -> std::uint64_t {
    return active_rules_ ? active_rules_->version : 0;
}

auto session_daemon::newest_lease() const -> std::optional<coordinator_lease> {
    const auto& stored = coordinator_.lease();
    return announced_lease_ && (!stored || announced_lease_->fencing_token > stored->fencing_token)
               ? announced_lease_
               : stored;
}

auto session_daemon::announce_lease(time_point now) -> void {
    if (now - announced_at_ < announce_interval) {
        return;
    }
    announced_at_ = now;
    for (const auto& [name, address] : instances_) {
        if (!address.empty() && !coordinator_.has_reported_recently(now, name)) {
            fleet_.announce(address, *coordinator_.lease());
        }
    }
}

auto session_daemon::announce_to_all(const coordinator_lease& lease) -> void {
    for (const auto& [name, address] : instances_) {
        if (!address.empty()) {
            fleet_.announce(address, lease);
        }
    }
}

auto session_daemon::rules_sources() const -> std::vector<std::string> {
    auto sources = std::vector<std::string>{};
    if (const auto lease = newest_lease()) {
        sources.push_back(lease->peer_address);
    }
    // Instances begin with different deputies, so that these share the work.
    auto deputies = rules_deputies_;
    if (!deputies.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(run_ % deputies.size());
        std::rotate(deputies.begin(), deputies.begin() + first, deputies.end());
    }
    sources.insert(sources.end(), deputies.begin(), deputies.end());
    std::erase_if(sources, [&](const auto& it) { return it.empty() || it == settings_.peer_address; });
    return sources;
}

auto session_daemon::fetch_lacking_records(time_point now) -> void {
    if (is_coordinating_ || !rules_copy_.behind_since()) {
        rules_fetch_.reset();
    } else if (const auto request = rules_fetch_.next(now, rules_sources())) {
        fetch_rules(*request);
    }
    const auto lease = newest_lease();
    if (is_coordinating_ || !lease || !servers_copy_.behind_since() ||
        servers_order_.was_refused(servers_copy_.named_version())) {
        servers_fetch_.reset();
    } else if (const auto request = servers_fetch_.next(now, {lease->peer_address})) {
        fetch_servers(*request);
    }
}

auto session_daemon::fetch_rules(const record_fetch::request& from) -> void {
    fleet_.fetch_rules(from.address, active_rules_version(),
                       [this, number = from.number](const std::optional<fleet_link::record_text>& rules) {
                           count_fetch(record_kind::rules, rules);
                           const auto is_newer = rules && rules->version > active_rules_version();
                           const auto is_applied =
                               is_newer && apply_rules(clock_now(), copy_source::coordinator, rules->value);
                           rules_fetch_.on_answer(number, is_applied);
                       });
}

auto session_daemon::count_fetch(record_kind kind, const std::optional<fleet_link::record_text>& fetched)
    -> void {
    metrics_.count("citronlug_record_fetches_total", {{"kind", std::string{name_of(kind)}},
                                                      {"outcome", !fetched                ? "unanswered"
                                                                  : fetched->version == 0 ? "nothing"
                                                                                          : "delivered"}});
}

auto session_daemon::handle_report(const instance_report& report) -> report_answer {
    const auto now = clock_now();
    auto answer = report_answer{};
    if (report.requests_tokens_only) {
        return lend_tokens(report);
    }
    if (!coordinator_.is_coordinating(now)) {
        return answer;
    }
    if (const auto complete = report_receiver_.complete(now, report)) {
        coordinator_.on_report(now, *complete);
    } else {
        answer.wants_complete_report = true;
    }
    instances_[report.instance] = report.peer_address;
    answer.is_coordinating = true;
    answer.fencing_token = coordinator_.lease()->fencing_token;
    answer.renewals = coordinator_.lease()->renewals;
    answer.instances = static_cast<std::uint32_t>(instances_.size());
    answer.rules_version = active_rules_version();
    if (const auto confirmed = rules_copy_.confirmed_at(copy_source::store)) {
        answer.rules_age = now - *confirmed;
    }
    if (const auto evidence = evacuations_.evidence_at()) {
        answer.evacuations_age = now - *evidence;
        const auto& domains = enforced_evacuations_.domains;
        answer.evacuated.assign(domains.begin(), domains.end());
    }
    answer.servers_version = servers_version_;
    if (const auto confirmed = servers_copy_.confirmed_at(copy_source::store)) {
        answer.servers_age = now - *confirmed;
    }
    answer.store_era = store_.era();
    answer.wants_records = coordinator_.is_collecting(now);
    auto groups = std::vector<group_status>{};
    for (const auto& [id, record] : coordinator_.records()) {
        auto status = group_status{};
        status.group = id;
        status.record = record;
        if (const auto sample = coordinator_.sample_of(id)) {
            status.sample = sample->second;
            status.sample_age = now - sample->first;
        }
        groups.push_back(std::move(status));
    }
    if (!answer.wants_records) { // records in an answer are permissions
        report_receiver_.add_groups(now, groups, random_number(), report, answer);
    }
    for (const auto& it : report.token_requests) {
        const auto response = token_allocator_.take(now, report.instance, report.run, it);
        if (it.wanted > 0) {
            answer.tokens.push_back(response);
        }
    }
    const auto shares = token_allocator_.announce_deputy_shares(now, report.instance);
    answer.tokens.insert(answer.tokens.end(), shares.begin(), shares.end());
    answer.deputies = deputy_addresses_;
    answer.cold_grants =
        cold_allocator_.take(now, report.instance, report.cold_requests, proxy_.cold_start().servers());
    return answer;
}
} // namespace citronlug
