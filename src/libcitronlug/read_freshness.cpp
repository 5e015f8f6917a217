#include <citronlug/read_freshness.h>

#include <algorithm>

namespace citronlug {

namespace {

/// The newest sample is replaced until it is this much later than the one before.
constexpr auto sample_spacing = duration{20ms};
/// Older samples are dropped; covers the longest accepted age in use.
constexpr auto sample_retention = duration{60s};
constexpr auto max_samples = std::size_t{512};
} // namespace

auto position_samples::add(time_point requested_at, position at) -> void {
    if (sealed_ || (!samples_.empty() && requested_at < samples_.back().requested_at)) {
        return;
    }
    // Replacing the last sample until it is far enough from the one before keeps the list short and the
    // newest position available.
    if (samples_.size() >= 2 && requested_at - samples_[samples_.size() - 2].requested_at < sample_spacing) {
        samples_.back() = {requested_at, std::max(at, samples_.back().at)};
    } else {
        samples_.push_back({requested_at, samples_.empty() ? at : std::max(at, samples_.back().at)});
    }
    while (samples_.size() > max_samples || requested_at - samples_.front().requested_at > sample_retention) {
        samples_.pop_front();
    }
}

auto position_samples::seal(position at) -> void {
    sealed_ = samples_.empty() ? at : std::max(at, samples_.back().at);
}

auto position_samples::clear() -> void {
    samples_.clear();
    sealed_.reset();
}

auto position_samples::required(time_point received, duration max_age) const -> std::optional<position> {
    if (sealed_) {
        return sealed_;
    }
    // The oldest sample that is recent enough, since most replicas have applied its position.
    const auto it = std::find_if(samples_.begin(), samples_.end(), [&](const auto& sample) {
        return sample.requested_at >= received - max_age;
    });
    return it == samples_.end() ? std::nullopt : std::optional{it->at};
}

auto position_samples::newest() const -> std::optional<position> {
    return sealed_ ? sealed_ : samples_.empty() ? std::nullopt : std::optional{samples_.back().at};
}

auto position_samples::newest_at() const -> std::optional<time_point> {
    return samples_.empty() ? std::nullopt : std::optional{samples_.back().requested_at};
}

auto read_requirement_for(const session_route& route, const position_samples& samples,
                          const std::optional<position>& own_write, time_point received) -> read_requirement {
    if (route.kind == consistency::primary ||
        (route.kind == consistency::bounded_staleness && route.max_age <= 0ms)) {
        return {};
    }
    auto after = std::optional<position>{};
    if (route.max_age > 0ms) {
        after = samples.required(received, route.max_age);
        if (!after) {
            return {};
        }
    }
    if (own_write && route.kind == consistency::read_your_writes) {
        const auto newest = samples.newest();
        if (!newest || newest->term <= own_write->term) {
            after = after ? std::max(*after, *own_write) : own_write;
        } else {
            // The newest position of the new term contains every write of the old term that survived.
            after = newest;
        }
    }
    return {true, after};
}

} // namespace citronlug
