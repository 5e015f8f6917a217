#include <citronlug/report_exchange.h>

#include <algorithm>

namespace citronlug {

namespace {

/// The coordinator counts a primary as reachable from an instance for 600 ms after its last answer there. A
/// newer answer is reported after this time, so that it arrives before that ends.
constexpr auto answer_refresh_interval = duration{250ms};

auto to_time_point(time_point now, const std::optional<duration>& age) -> std::optional<time_point> {
    return age ? std::optional{now - *age} : std::nullopt;
}

auto add_to(std::optional<duration>& age, duration elapsed) -> void {
    if (age) {
        *age += elapsed;
    }
}

} // namespace

auto report_sender::has_changed(time_point now, const reported_group& before, const reported_group& after)
    -> bool {
    const auto has_newer_answer =
        after.answered_at && (!before.answered_at || (*after.answered_at > *before.answered_at &&
                                                      now - *before.answered_at >= answer_refresh_interval));
    return has_newer_answer || after.released_generation != before.released_generation ||
           after.acknowledged != before.acknowledged || after.failed_at != before.failed_at ||
           after.rejected_as_replica != before.rejected_as_replica;
}

auto report_sender::reduce(time_point now, instance_report complete) -> instance_report {
    auto report = std::move(complete);
    report.number = ++number_;
    report.base = confirmed_;
    report.records_version = records_version_;
    report.samples_number = samples_number_;
    auto current = std::map<group_id, reported_group>{};
    for (const auto& it : report.groups) {
        current[it.group] = {it.released_generation, it.acknowledged, to_time_point(now, it.since_answer),
                             to_time_point(now, it.since_failure), it.rejected_as_replica};
    }
    const auto has_all_reported = std::all_of(reported_.begin(), reported_.end(),
                                              [&](const auto& it) { return current.contains(it.first); });
    if (report.base == 0 || !has_all_reported) {
        report.base = 0;
        reported_ = std::move(current);
        return report;
    }
    std::erase_if(report.groups, [&](const group_report& it) {
        const auto known = reported_.find(it.group);
        return known != reported_.end() && !has_changed(now, known->second, current.at(it.group));
    });
    for (const auto& it : report.groups) {
        reported_[it.group] = current.at(it.group);
    }
    return report;
}

auto report_sender::expand(report_answer answer) -> report_answer {
    // A coordinator that names no version of its records keeps no reports to build on.
    confirmed_ = answer.wants_complete_report || answer.records_version == 0 ? 0 : number_;
    samples_number_ = answer.samples_number;
    if (answer.records_version == 0) {
        records_version_ = 0;
        return answer;
    }
    if (answer.records_version != records_version_ || !answer.groups.empty()) {
        records_version_ = answer.records_version;
        records_ = answer.groups;
        for (auto& it : records_) {
            it.sample.reset();
        }
        return answer;
    }
    answer.groups = records_;
    for (const auto& it : answer.samples) {
        if (it.index < answer.groups.size()) {
            answer.groups[it.index].sample = it.at;
            answer.groups[it.index].sample_age = it.age;
        }
    }
    return answer;
}

auto report_sender::on_failure() -> void {
    confirmed_ = 0;
}

auto report_receiver::complete(time_point now, const instance_report& report)
    -> std::optional<instance_report> {
    const auto it = reports_.find(report.instance);
    const auto* known = it != reports_.end() && it->second.report.run == report.run ? &it->second : nullptr;
    if (known != nullptr && report.number != 0 && report.number <= known->report.number) {
        return std::nullopt;
    }
    if (report.base == 0) {
        reports_[report.instance] = {now, report};
        return report;
    }
    if (known == nullptr || known->report.number != report.base) {
        return std::nullopt;
    }
    auto merged = report;
    const auto elapsed = now - known->at;
    for (auto group : known->report.groups) {
        const auto is_reported = std::any_of(report.groups.begin(), report.groups.end(),
                                             [&](const auto& given) { return given.group == group.group; });
        if (!is_reported) {
            add_to(group.since_answer, elapsed);
            add_to(group.since_failure, elapsed);
            merged.groups.push_back(std::move(group));
        }
    }
    reports_[report.instance] = {now, merged};
    return merged;
}

auto report_receiver::add_groups(time_point now, const std::vector<group_status>& groups,
                                 std::uint64_t random_version, const instance_report& report,
                                 report_answer& answer) -> void {
    const auto is_current =
        std::equal(groups.begin(), groups.end(), records_.begin(), records_.end(),
                   [](const group_status& status, const published_group& known) {
                       return status.group == known.group && status.record == known.record;
                   });
    if (!is_current || records_version_ == 0) {
        records_version_ = random_version;
        samples_number_ = 0;
        records_.clear();
        for (const auto& it : groups) {
            records_.push_back({it.group, it.record, {}, 0});
        }
    }
    for (std::size_t n = 0; n < groups.size(); ++n) {
        const auto sampled_at = now - groups[n].sample_age;
        if (groups[n].sample && records_[n].sampled_at != sampled_at) {
            records_[n].sampled_at = sampled_at;
            records_[n].sample_number = ++samples_number_;
        }
    }
    answer.records_version = records_version_;
    answer.samples_number = samples_number_;
    if (report.records_version != records_version_) {
        answer.groups = groups;
        return;
    }
    for (std::size_t n = 0; n < groups.size(); ++n) {
        const auto& it = groups[n];
        if (it.sample && records_[n].sample_number > report.samples_number) {
            answer.samples.push_back({static_cast<std::uint32_t>(n), *it.sample, it.sample_age});
        }
    }
}

auto report_receiver::reset() -> void {
    reports_.clear();
    records_.clear();
    records_version_ = 0;
    samples_number_ = 0;
}

} // namespace citronlug
