#include <citronlug/testing.h>

#include "cell_simulation.h"

using namespace citronlug;
using namespace citronlug::testing;

TEST_GROUP_BASE(a_cell, citronlug::testing::story) {
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
