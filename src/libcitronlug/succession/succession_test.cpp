#include "../coordinator_test_fixture.h"

using namespace citronlug;

namespace {

const auto s1 = server_id{"s1"};
const auto s2 = server_id{"s2"};
const auto s3 = server_id{"s3"};

} // namespace

// Scenario: s1 acknowledges writes that no replica receives, and crashes. s3 leads and acknowledges others,
// which s2 does not receive.
struct parted_log_fixture : coordinator_fixture {
    auto crash(const server_id& id) -> void { server_states[id].alive = false; }

    /// Back with its log, as a replica if another server has led since.
    auto restart(const server_id& id) -> void {
        auto& it = server_states[id];
        it.alive = true;
        it.is_primary = it.is_primary && it.term == newest_term();
    }

    auto write(const server_id& id, log_position entries) -> void { server_states[id].log += entries; }

    /// The server receives all that the primary has, and drops what the primary lacks.
    auto receive(const server_id& id) -> void {
        const auto& from = server_states[record().primary];
        server_states[id].term = from.term;
        server_states[id].log = from.log;
    }

    /// The coordinator's process ends, and another instance takes the lease over.
    auto replace_coordinator() -> void {
        const auto holder = std::string{coordinators["a"]->is_coordinating(now) ? "a" : "b"};
        running[holder] = false;
        run_for(5s);
        add(holder, ++run);
    }

    auto crash_first_primary() -> void {
        run_for(1s);
        write(s1, 30);
        crash(s1);
        run_for(3s);
        CHECK_EQUAL(std::string{"s3"}, record().primary.value);
        write(s3, 5);
        run_for(4s);
    }

    incarnation run = 10;
};

TEST_GROUP_BASE(parted_log, parted_log_fixture){};

// Guards against stale reads: a former primary with writes that no read of the later term saw is promoted,
// because its position is the highest, and the writes of that term are gone.
TEST(parted_log, is_not_promoted_when_the_former_primary_returns) {
    crash_first_primary();
    crash(s3);
    restart(s1);
    run_for(3s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
}

// Guards against the same by a coordinator that did not make the change before.
TEST(parted_log, is_known_to_the_next_coordinator) {
    crash_first_primary();
    replace_coordinator();
    crash(s3);
    restart(s1);
    run_for(3s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
}

// Guards against a promotion for want of another server: one with a log of the history may come back.
TEST(parted_log, waits_for_a_server_with_the_log_of_the_history) {
    crash_first_primary();
    crash(s2);
    crash(s3);
    restart(s1);
    set_registered_servers({registered_servers[0]}); // the entries of the others expire
    run_for(20s);
    CHECK_EQUAL(1U, orders.size());
    set_registered_servers({server("s1"), server("s2"), server("s3")});
    restart(s2);
    run_for(3s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
}

// Guards against a server that is excluded for good: what it has beyond the history is dropped as soon as it
// follows the primary.
TEST(parted_log, ends_when_the_server_follows_the_primary) {
    crash_first_primary();
    restart(s1);
    receive(s1);
    run_for(1s);
    crash(s3);
    run_for(3s);
    CHECK_EQUAL(std::string{"s1"}, record().primary.value);
    // Another change: s2 has received nothing since the first one, and its log still belongs to the history.
    write(s1, 5);
    run_for(4s);
    crash(s1);
    run_for(3s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
}

// Guards against a position of a term before the last one, after several changes by different coordinators.
TEST(parted_log, is_known_after_several_changes) {
    crash_first_primary();
    receive(s2);
    write(s3, 100);
    crash(s3);
    run_for(3s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
    replace_coordinator();
    // Both former primaries have entries that were rolled back: 105 to 134 of term 1, 110 to 209 of term 2.
    restart(s1);
    restart(s3);
    crash(s2);
    run_for(10s);
    CHECK_EQUAL(2U, orders.size());
    restart(s2);
    receive(s3);
    crash(s2);
    run_for(5s);
    CHECK_EQUAL(std::string{"s3"}, record().primary.value);
}

// Guards against a change that begins although no server may take over, which would end the permissions.
TEST(parted_log, does_not_begin_a_change) {
    crash_first_primary();
    crash(s2);
    restart(s1);
    const auto generation = record().generation;
    crash(s3);
    run_for(5s);
    CHECK_EQUAL(generation, record().generation);
    CHECK_FALSE(record().changing);
    server_states[s3].alive = true;
    run_for(1s);
    CHECK_EQUAL(std::string{"s3"}, record().primary.value);
}

TEST_GROUP(primary_record_text){};

// Guards against a store that comes back with records of the previous version, and against a lost history.
TEST(primary_record_text, holds_the_history) {
    auto it = primary_record{s1, 4, 7, true, s2, 3};
    CHECK_TRUE(it == parse_primary(to_text(it)));
    CHECK_EQUAL(std::string::npos, to_text(it).find("history"));
    it.history.begin_term(4, 170);
    CHECK_TRUE(it == parse_primary(to_text(it)));
}
