#include <citronlug/rate_window.h>

#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

namespace {

constexpr auto window = duration{5s};

/// Demand of one account, and the times of the tokens that it was granted.
struct simulated_account {
    explicit simulated_account(rate_limit limit, double initial_burst_fraction = 1)
        : limiter{limit, window, now, initial_burst_fraction} {}

    /// Requests `per_step` tokens every 10 ms.
    auto run(duration span, std::uint32_t per_step) -> std::uint32_t {
        auto sum = std::uint32_t{0};
        for (const auto until = now + span; now < until; now += 10ms) {
            const auto n = limiter.take(now, per_step);
            taken.insert(taken.end(), n, now);
            sum += n;
        }
        return sum;
    }

    [[nodiscard]] auto max_in_any_window(time_point from) const -> std::size_t {
        auto max_count = std::size_t{0};
        for (auto it = std::lower_bound(taken.begin(), taken.end(), from); it != taken.end(); ++it) {
            const auto end = std::lower_bound(it, taken.end(), *it + window);
            max_count = std::max(max_count, static_cast<std::size_t>(end - it));
        }
        return max_count;
    }

    time_point now{1h};
    std::vector<time_point> taken;
    rate_window limiter;
};

} // namespace

TEST_GROUP(rate_window){};

// Guards against refusing its burst to an account that returns after a pause.
TEST(rate_window, grants_the_burst_at_once) {
    auto it = simulated_account{{100, 50}};
    CHECK_EQUAL(50, it.run(10ms, 1000));
}

// Guards against the limit of a token bucket, which leaves part of every window but the first unused.
TEST(rate_window, grants_the_whole_limit_of_each_window_under_steady_demand) {
    auto it = simulated_account{{100, 100}};
    it.run(10s, 3);
    const auto later = it.run(50s, 3);
    // Ten windows of 600. A window is never filled completely, and the last step of one counts in the next.
    CHECK_COMPARE(later, >=, 5600U);
}

// Guards against seconds without any token for an account that has used up its window.
TEST(rate_window, grants_the_rate_in_each_second) {
    auto it = simulated_account{{100, 100}};
    for (auto i = 0; i < 60; ++i) {
        CHECK_COMPARE(it.run(1s, 3), >=, 95U);
    }
}

// Guards against exceeding the rate over a window plus one burst in any window, for all demands and limits.
TEST(rate_window, never_exceeds_the_limit_of_a_window) {
    const auto holds = rc::check("amount of a window", [] {
        const auto rate = *rc::gen::inRange(1, 200);
        const auto burst = *rc::gen::inRange(1, 300);
        auto it = simulated_account{{static_cast<double>(rate), static_cast<double>(burst)}};
        const auto demand = *rc::gen::container<std::vector<std::uint32_t>>(20, rc::gen::inRange(0U, 8U));
        for (const auto n : demand) {
            it.run(500ms, n);
        }
        RC_ASSERT(it.max_in_any_window({}) <= static_cast<std::size_t>(rate * 5 + burst));
    });
    CHECK_TRUE(holds);
}

// Guards against an account that keeps its previous amount, or gets none, after its limit was lowered.
TEST(rate_window, applies_a_lowered_limit_gradually) {
    auto it = simulated_account{{200, 200}};
    it.run(10s, 3);
    const auto lowered_at = it.now;
    it.limiter.set_limit(it.now, {50, 50});
    const auto first_second = it.run(1s, 3);
    CHECK_COMPARE(first_second, >=, 50U);
    CHECK_COMPARE(first_second, <=, 110U);
    it.run(20s, 3);
    CHECK_COMPARE(it.max_in_any_window(lowered_at + window), <=, 300U);
}

// Guards against a second burst granted by a new coordinator.
TEST(rate_window, new_window_counts_the_last_one_as_used) {
    auto it = simulated_account{{100, 100}, 0};
    const auto first_second = it.run(1s, 3);
    CHECK_COMPARE(first_second, <=, 120U);
    CHECK_COMPARE(first_second, >=, 100U);
}

// Guards against callers that retry before a token is available.
TEST(rate_window, reports_when_the_next_token_is_available) {
    auto it = simulated_account{{10, 10}};
    for (auto i = 0; i < 500; ++i) {
        it.run(10ms, 1000);
        const auto wait = it.limiter.wait_for_token(it.now);
        if (wait > 0ms) {
            auto early = it.limiter;
            CHECK_EQUAL(0, early.take(it.now + wait - 1ms, 1));
            auto then = it.limiter;
            CHECK_EQUAL(1, then.take(it.now + wait, 1));
        }
    }
}
