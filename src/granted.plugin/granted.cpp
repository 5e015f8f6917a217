#include <citronlug/plugin.h>
#include <citronlug/rate_limit.h>

#include <algorithm>
#include <cmath>
#include <deque>

namespace citronlug {

namespace {

/// A grant covers the requests that wait and the recent demand of this span; small grants leave few tokens
/// unused at one entry while another waits.
constexpr duration grant_horizon = 100ms;
/// Requests expected within a grant's life for each token taken in advance: with two, one comes in six of
/// seven cases.
constexpr auto min_expected_uses = 2.0;
/// Time constant of the measured demand.
constexpr duration demand_time_constant = 1s;
/// Pause before the next question after one that failed.
constexpr duration failure_retry_delay = 20ms;
/// Shortest time between a rejection and the next question.
constexpr duration min_request_interval = 1ms;

/// Takes tokens from the account's accountant in small batches.
class granted_limit final : public limit_policy {
public:
    auto set_limit(time_point /*now*/, rate_limit limit, std::uint32_t /*live_instances*/) -> void override {
        limit_ = limit;
    }

    [[nodiscard]] auto admit(time_point now, time_point deadline) -> admission override {
        while (!pool_.empty() && pool_.front().until <= now) {
            pool_.pop_front();
        }
        if (!pool_.empty()) {
            if (--pool_.front().tokens == 0) {
                pool_.pop_front();
            }
            count_demand(now, 1);
            return admission::admitted;
        }
        // Only what the accountant said is a reason to refuse; silence and changes of accountant are not.
        if (rejected_ && now < next_request_at_ && next_request_at_ >= deadline) {
            return admission::refused;
        }
        if (request_pending_ || now < next_request_at_) {
            ++waiting_;
            return admission::wait;
        }
        request_pending_ = true;
        waiting_ = 1; // requests that still wait from before are admitted again now and count themselves
        return admission::ask;
    }

    [[nodiscard]] auto request_size(time_point now) -> std::uint32_t override {
        count_demand(now, 0);
        const auto lifetime = grant_lifetime_for(limit_);
        const auto expected = [&](duration span) {
            return demand_ * std::chrono::duration<double>{span}.count();
        };
        // Nobody else can use a token that this entry holds until its life is over, so with sparse demand it
        // takes none in advance.
        const auto prefetched = std::min(std::ceil(expected(std::min(grant_horizon, lifetime / 2))),
                                         std::floor(expected(lifetime) / min_expected_uses));
        const auto wanted = prefetched + std::max<std::uint32_t>(waiting_, 1);
        waiting_ = 0;
        return static_cast<std::uint32_t>(std::clamp(wanted, 1.0, std::max(1.0, limit_.burst)));
    }

    auto on_grant(time_point now, time_point requested_at, std::uint32_t tokens, duration wait)
        -> void override {
        request_pending_ = false;
        waiting_ = 0; // the owner admits all waiting requests again
        rejected_ = tokens == 0;
        next_request_at_ = rejected_ ? now + std::max(wait, min_request_interval) : now;
        const auto until = requested_at + grant_lifetime_for(limit_);
        if (tokens > 0 && until > now) {
            pool_.push_back({until, tokens});
        }
    }

    auto on_grant_failed(time_point now) -> void override {
        request_pending_ = false;
        rejected_ = false;
        waiting_ = 0;
        next_request_at_ = now + failure_retry_delay;
    }

    [[nodiscard]] auto retry_at(time_point now) const -> time_point override {
        return request_pending_ ? now + grant_horizon : std::max(now, next_request_at_);
    }

private:
    struct batch {
        time_point until;
        std::uint32_t tokens = 0;
    };

    /// Exponentially decaying rate of admitted requests, per second.
    auto count_demand(time_point now, int n) -> void {
        const auto window = std::chrono::duration<double>{demand_time_constant}.count();
        const auto passed = std::chrono::duration<double>{std::max(duration{0}, now - demand_at_)}.count();
        demand_ = demand_ * std::exp(-passed / window) + n / window;
        demand_at_ = std::max(demand_at_, now);
    }

    rate_limit limit_;
    std::deque<batch> pool_;
    bool request_pending_ = false;
    bool rejected_ = false; ///< the last answer was that there is no token
    time_point next_request_at_;
    std::uint32_t waiting_ = 0;
    double demand_ = 0;
    time_point demand_at_;
};

const auto registered = plugin_registration<limit_policy, granted_limit>{"granted"};

} // namespace

} // namespace citronlug
