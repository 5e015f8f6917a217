#include "session_daemon.h"

#include <algorithm>

namespace citronlug {

namespace {

/// Announcements to instances that the coordinator does not hear.
constexpr auto announce_interval = duration{500ms};

} // namespace

auto session_daemon::make_report(time_point now, bool with_questions) -> instance_report {
    auto report = instance_report{settings_.instance, run_, settings_.peer_address, leaving_, {}, {}};
    auto stated = std::map<group_id, primary_record>{};
    for (const auto& [id, it] : words_) {
        stated.emplace(id, it.record);
    }
    for (const auto& [id, generation] : newest_generations(coordinator_.records(), stated)) {
        auto it = group_report{};
        it.group = id;
        it.released = proxy_.has_released(id, generation) ? generation : generation - 1;
        it.acknowledged = proxy_.newest_acknowledged(id);
        const auto experience = proxy_.observations_of(id);
        if (experience.answered_at != time_point{}) {
            it.answered = now - experience.answered_at;
        }
        if (experience.failed_at != time_point{}) {
            it.failed = now - experience.failed_at;
        }
        it.lost_lead = experience.lost_lead;
        report.groups.push_back(std::move(it));
    }
    if (with_questions) {
        report.questions = proxy_.gate().questions(now);
    }
    return report;
}

auto session_daemon::send_report(time_point now) -> void {
    const auto duty = newest_duty();
    if (reporting_ || !duty || duty->holder.empty()) {
        return;
    }
    reporting_ = true;
    report_now_ = false;
    reported_at_ = now;
    auto report = make_report(now, true);
    asked_ = report.questions;
    metrics_.count("citronlug_reports_total");
    fleet_.report(duty->peer_address, report,
                  [this, now, number = ++report_](const std::optional<report_answer>& answer) {
                      on_report_answer(number, now, answer);
                  });
}

auto session_daemon::on_report_answer(std::uint64_t number, time_point asked_at,
                                      const std::optional<report_answer>& answer) -> void {
    const auto now = clock_now();
    if (number != report_ || !reporting_) {
        return; // given up before
    }
    reporting_ = false;
    const auto heard = answer && answer->holds_duty;
    if (heard != coordinator_answers_) {
        coordinator_answers_ = heard;
        follow_coordinator();
        const auto duty = newest_duty();
        log(log_level::info, heard ? log_event::dependency_regained : log_event::dependency_lost,
            {{"dependency", "coordinator"}, {"holder", duty ? duty->holder.value : std::string{}}});
    }
    if (!heard) {
        proxy_.gate().on_no_answer(now, asked_);
        proxy_.retry_admission(now);
        return;
    }
    coordinator_.on_holder_heard(asked_at, answer->token, answer->renewals);
    proxy_.gate().on_answers(now, asked_at, answer->tokens);
    proxy_.set_instances(now, answer->instances);
    for (const auto& it : answer->groups) {
        auto& known = words_[it.group];
        if (it.record.generation >= known.record.generation) {
            known = {asked_at, it.record};
        }
    }
    if (!held_duty_) {
        catch_up_servers(answer->servers_version, newest_duty()->peer_address);
    }
    if (in_force_ && answer->rules_version > in_force_->version) {
        catch_up_rules(now, newest_duty()->peer_address);
    }
    apply_primaries(now);
    for (const auto& it : answer->groups) {
        // A position of a primary that is known here to be replaced may not be part of the next one's log.
        const auto record = coordinator_.record_of(it.group);
        const auto is_newest = !record || record->generation < it.record.generation ||
                               (record->generation == it.record.generation && !record->changing);
        if (it.sample && !it.record.changing && is_newest &&
            words_.at(it.group).record.generation == it.record.generation) {
            proxy_.add_position(now, it.group, asked_at - it.sample_age, *it.sample);
        }
    }
    proxy_.retry_admission(now);
    if (proxy_.gate().has_questions()) {
        send_report(now);
    }
}

auto session_daemon::newest_duty() const -> std::optional<duty_record> {
    const auto& stored = coordinator_.duty();
    return announced_ && (!stored || announced_->token > stored->token) ? announced_ : stored;
}

auto session_daemon::announce_duty(time_point now) -> void {
    if (now - announced_at_ < announce_interval) {
        return;
    }
    announced_at_ = now;
    for (const auto& [name, address] : instances_) {
        if (!address.empty() && !coordinator_.hears(now, name)) {
            fleet_.announce(address, *coordinator_.duty());
        }
    }
}

auto session_daemon::announce_to_all(const duty_record& duty) -> void {
    for (const auto& [name, address] : instances_) {
        if (!address.empty()) {
            fleet_.announce(address, duty);
        }
    }
}

auto session_daemon::catch_up_rules(time_point now, const std::string& address) -> void {
    static_cast<void>(now);
    if (fetching_rules_) {
        return;
    }
    fetching_rules_ = true;
    fleet_.fetch_rules(address, in_force_->version, [this](const fleet_link::record_text& rules) {
        fetching_rules_ = false;
        if (rules.version > 0) {
            apply_rules(clock_now(), rules.value);
        }
    });
}

auto session_daemon::serve_report(const instance_report& report) -> report_answer {
    const auto now = clock_now();
    auto answer = report_answer{};
    if (!coordinator_.holds_duty(now)) {
        return answer;
    }
    coordinator_.on_report(now, report);
    instances_[report.instance] = report.peer_address;
    answer.holds_duty = true;
    answer.token = coordinator_.duty()->token;
    answer.renewals = coordinator_.duty()->renewals;
    answer.instances = static_cast<std::uint32_t>(instances_.size());
    answer.rules_version = in_force_ ? in_force_->version : 0;
    answer.servers_version = servers_version_;
    for (const auto& [id, record] : coordinator_.records()) {
        auto word = group_word{};
        word.group = id;
        word.record = record;
        if (const auto sample = coordinator_.sample_of(id)) {
            word.sample = sample->second;
            word.sample_age = now - sample->first;
        }
        answer.groups.push_back(std::move(word));
    }
    for (const auto& it : report.questions) {
        answer.tokens.push_back(ledger_.take(now, report.instance, it));
    }
    return answer;
}
} // namespace citronlug
