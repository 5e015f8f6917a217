#include <citronlug/server_choice.h>

#include <algorithm>
#include <cmath>

namespace citronlug {

namespace {

/// An instance may see fewer than one concurrent statement per server; below 1 there would be no samples.
constexpr auto min_limit = 1.0;
/// Upper bound of a limit, as a multiple of the server's slots.
constexpr auto max_limit_per_slot = 2.0;
/// Weight of a sample in the latency ratio. A sample after a pause counts more, because older ones are stale.
constexpr auto min_sample_weight = 0.1;
constexpr auto max_sample_weight = 0.3;
constexpr auto sample_memory = duration{2s};
/// A sample counts as at most this multiple of the present ratio, so that a single slow statement stays
/// within the tolerance: 1 + 0.1 * (4 - 1) = 1.3.
constexpr auto max_sample_factor = 4.0;
/// Ratio of loaded to unloaded latency up to which the limit is not reduced.
constexpr auto latency_tolerance = 1.5;
/// Largest part of the limit that one sample removes.
constexpr auto max_decrease = 0.1;
constexpr auto rejection_decrease = 0.1;
/// The unloaded latency follows a lasting change within this time.
constexpr auto unloaded_memory = duration{60s};
/// Without samples for the first time, the latency ratio decays to the unloaded one within the second, so
/// that a slow server is tried again.
constexpr auto stale_after = duration{1s};
constexpr auto stale_decay = duration{3s};
/// Trust in a server after failures: 0.3 of it remains after each failure, and each answer adds a
/// tenth. It falls in total if more than 7% of the statements fail. The floor leaves trials.
constexpr auto trust_loss = 0.3;
constexpr auto trust_gain = 1.1;
constexpr auto min_trust = 0.05;
/// An instance with few statements has few trials, so trust also doubles in this time without failure.
constexpr auto trust_doubling = duration{5s};
/// The first samples of a server replace its initial values.
constexpr auto first_samples = std::uint32_t{5};

auto fraction(duration part, duration whole) -> double {
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

} // namespace

learned_limit::learned_limit(std::uint32_t slots, std::int64_t started_ms)
    : started_ms_{started_ms}
    , max_limit_{std::max(1U, slots) * max_limit_per_slot}
    , limit_{static_cast<double>(std::max(1U, slots))} {}

auto learned_limit::on_answer(double latency_ratio, std::uint32_t in_flight, time_point now) -> void {
    const auto age = samples_ == 0 ? duration{} : now - sampled_at_;
    ++samples_;
    const auto sample = std::min(latency_ratio, ratio_ * max_sample_factor);
    const auto weight = samples_ <= first_samples
                            ? 1.0 / samples_
                            : std::clamp(fraction(age, sample_memory), min_sample_weight, max_sample_weight);
    ratio_ += (sample - ratio_) * weight;
    unloaded_ratio_ =
        samples_ <= first_samples
            ? ratio_
            : std::min(ratio_, unloaded_ratio_ + (ratio_ - unloaded_ratio_) *
                                                     std::min(1.0, fraction(age, unloaded_memory)));
    sampled_at_ = now;
    trust_ = std::min(1.0, trust(now) * trust_gain);
    failed_at_ = trust_ < 1 ? now : time_point{};

    const auto gradient = latency_tolerance * unloaded_ratio_ / std::max(ratio_, 1e-6);
    if (gradient < 1) {
        limit_ *= 1 - std::min(max_decrease, 1 - gradient);
    } else if (in_flight * 2 >= limit_) {
        limit_ += 1 / limit_; // without load, the latency says nothing about a higher limit
    }
    limit_ = std::clamp(limit_, min_limit, max_limit_);
}

auto learned_limit::on_rejected() -> void {
    limit_ = std::max(min_limit, limit_ * (1 - rejection_decrease));
}

auto learned_limit::on_failure(time_point now) -> void {
    trust_ = std::max(min_trust, trust(now) * trust_loss);
    failed_at_ = now;
}

auto learned_limit::latency_ratio(time_point now) const -> double {
    const auto stale = now - sampled_at_ - stale_after;
    if (stale <= duration{}) {
        return ratio_;
    }
    return unloaded_ratio_ + (ratio_ - unloaded_ratio_) * std::exp(-fraction(stale, stale_decay));
}

auto learned_limit::trust(time_point now) const -> double {
    if (trust_ >= 1) {
        return 1;
    }
    return std::min(1.0, trust_ * std::exp2(std::min(10.0, fraction(now - failed_at_, trust_doubling))));
}

} // namespace citronlug
