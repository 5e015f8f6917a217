#include <citronlug/record_copy.h>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

// A copy of version 5 of the rules, which the coordinator states to be the newest.
TEST_GROUP(record_copy) {
    time_point now{1h};
    record_copy copy{version_order::rising};

    void setup() override {
        copy.hold(now, copy_source::store, 5);
        CHECK_TRUE(copy.on_statement(now, copy_source::coordinator, 5, now - 100ms));
        CHECK(copy.age(now) == 100ms);
    }
};

// Guards against an instance that takes itself for up to date because the coordinator is.
TEST(record_copy, is_not_confirmed_by_a_statement_about_a_version_that_it_lacks) {
    now += 2s;
    CHECK_FALSE(copy.on_statement(now, copy_source::coordinator, 6, now));
    CHECK(copy.age(now) == 2100ms);
    CHECK(copy.behind_since() == now);
    LONGS_EQUAL(6, copy.named_version());

    // It is as soon as it is a copy of that version.
    now += 1s;
    copy.hold(now, copy_source::store, 6);
    CHECK(copy.age(now) == 1s);
    CHECK(copy.confirmed_at(copy_source::coordinator) == now - 1s);
    CHECK_FALSE(copy.behind_since().has_value());
}

// Guards against an instance that believes a coordinator whose own rules are older than the instance's.
TEST(record_copy, is_not_confirmed_by_a_source_that_does_not_know_its_version) {
    now += 1s;
    CHECK_FALSE(copy.on_statement(now, copy_source::coordinator, 4, now));
    CHECK(copy.age(now) == 1100ms);
    CHECK_FALSE(copy.behind_since().has_value());
    copy.hold(now, copy_source::store, 6);
    CHECK_FALSE(copy.confirmed_at() == now);
}

// Guards against an instance that fetched a newer version than the one named, and never counts as up to date.
TEST(record_copy, of_a_later_version_shows_what_an_earlier_statement_speaks_of) {
    now += 1s;
    CHECK_FALSE(copy.on_statement(now, copy_source::coordinator, 6, now));
    copy.hold(now + 50ms, copy_source::store, 7);
    CHECK(copy.confirmed_at() == now);
    CHECK_FALSE(copy.behind_since().has_value());
}

// Guards against an answer that arrives late and makes the copy look older, or an earlier statement look
// newer.
TEST(record_copy, keeps_the_latest_evidence_of_each_source) {
    CHECK_TRUE(copy.on_statement(now, copy_source::coordinator, 5, now - 1s));
    CHECK(copy.confirmed_at(copy_source::coordinator) == now - 100ms);
    CHECK_FALSE(copy.confirmed_at(copy_source::store).has_value());
    CHECK_TRUE(copy.on_statement(now, copy_source::store, 5, now));
    CHECK(copy.age(now) == 0s);
    CHECK(copy.confirmed_at(copy_source::coordinator) == now - 100ms);
}

// Guards against comparing versions that only identify a list of servers.
TEST(record_copy, of_unordered_versions_counts_only_as_the_stated_one) {
    auto servers = record_copy{version_order::unordered};
    CHECK_FALSE(servers.on_statement(now, copy_source::coordinator, 900, now));
    servers.hold(now, copy_source::store, 901);
    CHECK_FALSE(servers.confirmed_at().has_value());
    CHECK(servers.age(now) == duration::max());
    CHECK_FALSE(servers.on_statement(now, copy_source::coordinator, 17, now));
    CHECK(servers.behind_since() == now);
    servers.hold(now + 1s, copy_source::store, 17);
    CHECK(servers.confirmed_at() == now);
    CHECK_FALSE(servers.behind_since().has_value());
}

// Guards against a list that is fetched again and again although it is newer than the one that was named.
TEST(record_copy, of_unordered_versions_is_not_behind_after_another_list_than_the_named_one) {
    auto servers = record_copy{version_order::unordered};
    servers.hold(now, copy_source::store, 901);
    CHECK_FALSE(servers.on_statement(now, copy_source::coordinator, 17, now));
    CHECK_TRUE(servers.behind_since().has_value());
    servers.hold(now, copy_source::coordinator, 18);
    CHECK_FALSE(servers.behind_since().has_value());
}

// Guards against evidence for an instance that has no copy at all.
TEST(record_copy, without_a_version_is_confirmed_only_if_there_are_no_records) {
    auto empty = record_copy{version_order::rising};
    CHECK_FALSE(empty.on_statement(now, copy_source::store, 3, now));
    CHECK(empty.age(now) == duration::max());
    empty.hold(now, copy_source::store, 3);
    CHECK(empty.age(now) == 0s);

    auto servers = record_copy{version_order::unordered};
    CHECK_FALSE(servers.on_statement(now, copy_source::coordinator, 0, now));
    CHECK(servers.age(now) == duration::max());
}

// Guards against each instance watching the store by itself until the operators have written their first
// rules.
TEST(record_copy, of_no_records_is_confirmed_by_a_statement_that_there_are_none) {
    auto empty = record_copy{version_order::rising};
    CHECK_TRUE(empty.on_statement(now, copy_source::coordinator, 0, now));
    CHECK(empty.age(now) == 0s);
    CHECK_FALSE(empty.on_statement(now, copy_source::coordinator, 3, now));
    CHECK_TRUE(empty.behind_since().has_value());
}

// Guards against each instance reading the store while servers start and the coordinator's list changes all
// the time.
TEST(record_copy, of_unordered_versions_shows_what_its_source_stated_before) {
    auto servers = record_copy{version_order::unordered};
    servers.hold(now, copy_source::store, 901);
    CHECK_FALSE(servers.on_statement(now, copy_source::coordinator, 17, now));
    servers.hold(now + 50ms, copy_source::store, 902);
    CHECK_FALSE(servers.confirmed_at().has_value());
    servers.hold(now + 60ms, copy_source::coordinator, 18);
    CHECK(servers.confirmed_at(copy_source::coordinator) == now);
}
