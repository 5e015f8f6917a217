#include <citronlug/testing.h>

#include "ground_truth.h"

using namespace citronlug;
using namespace citronlug::bench;
using citronlug::testing::at;

/// Builds histories of one database with two members. `rows` are named after the table "t".
TEST_GROUP_BASE(history_check, citronlug::testing::test_base) {
    std::vector<history_record> history;
    member_log primary{{"db"}, "m0", 1, {}, {}};
    member_log replica{{"db"}, "m1", 1, {}, {}};
    std::uint64_t attempts = 0;

    auto send(duration time, const std::string& id, const std::string& row, access_mode mode)->request_sent& {
        auto sent = request_sent{};
        sent.at = at(time);
        sent.attempt = ++attempts;
        sent.id = {id};
        sent.account = {"school"};
        sent.key = {"k1"};
        sent.database = {"db"};
        sent.mode = mode;
        sent.row = row;
        history.emplace_back(sent);
        return std::get<request_sent>(history.back());
    }
    /// Answers the last request sent.
    auto answer(duration time, verdict outcome)->answer_received& {
        auto received = answer_received{};
        received.at = at(time);
        received.attempt = attempts;
        received.outcome = outcome;
        history.emplace_back(received);
        return std::get<answer_received>(history.back());
    }
    auto commit(member_log & member, duration time, const std::string& id, const std::string& row)->void {
        const auto n = member.entries.size() + 1;
        member.entries.push_back({{member.term, n}, at(time), {"school"}, {id}, {row}});
    }

    /// A non-idempotent write that takes 10 ms and commits in the middle.
    auto write(duration time, const std::string& id, const std::string& row, const std::string& value)->void {
        auto& sent = send(time, id, row, access_mode::write);
        sent.idempotent = false;
        sent.value = value;
        sent.session = "s";
        commit(primary, time + 5ms, id, row);
        answer(time + 10ms, verdict::done).reached = primary.entries.back().at;
    }
    /// A read of 10 ms with an accepted age.
    auto read(duration time, const std::string& row, const std::string& value,
              std::optional<duration> max_age)
        ->answer_received& {
        send(time, "read" + std::to_string(attempts), row, access_mode::read).max_age = max_age;
        auto& received = answer(time + 10ms, verdict::done);
        received.rows.rows = {{value}};
        return received;
    }
    auto in_session()->void {
        std::get<request_sent>(history[history.size() - 2]).session = "s";
    }

    auto checked()->check_report {
        history.emplace_back(primary);
        history.emplace_back(replica);
        return check_history(history);
    }
    /// Checks that the history has exactly one violation, of this kind.
    auto expect_only(violation_kind kind)->void {
        const auto report = checked();
        auto found = std::string{};
        for (const auto& it : report.violations) {
            found += std::string{name_of(it.kind)} + " " + it.id.value + ": " + it.detail + "\n";
        }
        CHECK_EQUAL_TEXT(1U, report.violations.size(), found.c_str());
        CHECK_EQUAL_TEXT(1U, report.count(kind), found.c_str());
        CHECK(report.examined.at(kind) > 0);
    }
};

// Guards against a check that reports faults of a run without any. All checks must have examined something.
TEST(history_check, clean_history_has_no_violation) {
    history.emplace_back(account_limit{at(0s), {"school"}, 10, 5});
    write(1s, "w1", "t/a", "1");
    read(1100ms, "t/a", "1", std::nullopt).data_age = duration{};
    in_session();
    write(2s, "w2", "t/a", "2");
    auto& old = read(2500ms, "t/a", "1", 5s); // old, but within the accepted age
    old.from_replica = true;
    old.data_age = 600ms;
    send(3s, "w3", "t/b", access_mode::write).value = "1"; // refused, sent again with the same id
    answer(3010ms, verdict::not_run);
    write(3100ms, "w3", "t/b", "1");
    send(4s, "w4", "t/c", access_mode::write).idempotent = false; // effect without an answer
    commit(primary, 4010ms, "w4", "t/c");
    answer(6s, verdict::unknown);
    send(7s, "w5", "t/d", access_mode::write).value = "1"; // lost with its primary before the change
    answer(7100ms, verdict::done);
    replica.truncated.push_back({{0, 9}, at(7050ms), {"school"}, {"w5"}, {"t/d"}});
    history.emplace_back(term_superseded{at(7200ms), {"db"}, 0});
    history.emplace_back(key_revoked{at(7s), {"k1"}});
    write(9900ms, "w6", "t/e", "1");
    const auto report = checked();
    CHECK_EQUAL(0U, report.violations.size());
    CHECK_EQUAL(1U, report.lost_with_primary);
    for (std::size_t n = 0; n < violation_kinds; ++n) {
        CHECK(report.examined.at(static_cast<violation_kind>(n)) > 0);
    }
}

TEST(history_check, read_that_misses_a_write_of_its_session) {
    write(1s, "w1", "t/a", "1");
    write(2s, "w2", "t/a", "2");
    read(3s, "t/a", "1", 5s);
    in_session();
    expect_only(violation_kind::own_write_missing);
}

TEST(history_check, read_at_a_position_before_a_write_of_its_session) {
    write(1s, "w1", "t/a", "1");
    write(2s, "w2", "t/a", "2");
    read(3s, "t/a", "2", 5s).reached = {1, 1};
    in_session();
    expect_only(violation_kind::own_write_missing);
}

TEST(history_check, read_older_than_accepted) {
    write(1s, "w1", "t/a", "1");
    write(2s, "w2", "t/a", "2");
    read(8s, "t/a", "1", 5s);
    expect_only(violation_kind::stale_read);
}

TEST(history_check, read_older_than_its_answer_states) {
    write(1s, "w1", "t/a", "1");
    write(2s, "w2", "t/a", "2");
    read(4s, "t/a", "1", 5s).data_age = 1s;
    expect_only(violation_kind::understated_age);
}

TEST(history_check, order_that_ran_twice_under_its_id) {
    write(1s, "w1", "t/a", "1");
    commit(primary, 2s, "w1", "t/a");
    expect_only(violation_kind::run_twice);
}

TEST(history_check, order_that_ran_twice_without_its_id) {
    write(1s, "w1", "t/a", "1");
    commit(primary, 2s, "", "t/a");
    expect_only(violation_kind::run_twice);
}

TEST(history_check, acknowledged_write_that_no_log_has) {
    write(1s, "w1", "t/a", "1");
    primary.entries.clear();
    expect_only(violation_kind::write_lost);
}

TEST(history_check, write_confirmed_by_a_replica_that_the_change_of_primary_lost) {
    write(1s, "w1", "t/a", "1");
    std::get<request_sent>(history.front()).ack = ack_mode::replica;
    replica.term = 2;
    history.emplace_back(term_superseded{at(2s), {"db"}, 1});
    expect_only(violation_kind::write_lost);
}

TEST(history_check, lost_write_acknowledged_after_the_change_of_primary) {
    write(1s, "w1", "t/a", "1");
    std::get<answer_received>(history.back()).at = at(3s);
    replica.term = 2;
    history.emplace_back(term_superseded{at(2s), {"db"}, 1});
    expect_only(violation_kind::write_lost);
}

TEST(history_check, write_of_a_superseded_primary) {
    write(3s, "w1", "t/a", "1");
    replica.term = 2;
    history.emplace_back(term_superseded{at(2s), {"db"}, 1});
    expect_only(violation_kind::superseded_write);
}

// 5 at once and one each 100 ms are allowed. The answers come too early for one of the six requests.
TEST(history_check, account_over_its_limit) {
    history.emplace_back(account_limit{at(0s), {"school"}, 10, 5});
    for (auto n = 0; n < 6; ++n) {
        read(1s, "", "", 5s);
        std::get<answer_received>(history.back()).at = at(1090ms);
    }
    expect_only(violation_kind::limit_exceeded);
}

// Guards against a check that counts only bursts: each short window is within the limit here.
TEST(history_check, account_over_its_rate_for_long) {
    history.emplace_back(account_limit{at(0s), {"school"}, 10, 5});
    for (auto n = 0; n < 66; ++n) {
        read(1s + n * 91ms, "", "", 5s);
    }
    CHECK(checked().count(violation_kind::limit_exceeded) > 0);
}

// Guards against false alarms: times of admission that a bucket has granted must always pass.
TEST(history_check, runs_that_a_bucket_admitted_are_within_the_limit) {
    citronlug::testing::check_property("bucket", [] {
        auto records = std::vector<history_record>{account_limit{at(0s), {"a"}, 20, 3}};
        auto level = 3.0;
        auto time = duration{1s};
        const auto waits = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 90'000));
        auto number = std::uint64_t{0};
        for (const auto wait : waits) {
            time += duration{wait};
            level = std::min(3.0, level + wait * 20e-6);
            if (level < 1) {
                continue;
            }
            level -= 1;
            auto sent = request_sent{};
            sent.at = at(time - duration{*rc::gen::inRange(0, 200'000)});
            sent.attempt = ++number;
            sent.account = {"a"};
            auto received = answer_received{};
            received.at = at(time + duration{*rc::gen::inRange(0, 50'000)});
            received.attempt = number;
            received.outcome = verdict::done;
            records.insert(records.end(), {sent, received});
        }
        RC_ASSERT(check_history(records).violations.empty());
    });
}

TEST(history_check, write_answered_not_run_that_took_effect) {
    send(1s, "w1", "t/a", access_mode::write).value = "1";
    commit(primary, 1005ms, "w1", "t/a");
    answer(1010ms, verdict::not_run);
    expect_only(violation_kind::false_not_run);
}

TEST(history_check, read_with_a_key_revoked_long_ago) {
    history.emplace_back(key_revoked{at(1s), {"k1"}});
    read(3900ms, "t/a", "1", 5s);
    read(4100ms, "t/a", "1", 5s);
    expect_only(violation_kind::revoked_key);
}

TEST(history_check, write_that_takes_effect_long_after_the_revocation) {
    history.emplace_back(key_revoked{at(1s), {"k1"}});
    send(2s, "w1", "t/a", access_mode::write).value = "1";
    commit(primary, 4500ms, "w1", "t/a");
    answer(5s, verdict::unknown);
    expect_only(violation_kind::revoked_key);
}

// Guards against a ground truth that is read in part: the example is an answer of the stand-in.
TEST(history_check, ground_truth_of_the_database_standin) {
    const auto json = std::string{
        R"({"members":[{"commits":1,"entries":[{"account":"school","committed_us":1386312584,"id":"r1",)"
        R"("position":1,"rows":["citronlug_requests/school/r1","orders/o1"],"term":1}],"history":"1:0,2:1",)"
        R"("member":0,"position":1,"role":"primary","statements":5,"term":2,"truncated":[{"account":"",)"
        R"("committed_us":7,"id":"","position":2,"rows":[],"term":1}]}],)"
        R"("promotions":[{"at_us":99,"member":0,"term":2}]})"};
    const auto outcome = read_ground_truth({"db"}, json);
    const auto& records = std::get<std::vector<history_record>>(outcome);
    const auto& log = std::get<member_log>(records.at(0));
    CHECK(log.term == 2 && log.entries.at(0).id.value == "r1" && log.entries.at(0).rows.at(1) == "orders/o1");
    CHECK((log.entries.at(0).at == position{1, 1} && log.truncated.at(0).at == position{1, 2}));
    CHECK(log.entries.at(0).committed == time_point{duration{1386312584}});
    const auto& ended = std::get<term_superseded>(records.at(1));
    CHECK(ended.term == 1 && ended.at == time_point{99us});
    CHECK(!succeeded(read_ground_truth({"db"}, R"({"members":[]})")));
}
