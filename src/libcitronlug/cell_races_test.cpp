#include <citronlug/testing.h>

#include "cell_simulation.h"

using namespace citronlug;
using namespace citronlug::testing;

// Each test drives a cell into one race that the lease rules must survive. A holds the only role; the
// simulation reports every moment at which two instances act on it.
TEST_GROUP_BASE(a_race, citronlug::testing::test_base) {
    std::unique_ptr<cell_simulation> cell;
    std::size_t a = 0, b = 0, c = 0, d = 0, e = 0; // a: holder, d: its standby

    auto start(int members, int initially = 9)->void {
        cell = std::make_unique<cell_simulation>(members, 7);
        cell->roles = {database_role("r")};
        for (auto n = 0; n < std::min(members, initially); ++n) {
            cell->start(static_cast<std::size_t>(n));
            cell->run(500ms);
        }
        cell->run(20s);
        a = static_cast<std::size_t>(cell->holder(cell->roles[0]));
        CHECK_EQUAL(0, a);
        d = static_cast<std::size_t>(
            std::stoi(cell->stored.roles.at(cell->roles[0]).standby.value.substr(1)) - 1);
        auto others = std::vector<std::size_t>{};
        for (auto n = std::size_t{1}; n < cell->nodes.size(); ++n) {
            if (n != d) {
                others.push_back(n);
            }
        }
        others.resize(3);
        b = others[0];
        c = others[1];
        e = others[2];
    }
    auto cut_all(std::size_t n, bool both = true)->void {
        for (auto other = std::size_t{0}; other < cell->nodes.size(); ++other) {
            cell->cut(n, other, both);
        }
    }
    auto acts(std::size_t n)->bool {
        return cell->believes(n, cell->roles[0]);
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
        for (const auto& it : cell->faults) {
            FAIL(it.c_str());
        }
    }
};

// (a) A renewal that lands between the read of an expired lease and the rewrite of the role.
TEST(a_race, renewal_between_read_and_rewrite) {
    start(3);
    cut_all(a);
    cell->nodes[a]->reaches_store = false;
    auto raced = false;
    cell->store_filter = [&](std::size_t n, bool is_write) {
        if (n != d || !is_write || raced || acts(a)) {
            return store_fate{};
        }
        raced = true;
        cell->nodes[a]->reaches_store = true;
        return store_fate{false, 1s, {}};
    };
    CHECK(cell->run_until(6s, [&] { return raced; }));
    CHECK(cell->run_until(1500ms, [&] { return acts(a); }));
    cell->run(8s);
    CHECK(acts(a));
}

// (b) A peer that promised answers the fenced incarnation again.
TEST(a_race, promise_and_later_answer) {
    start(5);
    cell->nodes[a]->reaches_store = false;
    cell->cut(a, d);
    cell->cut(a, b);
    cell->run(800ms);
    cell->cut(a, c);
    CHECK(run_until_promise(b));
    cell->cut(a, b, false);
    cell->run(4s);
    CHECK(cell->all_held());
}

// (b) A peer promises and restarts; the new incarnation knows nothing of the promise.
TEST(a_race, promise_forgotten_by_a_restart) {
    start(5);
    cell->nodes[a]->reaches_store = false;
    cell->cut(a, d);
    cell->cut(a, b);
    cell->run(1200ms);
    cell->cut(a, c);
    CHECK(run_until_promise(b));
    cell->cut(a, b, false);
    cell->start(b);
    cell->run(4s);
    CHECK(cell->all_held());
}

// (b) A peer answers, restarts and promises at once, because it knows of no answer.
TEST(a_race, answer_forgotten_by_a_restart) {
    start(3);
    const auto peer = std::size_t{3} - d; // neither holder nor standby
    cell->nodes[a]->reaches_store = false;
    cell->cut(a, d);
    cell->run(4s);
    CHECK(acts(a));
    cell->cut(a, peer);
    cell->start(peer);
    cell->run(6s);
    CHECK(cell->all_held());
}

// (c) Members join without confirmation until they outvote a majority of the old table.
TEST(a_race, table_change_without_confirmation) {
    start(5, 3);
    cell->split(0b00011); // the holder and one member against the third and two new ones
    cell->nodes[0]->reaches_store = false;
    cell->nodes[1]->reaches_store = false;
    cell->start(3);
    cell->start(4);
    cell->run(12s);
    CHECK(acts(0));
}

// (c) Two quick table changes: promises under the newest table against authority under the one before the
// last.
TEST(a_race, two_table_changes_and_a_promise) {
    start(5, 3);
    auto joining = false;
    cell->filter = [&](std::size_t from, const send_peer& it) {
        return joining || from < 3 || !std::holds_alternative<table_request>(it.message);
    };
    cell->nodes[0]->reaches_store = false;
    cell->cut(0, 2);
    cell->cut(0, 3);
    cell->cut(0, 4);
    cell->start(3);
    cell->start(4);
    cell->run(4s);
    CHECK(acts(0));
    joining = true;
    // The holder's last contact answers just before it learns of the new table.
    CHECK(cell->run_until(2s, [&] { return cell->stored.table_version == 4; }));
    cell->cut(0, 1);
    cell->run(8s);
    CHECK(cell->all_held());
}

// (d) Contact returns after expiry and seems to restore the authority.
TEST(a_race, contact_after_expiry) {
    start(3);
    cut_all(a);
    cell->nodes[a]->reaches_store = false;
    CHECK(cell->run_until(4s, [&] { return acts(d); }));
    cell->run(4s);
    cut_all(a, false);
    cell->run(4s);
    CHECK(acts(d));
}

// (e) The standby sees nothing of the holder, but the holder has its majority elsewhere.
TEST(a_race, takeover_without_promises) {
    start(3);
    cell->cut(a, d);
    cell->run(10s);
    CHECK(acts(a));
}

// (f) A taker whose write renews no lease of its own is fenced at once by one who saw its old counter long
// ago.
TEST(a_race, taker_without_a_renewed_lease) {
    start(5);
    cell->crash(a);
    auto written = false;
    auto waiting = false;
    cell->store_filter = [&](std::size_t n, bool is_write) {
        if (n == d && is_write && !waiting) {
            waiting =
                true; // fenced: cut it off and let it write only after the others have stopped answering it
            cut_all(d);
            cell->nodes[d]->reaches_store = false;
            cell->after(5s, [&] { cell->nodes[d]->reaches_store = true; });
        }
        return store_fate{!written && (n != d || !cell->nodes[d]->reaches_store), {}, {}};
    };
    CHECK(cell->run_until(12s, [&] { return acts(d); }));
    written = true;
    cell->run(8s);
    CHECK(cell->all_held());
}

// (f) The answer to the taker's write arrives when the lease that it renewed is over.
TEST(a_race, lease_counted_from_the_answer) {
    start(5);
    cell->crash(a);
    auto delayed = false;
    cell->store_filter = [&](std::size_t n, bool is_write) {
        if (n != d || !is_write || delayed) {
            return store_fate{};
        }
        delayed = true;
        cut_all(d);
        return store_fate{false, {}, 4s};
    };
    cell->run(12s);
    CHECK(delayed);
    CHECK(cell->all_held());
}

// (g) Promises that follow each other, the first no longer in force when the last is made.
TEST(a_race, promises_one_after_the_other) {
    start(5);
    cell->nodes[a]->reaches_store = false;
    cell->cut(a, d);
    cell->cut(a, b);
    CHECK(run_until_promise(b));
    cell->cut(a, b, false);
    cell->run(1200ms);
    cell->cut(a, c);
    cell->run(6s);
    CHECK(acts(a));
}

// (b) Clocks that are off by 5%: the holder's is slow, the peers' are fast.
TEST(a_race, promise_soon_after_an_answer_with_clock_drift) {
    for (auto offset = 0ms; offset < 400ms; offset += 25ms) {
        start(3);
        const auto peer = std::size_t{3} - d;
        cell->cut(a, d);
        cell->run(3s + offset);
        CHECK(acts(a));
        // From here the clocks diverge; each goes on from its present time.
        for (auto n = std::size_t{0}; n < 3; ++n) {
            cell->set_rate(n, n == a ? 0.95 : 1.05);
        }
        cell->nodes[a]->reaches_store = false;
        cell->cut(a, peer);
        cell->run(5s);
        CHECK(acts(d) || acts(peer));
        teardown();
    }
}

// (c) A peer that knows a newer table answers a holder that has missed two changes.
TEST(a_race, answer_under_a_newer_table) {
    start(5, 3);
    cell->filter = [&](std::size_t, const send_peer& it) {
        return it.to.value != "i1" || !std::holds_alternative<record_answer>(it.message);
    };
    cell->nodes[0]->reaches_store = false;
    for (const auto n : {2U, 3U, 4U}) {
        cell->cut(0, n);
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
TEST(a_race, vote_of_the_restarted_slot) {
    start(3);
    cell->crash(std::size_t{3} - d);
    cell->start(a);
    cell->run(10s);
    CHECK(!cell->all_held());
    cell->start(std::size_t{3} - d);
    CHECK(cell->run_until(8s, [&] { return cell->all_held(); }));
}

// A role moved for balance is not acted on while the answer to the write is on its way.
TEST(a_race, hand_over_with_a_late_answer) {
    start(3);
    cell->roles.push_back(database_role("s"));
    cell->set_roles(a);
    CHECK(cell->run_until(6s, [&] { return acts(a) && cell->believes(a, cell->roles[1]); }));
    auto late = false;
    cell->store_filter = [&](std::size_t n, bool is_write) {
        late = late || (n == a && is_write);
        return store_fate{false, {}, n == a && is_write ? duration{1500ms} : duration{}};
    };
    CHECK(cell->run_until(8s, [&] { return late; }));
    cell->roles.push_back(database_role("t")); // the others read the record for this vacant role
    cell->set_roles(1);
    cell->set_roles(2);
    CHECK(cell->run_until(8s, [&] { return cell->all_held(); }));
}

// A holder that hears nothing and is heard by all loses its roles to the others.
TEST(a_race, holder_that_only_sends) {
    start(3);
    cell->nodes[a]->reaches_store = false;
    for (const auto n : {1U, 2U}) {
        cell->blocked[n][a] = true;
    }
    CHECK(cell->run_until(8s, [&] { return cell->holder(cell->roles[0]) > 0; }));
}
