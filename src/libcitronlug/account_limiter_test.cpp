#include <citronlug/account_limiter.h>

#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

namespace {

const auto account = account_id{"school"};
/// Users measure a rate over this window, and tolerate this excess.
constexpr auto window = duration{5s};
constexpr auto excess_factor = 1.1;
constexpr auto excess_operations = 20.0;

auto rules_of(rate_limit limit) -> desired_state {
    auto it = desired_state{};
    it.version = 1;
    it.accounts[account] = {account, limit};
    return it;
}

/// Instances that admit operations of one account; some of them reach the coordinator.
struct fleet {
    fleet(std::size_t n, rate_limit limit)
        : limit{limit}
        , limiters(n)
        , reaches_coordinator(n, true) {
        allocator.set_limits(now, rules_of(limit));
        for (auto& it : limiters) {
            it = std::make_unique<account_limiter>();
            it->set_limits(now, rules_of(limit));
            it->set_instances(static_cast<std::uint32_t>(n));
        }
    }

    /// Advances by 10 ms, in which instance n receives `demand[n]` operations.
    auto step(const std::vector<int>& demand) -> void {
        auto reachable = std::set<instance_id>{};
        for (auto n = std::size_t{0}; n < limiters.size(); ++n) {
            if (reaches_coordinator[n]) {
                reachable.insert(name(n));
            }
        }
        allocator.set_reachable(now, reachable);
        if (now >= next_report) {
            // Reports receive a response even if they request no tokens.
            next_report = now + 250ms;
            for (auto n = std::size_t{0}; n < limiters.size(); ++n) {
                if (reaches_coordinator[n]) {
                    limiters[n]->on_responses(now, now, {});
                }
            }
        }
        for (auto n = std::size_t{0}; n < limiters.size(); ++n) {
            for (auto i = 0; i < demand[n]; ++i) {
                ++attempted;
                // An operation that needs a token from the coordinator is retried after its response.
                for (auto attempt = 0; attempt < 2; ++attempt) {
                    const auto outcome = limiters[n]->admit(now, account, now);
                    if (outcome == admission::admitted) {
                        admitted.push_back(now);
                        break;
                    }
                    request_tokens(n);
                }
            }
        }
        now += 10ms;
    }

    auto request_tokens(std::size_t n) -> void {
        const auto requests = limiters[n]->take_requests(now);
        auto responses = std::vector<token_response>{};
        for (const auto& it : requests) {
            responses.push_back(allocator.take(now, name(n), it));
        }
        if (reaches_coordinator[n]) {
            limiters[n]->on_responses(now, now, responses);
        } else {
            limiters[n]->on_request_failed(now, requests);
        }
    }

    /// Largest number of operations admitted in any window, as a fraction of what users tolerate.
    [[nodiscard]] auto worst_window() const -> double {
        auto max_count = std::size_t{0};
        auto first = admitted.begin();
        for (auto it = admitted.begin(); it != admitted.end(); ++it) {
            first = std::find_if(first, it, [&](time_point at) { return *it - at < window; });
            max_count = std::max(max_count, static_cast<std::size_t>(it - first) + 1);
        }
        const auto permitted = (limit.rate * 5 + limit.burst) * excess_factor + excess_operations;
        return static_cast<double>(max_count) / permitted;
    }

    static auto name(std::size_t n) -> instance_id { return instance_id{std::to_string(n)}; }

    time_point now{1h};
    time_point next_report{1h};
    rate_limit limit;
    token_allocator allocator{window};
    std::vector<std::unique_ptr<account_limiter>> limiters;
    std::vector<bool> reaches_coordinator;
    std::vector<time_point> admitted;
    std::size_t attempted = 0;
};

} // namespace

TEST_GROUP(account_limiter){};

// Guards against an account that exceeds its limit while instances lose and regain the coordinator at random.
TEST(account_limiter, keeps_an_overloaded_account_within_its_limit_during_partitions) {
    const auto holds = rc::check("limit over all instances", [] {
        const auto rate = static_cast<double>(*rc::gen::element(40, 120, 400));
        auto it = fleet{8, {rate, rate}};
        const auto partitions = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 256));
        for (const auto disconnected : partitions) {
            for (auto n = 0U; n < 8; ++n) {
                // At most three of eight are cut off at once.
                it.reaches_coordinator[n] = (disconnected >> n & 1) == 0 || n % 3 != 0;
            }
            for (auto i = 0; i < 100; ++i) {
                it.step({2, 0, 1, 0, 3, 0, 1, 0});
            }
        }
        RC_ASSERT(it.worst_window() <= 1.0);
    });
    CHECK_TRUE(holds);
}

// Guards against refusals of an account that stays within its rate but whose callers are spread unevenly over
// instances.
TEST(account_limiter, admits_an_account_within_its_rate_with_unevenly_spread_callers) {
    auto it = fleet{8, {100, 100}};
    for (auto i = 0; i < 1000; ++i) {
        it.step({i % 2, 0, 0, i % 10 == 0 ? 1 : 0, 0, 0, 0, 0});
    }
    CHECK_EQUAL(it.attempted, it.admitted.size());
}

// Guards against refusals of an account that exceeds its rate but not the limit of a window: the rate over
// its length plus one burst.
TEST(account_limiter, admits_an_account_above_its_rate_within_the_limit_of_a_window) {
    auto it = fleet{8, {100, 100}};
    // 115 per second are 575 per window, which may contain 600.
    for (auto i = 0; i < 3000; ++i) {
        it.step({1, 0, 0, i % 10 == 0 ? 1 : 0, 0, i % 20 == 0 ? 1 : 0, 0, 0});
    }
    CHECK_EQUAL(it.attempted, it.admitted.size());
}

// Guards against tokens that expire unused at many instances with little demand each: the account would be
// refused at half of its rate.
TEST(account_limiter, admits_an_account_within_its_rate_across_many_instances) {
    constexpr auto instances = 60;
    constexpr auto demand_per_s = 18.0;
    auto it = fleet{instances, {24, 24}};
    auto random = std::mt19937_64{7};
    auto arrivals = std::poisson_distribution<int>{demand_per_s / 100 / instances};
    for (auto i = 0; i < 3000; ++i) {
        auto demand = std::vector<int>(instances);
        std::generate(demand.begin(), demand.end(), [&] { return arrivals(random); });
        it.step(demand);
    }
    const auto refused = it.attempted - it.admitted.size();
    const auto wrongful = static_cast<double>(refused) / static_cast<double>(it.attempted);
    CHECK_COMPARE(wrongful, <=, 0.001);
}

// Guards against refusals while the coordinator is replaced: each instance continues with the share that it
// used.
TEST(account_limiter, uses_its_last_share_without_the_coordinator) {
    auto it = fleet{8, {100, 100}};
    const auto demand = [](int i) {
        return std::vector<int>{i % 2, 0, 0, i % 10 == 0 ? 1 : 0, 0, 0, 0, 0};
    };
    for (auto i = 0; i < 1000; ++i) {
        it.step(demand(i));
    }
    const auto attempted = it.attempted;
    const auto admitted = it.admitted.size();
    std::fill(it.reaches_coordinator.begin(), it.reaches_coordinator.end(), false);
    for (auto i = 0; i < 400; ++i) {
        it.step(demand(i));
    }
    const auto part =
        static_cast<double>(it.admitted.size() - admitted) / static_cast<double>(it.attempted - attempted);
    CHECK_TRUE(part > 0.9);
}
