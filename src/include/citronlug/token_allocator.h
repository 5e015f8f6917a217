#pragma once

#include <citronlug/desired_state.h>
#include <citronlug/rate_window.h>
#include <citronlug/token_request.h>

#include <map>
#include <set>

namespace citronlug {

/// Interval of announcements of shares to a deputy. Several fit into the lifetime of a share.
inline constexpr duration deputy_announcement_interval = 1s;

/// Coordinator's side of `account_limiter`: distributes the tokens of all accounts to instances, and the
/// shares that they use without it. Each account is limited over a sliding window that includes what
/// instances have used, or may use, by themselves. Not thread-safe.
class token_allocator {
public:
    /// `window`: span over which the limit of an account holds.
    explicit token_allocator(duration window)
        : window_{window} {}

    auto set_limits(time_point now, const desired_state& rules) -> void;
    /// Sets the instances whose reports arrived recently. What the others may use by themselves counts as
    /// used.
    auto set_reachable(time_point now, const std::set<instance_id>& reachable) -> void;
    /// Counts the uses in the request, then grants tokens. `run`: of the instance. The response to a request
    /// for no tokens means nothing.
    [[nodiscard]] auto take(time_point now, const instance_id& instance, incarnation run,
                            const token_request& request) -> token_response;
    /// Sets the instances that lend tokens to others while there is no coordinator. They are announced what
    /// is left of all rates, in equal parts; an instance that uses an account rarely is announced no share of
    /// its own then, since it would seldom hold a whole token.
    auto set_deputies(std::set<instance_id> deputies) -> void;
    /// Shares of all accounts for a deputy, about once in `deputy_announcement_interval`; empty for others.
    [[nodiscard]] auto announce_deputy_shares(time_point now, const instance_id& instance)
        -> std::vector<token_response>;
    /// This instance begins to coordinate with this fencing token. Drops all state if the token has changed;
    /// with the same one, nobody else granted tokens in between. Accounts added afterwards count as used up
    /// over the last window, except for a part of their burst, because the previous coordinator may have
    /// granted those tokens; and they have no shares until those of the previous coordinator have expired.
    /// `predecessor_at`: when the previous coordinator last answered.
    auto begin_term(std::uint64_t fencing_token, time_point predecessor_at) -> void;

private:
    /// Bound of the share that an instance may use. A lower share takes effect when the higher one that was
    /// announced before has expired, because the announcement may not have arrived.
    class share_bound {
    public:
        auto announce(time_point now, double share) -> void;
        [[nodiscard]] auto at(time_point now) const -> double;
        [[nodiscard]] auto expires_at() const -> time_point;

    private:
        double share_ = 0;
        time_point until_;
        double next_ = 0; ///< lower share announced since
        time_point next_until_;
    };

    struct usage {
        double tokens_per_s = 0; ///< exponential moving average of tokens used
        time_point at;
        share_bound share;
        time_point heard_at;   ///< last time that it was reachable
        time_point charged_at; ///< its share counts as used until then
        double prepaid = 0;    ///< tokens charged for its share that it has not reported as used
        time_point prepaid_at;
        incarnation run = 0;
        std::uint32_t counted_total = 0; ///< `token_request::uncounted_total` of its last request
    };
    struct entry {
        rate_limit limit;
        rate_window window;
        time_point shares_from; ///< shares of an earlier coordinator may be valid before
        std::map<instance_id, usage> used;
    };

    [[nodiscard]] static auto current_rate(const usage& it, time_point now) -> double;
    auto count_uses(time_point now, entry& account, usage& own, incarnation run, const token_request& request)
        -> void;
    auto charge_share(time_point now, entry& account, usage& own) -> void;
    [[nodiscard]] auto announce_share(time_point now, entry& account, const instance_id& instance, usage& own)
        -> double;
    /// Share of a deputy: what other instances do not need, divided among the deputies.
    [[nodiscard]] auto deputy_share(time_point now, const entry& account, const usage& own) const -> double;

    duration window_;
    std::map<account_id, entry> entries_;
    std::uint64_t fencing_token_ = 0;
    time_point reachable_set_at_;
    time_point predecessor_at_ = time_point{} - 1h;
    std::set<instance_id> deputies_;
    std::map<instance_id, time_point> announced_to_deputies_;
};

} // namespace citronlug
