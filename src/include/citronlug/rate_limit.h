#pragma once

#include <citronlug/types.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace citronlug {

/// Rate and burst of one client account, counted over all instances.
struct rate_limit {
    double rate = 0;  ///< requests per second
    double burst = 0; ///< requests admitted at once

    auto operator==(const rate_limit&) const -> bool = default;
};

/// Longest lifetime of a grant, counted at the entry from before it sent the request.
inline constexpr duration max_grant_lifetime = 1s;

/// Lifetime of the grants of one client account: half the time in which its rate fills its burst, between 20
/// ms and `max_grant_lifetime`. A grant counts against the burst until it expires, so a longer lifetime would
/// keep an account with a small burst below its rate.
[[nodiscard]] auto grant_lifetime_for(rate_limit limit) -> duration;

/// True if a grant made now expires before the authority of the instance that makes it, on the clocks of
/// other instances too. The owner of a `token_bucket` checks this before each `take`.
[[nodiscard]] auto may_grant(rate_limit limit, time_point now, time_point authority_until) -> bool;

/// Token bucket of one client account, at the holder of the account's role. A new bucket is empty, since the
/// predecessor may have granted its tokens just before. For one grant lifetime it also counts the whole burst
/// as granted, because after a hand-over the predecessor's grants may still be valid. It does not if the
/// predecessor's authority had expired (`role_gained::after_expiry`): `may_grant` ensures that all its grants
/// have expired as well. Level and outstanding grants together never exceed the burst, so the use in any time
/// T is at most rate * T + burst. Not thread-safe.
class token_bucket {
public:
    token_bucket(rate_limit limit, time_point now, bool predecessor_expired = false);

    auto set_limit(time_point now, rate_limit limit) -> void;
    /// Grants up to `wanted` whole tokens, which the entry may spend within the grant's lifetime.
    [[nodiscard]] auto take(time_point now, std::uint32_t wanted) -> std::uint32_t;
    /// Takes back tokens of the grant made at `granted_at` that an entry did not spend. Ignored once the
    /// grant has expired; the level stays within the burst.
    auto return_unspent(time_point now, time_point granted_at, std::uint32_t unspent) -> void;
    /// Time until one token is available; 1 h if the limit never yields one.
    [[nodiscard]] auto wait_for_token(time_point now) const -> duration;
    [[nodiscard]] auto level(time_point now) const -> double;

private:
    struct grant {
        time_point granted_at;
        double tokens = 0;
    };

    [[nodiscard]] auto expiry(const grant& it) const -> time_point;
    [[nodiscard]] auto outstanding() const -> double;
    auto advance(time_point now) -> void;
    auto accrue(time_point until) -> void;

    rate_limit limit_;
    double level_ = 0;
    time_point updated_;
    std::deque<grant> outstanding_grants_; ///< oldest first
};

/// Result of admitting a request that needs a token.
enum class admission { admitted, ask, wait, refused };

template <>
struct name_table<admission> {
    static constexpr std::array<std::string_view, 4> names{"admitted", "ask", "wait", "refused"};
};

/// How an entry obtains tokens for the requests of one client account. Tokens come from the account's token
/// source: the holder of its role, or the coordinator. Plug-ins: `granted`, `static_share`.
class limit_policy {
public:
    limit_policy() = default;
    limit_policy(const limit_policy&) = delete;
    auto operator=(const limit_policy&) -> limit_policy& = delete;
    virtual ~limit_policy() = default;

    virtual auto set_limit(time_point now, rate_limit limit, std::uint32_t live_instances) -> void = 0;
    /// Spends a token if one is available. `ask`: request `request_size` tokens from the token source and
    /// queue the request. `wait`: a token request is pending, or a token is expected before the deadline;
    /// queue the request and admit it again after `on_grant` and at `retry_at`. `refused`: the token source
    /// reported that the account is over its rate and the next token comes after the deadline.
    [[nodiscard]] virtual auto admit(time_point now, time_point deadline) -> admission = 0;
    /// Number of tokens to request now; the owner sends the request and reports its result to `on_grant` or
    /// `on_grant_failed`.
    [[nodiscard]] virtual auto request_size(time_point now) -> std::uint32_t = 0;
    /// Response of the token source to a request sent no earlier than `requested_at`. `wait`: time until it
    /// has a token; requests with an earlier deadline are refused.
    virtual auto on_grant(time_point now, time_point requested_at, std::uint32_t tokens, duration wait)
        -> void = 0;
    /// The request failed or timed out, or the token source has changed.
    virtual auto on_grant_failed(time_point now) -> void = 0;
    /// Earliest time at which admitting a queued request again can give another result without a response.
    [[nodiscard]] virtual auto retry_at(time_point now) const -> time_point { return now; }
};

} // namespace citronlug
