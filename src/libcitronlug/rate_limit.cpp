#include <citronlug/rate_limit.h>

#include <algorithm>
#include <cmath>

namespace citronlug {

namespace {

using seconds = std::chrono::duration<double>;

/// Tolerance for rounding errors of repeated additions, which must not withhold a whole token.
constexpr double epsilon = 1e-9;

auto to_duration(double s) -> duration {
    return std::chrono::ceil<duration>(seconds{std::min(s, 3600.0)});
}

} // namespace

auto grant_lifetime_for(rate_limit limit) -> duration {
    if (limit.rate <= 0) {
        return max_grant_lifetime;
    }
    return std::clamp(to_duration(limit.burst / limit.rate / 2), duration{20ms}, max_grant_lifetime);
}

namespace {

/// Lifetime of a grant on this clock if the entry's clock is slower. Clocks that are off by 5% in opposite
/// directions differ by 10.5%.
auto grant_lifetime_on_any_clock(rate_limit limit) -> duration {
    return grant_lifetime_for(limit) * 9 / 8;
}

} // namespace

auto may_grant(rate_limit limit, time_point now, time_point authority_until) -> bool {
    return now + grant_lifetime_on_any_clock(limit) <= authority_until;
}

token_bucket::token_bucket(rate_limit limit, time_point now, bool predecessor_expired)
    : limit_{limit}
    , updated_{now} {
    if (!predecessor_expired) {
        outstanding_grants_.push_back({now, limit.burst});
    }
}

auto token_bucket::set_limit(time_point now, rate_limit limit) -> void {
    advance(now);
    limit_ = limit;
    level_ = std::clamp(level_, 0.0, std::max(0.0, limit_.burst - outstanding()));
}

auto token_bucket::expiry(const grant& it) const -> time_point {
    return it.granted_at + grant_lifetime_on_any_clock(limit_);
}

auto token_bucket::outstanding() const -> double {
    auto sum = 0.0;
    for (const auto& it : outstanding_grants_) {
        sum += it.tokens;
    }
    return sum;
}

auto token_bucket::accrue(time_point until) -> void {
    if (until <= updated_) {
        return;
    }
    const auto cap = std::max(level_, limit_.burst - outstanding());
    level_ = std::min(cap, level_ + limit_.rate * seconds{until - updated_}.count());
    updated_ = until;
}

auto token_bucket::advance(time_point now) -> void {
    while (!outstanding_grants_.empty() && expiry(outstanding_grants_.front()) <= now) {
        accrue(expiry(outstanding_grants_.front()));
        outstanding_grants_.pop_front();
    }
    accrue(now);
}

auto token_bucket::take(time_point now, std::uint32_t wanted) -> std::uint32_t {
    advance(now);
    const auto whole = std::max(0.0, std::floor(level_ + epsilon));
    const auto n = std::min(static_cast<double>(wanted), whole);
    if (n > 0) {
        level_ = std::max(0.0, level_ - n); // rounding
        outstanding_grants_.push_back({now, n});
    }
    return static_cast<std::uint32_t>(n);
}

auto token_bucket::return_unspent(time_point now, time_point granted_at, std::uint32_t unspent) -> void {
    advance(now);
    const auto it = std::find_if(outstanding_grants_.begin(), outstanding_grants_.end(),
                                 [&](const auto& grant) { return grant.granted_at == granted_at; });
    if (it == outstanding_grants_.end() || it->granted_at + grant_lifetime_for(limit_) <= now) {
        return;
    }
    const auto n = std::min(static_cast<double>(unspent), it->tokens);
    it->tokens -= n;
    level_ = std::min(level_ + n, std::max(0.0, limit_.burst - outstanding()));
}

auto token_bucket::level(time_point now) const -> double {
    auto copy = *this;
    copy.advance(now);
    return copy.level_;
}

auto token_bucket::wait_for_token(time_point now) const -> duration {
    auto copy = *this;
    copy.advance(now);
    for (;;) {
        const auto missing = 1.0 - copy.level_ - epsilon;
        if (missing <= 0) {
            return copy.updated_ - std::min(now, copy.updated_);
        }
        // Tokens accrue at the rate once the outstanding grants leave room for one.
        if (copy.limit_.rate > 0 && copy.limit_.burst - copy.outstanding() >= 1.0 - epsilon) {
            return copy.updated_ - now + to_duration(missing / copy.limit_.rate);
        }
        if (copy.outstanding_grants_.empty() || copy.limit_.rate <= 0) {
            return 1h;
        }
        copy.advance(copy.expiry(copy.outstanding_grants_.front()));
    }
}

} // namespace citronlug
