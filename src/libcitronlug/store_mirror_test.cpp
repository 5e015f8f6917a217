#include <citronlug/coordination.h>
#include <citronlug/record_copy.h>
#include <citronlug/store_mirror.h>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

namespace {

auto answer_of(std::vector<store_record> records, std::uint64_t revision) -> store_answer {
    auto it = store_answer{};
    it.outcome = store_outcome::ok;
    it.records = std::move(records);
    it.revision = revision;
    return it;
}

auto failed(store_outcome outcome) -> store_answer {
    auto it = store_answer{};
    it.outcome = outcome;
    return it;
}

} // namespace

// The mirror holds the record "a", listed at revision 10 of the store.
TEST_GROUP(store_mirror) {
    time_point now{1h};
    store_mirror mirror{2s};

    void setup() override {
        const auto call = mirror.next_call(now);
        CHECK_FALSE(call->is_watch);
        CHECK_EQUAL(1U, mirror.on_answer(now, call->number, answer_of({{"a", "1", 7}}, 10)).size());
    }
};

// Guards against missing a change that a watch did not report, although its answer had a newer revision.
TEST(store_mirror, watches_from_the_last_change_after_an_empty_answer) {
    const auto first = mirror.next_call(now);
    CHECK_EQUAL(10U, first->revision);
    CHECK_TRUE(mirror.on_answer(now, first->number, answer_of({}, 15)).empty());
    const auto second = mirror.next_call(now);
    CHECK_EQUAL(10U, second->revision);
    const auto changes = mirror.on_answer(now, second->number, answer_of({{"a", "2", 12}}, 16));
    CHECK_EQUAL(1U, changes.size());
    CHECK_EQUAL(16U, mirror.next_call(now)->revision);
}

// Guards against instances that list the rules by themselves although the coordinator watches them without a
// fault: with a wait of 1,200 ms its evidence was up to 2,400 ms old, more than they accept.
TEST(store_mirror, keeps_the_evidence_of_the_rules_young_enough_while_nothing_changes) {
    constexpr auto round_trip = 50ms;
    auto watched = store_mirror{copy_watch_wait};
    auto at = now;
    const auto listing = watched.next_call(at);
    CHECK_TRUE(watched.on_answer(at, listing->number, answer_of({}, 10)).size() == 0);
    for (auto n = 0; n < 20; ++n) {
        const auto watch = watched.next_call(at);
        CHECK_TRUE(watch && watch->is_watch);
        at += watch->wait + round_trip;
        const auto age_at_instances = at - *watched.confirmed_at() + report_interval + round_trip;
        CHECK_TRUE(age_at_instances < copy_evidence_lifetime);
        CHECK_TRUE(watched.on_answer(at, watch->number, answer_of({}, 10)).empty());
    }
}

// Guards against watching again and again, without a pause, for a change that cannot be read.
TEST(store_mirror, goes_on_after_a_change_that_cannot_be_read) {
    const auto first = mirror.next_call(now);
    auto answer = answer_of({}, 15);
    answer.unreadable_records = 1;
    CHECK_TRUE(mirror.on_answer(now, first->number, answer).empty());
    CHECK_TRUE(mirror.may_lack_change());
    CHECK_EQUAL(15U, mirror.next_call(now)->revision);
    mirror.list_again();
    const auto list = mirror.next_call(now);
    static_cast<void>(mirror.on_answer(now, list->number, answer_of({{"a", "1", 7}}, 16)));
    CHECK_FALSE(mirror.may_lack_change());
    CHECK_EQUAL(0U, mirror.unreadable_records());
    mirror.list_again();
    const auto other_list = mirror.next_call(now);
    static_cast<void>(mirror.on_answer(now, other_list->number, answer));
    CHECK_EQUAL(1U, mirror.unreadable_records());
}

// Guards against a paid listing and watch by each instance whenever the coordinator is away for a moment.
TEST(store_mirror, makes_no_call_if_the_other_source_returns_in_time) {
    const auto watch = mirror.next_call(now);
    static_cast<void>(mirror.on_answer(now, watch->number, answer_of({}, 11)));
    mirror.set_paused(true, now);
    mirror.set_paused(false, now + 400ms);
    now += 399ms;
    CHECK_FALSE(mirror.next_call(now).has_value());
    mirror.set_paused(true, now);
    now += 1s;
    CHECK_FALSE(mirror.next_call(now).has_value());
    mirror.set_paused(false, now + 400ms);
    now += 400ms;
    const auto list = mirror.next_call(now);
    CHECK_FALSE(list->is_watch);
    mirror.set_first_watch_delay(500ms);
    static_cast<void>(mirror.on_answer(now, list->number, answer_of({{"a", "1", 7}}, 30)));
    now += 499ms;
    CHECK_FALSE(mirror.next_call(now).has_value());
    now += 1ms;
    CHECK_TRUE(mirror.next_call(now)->is_watch);
}

// Guards against a new coordinator that waits before it reads what it needs.
TEST(store_mirror, lists_again_without_the_delay_of_a_resumed_mirror) {
    mirror.set_paused(true, now);
    mirror.set_paused(false, now + 400ms);
    mirror.list_again();
    CHECK_TRUE(mirror.next_call(now).has_value());
}

// Guards against a stale copy after the store dropped its history or a watch failed.
TEST(store_mirror, lists_again_after_lost_history_and_after_a_failure) {
    for (const auto outcome : {store_outcome::gone, store_outcome::unanswered, store_outcome::refused}) {
        const auto watch = mirror.next_call(now);
        CHECK_TRUE(watch->is_watch);
        CHECK_TRUE(mirror.on_answer(now, watch->number, failed(outcome)).empty());
        now += 1s;
        const auto list = mirror.next_call(now);
        CHECK_FALSE(list->is_watch);
        CHECK_TRUE(mirror.on_answer(now, list->number, answer_of({{"a", "1", 7}}, 30)).empty());
    }
}

// Guards against a copy that falls further and further behind on a narrow link: a watch reports each of
// several changes, and while these are on their way there are more.
TEST(store_mirror, lists_again_after_several_changes_of_one_record) {
    const auto watch = mirror.next_call(now);
    CHECK_EQUAL(1U, mirror.on_answer(now, watch->number, answer_of({{"a", "2", 12}}, 12)).size());
    const auto next_watch = mirror.next_call(now);
    CHECK_TRUE(next_watch->is_watch);
    now += 100ms;
    CHECK_EQUAL(
        2U,
        mirror.on_answer(now, next_watch->number, answer_of({{"a", "3", 14}, {"a", "4", 16}}, 16)).size());
    CHECK(mirror.confirmed_at() == now - 100ms);
    const auto list = mirror.next_call(now);
    CHECK_FALSE(list->is_watch);
    CHECK_EQUAL(1U, mirror.on_answer(now, list->number, answer_of({{"a", "6", 20}}, 20)).size());
    CHECK_TRUE(mirror.next_call(now)->is_watch);
}

// Guards against keeping records that were removed while no watch was open.
TEST(store_mirror, reports_records_removed_between_two_listings) {
    mirror.list_again();
    const auto list = mirror.next_call(now);
    const auto changes = mirror.on_answer(now, list->number, answer_of({{"b", "1", 20}}, 21));
    CHECK_EQUAL(2U, changes.size());
    CHECK_TRUE(changes.back().removed);
    CHECK_EQUAL(std::string{"a"}, changes.back().record.name);
}

// Guards against applying the answer to an abandoned call, which may be older than the present records.
TEST(store_mirror, ignores_the_answer_to_an_abandoned_call) {
    const auto watch = mirror.next_call(now);
    mirror.list_again();
    const auto list = mirror.next_call(now);
    static_cast<void>(mirror.on_answer(now, list->number, answer_of({{"a", "3", 20}}, 21)));
    CHECK_TRUE(mirror.on_answer(now, watch->number, answer_of({{"a", "2", 12}}, 13)).empty());
    CHECK_EQUAL(std::string{"3"}, mirror.records().at("a").value);
}

// Guards against permissions that last too long because their evidence is dated by the answer instead of the
// request.
TEST(store_mirror, dates_its_confirmation_by_the_request) {
    const auto watch = mirror.next_call(now);
    const auto asked_at = now;
    now += 2s;
    static_cast<void>(mirror.on_answer(now, watch->number, answer_of({}, 11)));
    CHECK(asked_at == mirror.confirmed_at());
}

// Guards against the cost of many calls while the store refuses them.
TEST(store_mirror, pauses_after_failures) {
    for (auto n = 0; n < 5; ++n) {
        const auto call = mirror.next_call(now);
        CHECK_TRUE(call.has_value());
        static_cast<void>(mirror.on_answer(now, call->number, failed(store_outcome::refused)));
        CHECK_FALSE(mirror.next_call(now).has_value());
        now += 600ms;
    }
}

// Guards against concurrent calls to a failing store, and against mirrors that stay blocked after it has
// recovered.
TEST(store_mirror, is_the_only_one_that_retries_a_failing_store) {
    auto other = store_mirror{1s};
    const auto all = std::vector<const store_mirror*>{&mirror, &other};
    CHECK_TRUE(may_call(all, mirror) && may_call(all, other));
    const auto fail = [&](store_mirror& it) {
        const auto call = it.next_call(now);
        static_cast<void>(it.on_answer(now, call->number, failed(store_outcome::unanswered)));
    };
    fail(other);
    CHECK_TRUE(may_call(all, mirror) && may_call(all, other));
    fail(mirror);
    CHECK_TRUE(may_call(all, mirror));
    CHECK_FALSE(may_call(all, other));
    now += 1s;
    const auto call = mirror.next_call(now);
    static_cast<void>(mirror.on_answer(now, call->number, answer_of({{"a", "1", 10}}, 11)));
    CHECK_TRUE(may_call(all, other));
}

// Guards against rules that wait for the store's answers to another kind, which fails for a reason of its
// own.
TEST(store_mirror, takes_turns_with_others_at_a_failing_store) {
    auto primaries = store_mirror{1s};
    const auto all = std::vector<const store_mirror*>{&primaries, &mirror};
    const auto fail = [&](store_mirror& it) {
        const auto call = it.next_call(now);
        CHECK_TRUE(call.has_value());
        static_cast<void>(it.on_answer(now, call->number, failed(store_outcome::unanswered)));
    };
    fail(mirror);
    now += 100ms;
    fail(primaries);
    CHECK_TRUE(may_call(all, mirror));
    CHECK_FALSE(may_call(all, primaries));
    now += 200ms;
    fail(mirror);
    CHECK_FALSE(may_call(all, mirror));
    CHECK_TRUE(may_call(all, primaries));
}

// Guards against as many paid calls to a failing store as there are kinds of records, and against a store
// that is back but is not asked for the others at once.
TEST(store_mirror, shares_the_pause_after_a_failure_with_others) {
    auto primaries = store_mirror{1s};
    const auto all = std::vector<const store_mirror*>{&primaries, &mirror};
    const auto answer = [&](store_mirror& it, const store_answer& with) {
        const auto call = it.next_call(now);
        CHECK_TRUE(call.has_value());
        static_cast<void>(it.on_answer(now, call->number, with));
    };
    answer(primaries, failed(store_outcome::refused));
    now += 100ms;
    answer(mirror, failed(store_outcome::refused));
    CHECK(retry_due_at(all) == now + 150ms);
    now += 150ms;
    answer(primaries, failed(store_outcome::refused));
    CHECK(retry_due_at(all) > now);

    now = retry_due_at(all);
    answer(mirror, answer_of({{"a", "1", 7}}, 30));
    CHECK(retry_due_at(all) <= now);
    CHECK_TRUE(may_call(all, primaries));
}

// Guards against a paused mirror that blocks the retries of the others although it makes no calls itself.
TEST(store_mirror, resets_failures_when_it_is_paused) {
    const auto call = mirror.next_call(now);
    static_cast<void>(mirror.on_answer(now, call->number, failed(store_outcome::refused)));
    mirror.set_paused(true, now);
    CHECK_TRUE(mirror.is_available());
}
