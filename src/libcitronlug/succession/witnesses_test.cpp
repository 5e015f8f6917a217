#include "../coordinator_test_fixture.h"

#include <citronlug/acknowledged_writes.h>
#include <citronlug/confirming_servers.h>

using namespace citronlug;

namespace {

const auto s1 = server_id{"s1"};
const auto s2 = server_id{"s2"};
const auto s3 = server_id{"s3"};
const auto a = instance_id{"a"};
const auto b = instance_id{"b"};

} // namespace

// Scenario: the group replicates synchronously. Instance "a" coordinates. A write is acknowledged that s1,
// the primary, and s2 have; s3 receives nothing.
struct witnesses_fixture : coordinator_fixture {
    void setup() override {
        coordinator_fixture::setup();
        set_synchronous_replicas(1);
        acknowledged_by[a] = acknowledged_by[b] = position{1, 100};
        running["b"] = false;
        run_for(1s);
        CHECK_TRUE(coordinators["a"]->is_coordinating(now));
    }

    auto acknowledge(const instance_id& by) -> void {
        server_states[s1].log = server_states[s2].log = 150;
        acknowledged_by[by] = position{1, 150};
    }

    /// The process ends, and what it knew with it.
    auto restart(const instance_id& id) -> void {
        runs[id] = ++run;
        acknowledged_by[id].reset();
        if (id == a) {
            add("a", run);
            set_synchronous_replicas(1);
        }
    }

    auto crash(std::initializer_list<server_id> ids) -> void {
        for (const auto& id : ids) {
            server_states[id].alive = false;
        }
    }

    incarnation run = 10;
};

TEST_GROUP_BASE(succession_witnesses, witnesses_fixture){};

// Guards against a successor without an acknowledged write, because the coordinator that acknowledged it
// has been restarted.
TEST(succession_witnesses, coordinator_that_restarted_asks_the_primary_first) {
    acknowledge(a);
    run_for(500ms);
    restart(a);
    run_for(1500ms);
    CHECK_TRUE(coordinators["a"]->is_coordinating(now));
    crash({s1, s2});
    run_for(10s);
    CHECK_TRUE(record().changing);
    CHECK_EQUAL(0U, orders.size());
    server_states[s2].alive = true;
    run_for(1s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
}

// Guards against the same after a restart of another instance, just before the primary and the server that
// has the write are lost: there was no time to ask the primary.
TEST(succession_witnesses, restarted_instance_is_none_without_an_answer_of_the_primary) {
    acknowledge(b);
    acknowledged_by[b] = position{1, 100}; // its last report lacks the write
    run_for(100ms);
    restart(b);
    crash({s1, s2});
    run_for(10s);
    CHECK_TRUE(record().changing);
    CHECK_EQUAL(0U, orders.size());
    server_states[s2].alive = true;
    run_for(1s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
}

// Guards against a service that waits although a server with all acknowledged writes is ready.
TEST(succession_witnesses, restarted_instance_is_one_once_the_primary_has_answered) {
    acknowledge(b);
    server_states[s3].log = 150;
    restart(b);
    run_for(600ms);
    // The bound does not follow the primary further, whose newest entries may not be acknowledged.
    server_states[s1].log = 160;
    run_for(1s);
    crash({s1, s2});
    run_for(2s);
    CHECK_EQUAL(std::string{"s3"}, record().primary.value);
}

// Guards against a report that is forgotten because its instance is restarted during the change.
TEST(succession_witnesses, instance_remains_one_after_its_report) {
    acknowledge(b);
    server_states[s3].log = 150;
    run_for(100ms);
    crash({s1, s2});
    for (auto n = 0; n < 200 && !record().changing; ++n) {
        run_for(20ms);
    }
    silent = {a};
    run_for(100ms);
    restart(b);
    run_for(100ms);
    CHECK_EQUAL(0U, orders.size());
    silent.clear();
    run_for(500ms);
    CHECK_EQUAL(std::string{"s3"}, record().primary.value);
}

// Guards against a later coordinator that takes the server that lacks a write for the only replica, because
// the entry of the one that has it has expired.
TEST(succession_witnesses, next_coordinator_asks_all_servers_that_may_have_confirmed_a_write) {
    acknowledge(b);
    run_for(1s);
    CHECK_EQUAL(3U, record().confirming.size());
    silent = {b};
    running["a"] = false;
    crash({s1, s2});
    registered_servers = {server("s3")};
    restart(a);
    run_for(10s);
    CHECK_TRUE(coordinators["a"]->is_coordinating(now));
    CHECK_EQUAL(0U, orders.size());
    set_registered_servers({server("s1"), server("s2"), server("s3")});
    server_states[s2].alive = true;
    run_for(3s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
}

// Guards against a group that waits for a server that has left and was replaced.
TEST(succession_witnesses, server_that_left_is_replaced_by_one_that_has_all_writes) {
    acknowledge(b);
    run_for(100ms);
    // s2 leaves while s3 lacks a write of it: it still has to be asked.
    set_registered_servers({server("s1"), server("s3")});
    run_for(2s);
    CHECK_EQUAL(3U, record().confirming.size());
    server_states[s3].log = 150;
    run_for(2s);
    CHECK_EQUAL(2U, record().confirming.size());

    // Its place is taken by s4, and no instance that knows of acknowledged writes is left.
    server_states[server_id{"s4"}] = {true, false, 1, 140};
    set_registered_servers({server("s1"), server("s3"), server("s4")});
    run_for(1s);
    CHECK_EQUAL(3U, record().confirming.size());
    silent = {b};
    crash({s1});
    run_for(5s);
    CHECK_EQUAL(std::string{"s3"}, record().primary.value);
}

// Guards against a group that stays without a primary although the old one, which has all writes, is back
// before any other server that has them.
TEST(succession_witnesses, primary_that_is_back_first_is_kept) {
    acknowledge(b);
    run_for(100ms);
    crash({s1, s2});
    run_for(4s);
    CHECK_TRUE(record().changing);
    server_states[s1].alive = true;
    run_for(500ms);
    CHECK_EQUAL(std::string{"s1"}, record().primary.value);
    CHECK_FALSE(record().changing);
    CHECK_EQUAL(0U, orders.size());

    // The next change is made as usual.
    run_for(4s);
    server_states[s3].log = 150;
    crash({s1});
    run_for(4s);
    CHECK_EQUAL(std::string{"s3"}, record().primary.value);
}

// Guards against a new term in which it is forgotten what ended runs acknowledged before. The write of its
// record fails at first, and its primary is lost soon.
TEST(succession_witnesses, new_term_covers_what_ended_runs_acknowledged_before) {
    acknowledge(b);
    acknowledged_by[b] = position{1, 100}; // its last report lacks the write
    run_for(100ms);
    restart(b);
    crash({s1});
    for (auto n = 0; n < 400 && orders.empty(); ++n) {
        run_for(20ms);
    }
    CHECK_EQUAL(std::string{"s2"}, orders.at(0).server.value);
    writes_fail = true;
    run_for(200ms);
    crash({s2});
    writes_fail = false;
    run_for(10s);
    CHECK_TRUE(record().changing);
    for (const auto& it : orders) {
        CHECK_EQUAL(std::string{"s2"}, it.server.value);
    }
    server_states[s2].alive = true;
    run_for(3s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
}

// Guards against a server that is counted as a replica without the write, although it lost its log.
TEST(succession_witnesses, server_that_lost_its_log_is_none) {
    silent = {b};
    acknowledge(b);
    run_for(100ms);
    crash({s1});
    server_states[s2].log = 0;
    run_for(10s);
    CHECK_TRUE(record().changing);
    CHECK_EQUAL(0U, orders.size());
}

// Guards against a coordinator that takes the group for one that replicates asynchronously, because it does
// not have the rules yet.
TEST(succession_witnesses, coordinator_waits_for_the_rules) {
    acknowledge(b);
    run_for(100ms);
    runs[a] = ++run;
    coordinators["a"] = make_coordinator("a", run);
    run_for(1s);
    CHECK_EQUAL(3U, record().confirming.size());
    crash({s1, s2});
    run_for(5s);
    CHECK_EQUAL(0U, orders.size());
    CHECK_FALSE(record().changing);
    set_synchronous_replicas(1);
    server_states[s2].alive = true;
    run_for(3s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
}

// Guards against acknowledged writes of an earlier coordinator's time that are lost several changes later.
TEST(succession_witnesses, hold_through_several_changes_and_coordinators) {
    acknowledge(b);
    run_for(100ms);
    crash({s1});
    run_for(3s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
    restart(a);
    restart(b);
    run_for(2s);
    crash({s2}); // s3 still lacks the write
    run_for(10s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
    server_states[s1] = {true, false, 1, 150};
    run_for(4s);
    CHECK_EQUAL(std::string{"s1"}, record().primary.value);
}

TEST_GROUP(instance_witness){};

// Guards against a bound that rises with each position of the primary.
TEST(instance_witness, needs_one_position_of_the_primary_after_its_earlier_run) {
    auto runs = instance_runs{};
    auto writes = acknowledged_writes{};
    runs.on_report(time_point{10s}, a, 1);
    CHECK_FALSE(writes.covers_earlier_runs(a, runs));
    writes.on_primary_position(time_point{9s}, {1, 10}, runs);
    CHECK_FALSE(writes.covers_earlier_runs(a, runs));
    writes.on_primary_position(time_point{11s}, {1, 20}, runs);
    writes.on_primary_position(time_point{12s}, {1, 30}, runs);
    CHECK_TRUE(writes.covers_earlier_runs(a, runs));
    CHECK_TRUE((writes.bound() == position{1, 20}));
    runs.on_report(time_point{13s}, a, 2);
    CHECK_FALSE(writes.covers_earlier_runs(a, runs));
    writes.begin_term(time_point{14s}, {1, 25});
    CHECK_TRUE((writes.bound() == position{1, 25}));
    CHECK_TRUE(writes.covers_earlier_runs(a, runs));
    CHECK_FALSE(writes.covers_earlier_runs(b, runs));
}

// Guards against a server that is dropped by the proof for another one that left before it, and against a
// replica that lacks what the missing server may have confirmed.
TEST(instance_witness, of_a_server_is_dropped_only_by_what_followed_its_own_end) {
    auto record = primary_record{s1, 1, 1, false, {}, 0};
    record.confirming = {s1, s2, s3};
    auto servers = confirming_servers{};
    const auto next = [&](int second, const std::set<server_id>& registered, int asked, position primary,
                          position replica) {
        return servers.next(
            time_point{std::chrono::seconds{second}}, record, registered,
            confirming_servers::primary_position{time_point{std::chrono::seconds{asked}}, primary},
            {replica});
    };
    const auto s4 = server_id{"s4"};
    CHECK_EQUAL(4U, next(10, {s1, s3, s4}, 9, {1, 100}, {1, 100}).size());
    CHECK_TRUE(servers.has_missing());
    CHECK_EQUAL(4U, next(12, {s1, s3, s4}, 11, {1, 120}, {1, 119}).size());
    CHECK_EQUAL(4U, next(14, {s1, s4}, 13, {1, 130}, {1, 125}).size()); // s3 leaves too
    CHECK_EQUAL(4U, next(16, {s1, s4}, 15, {1, 140}, {1, 139}).size());
    CHECK_EQUAL(2U, next(18, {s1, s4}, 17, {1, 150}, {1, 140}).size());
}
