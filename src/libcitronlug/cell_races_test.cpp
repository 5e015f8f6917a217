#include <citronlug/testing.h>

#include "cell_simulation.h"

using namespace citronlug;
using namespace citronlug::testing;

// Each test forces one race of the lease protocol. `holder_node` holds the only role at first; the simulation
// records a violation whenever two instances hold it at the same time. The letters mark the kind of race: (a)
// renewal during a takeover, (b) promises and accepted heartbeats, (c) table changes, (d) contact after
// expiry, (e) partial loss of contact, (f) lease of the new holder, (g) promises granted at different times.
TEST_GROUP_BASE(lease_race, citronlug::testing::test_base) {
    std::unique_ptr<cell_simulation> cell;
    std::size_t holder_node = 0, standby_node = 0, peer1 = 0, peer2 = 0, peer3 = 0;

    auto start(int members, int initially = 9)->void {
        cell = std::make_unique<cell_simulation>(members, 7);
        cell->roles = {database_role("r")};
        for (auto n = 0; n < std::min(members, initially); ++n) {
            cell->start(static_cast<std::size_t>(n));
            cell->run(500ms);
        }
        cell->run(20s);
        holder_node = static_cast<std::size_t>(cell->holder(cell->roles[0]));
        CHECK_EQUAL(0, holder_node);
        standby_node = static_cast<std::size_t>(
            std::stoi(cell->stored.roles.at(cell->roles[0]).standby.value.substr(1)) - 1);
        auto others = std::vector<std::size_t>{};
        for (auto n = std::size_t{1}; n < cell->nodes.size(); ++n) {
            if (n != standby_node) {
                others.push_back(n);
            }
        }
        others.resize(3);
        peer1 = others[0];
        peer2 = others[1];
        peer3 = others[2];
    }
    auto isolate(std::size_t n, bool is_blocked = true)->void {
        for (auto other = std::size_t{0}; other < cell->nodes.size(); ++other) {
            cell->set_blocked(n, other, is_blocked);
        }
    }
    auto holds(std::size_t n)->bool {
        return cell->holds_role(n, cell->roles[0]);
    }
    /// Runs until `peer` grants a promise.
    auto run_until_promise(std::size_t peer)->bool {
        auto seen = false;
        cell->message_filter = [&seen, peer](std::size_t from, const send_peer& it) {
            const auto* answer = std::get_if<promise_answer>(&it.message);
            seen = seen || (from == peer && answer != nullptr && answer->granted);
            return true;
        };
        for (auto n = 0; n < 500 && !seen; ++n) {
            cell->run(10ms);
        }
        cell->message_filter = nullptr;
        return seen;
    }
    auto teardown()->void override {
        for (const auto& it : cell->violations) {
            FAIL(it.c_str());
        }
    }
};

// (a) Guards against a takeover write that succeeds although the holder has renewed its lease after the
// record was read.
TEST(lease_race, renewal_between_read_and_takeover_write) {
    start(3);
    isolate(holder_node);
    cell->nodes[holder_node]->reaches_store = false;
    auto write_delayed = false;
    cell->inject_store_fault = [&](std::size_t n, bool is_write) {
        if (n != standby_node || !is_write || write_delayed || holds(holder_node)) {
            return store_call_fault{};
        }
        write_delayed = true;
        cell->nodes[holder_node]->reaches_store = true;
        return store_call_fault{false, 1s, {}};
    };
    CHECK(cell->run_until(6s, [&] { return write_delayed; }));
    CHECK(cell->run_until(1500ms, [&] { return holds(holder_node); }));
    cell->run(8s);
    CHECK(holds(holder_node));
}

// (b) Guards against a peer that accepts heartbeats of the fenced incarnation after its promise.
TEST(lease_race, heartbeat_accepted_after_a_promise) {
    start(5);
    cell->nodes[holder_node]->reaches_store = false;
    cell->set_blocked(holder_node, standby_node);
    cell->set_blocked(holder_node, peer1);
    cell->run(800ms);
    cell->set_blocked(holder_node, peer2);
    CHECK(run_until_promise(peer1));
    cell->set_blocked(holder_node, peer1, false);
    cell->run(4s);
    CHECK(cell->all_held());
}

// (b) Guards against a peer that loses its promise in a restart and accepts heartbeats of the fenced
// incarnation.
TEST(lease_race, promise_lost_in_a_restart) {
    start(5);
    cell->nodes[holder_node]->reaches_store = false;
    cell->set_blocked(holder_node, standby_node);
    cell->set_blocked(holder_node, peer1);
    cell->run(1200ms);
    cell->set_blocked(holder_node, peer2);
    CHECK(run_until_promise(peer1));
    cell->set_blocked(holder_node, peer1, false);
    cell->start(peer1);
    cell->run(4s);
    CHECK(cell->all_held());
}

// (b) Guards against a peer that grants a promise right after a restart because it no longer has a record of
// the heartbeats that it accepted.
TEST(lease_race, accepted_heartbeat_lost_in_a_restart) {
    start(3);
    const auto peer = std::size_t{3} - standby_node; // neither holder nor standby
    cell->nodes[holder_node]->reaches_store = false;
    cell->set_blocked(holder_node, standby_node);
    cell->run(4s);
    CHECK(holds(holder_node));
    cell->set_blocked(holder_node, peer);
    cell->start(peer);
    cell->run(6s);
    CHECK(cell->all_held());
}

// (c) Guards against members that join without confirmation until they outvote a majority of the old table.
TEST(lease_race, table_change_without_confirmation) {
    start(5, 3);
    cell->partition(0b00011); // the holder and one member against the third and two new ones
    cell->nodes[0]->reaches_store = false;
    cell->nodes[1]->reaches_store = false;
    cell->start(3);
    cell->start(4);
    cell->run(12s);
    CHECK(holds(0));
}

// (c) Guards against two table changes in quick succession after which promises under the newest table do not
// intersect with a majority of the table two versions earlier.
TEST(lease_race, two_table_changes_and_a_promise) {
    start(5, 3);
    auto joins_allowed = false;
    cell->message_filter = [&](std::size_t from, const send_peer& it) {
        return joins_allowed || from < 3 || !std::holds_alternative<table_request>(it.message);
    };
    cell->nodes[0]->reaches_store = false;
    cell->set_blocked(0, 2);
    cell->set_blocked(0, 3);
    cell->set_blocked(0, 4);
    cell->start(3);
    cell->start(4);
    cell->run(4s);
    CHECK(holds(0));
    joins_allowed = true;
    // The holder's last remaining peer accepts a heartbeat just before it adopts the new table.
    CHECK(cell->run_until(2s, [&] { return cell->stored.table_version == 4; }));
    cell->set_blocked(0, 1);
    cell->run(8s);
    CHECK(cell->all_held());
}

// (d) Guards against authority that is restored when contact returns after it has expired.
TEST(lease_race, contact_after_expiry) {
    start(3);
    isolate(holder_node);
    cell->nodes[holder_node]->reaches_store = false;
    CHECK(cell->run_until(4s, [&] { return holds(standby_node); }));
    cell->run(4s);
    isolate(holder_node, false);
    cell->run(4s);
    CHECK(holds(standby_node));
}

// (e) Guards against a standby that takes over because it alone has lost contact with the holder.
TEST(lease_race, takeover_without_promises) {
    start(3);
    cell->set_blocked(holder_node, standby_node);
    cell->run(10s);
    CHECK(holds(holder_node));
}

// (f) Guards against a takeover write that does not renew the new holder's own lease: another member that has
// seen no change of its renewal counter for long would fence it at once.
TEST(lease_race, takeover_write_without_lease_renewal) {
    start(5);
    cell->crash(holder_node);
    auto writes_allowed = false;
    auto isolated = false;
    cell->inject_store_fault = [&](std::size_t n, bool is_write) {
        if (n == standby_node && is_write && !isolated) {
            // Isolate it and let it write only after the others no longer accept its heartbeats.
            isolated = true;
            isolate(standby_node);
            cell->nodes[standby_node]->reaches_store = false;
            cell->after(5s, [&] { cell->nodes[standby_node]->reaches_store = true; });
        }
        return store_call_fault{
            !writes_allowed && (n != standby_node || !cell->nodes[standby_node]->reaches_store), {}, {}};
    };
    CHECK(cell->run_until(12s, [&] { return holds(standby_node); }));
    writes_allowed = true;
    cell->run(8s);
    CHECK(cell->all_held());
}

// (f) Guards against a lease that is counted from the store's reply: the reply to the takeover write arrives
// after the lease has expired.
TEST(lease_race, lease_counted_from_the_answer) {
    start(5);
    cell->crash(holder_node);
    auto delayed = false;
    cell->inject_store_fault = [&](std::size_t n, bool is_write) {
        if (n != standby_node || !is_write || delayed) {
            return store_call_fault{};
        }
        delayed = true;
        isolate(standby_node);
        return store_call_fault{false, {}, 4s};
    };
    cell->run(12s);
    CHECK(delayed);
    CHECK(cell->all_held());
}

// (g) Guards against a majority of promises that are not all in force at the same time.
TEST(lease_race, promises_not_in_force_at_the_same_time) {
    start(5);
    cell->nodes[holder_node]->reaches_store = false;
    cell->set_blocked(holder_node, standby_node);
    cell->set_blocked(holder_node, peer1);
    CHECK(run_until_promise(peer1));
    cell->set_blocked(holder_node, peer1, false);
    cell->run(1200ms);
    cell->set_blocked(holder_node, peer2);
    cell->run(6s);
    CHECK(holds(holder_node));
}

// (b) Guards against a promise granted too early with clocks that are off by 5%: the holder's is slow, the
// peers' are fast.
TEST(lease_race, promise_soon_after_an_answer_with_clock_drift) {
    for (auto offset = 0ms; offset < 400ms; offset += 25ms) {
        start(3);
        const auto peer = std::size_t{3} - standby_node;
        cell->set_blocked(holder_node, standby_node);
        cell->run(3s + offset);
        CHECK(holds(holder_node));
        // From here on the clocks diverge; each continues from its current time.
        for (auto n = std::size_t{0}; n < 3; ++n) {
            cell->set_rate(n, n == holder_node ? 0.95 : 1.05);
        }
        cell->nodes[holder_node]->reaches_store = false;
        cell->set_blocked(holder_node, peer);
        cell->run(5s);
        CHECK(holds(standby_node) || holds(peer));
        teardown();
    }
}

// (c) Guards against a peer that accepts heartbeats of a holder whose table is two versions old.
TEST(lease_race, heartbeat_accepted_under_a_newer_table) {
    start(5, 3);
    cell->message_filter = [&](std::size_t, const send_peer& it) {
        return it.to.value != "i1" || !std::holds_alternative<record_answer>(it.message);
    };
    cell->nodes[0]->reaches_store = false;
    for (const auto n : {2U, 3U, 4U}) {
        cell->set_blocked(0, n);
    }
    cell->run(4s);
    cell->start(3);
    cell->start(4);
    CHECK(cell->run_until(4s, [&] { return cell->stored.table_version == 4; }));
    cell->run(10s);
    CHECK(cell->all_held());
}

// (e) Guards against a restarted instance that votes against its earlier incarnation, which may still run and
// counts the same slot towards its majority.
TEST(lease_race, vote_of_the_restarted_slot) {
    start(3);
    cell->crash(std::size_t{3} - standby_node);
    cell->start(holder_node);
    cell->run(10s);
    CHECK(!cell->all_held());
    cell->start(std::size_t{3} - standby_node);
    CHECK(cell->run_until(8s, [&] { return cell->all_held(); }));
}

// Guards against a holder that keeps a role which it hands over for balance until the store's reply arrives.
TEST(lease_race, hand_over_with_a_late_answer) {
    start(3);
    cell->roles.push_back(database_role("s"));
    cell->set_roles(holder_node);
    CHECK(cell->run_until(
        6s, [&] { return holds(holder_node) && cell->holds_role(holder_node, cell->roles[1]); }));
    auto move_written = false;
    cell->inject_store_fault = [&](std::size_t n, bool is_write) {
        move_written = move_written || (n == holder_node && is_write);
        return store_call_fault{false, {}, n == holder_node && is_write ? duration{1500ms} : duration{}};
    };
    CHECK(cell->run_until(8s, [&] { return move_written; }));
    cell->roles.push_back(database_role("t")); // makes the others read the record
    cell->set_roles(1);
    cell->set_roles(2);
    CHECK(cell->run_until(8s, [&] { return cell->all_held(); }));
}

// Guards against roles that stay without a valid holder because a holder that receives nothing still sends
// heartbeats to all peers.
TEST(lease_race, holder_that_receives_nothing) {
    start(3);
    cell->nodes[holder_node]->reaches_store = false;
    for (const auto n : {1U, 2U}) {
        cell->blocked[n][holder_node] = true;
    }
    CHECK(cell->run_until(8s, [&] { return cell->holder(cell->roles[0]) > 0; }));
}
