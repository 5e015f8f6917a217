#include <citronlug/testing.h>

#include <citronlug/config_spread.h>

using namespace citronlug;
using namespace citronlug::testing;

TEST_GROUP_BASE(the_configuration, citronlug::testing::test_base) {
    config_spread spread{cell_id{"c1"}, instance_id{"i1"}, 3};
    cell_record record;

    auto setup()->void override {
        for (const auto* id : {"i1", "i2", "i3"}) {
            record.members[id].instance.value = id;
        }
    }
    auto peer(duration t, const char* id, std::uint64_t version)->void {
        spread.on_peer_version(at(t), instance_id{id}, version);
    }
};

// Guards against a stale store read that lowers the version or passes as evidence.
TEST(the_configuration, never_goes_back) {
    CHECK(spread.on_content(7));
    spread.on_store_read(at(0ms), 7);
    spread.on_store_read(at(1s), 5);
    CHECK(!spread.on_content(5));
    CHECK(!spread.on_content(7));
    CHECK_EQUAL(7, spread.held());
    CHECK(spread.is_current(at(2s), false));
    CHECK(!spread.is_current(at(2001ms), false));
}

// Guards against serving with a configuration that one peer gave and that may be old.
TEST(the_configuration, serving_waits_for_the_store_or_more_than_half) {
    peer(0ms, "i2", 4);
    CHECK(spread.on_content(4));
    CHECK(!spread.may_serve(at(1ms), record));
    peer(10ms, "i3", 5);
    CHECK(!spread.may_serve(at(20ms), record));
    CHECK(spread.on_content(5));
    CHECK(spread.may_serve(at(30ms), record));
    peer(40ms, "i2", 6);
    CHECK(spread.may_serve(at(50ms), record));
    CHECK(!spread.is_current(at(50ms), true));
}

// Guards against fetching from a peer that does not answer for ever.
TEST(the_configuration, fetches_from_a_peer_that_has_it_then_elsewhere) {
    CHECK(!spread.fetch(at(0ms)).has_value());
    peer(0ms, "i2", 4);
    const auto first = spread.fetch(at(1ms));
    CHECK(first && first->peer == instance_id{"i2"});
    CHECK(!spread.fetch(at(100ms)).has_value());
    const auto second = spread.fetch(at(501ms));
    CHECK(second && !second->peer && second->version == 4);
}

// Guards against two relays in one failure domain, and against polls by instances that have their majority.
TEST(the_configuration, two_relays_in_different_domains_and_polls_without_majority) {
    auto live = std::vector<cell_member>(3);
    for (auto n = std::size_t{0}; n < 3; ++n) {
        live[n].instance.value = fmt::format("i{}", 3 - n);
        live[n].domain.value = n == 0 ? "d2" : "d1"; // i3 in d2, i2 and i1 in d1
    }
    const auto relays = choose_relays(live);
    CHECK(relays == (std::vector{instance_id{"i1"}, instance_id{"i3"}}));
    CHECK(spread.is_relay(live));
    CHECK(!spread.poll_due(at(0ms), true));
    CHECK(spread.poll_due(at(1ms), false));
    CHECK(!spread.poll_due(at(100ms), false));
    CHECK(spread.poll_due(at(501ms), false));
}

// Guards against exchanges within the cell or more often than once a second.
TEST(the_configuration, one_exchange_with_another_cell_each_second) {
    auto list =
        std::vector<listed_instance>{{instance_id{"i2"}, cell_id{"c1"}}, {instance_id{"j1"}, cell_id{"c2"}}};
    const auto other = spread.exchange_with(at(0ms), list);
    CHECK(other && other->instance.value == "j1");
    CHECK(!spread.exchange_with(at(999ms), list).has_value());
    list.pop_back();
    CHECK(!spread.exchange_with(at(1s), list).has_value());
}
