#include <citronlug/testing.h>

#include "cell_simulation.h"

using namespace citronlug;
using namespace citronlug::testing;

// Each test drives a cell into one race that the lease rules must survive. A holds the only role; the
// simulation reports every moment at which two instances act on it.
TEST_GROUP_BASE(lease_race, citronlug::testing::story) {
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
        cell->filter = [&seen, peer](std::size_t from, const send_peer& it) {
            const auto* answer = std::get_if<promise_answer>(&it.message);
            seen = seen || (from == peer && answer != nullptr && answer->granted);
            return true;
        };
        for (auto n = 0; n < 500 && !seen; ++n) {
            cell->run(10ms);
        }
        cell->filter = nullptr;
        return seen;
    }
    auto teardown()->void override {
        for (const auto& it : cell->violations) {
            FAIL(it.c_str());
        }
    }
};

// (a) A renewal that lands between the read of an expired lease and the rewrite of the role.
TEST(lease_race, renewal_between_read_and_rewrite) {
    start(3);
    isolate(holder_node);
    cell->nodes[holder_node]->reaches_store = false;
    auto raced = false;
    cell->store_filter = [&](std::size_t n, bool is_write) {
        if (n != standby_node || !is_write || raced || holds(holder_node)) {
            return store_call_fault{};
        }
        raced = true;
        cell->nodes[holder_node]->reaches_store = true;
        return store_call_fault{false, 1s, {}};
    };
    CHECK(cell->run_until(6s, [&] { return raced; }));
    CHECK(cell->run_until(1500ms, [&] { return holds(holder_node); }));
    cell->run(8s);
    CHECK(holds(holder_node));
}

// (b) A peer that promised answers the fenced incarnation again.
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

// (b) A peer promises and restarts; the new incarnation knows nothing of the promise.
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

// (b) A peer answers, restarts and promises at once, because it knows of no answer.
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

// (c) Members join without confirmation until they outvote a majority of the old table.
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

// (c) Two quick table changes: promises under the newest table against authority under the one before the
// last.
TEST(lease_race, two_table_changes_and_a_promise) {
    start(5, 3);
    auto joining = false;
    cell->filter = [&](std::size_t from, const send_peer& it) {
        return joining || from < 3 || !std::holds_alternative<table_request>(it.message);
    };
    cell->nodes[0]->reaches_store = false;
    cell->set_blocked(0, 2);
    cell->set_blocked(0, 3);
    cell->set_blocked(0, 4);
    cell->start(3);
    cell->start(4);
    cell->run(4s);
    CHECK(holds(0));
    joining = true;
    // The holder's last contact answers just before it learns of the new table.
    CHECK(cell->run_until(2s, [&] { return cell->stored.table_version == 4; }));
    cell->set_blocked(0, 1);
    cell->run(8s);
    CHECK(cell->all_held());
}

// (d) Contact returns after expiry and seems to restore the authority.
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

// (e) The standby sees nothing of the holder, but the holder has its majority elsewhere.
TEST(lease_race, takeover_without_promises) {
    start(3);
    cell->set_blocked(holder_node, standby_node);
    cell->run(10s);
    CHECK(holds(holder_node));
}

// (f) A taker whose write renews no lease of its own is fenced at once by one who saw its old counter long
// ago.
TEST(lease_race, takeover_write_without_lease_renewal) {
    start(5);
    cell->crash(holder_node);
    auto written = false;
    auto waiting = false;
    cell->store_filter = [&](std::size_t n, bool is_write) {
        if (n == standby_node && is_write && !waiting) {
            waiting =
                true; // fenced: cut it off and let it write only after the others have stopped answering it
            isolate(standby_node);
            cell->nodes[standby_node]->reaches_store = false;
            cell->after(5s, [&] { cell->nodes[standby_node]->reaches_store = true; });
        }
        return store_call_fault{
            !written && (n != standby_node || !cell->nodes[standby_node]->reaches_store), {}, {}};
    };
    CHECK(cell->run_until(12s, [&] { return holds(standby_node); }));
    written = true;
    cell->run(8s);
    CHECK(cell->all_held());
}

// (f) The answer to the taker's write arrives when the lease that it renewed is over.
TEST(lease_race, lease_counted_from_the_answer) {
    start(5);
    cell->crash(holder_node);
    auto delayed = false;
    cell->store_filter = [&](std::size_t n, bool is_write) {
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

// (g) Promises that follow each other, the first no longer in force when the last is made.
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

// (b) Clocks that are off by 5%: the holder's is slow, the peers' are fast.
TEST(lease_race, promise_soon_after_an_answer_with_clock_drift) {
    for (auto offset = 0ms; offset < 400ms; offset += 25ms) {
        start(3);
        const auto peer = std::size_t{3} - standby_node;
        cell->set_blocked(holder_node, standby_node);
        cell->run(3s + offset);
        CHECK(holds(holder_node));
        // From here the clocks diverge; each goes on from its present time.
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

// (c) A peer that knows a newer table answers a holder that has missed two changes.
TEST(lease_race, heartbeat_accepted_under_a_newer_table) {
    start(5, 3);
    cell->filter = [&](std::size_t, const send_peer& it) {
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

// (e) A restarted slot must not vote against its own earlier incarnation, which may still run and counts the
// slot for itself.
TEST(lease_race, vote_of_the_restarted_slot) {
    start(3);
    cell->crash(std::size_t{3} - standby_node);
    cell->start(holder_node);
    cell->run(10s);
    CHECK(!cell->all_held());
    cell->start(std::size_t{3} - standby_node);
    CHECK(cell->run_until(8s, [&] { return cell->all_held(); }));
}

// A role moved for balance is not acted on while the answer to the write is on its way.
TEST(lease_race, hand_over_with_a_late_answer) {
    start(3);
    cell->roles.push_back(database_role("s"));
    cell->set_roles(holder_node);
    CHECK(cell->run_until(
        6s, [&] { return holds(holder_node) && cell->holds_role(holder_node, cell->roles[1]); }));
    auto late = false;
    cell->store_filter = [&](std::size_t n, bool is_write) {
        late = late || (n == holder_node && is_write);
        return store_call_fault{false, {}, n == holder_node && is_write ? duration{1500ms} : duration{}};
    };
    CHECK(cell->run_until(8s, [&] { return late; }));
    cell->roles.push_back(database_role("t")); // the others read the record for this vacant role
    cell->set_roles(1);
    cell->set_roles(2);
    CHECK(cell->run_until(8s, [&] { return cell->all_held(); }));
}

// A holder that hears nothing and is heard by all loses its roles to the others.
TEST(lease_race, holder_that_receives_nothing) {
    start(3);
    cell->nodes[holder_node]->reaches_store = false;
    for (const auto n : {1U, 2U}) {
        cell->blocked[n][holder_node] = true;
    }
    CHECK(cell->run_until(8s, [&] { return cell->holder(cell->roles[0]) > 0; }));
}
