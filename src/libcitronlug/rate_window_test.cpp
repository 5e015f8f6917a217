#include <citronlug/rate_window.h>

#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

namespace {

constexpr auto window = duration{5s};

/// One account that is asked for operations, and what it was granted.
struct account_in_time {
    explicit account_in_time(rate_limit limit, double unused_burst = 1)
        : granted{limit, window, now, unused_burst} {}

    /// Asks for `per_step` tokens every 10 ms.
    auto run(duration span, std::uint32_t per_step) -> std::uint32_t {
        auto sum = std::uint32_t{0};
        for (const auto until = now + span; now < until; now += 10ms) {
            const auto n = granted.take(now, per_step);
            taken.insert(taken.end(), n, now);
            sum += n;
        }
        return sum;
    }

    [[nodiscard]] auto most_in_a_window(time_point from) const -> std::size_t {
        auto most = std::size_t{0};
        for (auto it = std::lower_bound(taken.begin(), taken.end(), from); it != taken.end(); ++it) {
            const auto end = std::lower_bound(it, taken.end(), *it + window);
            most = std::max(most, static_cast<std::size_t>(end - it));
        }
        return most;
    }

    time_point now{1h};
    std::vector<time_point> taken;
    rate_window granted;
};

} // namespace

// An account is quiet, becomes busy, and has its limit lowered.
TEST_GROUP(rate_window){};

// Guards against refusing an account that returns after a pause its burst.
TEST(rate_window, hands_out_the_burst_at_once) {
    auto it = account_in_time{{100, 50}};
    CHECK_EQUAL(50, it.run(10ms, 1000));
}

// Guards against a token bucket's bound, which leaves room in each window but the first unused.
TEST(rate_window, hands_out_the_amount_of_each_window_to_an_account_that_keeps_asking) {
    auto it = account_in_time{{100, 100}};
    it.run(10s, 3);
    const auto later = it.run(50s, 3);
    // Ten windows of 600. A window is never used up, and the last step of one counts in the next.
    CHECK_COMPARE(later, >=, 5600U);
}

// Guards against seconds without any token for an account that uses up its window.
TEST(rate_window, hands_out_the_rate_in_each_second) {
    auto it = account_in_time{{100, 100}};
    for (auto i = 0; i < 60; ++i) {
        CHECK_COMPARE(it.run(1s, 3), >=, 95U);
    }
}

// Guards against more than the rate over a window and one burst in any window, for all demands and limits.
TEST(rate_window, never_exceeds_the_amount_of_a_window) {
    const auto holds = rc::check("amount of a window", [] {
        const auto rate = *rc::gen::inRange(1, 200);
        const auto burst = *rc::gen::inRange(1, 300);
        auto it = account_in_time{{static_cast<double>(rate), static_cast<double>(burst)}};
        const auto demand = *rc::gen::container<std::vector<std::uint32_t>>(20, rc::gen::inRange(0U, 8U));
        for (const auto n : demand) {
            it.run(500ms, n);
        }
        RC_ASSERT(it.most_in_a_window({}) <= static_cast<std::size_t>(rate * 5 + burst));
    });
    CHECK_TRUE(holds);
}

// Guards against an account that keeps its old amount, or none, after its limit was lowered.
TEST(rate_window, goes_over_to_a_lowered_limit_evenly) {
    auto it = account_in_time{{200, 200}};
    it.run(10s, 3);
    const auto lowered_at = it.now;
    it.granted.set_limit(it.now, {50, 50});
    const auto first_second = it.run(1s, 3);
    CHECK_COMPARE(first_second, >=, 50U);
    CHECK_COMPARE(first_second, <=, 110U);
    it.run(20s, 3);
    CHECK_COMPARE(it.most_in_a_window(lowered_at + window), <=, 300U);
}

// Guards against a second burst from an accountant that follows another one.
TEST(rate_window, counts_the_last_window_as_used_at_a_new_accountant) {
    auto it = account_in_time{{100, 100}, 0};
    const auto first_second = it.run(1s, 3);
    CHECK_COMPARE(first_second, <=, 120U);
    CHECK_COMPARE(first_second, >=, 100U);
}

// Guards against callers that come back before there is a token.
TEST(rate_window, tells_when_the_next_token_is_there) {
    auto it = account_in_time{{10, 10}};
    for (auto i = 0; i < 500; ++i) {
        it.run(10ms, 1000);
        const auto wait = it.granted.wait_for_token(it.now);
        if (wait > 0ms) {
            auto early = it.granted;
            CHECK_EQUAL(0, early.take(it.now + wait - 1ms, 1));
            auto then = it.granted;
            CHECK_EQUAL(1, then.take(it.now + wait, 1));
        }
    }
}
