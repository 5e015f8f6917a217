#pragma once

#include <citronlug/rate_limit.h>

#include <cstdint>
#include <deque>

namespace citronlug {

/// Rate at which all instances together admit operations without the coordinator, per second.
[[nodiscard]] auto rate_without_coordinator(rate_limit limit) -> double;

/// Limit of one client account over a sliding window: at most `rate` times the window plus one `burst` within
/// any window. An account that keeps sending above its rate gets this amount spread evenly over the window,
/// not all at its start. A plain token bucket would refuse accounts slightly above their rate although the
/// window has room. Not thread-safe.
///
/// The coordinator may be lost at any time. A window that spans its loss holds its grants until then, and
/// `rate_without_coordinator` for the rest of the window. Grants are delayed so that this sum stays within
/// the excess that operators tolerate, too.
class rate_window {
public:
    /// `initial_burst_fraction`: part of the burst that is available at once. The rest of the last window
    /// counts as granted, because a previous coordinator may have granted it.
    rate_window(rate_limit limit, duration window, time_point now, double initial_burst_fraction);

    /// Past grants are scaled in proportion to the new limit.
    auto set_limit(time_point now, rate_limit limit) -> void;
    /// Counts tokens that others may use now.
    auto charge(time_point now, double tokens) -> void;
    /// Counts tokens that others used within the `span` that ended at `age`. What is counted as granted
    /// before the start of this window covers them.
    auto count_past(time_point now, duration age, duration span, double tokens) -> void;
    /// Grants up to `wanted` whole tokens.
    [[nodiscard]] auto take(time_point now, std::uint32_t wanted) -> std::uint32_t;
    /// Time until one token is available; 1 h if the rate is 0.
    [[nodiscard]] auto wait_for_token(time_point now) const -> duration;

private:
    struct grant {
        time_point at;
        double tokens = 0;
        double assumed = 0; ///< granted by a previous coordinator, at most, as assumed at the start

        [[nodiscard]] auto counted() const -> double;
    };

    [[nodiscard]] auto window_capacity() const -> double;
    [[nodiscard]] auto bucket_capacity() const -> double;
    [[nodiscard]] auto fill_rate() const -> double;
    auto record(time_point at, double tokens) -> void;
    auto advance(time_point now) -> void;
    /// Number of tokens that can be granted now if the coordinator is lost afterwards.
    [[nodiscard]] auto left_if_coordinator_is_lost(time_point now) const -> double;

    rate_limit limit_;
    duration window_;
    /// Level of a bucket that holds the burst and fills with the rate plus an even part of the burst.
    double level_ = 0;
    double used_ = 0;          ///< sum of what `grants_` count
    std::deque<grant> grants_; ///< within the last window, oldest first
    time_point updated_;
};

} // namespace citronlug
