#pragma once

#include <citronlug/desired_state.h>
#include <citronlug/rate_limit.h>
#include <citronlug/token_ledger.h>
#include <citronlug/token_request.h>

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace citronlug {

/// Time without a response after which an instance falls back to its own share of the rate. A failed request
/// has the same effect at once.
inline constexpr duration coordinator_timeout = 700ms;

/// Limits the operations of client accounts at one instance. Tokens come in small batches from the
/// coordinator. While the coordinator is unreachable, an instance admits only its share of
/// `rate_without_coordinator`, starting with no tokens, until the share expires; the coordinator keeps the
/// sum of all shares that have not expired at 1 or less. An instance without a share admits nothing by
/// itself. Not thread-safe.
class account_limiter {
public:
    /// `window`: span over which the limit of an account holds. Applies to accounts that are added later.
    auto set_window(duration window) -> void { window_ = window; }
    auto set_limits(time_point now, const desired_state& rules) -> void;
    auto set_instances(std::uint32_t live) -> void { instances_ = live; }

    /// Spends one token. After `ask`, send `take_requests` to the coordinator and admit again after
    /// `on_responses`.
    [[nodiscard]] auto admit(time_point now, const account_id& account, time_point deadline) -> admission;
    /// Requests to be sent now to the coordinator with this fencing token: those that are pending, each
    /// returned once, and the uses that it has not counted. `on_responses` or `on_request_failed` must follow
    /// before the next call.
    [[nodiscard]] auto take_requests(time_point now, std::uint64_t coordinator) -> std::vector<token_request>;
    auto on_responses(time_point now, time_point requested_at, std::uint64_t coordinator,
                      const std::vector<token_response>& responses) -> void;
    /// Tokens that another instance may use, of this instance's share while the coordinator is unreachable
    /// from here; they count as used here.
    [[nodiscard]] auto lend(time_point now, const account_id& account, std::uint32_t wanted) -> std::uint32_t;
    /// Requests to a deputy for the operations that wait now; empty while the coordinator is reachable.
    [[nodiscard]] auto take_deputy_requests(time_point now) -> std::vector<token_request>;
    /// A deputy's responses to requests sent at `requested_at`.
    auto on_lent(time_point now, time_point requested_at, const std::vector<token_response>& responses)
        -> void;
    /// The last requests failed or timed out.
    auto on_request_failed(time_point now, const std::vector<token_request>& requests) -> void;
    [[nodiscard]] auto coordinator_reachable(time_point now) const -> bool;
    /// When the last request was sent that a coordinator answered.
    [[nodiscard]] auto last_response_at() const -> time_point { return last_response_at_; }
    [[nodiscard]] auto has_requests() const -> bool { return !pending_.empty(); }

private:
    struct entry {
        rate_limit limit;
        std::unique_ptr<limit_policy> policy;
        token_ledger uses;
        double share = 0; ///< as last announced by the coordinator
        time_point share_until;
        double local_tokens = 0; ///< bucket used while the coordinator is unreachable
        time_point local_updated_at;
        struct lent_tokens {
            time_point until;
            std::uint32_t tokens = 0;
        };
        std::deque<lent_tokens> lent; ///< by deputies
        std::uint32_t waiting = 0;    ///< operations without a token at `waiting_at`
        time_point waiting_at;
    };

    [[nodiscard]] static auto take_lent(time_point now, entry& it) -> bool;

    [[nodiscard]] auto admit_locally(time_point now, entry& it) const -> bool;

    duration window_ = 5s;
    std::map<account_id, entry> entries_;
    std::map<account_id, bool> pending_;
    std::uint32_t instances_ = 1;
    std::uint64_t coordinator_ = 0; ///< fencing token of the last coordinator that answered
    time_point last_response_at_ = time_point{} - 1h;
};

} // namespace citronlug
