#include <citronlug/testing.h>

#include <citronlug/config_propagation.h>

using namespace citronlug;
using namespace citronlug::testing;

TEST_GROUP_BASE(configuration, citronlug::testing::test_base) {
    config_propagation spread{cell_id{"c1"}, instance_id{"i1"}, 3};
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

// Guards against a stale store read that lowers the version or proves it current.
TEST(configuration, stale_store_read_does_not_lower_the_version) {
    CHECK(spread.on_content(7));
    spread.on_store_read(at(0ms), 7);
    spread.on_store_read(at(1s), 5);
    CHECK(!spread.on_content(5));
    CHECK(!spread.on_content(7));
    CHECK_EQUAL(7, spread.held());
    CHECK(spread.is_current(at(2s), false));
    CHECK(!spread.is_current(at(2001ms), false));
}

// Guards against serving with a configuration from a single peer, which may be outdated.
TEST(configuration, serving_starts_after_a_store_read_or_a_majority_of_reports) {
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

// Guards against endless fetches from one peer that does not answer.
TEST(configuration, fetches_from_another_source_after_a_timeout) {
    CHECK(!spread.next_fetch(at(0ms)).has_value());
    peer(0ms, "i2", 4);
    const auto first = spread.next_fetch(at(1ms));
    CHECK(first && first->peer == instance_id{"i2"});
    CHECK(!spread.next_fetch(at(100ms)).has_value());
    const auto second = spread.next_fetch(at(501ms));
    CHECK(second && !second->peer && second->version == 4);
}

// Guards against two relays in one failure domain and against store polls by instances with a majority.
TEST(configuration, relays_span_failure_domains_and_polls_need_a_lost_majority) {
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

// Guards against exchanges within the own cell or more often than once per second.
TEST(configuration, exchanges_with_another_cell_once_per_second) {
    auto list =
        std::vector<listed_instance>{{instance_id{"i2"}, cell_id{"c1"}}, {instance_id{"j1"}, cell_id{"c2"}}};
    const auto other = spread.next_exchange(at(0ms), list);
    CHECK(other && other->instance.value == "j1");
    CHECK(!spread.next_exchange(at(999ms), list).has_value());
    list.pop_back();
    CHECK(!spread.next_exchange(at(1s), list).has_value());
}
