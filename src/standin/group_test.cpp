#include <citronlug/testing.h>

#include "group.h"

using namespace citronlug;
using namespace citronlug::standin;
using citronlug::testing::at;

namespace {

auto parsed(const std::string& text) -> sql_statement {
    return std::get<sql_statement>(parse_sql(text));
}

auto succeeds(const std::variant<term_number, sql_error>& outcome) -> bool {
    return std::holds_alternative<term_number>(outcome);
}

} // namespace

/// A group of three members with the addresses m0, m1 and m2 and one table.
TEST_GROUP_BASE(group_story, citronlug::testing::test_base) {
    replication_group group{3};

    void setup() override {
        group.create_table(parsed("create table t (k text primary key, v int)"));
        for (auto n = std::size_t{0}; n < 3; ++n) {
            group.member(n).address = "m" + std::to_string(n);
        }
    }

    auto run(std::size_t n, transaction & work, const std::string& text)->execution {
        work.owner = work.owner == 0 ? 1 : work.owner;
        work.term = work.writes() ? work.term : group.member(n).term();
        return execute(group.member(n).data, group.member(n).locks, work, parsed(text), {});
    }

    auto commit(std::size_t n, transaction & work, duration time = 0ms)
        ->std::variant<log_position, sql_error> {
        const auto outcome = group.commit(at(time), n, work);
        group.member(n).locks.release_all(work.owner);
        return outcome;
    }

    auto write(std::size_t n, const std::string& text, duration time = 0ms)->bool {
        auto work = transaction{};
        return std::holds_alternative<statement_result>(run(n, work, text)) &&
               std::holds_alternative<log_position>(commit(n, work, time));
    }

    auto count(std::size_t n)->std::string {
        auto work = transaction{};
        return *std::get<statement_result>(run(n, work, "select count(*) from t")).rows[0][0];
    }
};

TEST_GROUP_BASE(transactions, TEST_GROUP_CppUTestGroupgroup_story){};

// Guards against uncommitted rows that other connections see.
TEST(transactions, own_changes_are_visible_to_the_transaction_only) {
    auto work = transaction{};
    run(0, work, "insert into t values ('a', 1)");
    const auto own = std::get<statement_result>(run(0, work, "select v from t where k = 'a'"));
    CHECK(own.rows.at(0).at(0) == "1");
    CHECK(count(0) == "0");
    CHECK(std::holds_alternative<log_position>(commit(0, work)));
    CHECK(count(0) == "1");
}

// Guards against two transactions that both change one row, or both insert one request id.
TEST(transactions, second_writer_of_a_row_meets_the_lock) {
    auto first = transaction{};
    auto second = transaction{};
    second.owner = 2;
    run(0, first, "insert into t values ('a', 1)");
    CHECK(std::holds_alternative<lock_conflict>(run(0, second, "insert into t values ('a', 2)")));
    CHECK(std::holds_alternative<statement_result>(run(0, second, "insert into t values ('b', 2)")));
    commit(0, first);
    CHECK(std::get<sql_error>(run(0, second, "insert into t values ('a', 2)")).sqlstate == "23505");
}

TEST(transactions, update_and_delete_count_their_rows) {
    write(0, "insert into t values ('a', 1), ('b', 10)");
    write(0, "update t set v = v + 5 where k = 'b'");
    auto work = transaction{};
    const auto rows =
        std::get<statement_result>(run(0, work, "select v from t order by v desc limit 1")).rows;
    CHECK(rows.at(0).at(0) == "15");
    CHECK(std::get<statement_result>(run(0, work, "delete from t")).tag == "DELETE 2");
    CHECK(std::get<sql_error>(run(0, work, "select v from nowhere")).sqlstate == "42P01");
}

TEST_GROUP_BASE(replication, TEST_GROUP_CppUTestGroupgroup_story){};

TEST(replication, entries_are_applied_after_the_lag) {
    group.member(1).lag = 20ms;
    write(0, "insert into t values ('a', 1)");
    CHECK(group.replicate(at(0ms)) == at(20ms));
    CHECK(count(1) == "0" && count(2) == "1");
    group.replicate(at(20ms));
    CHECK(count(1) == "1");
}

TEST(replication, partitioned_member_gets_nothing_until_healed) {
    group.member(1).cut_off = true;
    write(0, "insert into t values ('a', 1)");
    group.replicate(at(1s));
    CHECK(count(1) == "0");
    group.member(1).cut_off = false;
    group.replicate(at(1s));
    CHECK(count(1) == "1");
}

TEST_GROUP_BASE(change_of_primary, TEST_GROUP_CppUTestGroupgroup_story){};

// Guards against a divergent log that survives on the old primary: its extra rows must be undone.
TEST(change_of_primary, old_primary_loses_what_no_other_member_had) {
    write(0, "insert into t values ('a', 1)");
    group.replicate(at(0ms));
    group.member(0).cut_off = true;
    write(0, "update t set v = 2 where k = 'a'");
    write(0, "insert into t values ('lost', 1)");
    CHECK(std::get<term_number>(group.promote(at(0ms), 1, 1)) == 2);
    write(1, "insert into t values ('b', 1)");
    CHECK(!group.follow(0, "m1", 2));
    CHECK_EQUAL(3, group.member(0).position());
    group.member(0).cut_off = false;
    group.replicate(at(1s));
    CHECK(count(0) == "2");
    CHECK(group.member(0).history_text() == "1:0,2:1");
    CHECK_EQUAL(2, static_cast<int>(group.member(0).truncated.size()));
    auto work = transaction{};
    CHECK(std::get<statement_result>(run(0, work, "select v from t where k = 'a'")).rows.at(0).at(0) == "1");
}

// Guards against a replica that replicates from a superseded primary.
TEST(change_of_primary, replica_refuses_entries_of_an_older_term) {
    CHECK(succeeds(group.promote(at(0ms), 1, 1)));
    CHECK(!group.follow(2, "m1", 2));
    CHECK(group.follow(2, "m0", 1).has_value());
    CHECK(!group.follow(2, "m0", 3));
    write(0, "insert into t values ('old', 1)");
    group.replicate(at(1s));
    CHECK(count(2) == "0");
}

TEST(change_of_primary, promotion_checks_term_and_data) {
    CHECK(std::holds_alternative<sql_error>(group.promote(at(0ms), 1, 2)));
    group.member(2).lag = 1s;
    write(0, "insert into t values ('a', 1)");
    group.replicate(at(0ms));
    CHECK(std::get<term_number>(group.promote(at(0ms), 1, 1)) == 2);
    CHECK(std::holds_alternative<sql_error>(group.promote(at(0ms), 2, 1)));
    CHECK(!group.follow(2, "m1", 2));
    group.replicate(at(0ms)); // knows the history, but not yet the first entry
    CHECK(std::get<sql_error>(group.promote(at(0ms), 2, 2)).message == "the member lacks data of term 2");
}

// Guards against a commit by a transaction that began its writes under an earlier term.
TEST(change_of_primary, transaction_does_not_outlive_the_term) {
    auto work = transaction{};
    run(0, work, "insert into t values ('a', 1)");
    CHECK(succeeds(group.promote(at(0ms), 1, 1)));
    CHECK(!group.follow(0, "m1", 2));
    CHECK(std::get<sql_error>(commit(0, work)).sqlstate == "25006");
}

// Guards against replicas that differ from their primary after any order of writes, partitions and
// promotions.
TEST(change_of_primary, members_agree_after_any_history) {
    citronlug::testing::check_property("convergence", [] {
        auto group = replication_group{3};
        group.create_table(parsed("create table t (k text primary key, v int)"));
        auto primary = std::size_t{0};
        for (auto n = std::size_t{0}; n < 3; ++n) {
            group.member(n).address = "m" + std::to_string(n);
        }
        auto keys = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 18));
        for (const auto step : steps) {
            const auto n = static_cast<std::size_t>(step % 3);
            if (step < 9) {
                auto work = transaction{.owner = 1, .term = group.member(n).term()};
                const auto text = "insert into t values ('" + std::to_string(keys++) + "', 1)";
                [[maybe_unused]] const auto done =
                    execute(group.member(n).data, group.member(n).locks, work, parsed(text), {});
                [[maybe_unused]] const auto outcome = group.commit(at(0ms), n, work);
                group.member(n).locks.release_all(1);
            } else if (step < 12) {
                group.member(n).cut_off = !group.member(n).cut_off;
            } else if (step < 15) {
                group.replicate(at(0ms));
            } else if (const auto old = group.member(primary).known_term;
                       n != primary && std::holds_alternative<term_number>(group.promote(at(0ms), n, old))) {
                primary = n;
                for (auto other = std::size_t{0}; other < 3; ++other) {
                    if (other != n) {
                        RC_ASSERT(!group.follow(other, "m" + std::to_string(n), old + 1));
                    }
                }
            }
        }
        for (auto n = std::size_t{0}; n < 3; ++n) {
            group.member(n).cut_off = false;
        }
        group.replicate(at(0ms));
        for (auto n = std::size_t{0}; n < 3; ++n) {
            RC_ASSERT(group.member(n).log == group.member(primary).log);
            RC_ASSERT(group.member(n).history == group.member(primary).history);
            RC_ASSERT(group.member(n).data.find("t")->rows == group.member(primary).data.find("t")->rows);
        }
    });
}
