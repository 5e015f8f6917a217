#pragma once

#include <citronlug/desired_state.h>
#include <citronlug/rate_limit.h>
#include <citronlug/rate_window.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace citronlug {

/// Part of its share of a rate that an instance uses while it cannot reach the accountant. The accountant
/// keeps the whole share free for instances that it does not hear, since shares are stated at different
/// times.
inline constexpr double unreachable_share_factor = 0.9;
/// An instance without an answer of the accountant for this time, or with a question that failed, goes over
/// to its part of the rate.
inline constexpr duration coordinator_timeout = 700ms;

/// Question to the accountant for tokens of one account, and its answer.
struct token_request {
    account_id account;
    std::uint32_t wanted = 0;
};
struct token_response {
    account_id account;
    std::uint32_t tokens = 0;
    duration wait{};  ///< until the account has a token
    double share = 0; ///< part of the account's rate that this instance used lately
};

/// Admission of operations by the rate of their client account, at one instance. Tokens come in small batches
/// from the accountant; without it each instance admits the part of the rate that it used before, starting
/// from nothing, so that the sum over all instances stays within rate and burst. Answers the load of one
/// account that sends many times its rate. Not thread-safe.
class account_limiter {
public:
    auto set_limits(time_point now, const desired_state& rules) -> void;
    auto set_instances(std::uint32_t live) -> void { instances_ = live; }

    /// Spends one token. `ask`: `take_requests` has something to send; try again after `on_responses`.
    [[nodiscard]] auto admit(time_point now, const account_id& account, time_point deadline) -> admission;
    /// Questions to send now; each is handed out once.
    [[nodiscard]] auto take_requests(time_point now) -> std::vector<token_request>;
    auto on_responses(time_point now, time_point requested_at, const std::vector<token_response>& responses)
        -> void;
    /// The questions handed out last were not answered.
    auto on_request_failed(time_point now, const std::vector<token_request>& requests) -> void;
    [[nodiscard]] auto coordinator_reachable(time_point now) const -> bool;
    [[nodiscard]] auto has_requests() const -> bool { return !pending_.empty(); }

private:
    struct entry {
        rate_limit limit;
        std::unique_ptr<limit_policy> policy;
        double share = 0;        ///< as the accountant last stated it; 0: unknown
        double local_tokens = 0; ///< tokens while there is no accountant
        time_point local_updated_at;
    };

    [[nodiscard]] auto admit_locally(time_point now, entry& it) const -> bool;

    std::map<account_id, entry> entries_;
    std::map<account_id, bool> pending_;
    std::uint32_t instances_ = 1;
    time_point last_response_at_ = time_point{} - 1h;
};

/// The accountant's side: limits of all accounts over a sliding window, reduced by the part that unheard
/// instances may use.
class token_allocator {
public:
    /// `window`: span over which operators count an account's operations.
    explicit token_allocator(duration window)
        : window_{window} {}

    auto set_limits(time_point now, const desired_state& rules) -> void;
    /// Instances that reported lately. For the others a part of each rate is kept free.
    auto set_reachable(time_point now, const std::set<instance_id>& reachable) -> void;
    [[nodiscard]] auto take(time_point now, const instance_id& instance, const token_request& request)
        -> token_response;
    /// Forgets what was handed out. The next accounts count as used up over the last window, but for a part
    /// of their burst.
    auto reset() -> void;

private:
    struct usage {
        double tokens_per_s = 0; ///< moving average of tokens taken
        time_point at;
        /// Part of the rate that the instance uses when it does not reach the accountant.
        double announced_share = 0;
        time_point last_reachable_at;
        bool unreachable = false; ///< as `set_reachable` last said
    };
    struct entry {
        rate_limit limit;
        rate_window window;
        std::map<instance_id, usage> used;
    };

    [[nodiscard]] static auto current_rate(const usage& it, time_point now) -> double;

    duration window_;
    std::map<account_id, entry> entries_;
};

} // namespace citronlug
