#pragma once

#include <citronlug/rate_limit.h>

#include <cstdint>
#include <deque>

namespace citronlug {

/// Limit of one client account over a sliding window: at most `rate` times the window and one `burst` within
/// any window. An account that keeps sending more than its rate is handed out the window's amount evenly, not
/// all of it at the window's start. Answers the load of accounts slightly above their rate, which a token
/// bucket refuses although the window has room. Not thread-safe.
class rate_window {
public:
    /// `initial_burst_fraction`: part of the burst that may be handed out at once. The rest of the last
    /// window counts as used, because another accountant may have handed it out.
    rate_window(rate_limit limit, duration window, time_point now, double initial_burst_fraction);

    /// What was handed out before counts in proportion to the new limit.
    auto set_limit(time_point now, rate_limit limit) -> void;
    /// Counts this part of what the limit allows as handed out by others from now on. `part`: below 1.
    auto set_reserved(time_point now, double part) -> void;
    /// Hands out up to `wanted` whole tokens.
    [[nodiscard]] auto take(time_point now, std::uint32_t wanted) -> std::uint32_t;
    /// Time until one token is there.
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
    /// Level of a bucket that holds the burst and fills with the rate and an even part of the burst.
    double level_ = 0;
    double reserved_ = 0;      ///< part that others may use
    double used_ = 0;          ///< sum of `grants_`
    std::deque<grant> grants_; ///< of the last window, oldest first
    time_point updated_;
};

} // namespace citronlug
