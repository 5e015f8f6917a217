#include <citronlug/server_list_order.h>
#include <citronlug/store_mirror.h>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

TEST_GROUP(server_list_order){};

// Guards against a server that is used although it is leaving, because the coordinator, which the store turns
// away, has an older list than the one that this instance has read.
TEST(server_list_order, refuses_an_older_list_of_the_coordinator) {
    auto order = server_list_order{};
    CHECK_TRUE(order.accept({1, 200}));
    CHECK_FALSE(order.accept_fetched(77, {1, 150}));
    CHECK_TRUE(order.was_refused(77));
    CHECK_FALSE(order.was_refused(78));
    CHECK_TRUE((order.present() == list_basis{1, 200}));

    // Nor does a late answer of the store replace a newer list of the coordinator.
    CHECK_TRUE(order.accept_fetched(78, {1, 250}));
    CHECK_FALSE(order.accept({1, 249}));
    CHECK_TRUE(order.accept({1, 250}));
}

// Guards against a list that stays in force after the store came back older, and against a fleet of two
// versions in which the instances ignore the coordinator's lists.
TEST(server_list_order, accepts_lists_of_a_later_era_and_without_a_basis) {
    auto order = server_list_order{};
    CHECK_TRUE(order.accept({1, 200}));
    CHECK_TRUE(order.accept({2, 120}));
    CHECK_FALSE(order.accept({1, 300}));
    CHECK_TRUE(order.accept_fetched(77, {}));
    CHECK_TRUE(order.accept_fetched(78, {1, 10}));
}

// Guards against a copy that claims to show a change which it lacks.
TEST(server_list_order, takes_the_basis_of_a_listing_or_of_a_change) {
    const auto answer = [](std::uint64_t revision, std::vector<store_record> records, bool has_more = false) {
        auto it = store_answer{};
        it.outcome = store_outcome::ok;
        it.revision = revision;
        it.records = std::move(records);
        it.has_more = has_more;
        return it;
    };
    const auto now = time_point{1h};
    auto mirror = store_mirror{1s};
    const auto exchange = [&](const store_answer& it) {
        const auto call = mirror.next_call(now);
        CHECK_TRUE(call.has_value());
        static_cast<void>(mirror.on_answer(now, call->number, it));
    };
    exchange(answer(100, {{"s1", "", 90}}, true));
    CHECK_EQUAL(0U, mirror.shown_revision());
    exchange(answer(120, {{"s2", "", 110}})); // the second page may lack a change of the first
    CHECK_EQUAL(100U, mirror.shown_revision());
    exchange(answer(130, {})); // an earlier watch may not have reported a change
    CHECK_EQUAL(100U, mirror.shown_revision());
    exchange(answer(140, {{"s1", "", 135}}));
    CHECK_EQUAL(140U, mirror.shown_revision());
    mirror.list_again();
    CHECK_EQUAL(140U, mirror.shown_revision());
    exchange(answer(160, {{"s1", "", 135}, {"s2", "", 110}}));
    CHECK_EQUAL(160U, mirror.shown_revision());
}
