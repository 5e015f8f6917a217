#include <citronlug/accountant.h>
#include <citronlug/plugin.h>

#include <algorithm>
#include <cmath>
#include <deque>

namespace citronlug {

namespace {

/// A grant covers the requests that wait and the recent demand of this span; small grants leave few tokens
/// unused at one entry while another waits.
constexpr duration grant_span = 100ms;
/// Requests expected within a grant's life for each token taken in advance: with two, one comes in six of
/// seven cases.
constexpr auto sure_use = 2.0;
/// Time constant of the measured demand.
constexpr duration demand_window = 1s;
/// Pause before the next question after one that failed.
constexpr duration failure_pause = 20ms;
/// Shortest time between a rejection and the next question.
constexpr duration shortest_wait = 1ms;

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
        if (rejected_ && now < next_question_ && next_question_ >= deadline) {
            return admission::refused;
        }
        if (asking_ || now < next_question_) {
            ++waiting_;
            return admission::wait;
        }
        asking_ = true;
        waiting_ = 1; // requests that still wait from before are admitted again now and count themselves
        return admission::ask;
    }

    [[nodiscard]] auto ask_size(time_point now) -> std::uint32_t override {
        count_demand(now, 0);
        const auto life = grant_life_for(limit_);
        const auto expected = [&](duration span) {
            return demand_ * std::chrono::duration<double>{span}.count();
        };
        // Nobody else can use a token that this entry holds until its life is over, so with sparse demand it
        // takes none in advance.
        const auto in_advance = std::min(std::ceil(expected(std::min(grant_span, life / 2))),
                                         std::floor(expected(life) / sure_use));
        const auto wanted = in_advance + std::max<std::uint32_t>(waiting_, 1);
        waiting_ = 0;
        return static_cast<std::uint32_t>(std::clamp(wanted, 1.0, std::max(1.0, limit_.burst)));
    }

    auto on_grant(time_point now, time_point asked_at, std::uint32_t tokens, duration wait) -> void override {
        asking_ = false;
        waiting_ = 0; // the owner admits all waiting requests again
        rejected_ = tokens == 0;
        next_question_ = rejected_ ? now + std::max(wait, shortest_wait) : now;
        const auto until = asked_at + grant_life_for(limit_);
        if (tokens > 0 && until > now) {
            pool_.push_back({until, tokens});
        }
    }

    auto on_grant_failed(time_point now) -> void override {
        asking_ = false;
        rejected_ = false;
        waiting_ = 0;
        next_question_ = now + failure_pause;
    }

    [[nodiscard]] auto retry_at(time_point now) const -> time_point override {
        return asking_ ? now + grant_span : std::max(now, next_question_);
    }

private:
    struct batch {
        time_point until;
        std::uint32_t tokens = 0;
    };

    /// Exponentially decaying rate of admitted requests, per second.
    auto count_demand(time_point now, int n) -> void {
        const auto window = std::chrono::duration<double>{demand_window}.count();
        const auto passed = std::chrono::duration<double>{std::max(duration{0}, now - demand_at_)}.count();
        demand_ = demand_ * std::exp(-passed / window) + n / window;
        demand_at_ = std::max(demand_at_, now);
    }

    rate_limit limit_;
    std::deque<batch> pool_;
    bool asking_ = false;
    bool rejected_ = false; ///< the last answer was that there is no token
    time_point next_question_;
    std::uint32_t waiting_ = 0;
    double demand_ = 0;
    time_point demand_at_;
};

const auto registered = plugin_registration<limit_policy, granted_limit>{"granted"};

} // namespace

} // namespace citronlug
