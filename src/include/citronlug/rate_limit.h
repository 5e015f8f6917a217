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
    double burst = 0; ///< requests at once

    auto operator==(const rate_limit&) const -> bool = default;
};

/// Longest life of a grant, counted at the entry from before it asked.
inline constexpr duration max_grant_lifetime = 1s;

/// Life of the grants of one client account: half the time in which its rate fills its burst, between 20 ms
/// and `max_grant_lifetime`. A grant counts against the burst for its life, so longer lives would keep an
/// account with a small burst below its rate.
[[nodiscard]] auto grant_lifetime_for(rate_limit limit) -> duration;

/// True if a grant made now ends before the accountant's authority does, on any other clock too. The owner of
/// an accountant checks it before each `take`.
[[nodiscard]] auto may_grant(rate_limit limit, time_point now, time_point authority_until) -> bool;

/// Token bucket of one client account at its accountant. A new accountant starts with an empty bucket,
/// since tokens of its predecessor may have been spent a moment ago. For one grant life it counts the whole
/// burst as granted, because after a hand-over grants of the predecessor may be alive; not so if the
/// predecessor's authority had expired (`role_gained::after_expiry`), since `may_grant` ends all grants
/// before. The level and the grants alive together never exceed the burst, so the use in any time T is at
/// most rate * T + burst. Not thread-safe.
class token_bucket {
public:
    token_bucket(rate_limit limit, time_point now, bool predecessor_expired = false);

    auto set_limit(time_point now, rate_limit limit) -> void;
    /// Takes up to `wanted` whole tokens; the entry may spend them for `max_grant_lifetime`.
    [[nodiscard]] auto take(time_point now, std::uint32_t wanted) -> std::uint32_t;
    /// Unspent tokens that an entry returns, from the grant that `take` made at `granted_at`. They count only
    /// while that grant is alive, and never above the burst.
    auto return_unspent(time_point now, time_point granted_at, std::uint32_t unspent) -> void;
    /// Time until one token is there.
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

/// What the entry does with a request that needs a token.
enum class admission { admitted, ask, wait, refused };

template <>
struct name_table<admission> {
    static constexpr std::array<std::string_view, 4> names{"admitted", "ask", "wait", "refused"};
};

/// How an entry obtains tokens for the requests of one client account. Plug-ins: `granted`, `static_share`.
class limit_policy {
public:
    limit_policy() = default;
    limit_policy(const limit_policy&) = delete;
    auto operator=(const limit_policy&) -> limit_policy& = delete;
    virtual ~limit_policy() = default;

    virtual auto set_limit(time_point now, rate_limit limit, std::uint32_t live_instances) -> void = 0;
    /// Spends one token if there is one. `ask`: send `request_size` to the accountant, queue the request;
    /// `wait`: a question is under way, or the accountant will have a token before the deadline; admit again
    /// after `on_grant` and at `retry_at`. `refused`: the accountant says that the account is over its rate
    /// and that the token would come after the deadline.
    [[nodiscard]] virtual auto admit(time_point now, time_point deadline) -> admission = 0;
    /// Tokens to ask for now; the owner asks the accountant and reports with `on_grant`.
    [[nodiscard]] virtual auto request_size(time_point now) -> std::uint32_t = 0;
    /// Answer of the accountant. `requested_at` is the time before the question was sent. `wait`: time until
    /// the accountant has a token; it is a rejection of requests whose deadline is nearer.
    virtual auto on_grant(time_point now, time_point requested_at, std::uint32_t tokens, duration wait)
        -> void = 0;
    /// The accountant did not answer or has changed.
    virtual auto on_grant_failed(time_point now) -> void = 0;
    /// Earliest time at which admitting a waiting request again may have another result without an answer.
    [[nodiscard]] virtual auto retry_at(time_point now) const -> time_point { return now; }
};

} // namespace citronlug
