#include <citronlug/testing.h>

#include <citronlug/member_view.h>
#include <citronlug/promotion_policy.h>
#include <citronlug/queue_policy.h>
#include <citronlug/read_policy.h>
#include <citronlug/session_token.h>

#include "retry_budget.h"

using namespace citronlug;
using namespace citronlug::testing;

namespace {

const auto a = member_id{"a:1"};
const auto b = member_id{"b:1"};
const auto c = member_id{"c:1"};

auto status(member_role role, term_number term, log_position log, std::vector<term_start> history)
    -> member_status {
    return {role, {term, log}, std::move(history)};
}

} // namespace

/// a is primary of term 3, which began after position 50; term 2 began after position 40.
TEST_GROUP_BASE(members_of_a_group, citronlug::testing::test_base) {
    member_view view{at(0s)};
    database_settings settings;

    auto setup()->void override {
        settings.members = {a, b, c};
        view.set_members(settings, at(0s));
        const auto history = std::vector<term_start>{{1, 0}, {2, 40}, {3, 50}};
        view.on_status(at(0s), b, at(0s), status(member_role::replica, 3, 55, history));
        view.on_status(at(0s), c, at(0s), status(member_role::primary, 2, 90, {{1, 0}, {2, 40}}));
        view.on_status(at(0s), a, at(0s), status(member_role::primary, 3, 60, history));
    }
};

// Guards against accepting a superseded primary because it responds first.
TEST(members_of_a_group, selects_the_primary_of_the_highest_term) {
    CHECK(view.primary() != nullptr && view.primary()->id == a);
    CHECK_EQUAL(3U, view.term());
    view.on_status(at(1s), b, at(1s),
                   status(member_role::replica, 4, 60, {{1, 0}, {2, 40}, {3, 50}, {4, 60}}));
    CHECK(view.primary() == nullptr);

    auto fresh = member_view{at(0s)};
    fresh.set_members(settings, at(0s));
    fresh.on_status(at(0s), c, at(0s), status(member_role::primary, 2, 90, {{1, 0}, {2, 40}}));
    CHECK(fresh.primary() == nullptr); // a majority has to respond first
    fresh.on_status(at(700ms), b, at(600ms), status(member_role::replica, 2, 90, {{1, 0}, {2, 40}}));
    CHECK(fresh.primary() != nullptr);
}

// Guards against treating a position of an abandoned branch as current data.
TEST(members_of_a_group, a_position_beyond_the_start_of_the_next_term_is_missing) {
    CHECK(view.check({1, 40}) == history_check::held);
    CHECK(view.check({1, 41}) == history_check::missing);
    CHECK(view.check({2, 50}) == history_check::held);
    CHECK(view.check({2, 51}) == history_check::missing);
    CHECK(view.check({3, 60}) == history_check::held);
    CHECK(view.check({3, 61}) == history_check::later);
    CHECK(view.check({4, 1}) == history_check::later);
    CHECK(!view.replica_has(*view.find(b), {3, 56}));
    CHECK(!view.replica_has(*view.find(c), {2, 45}));
}

// Guards against an age that counts from the response instead of the request, and against delayed responses.
TEST(members_of_a_group, replica_age_counts_from_when_its_status_was_requested) {
    view.on_status(at(400ms), a, at(200ms),
                   status(member_role::primary, 3, 70, view.primary()->status->history));
    view.on_status(at(500ms), b, at(450ms),
                   status(member_role::replica, 3, 69, view.primary()->status->history));
    CHECK(view.complete_at(at(500ms), *view.find(b)) == at(0s));
    view.on_status(at(500ms), b, at(460ms),
                   status(member_role::replica, 3, 70, view.primary()->status->history));
    CHECK(view.complete_at(at(500ms), *view.find(b)) == at(200ms));
    CHECK(!view.complete_at(at(1500ms), *view.find(b)));
    CHECK(!view.complete_at(at(500ms), *view.find(a)));
    CHECK(!view.complete_at(at(500ms), *view.find(c)));
    // A longer log in an older term is another branch, not newer data.
    view.on_status(at(500ms), c, at(460ms), status(member_role::replica, 2, 90, {{1, 0}, {2, 40}}));
    CHECK(!view.complete_at(at(500ms), *view.find(c)));
}

TEST_GROUP_BASE(holder_policies, citronlug::testing::test_base){};

// Guards against an account that starves others with many requests or with slow ones.
TEST(holder_policies, fair_queue_shares_service_time_between_accounts) {
    check_property("shares of two busy accounts differ by little", [] {
        const auto slow = *rc::gen::inRange(1, 20);
        auto queue = plugin_registry<queue_policy>::make("fair");
        for (std::uint64_t n = 0; n < 200; ++n) {
            RC_ASSERT(queue->push({n * 2, account_id{"slow"}, queue_lane::write, duration{slow * 1000}}));
            RC_ASSERT(queue->push({n * 2 + 1, account_id{"fast"}, queue_lane::fresh_read, 1ms}));
        }
        auto service = std::array<int, 2>{};
        while (service[1] < 100) {
            const auto number = queue->take([](auto) { return start_check::start; });
            service.at(*number % 2) += *number % 2 == 0 ? slow : 1;
        }
        RC_ASSERT(std::abs(service[0] - service[1]) <= slow + 1);
    });
}

// Guards against an account of low priority that starves, or that gets more than its share. Among busy
// accounts of priority 0, 1, 2, 3 and 9, each gets half of the one before, but at least an eighth of the
// first; in any 90 starts in a row the lowest gets at least one.
TEST(holder_policies, fair_queue_halves_the_share_with_each_priority) {
    for (const auto shift : {0, 2}) {
        auto queue = plugin_registry<queue_policy>::make("fair");
        const auto priorities = std::array{0, 1, 2, 3, 9};
        auto started = std::array<int, 5>{};
        auto last_start_of_lowest = 0;
        const auto push = [&](std::uint64_t n) {
            CHECK_TRUE(queue->push({n, account_id{std::to_string(n % 5)}, queue_lane::write, 30ms,
                                    priorities.at(n % 5) + shift}));
        };
        for (std::uint64_t n = 0; n < 500; ++n) {
            push(n);
        }
        for (auto n = 0; n < 3200; ++n) {
            const auto number = queue->take([](auto) { return start_check::start; });
            CHECK_TRUE(number.has_value());
            const auto index = static_cast<std::size_t>(number.value_or(0) % 5);
            ++started.at(index);
            push(*number + 500);
            if (index == 4) {
                CHECK_TRUE(n - last_start_of_lowest <= 90);
                last_start_of_lowest = n;
            }
        }
        // 16 shares: 8, 4, 2, 1 and 1.
        const auto shares = std::array{8, 4, 2, 1, 1};
        for (std::size_t n = 0; n < shares.size(); ++n) {
            DOUBLES_EQUAL(200.0 * shares.at(n), started.at(n), 16);
        }
    }
}

// Guards against lost, invented or reordered entries.
TEST(holder_policies, queues_keep_every_entry_and_its_order) {
    check_property("a queue returns every entry in its order", [](const std::vector<std::uint8_t>& inputs) {
        for (const auto& name : plugin_registry<queue_policy>::names()) {
            auto queue = plugin_registry<queue_policy>::make(name);
            auto expected = std::map<std::pair<int, int>, std::deque<std::uint64_t>>{};
            for (std::uint64_t n = 0; n < inputs.size(); ++n) {
                const auto account = inputs[n] % 3;
                const auto lane = inputs[n] / 3 % 4;
                RC_ASSERT(queue->push({n, account_id{std::to_string(account)}, static_cast<queue_lane>(lane),
                                       duration{inputs[n] * 100}}));
                expected[{account, lane}].push_back(n);
            }
            for (std::size_t n = 0; n < inputs.size(); ++n) {
                const auto number = queue->take([](auto) { return start_check::start; });
                RC_ASSERT(number.has_value());
                auto& lane = expected[{inputs[*number] % 3, inputs[*number] / 3 % 4}];
                RC_ASSERT(lane.front() == *number);
                lane.pop_front();
            }
            RC_ASSERT(queue->size() == 0U);
        }
    });
}

// Guards against reads on a busy or distant replica, and on the primary while a replica could serve them.
TEST(holder_policies, read_routing_prefers_idle_then_near_replicas) {
    const auto policy = plugin_registry<read_policy>::make("evidence");
    auto members = std::vector<read_candidate>{{a, true, true, true, true, 0, 0ms},
                                               {b, false, true, true, false, 1, 10ms},
                                               {c, false, true, true, true, 1, 90ms}};
    CHECK(policy->choose(members) == 2U);
    members[1].in_flight = 0;
    CHECK(policy->choose(members) == 1U);
    members[1].available = members[2].available = false;
    CHECK(!policy->choose(members));
    members[1].eligible = members[2].eligible = false;
    CHECK(policy->choose(members) == 0U);
    CHECK(plugin_registry<read_policy>::make("primary")->choose(members) == 0U);
}

// Guards against retries that multiply the load of a failing group.
TEST(holder_policies, retries_are_limited_to_a_tenth_of_the_requests) {
    auto budget = retry_budget{at(0s)};
    auto taken = 0;
    for (auto n = 0; n < 1000; ++n) {
        budget.on_request();
        taken += budget.take(at(0s)) ? 1 : 0;
    }
    CHECK(taken >= 100 && taken <= 103);
    CHECK(budget.take(at(2s)));
    CHECK(!budget.take(at(2500ms)));
}

TEST_GROUP_BASE(session_tokens, citronlug::testing::test_base){};

// Guards against tokens that a caller altered, and against use by another account.
TEST(session_tokens, open_only_unaltered_and_for_their_account) {
    check_property(
        "sealed tokens", [](const std::string& account, const std::string& database, std::uint32_t log) {
            const auto token = session_token{account_id{account}, database_id{database}, {3, log}, 1000};
            auto text = sign_token(token, "secret");
            RC_ASSERT(text.find_first_of("+/=") == std::string::npos);
            RC_ASSERT(std::get<session_token>(verify_token(text, "secret", token.account, 999)) == token);
            RC_ASSERT(!succeeded(verify_token(text, "secret", token.account, 1000)));
            RC_ASSERT(!succeeded(verify_token(text, "other", token.account, 999)));
            RC_ASSERT(!succeeded(verify_token(text, "secret", account_id{account + "x"}, 999)));
            const auto n = *rc::gen::inRange<std::size_t>(0, text.size() - 1);
            text[n] = text[n] == 'A' ? 'B' : 'A';
            RC_ASSERT(!succeeded(verify_token(text, "secret", token.account, 999)));
            RC_ASSERT(!succeeded(verify_token(text.substr(0, n), "secret", token.account, 999)));
        });
}
