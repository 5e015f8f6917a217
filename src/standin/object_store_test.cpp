#include <citronlug/testing.h>

#include "object_store.h"

using namespace citronlug;
using namespace citronlug::standin;
using citronlug::testing::at;

TEST_GROUP_BASE(objects, citronlug::testing::test_base){};

// Guards against a store that loses the race between two conditional updates.
TEST(objects, only_one_of_two_updates_from_the_same_version_succeeds) {
    auto store = object_store{};
    CHECK(!store.get("a"));
    CHECK(store.put("a", 0, "1").written);
    const auto version = store.get("a")->version;
    CHECK(store.put("a", version, "2").written);
    const auto loser = store.put("a", version, "3");
    CHECK(!loser.written && loser.version > version);
    CHECK(store.get("a")->value == "2" && store.get("a", true)->value == "1");
}

// Guards against a version that is used again, which would let an update pass that should conflict.
TEST(objects, versions_of_all_objects_differ) {
    auto store = object_store{};
    const auto first = store.put("a", 0, "").version;
    const auto second = store.put("b", 0, "").version;
    CHECK(second > first);
    CHECK(store.put("a", first, "").version > second);
}

TEST(objects, rate_refills_with_time) {
    auto rate = call_rate{10};
    auto taken = 0;
    while (rate.take(at(0s))) {
        ++taken;
    }
    CHECK_EQUAL(10, taken);
    CHECK(!rate.take(at(50ms)) && rate.take(at(101ms)) && !rate.take(at(102ms)));
}

TEST_GROUP_BASE(listed_instances, citronlug::testing::test_base) {
    instance_list list{2s, 10s};

    auto names(duration time)->std::string {
        auto text = std::string{};
        for (const auto& it : list.list(at(time))) {
            text += it.instance + (it.leaving ? "(leaving) " : " ");
        }
        return text;
    }
};

TEST(listed_instances, changes_show_after_the_lag) {
    list.announce(at(0s), {.instance = "i1"});
    list.announce(at(1s), {.instance = "i2"});
    CHECK(names(1999ms).empty());
    CHECK(names(2s) == "i1 ");
    list.announce(at(3s), {.instance = "i1", .leaving = true});
    list.remove(at(4s), "i2");
    CHECK(names(4s) == "i1 i2 ");
    CHECK(names(5s) == "i1(leaving) i2 ");
    CHECK(names(6s) == "i1(leaving) ");
}

// Guards against dead instances that stay in the list, and live ones that drop out of it.
TEST(listed_instances, instance_must_announce_itself_again) {
    list.announce(at(0s), {.instance = "dead"});
    for (auto time = 0s; time < 20s; time += 5s) {
        list.announce(at(time), {.instance = "live"});
    }
    CHECK(names(11s) == "dead live ");
    CHECK(names(12s) == "live ");
    CHECK(names(24s) == "live ");
    CHECK(names(27s).empty());
}
