#include <citronlug/testing.h>

#include "cell_simulation.h"

using namespace citronlug;
using namespace citronlug::testing;

TEST_GROUP_BASE(small_cell, citronlug::testing::test_base) {
    cell_simulation cell{3, 1};

    auto setup()->void override {
        cell.roles = {database_role("a"), database_role("b"), database_role("c"), account_role("x")};
    }
    auto teardown()->void override {
        for (const auto& it : cell.violations) {
            FAIL(it.c_str());
        }
    }
};

// Guards against a first instance that waits for others to join.
TEST(small_cell, one_instance_creates_the_record_and_keeps_all_roles) {
    cell.start(0);
    CHECK(cell.run_until(1s, [&] { return cell.all_held(); }));
    const auto version = cell.stored.version;
    cell.store_up = false;
    cell.run(10s);
    CHECK(cell.all_held());
    CHECK_EQUAL(version, cell.stored.version);
}

// Guards against joins that conflict endlessly and against roles that all stay with the first instance.
TEST(small_cell, others_join_and_share_the_roles) {
    cell.start_all();
    CHECK(cell.run_until(8s, [&] { return cell.all_joined() && cell.all_held(); }));
    cell.run(30s);
    auto holders = std::set<int>{};
    for (const auto& name : {"a", "b", "c"}) {
        holders.insert(cell.holder(database_role(name)));
    }
    CHECK_EQUAL(3, holders.size());
    const auto version = cell.stored.version;
    cell.run(30s);
    CHECK_EQUAL(version, cell.stored.version);
}

// Guards against a takeover that takes longer than 4 s or is completed by two instances.
TEST(small_cell, takes_over_from_a_crashed_holder_within_4_s) {
    cell.start_all();
    cell.run(30s);
    const auto holder = cell.holder(database_role("a"));
    const auto standby = cell.stored.roles.at(database_role("a")).standby;
    CHECK(holder >= 0);
    cell.crash(static_cast<std::size_t>(holder));
    CHECK(cell.run_until(4s, [&] { return cell.all_held(); }));
    CHECK(cell.nodes[static_cast<std::size_t>(cell.holder(database_role("a")))]->id == standby.value);
}

// Guards against roles that stay with the previous incarnation, and against a restart that takes them back
// before that incarnation's lease has expired.
TEST(small_cell, restarted_instance_regains_roles_only_after_lease_expiry) {
    cell.start(0);
    cell.run(10s);
    cell.start(0);
    cell.run(2s);
    CHECK(!cell.all_held());
    CHECK(cell.run_until(3s, [&] { return cell.all_held(); }));
    CHECK_EQUAL(2, cell.stored.roles.at(cell.roles[0]).epoch);
}

// Guards against an orderly leave whose roles are taken over only after the lease has expired.
TEST(small_cell, leaving_hands_all_roles_over_in_one_write) {
    cell.start_all();
    cell.run(40s);
    const auto holder = static_cast<std::size_t>(cell.holder(database_role("a")));
    const auto calls = cell.nodes[holder]->store_calls;
    cell.leave(holder);
    CHECK(cell.run_until(1s, [&] { return cell.all_held() && cell.nodes[holder]->node->handed_over(); }));
    CHECK_EQUAL(2, cell.nodes[holder]->store_calls - calls);
    const auto successor = static_cast<std::size_t>(cell.holder(database_role("a")));
    CHECK(!cell.nodes[successor]->after_expiry.at(database_role("a")));
    cell.run(20s); // the leaving member is still live but gets no roles
    CHECK(cell.nodes[holder]->held.empty());
    CHECK(cell.all_held());
}

// Guards against a store outage that ends the authority of a healthy majority.
TEST(small_cell, majority_contact_keeps_roles_through_a_store_outage) {
    cell.start_all();
    cell.run(40s);
    cell.store_up = false;
    cell.events.clear();
    cell.run(60s);
    CHECK(cell.all_held());
    CHECK(cell.events.empty());
}

// Guards against an isolated holder that loses its roles while it can renew at the store, or keeps them when
// it reaches neither peers nor store.
TEST(small_cell, minority_keeps_roles_only_while_it_renews_at_the_store) {
    cell.start_all();
    cell.run(40s);
    const auto holder = static_cast<std::size_t>(cell.holder(database_role("a")));
    const auto epoch = cell.nodes[holder]->held.at(database_role("a"));
    cell.partition(1U << holder);
    cell.run(20s);
    CHECK(cell.holds_role(holder, database_role("a")));
    CHECK_EQUAL(epoch, cell.nodes[holder]->held.at(database_role("a")));
    cell.nodes[holder]->reaches_store = false;
    cell.run(2200ms);
    CHECK(cell.nodes[holder]->held.empty());
    CHECK(cell.run_until(4s, [&] { return cell.all_held(); }));
}

// Guards against a record that cannot be parsed again after it was stored or sent to a peer.
TEST(small_cell, record_round_trips_through_json) {
    auto record = cell_record{7, 3, {}, {}};
    record.members["i1"] = {
        instance_id{"i1"}, ~std::uint64_t{0}, "h:1", "h:2", failure_domain{"d\"1"}, 5, true};
    record.roles[account_role("ä")] = {instance_id{"i1"}, ~std::uint64_t{0}, 9, instance_id{"i2"}};
    const auto parsed = parse_cell_record(to_json(record), 7);
    CHECK(succeeded(parsed));
    CHECK(std::get<cell_record>(parsed) == record);
    for (const auto* text : {"", "[]", "{}", R"({"table_version":"1","members":[{}],"roles":[]})"}) {
        CHECK(!succeeded(parse_cell_record(text, 1)));
    }
}

TEST_GROUP_BASE(full_cell,
                TEST_GROUP_CppUTestGroupsmall_cell){auto setup()->void override{cell = cell_simulation{9, 5};
for (auto n = 0; n < 12; ++n) {
    cell.roles.push_back(database_role(fmt::format("db{}", n)));
}
cell.start_all();
cell.run(60s);
CHECK(cell.all_joined());
}
}
;

// Guards against conflicting or sequential takeovers when a third of the cell fails at once.
TEST(full_cell, recovers_from_loss_of_a_failure_domain) {
    auto calls = 0;
    for (const auto n : {0U, 3U, 6U}) {
        cell.crash(n);
    }
    for (const auto& it : cell.nodes) {
        calls -= it->store_calls;
    }
    const auto version = cell.stored.version;
    CHECK(cell.run_until(4s, [&] { return cell.all_held(); }));
    for (const auto& it : cell.nodes) {
        calls += it->store_calls;
    }
    fmt::print("loss of a failure domain: {} store calls, {} writes\n", calls, cell.stored.version - version);
    CHECK(cell.stored.version - version <= 6);
}

// Guards against a restart that moves many roles at once: roles move for balance at least 2 s apart.
TEST(full_cell, restart_of_one_member_moves_few_roles) {
    cell.leave(2);
    cell.run(1s);
    cell.start(2);
    auto last = cell.stored.roles;
    for (auto n = 0; n < 30; ++n) {
        cell.run(1s);
        auto moved = 0;
        for (const auto& [role, entry] : cell.stored.roles) {
            moved += entry.holder != last.at(role).holder ? 1 : 0;
        }
        CHECK(moved <= 1);
        last = cell.stored.roles;
    }
    CHECK(cell.all_held());
}

// Guards against removal of a member too early or while it is listed, and against no removal at all.
TEST(full_cell, removes_an_unlisted_member) {
    auto list = std::vector<listed_instance>{};
    for (const auto& it : cell.nodes) {
        if (it->id != "i9") {
            list.push_back(
                {instance_id{it->id}, cell_id{"c1"}, it->id + ":1", {}, failure_domain{it->domain}});
        }
    }
    cell.crash(7); // still listed
    cell.crash(8);
    for (auto n = std::size_t{0}; n < 7; ++n) {
        cell.deliver(n, cell.nodes[n]->run,
                     [&, n] { cell.nodes[n]->node->on_instance_list(cell.local_time(n), list); });
    }
    cell.run(55s);
    CHECK_EQUAL(9, cell.stored.members.size());
    cell.run(15s);
    CHECK_EQUAL(8, cell.stored.members.size());
    CHECK(!cell.stored.members.contains("i9"));
    CHECK_EQUAL(10, cell.stored.table_version);
}
