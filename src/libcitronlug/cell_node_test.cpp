#include <citronlug/testing.h>

#include "cell_simulation.h"

using namespace citronlug;
using namespace citronlug::testing;

TEST_GROUP_BASE(a_cell, citronlug::testing::test_base) {
    cell_simulation cell{3, 1};

    auto setup()->void override {
        cell.roles = {database_role("a"), database_role("b"), database_role("c"), account_role("x")};
    }
    auto teardown()->void override {
        for (const auto& it : cell.faults) {
            FAIL(it.c_str());
        }
    }
};

// Guards against a first instance that waits for others.
TEST(a_cell, one_instance_creates_the_record_and_keeps_all_roles) {
    cell.start(0);
    CHECK(cell.run_until(1s, [&] { return cell.all_held(); }));
    const auto version = cell.stored.version;
    cell.store_up = false;
    cell.run(10s);
    CHECK(cell.all_held());
    CHECK_EQUAL(version, cell.stored.version);
}

// Guards against joins that collide for ever and against roles that stay with the first instance.
TEST(a_cell, others_join_and_share_the_roles) {
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

// Guards against a takeover above the bound of 4 s, or one by two instances.
TEST(a_cell, takes_over_from_a_crashed_holder_within_4_s) {
    cell.start_all();
    cell.run(30s);
    const auto holder = cell.holder(database_role("a"));
    const auto standby = cell.stored.roles.at(database_role("a")).standby;
    CHECK(holder >= 0);
    cell.crash(static_cast<std::size_t>(holder));
    CHECK(cell.run_until(4s, [&] { return cell.all_held(); }));
    CHECK(cell.nodes[static_cast<std::size_t>(cell.holder(database_role("a")))]->id == standby.value);
}

// Guards against a role that stays with the dead incarnation, and against a quick path that trusts the
// restart.
TEST(a_cell, restarted_instance_gets_its_roles_only_after_the_silence) {
    cell.start(0);
    cell.run(10s);
    cell.start(0);
    cell.run(2s);
    CHECK(!cell.all_held());
    CHECK(cell.run_until(3s, [&] { return cell.all_held(); }));
    CHECK_EQUAL(2, cell.stored.roles.at(cell.roles[0]).epoch);
}

// Guards against roles that wait for an expiry although their holder leaves in order.
TEST(a_cell, leaving_hands_all_roles_over_in_one_write) {
    cell.start_all();
    cell.run(40s);
    const auto holder = static_cast<std::size_t>(cell.holder(database_role("a")));
    const auto calls = cell.nodes[holder]->store_calls;
    cell.leave(holder);
    CHECK(cell.run_until(1s, [&] { return cell.all_held() && cell.nodes[holder]->node->handed_over(); }));
    CHECK_EQUAL(2, cell.nodes[holder]->store_calls - calls);
    const auto successor = static_cast<std::size_t>(cell.holder(database_role("a")));
    CHECK(!cell.nodes[successor]->after_expiry.at(database_role("a")));
    cell.run(20s); // the leaver is still live and gets nothing back
    CHECK(cell.nodes[holder]->held.empty());
    CHECK(cell.all_held());
}

// Guards against a store outage that ends the authority of a healthy majority.
TEST(a_cell, majority_contact_keeps_roles_through_a_store_outage) {
    cell.start_all();
    cell.run(40s);
    cell.store_up = false;
    cell.events.clear();
    cell.run(60s);
    CHECK(cell.all_held());
    CHECK(cell.events.empty());
}

// Guards against a minority that loses its roles while it reaches the store, and keeps them when it reaches
// nothing.
TEST(a_cell, minority_lives_by_the_store_and_stops_without_it) {
    cell.start_all();
    cell.run(40s);
    const auto holder = static_cast<std::size_t>(cell.holder(database_role("a")));
    const auto epoch = cell.nodes[holder]->held.at(database_role("a"));
    cell.split(1U << holder);
    cell.run(20s);
    CHECK(cell.believes(holder, database_role("a")));
    CHECK_EQUAL(epoch, cell.nodes[holder]->held.at(database_role("a")));
    cell.nodes[holder]->reaches_store = false;
    cell.run(2200ms);
    CHECK(cell.nodes[holder]->held.empty());
    CHECK(cell.run_until(4s, [&] { return cell.all_held(); }));
}

// Guards against a record that the store and the peers cannot read back.
TEST(a_cell, record_survives_its_json_form) {
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

TEST_GROUP_BASE(a_full_cell,
                TEST_GROUP_CppUTestGroupa_cell){auto setup()->void override{cell = cell_simulation{9, 5};
for (auto n = 0; n < 12; ++n) {
    cell.roles.push_back(database_role(fmt::format("db{}", n)));
}
cell.start_all();
cell.run(60s);
CHECK(cell.all_joined());
}
}
;

// Guards against takeovers that collide or come one by one when a third of the cell is gone.
TEST(a_full_cell, loses_a_failure_domain) {
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

// Guards against roles that move because of a restart, or more than one in 2 s.
TEST(a_full_cell, restart_of_one_moves_few_roles) {
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

// Guards against a removal that comes too early, that removes a listed member, or never comes.
TEST(a_full_cell, removes_a_member_that_left_the_list) {
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
                     [&, n] { cell.nodes[n]->node->on_instance_list(cell.local(n), list); });
    }
    cell.run(55s);
    CHECK_EQUAL(9, cell.stored.members.size());
    cell.run(15s);
    CHECK_EQUAL(8, cell.stored.members.size());
    CHECK(!cell.stored.members.contains("i9"));
    CHECK_EQUAL(10, cell.stored.table_version);
}
