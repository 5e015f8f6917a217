#include <citronlug/report_exchange.h>

#include <rapidcheck.h>

#include <list>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

namespace {

constexpr auto group_count = 4;

auto group_named(int n) -> group_id {
    return group_id{"g" + std::to_string(n)};
}

auto age_at(time_point now, const std::optional<time_point>& at) -> std::optional<duration> {
    return at ? std::optional{now - *at} : std::nullopt;
}

/// True state of the groups at one instance.
struct instance_state {
    struct group {
        std::uint64_t released = 0;
        std::optional<position> acknowledged;
        std::optional<time_point> answered_at;
        std::optional<time_point> failed_at;
        bool rejected = false;
    };
    std::map<group_id, group> groups;

    [[nodiscard]] auto report(time_point now) const -> instance_report {
        auto report = instance_report{instance_id{"i-1"}, 7, "127.0.0.1:1", false, {}, {}};
        for (const auto& [id, it] : groups) {
            report.groups.push_back({id, it.released, it.acknowledged, age_at(now, it.answered_at),
                                     age_at(now, it.failed_at), it.rejected});
        }
        return report;
    }
};

/// State that the coordinator publishes.
struct published_state {
    std::map<group_id, primary_record> records;
    std::map<group_id, std::pair<time_point, position>> samples;

    [[nodiscard]] auto statuses(time_point now) const -> std::vector<group_status> {
        auto all = std::vector<group_status>{};
        for (const auto& [id, record] : records) {
            auto it = group_status{id, record, {}, {}};
            if (const auto sample = samples.find(id); sample != samples.end()) {
                it.sample = sample->second.second;
                it.sample_age = now - sample->second.first;
            }
            all.push_back(it);
        }
        return all;
    }
};

} // namespace

/// One instance and one coordinator with four groups, each with an answer and a position.
TEST_GROUP(report_exchange) {
    time_point now{1h};
    instance_state instance;
    published_state published;
    report_sender sender;
    report_receiver receiver;
    std::uint64_t next_version = 100;

    void setup() override {
        for (auto n = 0; n < group_count; ++n) {
            instance.groups[group_named(n)] = {1, position{1, 5}, now, {}, false};
            published.records[group_named(n)] = {server_id{"s" + std::to_string(n)}, 1, 1, false, {}};
            published.samples[group_named(n)] = {now, {1, 5}};
        }
    }

    auto answer_to(const instance_report& report)->report_answer {
        auto answer = report_answer{};
        answer.is_coordinating = true;
        answer.wants_complete_report = !receiver.complete(now, report).has_value();
        receiver.add_groups(now, published.statuses(now), ++next_version, report, answer);
        return answer;
    }
    auto send()->instance_report {
        return sender.reduce(now, instance.report(now));
    }
    /// Sends a report and passes the answer back; returns both as sent.
    auto exchange()->std::pair<instance_report, report_answer> {
        const auto report = send();
        auto answer = answer_to(report);
        const auto expanded = sender.expand(answer);
        CHECK_EQUAL(published.records.size(), expanded.groups.size());
        for (const auto& it : expanded.groups) {
            CHECK_TRUE(it.record == published.records.at(it.group));
        }
        return {report, answer};
    }
};

// Guards against traffic that grows with the number of groups while nothing changes.
TEST(report_exchange, carries_no_group_while_nothing_changes) {
    const auto [first, first_answer] = exchange();
    CHECK_EQUAL(0U, first.base);
    CHECK_EQUAL(4U, first.groups.size());
    CHECK_EQUAL(4U, first_answer.groups.size());
    for (auto n = 0; n < 3; ++n) {
        now += 250ms;
        const auto [report, answer] = exchange();
        CHECK_EQUAL(0U, report.groups.size());
        CHECK_EQUAL(0U, answer.groups.size());
        CHECK_EQUAL(0U, answer.samples.size());
        CHECK_FALSE(answer.wants_complete_report);
    }
}

TEST(report_exchange, carries_what_changed_at_the_instance) {
    exchange();
    now += 50ms;
    instance.groups[group_named(1)].released = 2;
    instance.groups[group_named(2)].answered_at = now;
    const auto report = send();
    CHECK_EQUAL(1U, report.groups.size()); // an answer is not worth a report so soon after another one
    const auto answer = sender.expand(answer_to(report));
    CHECK_FALSE(answer.wants_complete_report);
    now += 250ms;
    const auto next = send();
    CHECK_EQUAL(1U, next.groups.size());
    CHECK_TRUE(next.groups.front().group == group_named(2));
}

TEST(report_exchange, carries_what_changed_at_the_coordinator) {
    exchange();
    now += 250ms;
    published.samples[group_named(3)] = {now - 10ms, {1, 9}};
    const auto [report, answer] = exchange();
    CHECK_EQUAL(1U, answer.samples.size());
    CHECK_EQUAL(3U, answer.samples.front().index);
    published.records[group_named(0)].changing = true;
    CHECK_EQUAL(4U, exchange().second.groups.size());
    CHECK_EQUAL(0U, exchange().second.groups.size());
}

// Guards against a coordinator that takes a partial report for a complete one, or builds it on another
// report.
TEST(report_exchange, asks_for_a_complete_report_when_it_lacks_the_one_before) {
    exchange();
    receiver.reset(); // another instance coordinates
    now += 250ms;
    CHECK_TRUE(exchange().second.wants_complete_report);
    const auto [report, answer] = exchange();
    CHECK_EQUAL(0U, report.base);
    CHECK_FALSE(answer.wants_complete_report);
}

TEST(report_exchange, sends_a_complete_report_after_a_failure) {
    exchange();
    send();
    sender.on_failure();
    CHECK_EQUAL(0U, send().base);
}

// Guards against a late report that undoes a newer one.
TEST(report_exchange, ignores_a_report_older_than_the_last) {
    const auto late = send();
    sender.on_failure();
    instance.groups[group_named(0)].released = 2;
    CHECK_TRUE(receiver.complete(now, send()).has_value());
    CHECK_FALSE(receiver.complete(now, late).has_value());
}

// An earlier version of the program numbers no reports and reads positions in the list of groups.
TEST(report_exchange, understands_an_instance_and_a_coordinator_of_an_earlier_version) {
    const auto plain = instance.report(now);
    CHECK_EQUAL(4U, receiver.complete(now, plain)->groups.size());
    CHECK_EQUAL(4U, receiver.complete(now, plain)->groups.size());
    const auto answer = answer_to(plain);
    CHECK_EQUAL(4U, answer.groups.size());
    CHECK_TRUE(answer.groups.front().sample.has_value());

    send();
    auto old_answer = report_answer{};
    old_answer.is_coordinating = true;
    old_answer.groups = published.statuses(now);
    CHECK_EQUAL(4U, sender.expand(old_answer).groups.size());
    CHECK_EQUAL(0U, send().base);
}

// Guards against views that differ after messages were lost, late or answered without the answer arriving.
TEST(report_exchange, converges_over_lost_late_and_repeated_messages) {
    CHECK_TRUE(rc::check("both sides have the other's state after each answer", [] {
        auto at = time_point{1h};
        auto state = instance_state{};
        auto public_state = published_state{};
        auto from = report_sender{};
        auto to = report_receiver{};
        auto late = std::list<instance_report>{};
        auto newest_samples = std::map<group_id, time_point>{};
        auto version = std::uint64_t{1};
        const auto receive = [&](const instance_report& report) {
            auto answer = report_answer{};
            answer.is_coordinating = true;
            const auto merged = to.complete(at, report);
            answer.wants_complete_report = !merged;
            to.add_groups(at, public_state.statuses(at), ++version, report, answer);
            return std::pair{merged, answer};
        };
        const auto steps = *rc::gen::inRange(1, 60);
        for (auto n = 0; n < steps; ++n) {
            at += std::chrono::milliseconds{*rc::gen::inRange(1, 300)};
            const auto id = group_named(*rc::gen::inRange(0, group_count));
            auto& group = state.groups[id];
            switch (*rc::gen::inRange(0, 7)) {
            case 0:
                group.released += 1;
                break;
            case 1:
                group.acknowledged = position{1, static_cast<std::uint64_t>(n)};
                break;
            case 2:
                group.answered_at = at;
                break;
            case 3:
                group.failed_at = at;
                break;
            case 4:
                group.rejected = !group.rejected;
                break;
            case 5:
                public_state.records[id] = {
                    server_id{"s"}, 1, static_cast<std::uint64_t>(n) + 1, n % 2 == 0, {}};
                break;
            default:
                public_state.samples[id] = {at, {1, static_cast<std::uint64_t>(n)}};
                break;
            }
            const auto complete = state.report(at);
            const auto report = from.reduce(at, complete);
            switch (*rc::gen::inRange(0, 6)) {
            case 0: // lost
                from.on_failure();
                continue;
            case 1: // the answer is lost
                receive(report);
                from.on_failure();
                continue;
            case 2: // late
                late.push_back(report);
                from.on_failure();
                continue;
            case 3: // twice, or with a late one before it
                receive(late.empty() ? report : late.front());
                if (!late.empty()) {
                    late.pop_front();
                }
                break;
            case 4: // another coordinator
                to.reset();
                break;
            default:
                break;
            }
            const auto [merged, answer] = receive(report);
            if (merged) {
                RC_ASSERT(merged->groups.size() == complete.groups.size());
                for (const auto& it : complete.groups) {
                    const auto known =
                        std::find_if(merged->groups.begin(), merged->groups.end(),
                                     [&](const auto& other) { return other.group == it.group; });
                    RC_ASSERT(known != merged->groups.end());
                    RC_ASSERT(known->released_generation == it.released_generation);
                    RC_ASSERT(known->acknowledged == it.acknowledged);
                    RC_ASSERT(known->since_failure == it.since_failure);
                    RC_ASSERT(known->rejected_as_replica == it.rejected_as_replica);
                    RC_ASSERT(known->since_answer.has_value() == it.since_answer.has_value());
                    RC_ASSERT(!it.since_answer || *known->since_answer >= *it.since_answer);
                    RC_ASSERT(!it.since_answer || *known->since_answer < *it.since_answer + 250ms);
                }
            }
            const auto expanded = from.expand(answer);
            RC_ASSERT(expanded.groups.size() == public_state.records.size());
            for (const auto& it : expanded.groups) {
                RC_ASSERT(it.record == public_state.records.at(it.group));
                if (it.sample) {
                    newest_samples[it.group] = std::max(newest_samples[it.group], at - it.sample_age);
                }
            }
            for (const auto& it : expanded.groups) {
                const auto sample = public_state.samples.find(it.group);
                if (sample != public_state.samples.end()) {
                    RC_ASSERT(newest_samples[it.group] == sample->second.first);
                }
            }
        }
    }));
}
