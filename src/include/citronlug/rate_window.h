#pragma once

#include <citronlug/rate_limit.h>

#include <cstdint>
#include <deque>

namespace citronlug {

/// Limit of one client account over a sliding window: at most `rate` times the window plus one `burst` within
/// any window. An account that keeps sending above its rate gets this amount spread evenly over the window,
/// not all at its start. A plain token bucket would refuse accounts slightly above their rate although the
/// window has room. Not thread-safe.
class rate_window {
public:
    /// `initial_burst_fraction`: part of the burst that is available at once. The rest of the last window
    /// counts as granted, because a previous coordinator may have granted it.
    rate_window(rate_limit limit, duration window, time_point now, double initial_burst_fraction);

    /// Past grants are scaled in proportion to the new limit.
    auto set_limit(time_point now, rate_limit limit) -> void;
    /// Reserves this part of the limit, below 1, for use by others from now on.
    auto set_reserved(time_point now, double part) -> void;
    /// Grants up to `wanted` whole tokens.
    [[nodiscard]] auto take(time_point now, std::uint32_t wanted) -> std::uint32_t;
    /// Time until one token is available; 1 h if the rate is 0.
    [[nodiscard]] auto wait_for_token(time_point now) const -> duration;

private:
    struct grant {
        time_point at;
        double tokens = 0;
    };

    [[nodiscard]] auto window_capacity() const -> double;
    [[nodiscard]] auto bucket_capacity() const -> double;
    [[nodiscard]] auto fill_rate() const -> double;
    auto record(time_point now, double tokens) -> void;
    auto advance(time_point now) -> void;

    rate_limit limit_;
    duration window_;
    /// Level of a bucket that holds the burst and fills with the rate plus an even part of the burst.
    double level_ = 0;
    double reserved_ = 0;      ///< part of the limit that others may use
    double used_ = 0;          ///< sum of `grants_`
    std::deque<grant> grants_; ///< within the last window, oldest first
    time_point updated_;
};

} // namespace citronlug
