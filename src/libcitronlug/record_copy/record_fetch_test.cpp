#include <citronlug/record_fetch.h>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

// An instance that lacks a version and has asked the coordinator for it.
TEST_GROUP(record_fetch) {
    time_point now{1h};
    std::vector<std::string> sources{"coordinator", "deputy"};
    record_fetch fetch;
    std::uint64_t first = 0;

    void setup() override {
        const auto request = fetch.next(now, sources);
        STRCMP_EQUAL("coordinator", request->address.c_str());
        first = request->number;
        CHECK_FALSE(fetch.next(now, sources).has_value());
    }
};

// Guards against an instance that waits for one source that does not deliver.
TEST(record_fetch, asks_the_next_source_after_a_failure_or_a_time_without_an_answer) {
    now += record_fetch_timeout;
    const auto second = fetch.next(now, sources);
    STRCMP_EQUAL("deputy", second->address.c_str());
    fetch.on_answer(first, false); // a late failure
    CHECK_TRUE(fetch.is_pending(now));
    CHECK_FALSE(fetch.is_store_due());

    fetch.on_answer(second->number, false);
    CHECK_FALSE(fetch.next(now, sources).has_value());
    CHECK_TRUE(fetch.is_store_due());
}

// Guards against calls without end to sources that have nothing, and against sources that are never asked
// again.
TEST(record_fetch, begins_again_after_a_pause) {
    fetch.on_answer(first, false);
    fetch.on_answer(fetch.next(now, sources)->number, false);
    now += 900ms;
    CHECK_FALSE(fetch.next(now, sources).has_value());
    now += 100ms;
    STRCMP_EQUAL("coordinator", fetch.next(now, sources)->address.c_str());
    CHECK_TRUE(fetch.is_store_due());
}

// Guards against the store being asked although the records have arrived, also late.
TEST(record_fetch, ends_with_a_delivery) {
    now += record_fetch_timeout;
    static_cast<void>(fetch.next(now, sources));
    fetch.on_answer(first, true);
    CHECK_FALSE(fetch.is_pending(now));
    STRCMP_EQUAL("coordinator", fetch.next(now, sources)->address.c_str());
    CHECK_FALSE(fetch.is_store_due());
}

// Guards against an instance that asks nobody because it knows of no other instance.
TEST(record_fetch, turns_to_the_store_without_any_source) {
    auto alone = record_fetch{};
    CHECK_FALSE(alone.next(now, {}).has_value());
    CHECK_TRUE(alone.is_store_due());
}
