#include <citronlug/rate_window.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace citronlug {

namespace {

using seconds = std::chrono::duration<double>;

/// Tolerance for rounding errors of repeated additions, which must not withhold a whole token.
constexpr auto epsilon = 1e-6;
/// Below this part of a burst left in the window, the bucket fills more slowly, down to the rate alone.
/// Otherwise an account that has used up the window would get no token until its oldest grants leave.
constexpr auto slow_fill_threshold = 0.25;
/// Part of the rate that is used without the coordinator. Clocks differ, and tokens are under way.
constexpr auto uncoordinated_rate_factor = 0.9;
/// Part of a limit by which a window that spans the loss of the coordinator may exceed it. Operators tolerate
/// a tenth; the rest is for tokens under way and for uses that are dated too early.
constexpr auto tolerated_excess = 0.07;
/// Grants within this span are merged and dated to its end, so that the list is bounded at any rate.
constexpr duration grant_resolution = 50ms;

} // namespace

auto rate_without_coordinator(rate_limit limit) -> double {
    return limit.rate * uncoordinated_rate_factor;
}

rate_window::rate_window(rate_limit limit, duration window, time_point now, double initial_burst_fraction)
    : limit_{limit}
    , window_{window}
    , level_{limit.burst * initial_burst_fraction}
    , updated_{now} {
    const auto steps = std::max<duration::rep>(1, window / grant_resolution);
    for (auto n = steps; n > 0; --n) {
        grants_.push_back(
            {now - n * grant_resolution, 0, (window_capacity() - level_) / static_cast<double>(steps)});
        used_ += grants_.back().counted();
    }
}

auto rate_window::grant::counted() const -> double {
    return std::max(tokens, assumed);
}

auto rate_window::window_capacity() const -> double {
    return limit_.rate * seconds{window_}.count() + limit_.burst;
}

auto rate_window::bucket_capacity() const -> double {
    return std::max(1.0, limit_.burst);
}

auto rate_window::fill_rate() const -> double {
    const auto left = limit_.burst > 0 ? (window_capacity() - used_) / limit_.burst : 0;
    return limit_.rate +
           limit_.burst / seconds{window_}.count() * std::clamp(left / slow_fill_threshold, 0.0, 1.0);
}

auto rate_window::set_limit(time_point now, rate_limit limit) -> void {
    advance(now);
    const auto before = window_capacity();
    limit_ = limit;
    const auto ratio = before > 0 ? window_capacity() / before : 0;
    used_ = 0;
    for (auto& it : grants_) {
        it.tokens *= ratio;
        it.assumed *= ratio;
        used_ += it.counted();
    }
    level_ = std::min(level_ * ratio, bucket_capacity());
}

auto rate_window::charge(time_point now, double tokens) -> void {
    advance(now);
    level_ = std::max(0.0, level_ - tokens);
    record(now, tokens);
}

auto rate_window::count_past(time_point now, duration age, duration span, double tokens) -> void {
    advance(now);
    const auto steps = std::max<duration::rep>(1, span / grant_resolution);
    const auto before = used_;
    for (auto n = duration::rep{0}; n < steps; ++n) {
        const auto at = now - age - n * grant_resolution;
        if (at + grant_resolution + window_ > now) {
            record(at, tokens / static_cast<double>(steps));
        }
    }
    level_ = std::max(0.0, level_ - (used_ - before));
}

auto rate_window::record(time_point at, double tokens) -> void {
    auto next = std::upper_bound(grants_.begin(), grants_.end(), at,
                                 [](time_point value, const grant& it) { return value < it.at; });
    if (next == grants_.begin() || std::prev(next)->at + grant_resolution <= at) {
        next = std::next(grants_.insert(next, {at, 0, 0}));
    }
    auto& it = *std::prev(next);
    const auto before = it.counted();
    it.tokens += tokens;
    used_ += it.counted() - before;
}

auto rate_window::advance(time_point now) -> void {
    while (!grants_.empty() && grants_.front().at + grant_resolution + window_ <= now) {
        used_ -= grants_.front().counted();
        grants_.pop_front();
    }
    if (now <= updated_) {
        return;
    }
    const auto filled = fill_rate() * seconds{now - updated_}.count();
    updated_ = now;
    level_ = std::min(bucket_capacity(), level_ + filled);
}

auto rate_window::left_if_coordinator_is_lost(time_point now) const -> double {
    const auto most = window_capacity() * (1 + tolerated_excess);
    const auto rate = rate_without_coordinator(limit_);
    auto left = most;
    auto granted = 0.0;
    for (auto it = grants_.rbegin(); it != grants_.rend(); ++it) {
        granted += it->counted();
        const auto rest = seconds{std::max(duration{}, it->at + window_ - now)}.count();
        left = std::min(left, most - granted - rate * rest);
    }
    return left;
}

auto rate_window::take(time_point now, std::uint32_t wanted) -> std::uint32_t {
    advance(now);
    const auto most = std::min({level_, window_capacity() - used_, left_if_coordinator_is_lost(now)});
    const auto whole = std::floor(most + epsilon);
    const auto n = std::clamp(whole, 0.0, static_cast<double>(wanted));
    if (n > 0) {
        level_ -= n;
        record(now, n);
    }
    return static_cast<std::uint32_t>(n);
}

auto rate_window::wait_for_token(time_point now) const -> duration {
    if (limit_.rate <= 0) {
        return 1h;
    }
    auto copy = *this;
    copy.advance(now);
    const auto missing = std::max(0.0, 1 - copy.level_ - epsilon);
    const auto filled = std::chrono::ceil<duration>(seconds{std::min(missing / copy.fill_rate(), 3600.0)});
    auto leaves = now;
    for (const auto& it : copy.grants_) {
        if (copy.window_capacity() - copy.used_ >= 1 - epsilon) {
            break;
        }
        copy.used_ -= it.counted();
        leaves = it.at + grant_resolution + window_;
    }
    const auto lacking = std::max(0.0, 1 - left_if_coordinator_is_lost(now));
    const auto safe = std::chrono::ceil<duration>(seconds{lacking / rate_without_coordinator(limit_)});
    return std::max({filled, leaves - now, safe});
}

} // namespace citronlug
