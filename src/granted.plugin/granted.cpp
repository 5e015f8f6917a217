#include <citronlug/plugin.h>
#include <citronlug/rate_limit.h>

#include <algorithm>
#include <cmath>
#include <deque>

namespace citronlug {

namespace {

/// A token request covers the waiting requests and the recent demand over this span. Small grants leave few
/// tokens unused at one entry while another waits.
constexpr duration grant_horizon = 100ms;
/// Requests expected within a grant's lifetime for each token taken in advance. With two, at least one
/// arrives in six of seven cases.
constexpr auto min_expected_uses = 2.0;
/// Time constant of the measured demand.
constexpr duration demand_time_constant = 1s;
/// Time from a failed token request to the next one.
constexpr duration failure_retry_delay = 20ms;
/// Minimum time from a rejection to the next token request.
constexpr duration min_request_interval = 1ms;

/// Obtains tokens from the account's token source in small batches.
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
        // Only a rejection by the token source is a reason to refuse, not a failed request or a change of the
        // source.
        if (rejected_ && now < next_request_at_ && next_request_at_ >= deadline) {
            return admission::refused;
        }
        if (request_pending_ || now < next_request_at_) {
            ++waiting_;
            return admission::wait;
        }
        request_pending_ = true;
        waiting_ = 1; // requests that already wait are admitted again now and count themselves
        return admission::ask;
    }

    [[nodiscard]] auto request_size(time_point now) -> std::uint32_t override {
        count_demand(now, 0);
        const auto lifetime = grant_lifetime_for(limit_);
        const auto expected = [&](duration span) {
            return demand_ * std::chrono::duration<double>{span}.count();
        };
        // No other entry can use a token that this one holds until it expires, so with sparse demand none is
        // taken in advance.
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

    /// Adds `n` requests to the exponentially decaying rate of admitted requests, per second.
    auto count_demand(time_point now, int n) -> void {
        const auto window = std::chrono::duration<double>{demand_time_constant}.count();
        const auto passed = std::chrono::duration<double>{std::max(duration{0}, now - demand_at_)}.count();
        demand_ = demand_ * std::exp(-passed / window) + n / window;
        demand_at_ = std::max(demand_at_, now);
    }

    rate_limit limit_;
    std::deque<batch> pool_;
    bool request_pending_ = false;
    bool rejected_ = false; ///< the last response granted no token
    time_point next_request_at_;
    std::uint32_t waiting_ = 0;
    double demand_ = 0;
    time_point demand_at_;
};

const auto registered = plugin_registration<limit_policy, granted_limit>{"granted"};

} // namespace

} // namespace citronlug
