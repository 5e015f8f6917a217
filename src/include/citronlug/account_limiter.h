#pragma once

#include <citronlug/desired_state.h>
#include <citronlug/rate_limit.h>
#include <citronlug/rate_window.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace citronlug {

/// Part of its last known share of a rate that an instance uses while it cannot reach the coordinator. Below
/// 1, because shares are announced at different times; the coordinator reserves the whole share of each
/// instance that it cannot reach.
inline constexpr double unreachable_share_factor = 0.9;
/// Time without a response after which an instance falls back to its own share of the rate. A failed request
/// has the same effect at once.
inline constexpr duration coordinator_timeout = 700ms;

/// Request to the coordinator for tokens of one client account, and its response.
struct token_request {
    account_id account;
    std::uint32_t wanted = 0;
};
struct token_response {
    account_id account;
    std::uint32_t tokens = 0;
    duration wait{};  ///< until a token is available
    double share = 0; ///< part of the account's recent use that falls to this instance, 0 to 1
};

/// Limits the operations of client accounts at one instance. Tokens come in small batches from the
/// coordinator. While the coordinator is unreachable, each instance admits only its last known share of the
/// rate and starts with no tokens, so that the sum over all instances stays within rate and burst even if one
/// account sends many times its rate. Not thread-safe.
class account_limiter {
public:
    auto set_limits(time_point now, const desired_state& rules) -> void;
    auto set_instances(std::uint32_t live) -> void { instances_ = live; }

    /// Spends one token. After `ask`, send `take_requests` to the coordinator and admit again after
    /// `on_responses`.
    [[nodiscard]] auto admit(time_point now, const account_id& account, time_point deadline) -> admission;
    /// Pending requests, to be sent now; each is returned once.
    [[nodiscard]] auto take_requests(time_point now) -> std::vector<token_request>;
    auto on_responses(time_point now, time_point requested_at, const std::vector<token_response>& responses)
        -> void;
    /// The last requests failed or timed out.
    auto on_request_failed(time_point now, const std::vector<token_request>& requests) -> void;
    [[nodiscard]] auto coordinator_reachable(time_point now) const -> bool;
    [[nodiscard]] auto has_requests() const -> bool { return !pending_.empty(); }

private:
    struct entry {
        rate_limit limit;
        std::unique_ptr<limit_policy> policy;
        double share = 0;        ///< as last announced by the coordinator; 0: unknown
        double local_tokens = 0; ///< bucket used while the coordinator is unreachable
        time_point local_updated_at;
    };

    [[nodiscard]] auto admit_locally(time_point now, entry& it) const -> bool;

    std::map<account_id, entry> entries_;
    std::map<account_id, bool> pending_;
    std::uint32_t instances_ = 1;
    time_point last_response_at_ = time_point{} - 1h;
};

/// Coordinator's side: distributes the tokens of all accounts to instances. Each account is limited over a
/// sliding window, less the part that unreachable instances may use by themselves.
class token_allocator {
public:
    /// `window`: span over which the limit of an account holds.
    explicit token_allocator(duration window)
        : window_{window} {}

    auto set_limits(time_point now, const desired_state& rules) -> void;
    /// Sets the instances whose reports arrived recently. Part of each rate is reserved for the others.
    auto set_reachable(time_point now, const std::set<instance_id>& reachable) -> void;
    [[nodiscard]] auto take(time_point now, const instance_id& instance, const token_request& request)
        -> token_response;
    /// Drops all usage. Accounts added afterwards count as used up over the last window, except for a part of
    /// their burst, because the previous coordinator may have granted those tokens.
    auto reset() -> void;

private:
    struct usage {
        double tokens_per_s = 0; ///< exponential moving average of granted tokens
        time_point at;
        /// Share that the instance uses while it cannot reach the coordinator.
        double announced_share = 0;
        time_point last_reachable_at;
        bool unreachable = false; ///< as of the last `set_reachable`
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
