#include <citronlug/read_freshness.h>

#include <algorithm>

namespace citronlug {

namespace {

/// Samples closer together than this replace each other.
constexpr auto sample_spacing = duration{20ms};
/// Samples older than the longest bound in use are dropped.
constexpr auto sample_life = duration{60s};
constexpr auto most_samples = std::size_t{512};
/// Part of a bound on age that is left for the way of the read to the backend server.
constexpr auto travel_allowance = duration{50ms};
/// The newest sample that is at least this old is preferred, because replicas have had the time to apply it.
constexpr auto usual_replica_lag = duration{150ms};

} // namespace

auto position_samples::add(time_point asked_at, position at) -> void {
    if (sealed_ || (!samples_.empty() && asked_at < samples_.back().asked_at)) {
        return;
    }
    // The last sample moves until it is old enough to be kept, so that the list stays short and the newest is known.
    if (samples_.size() >= 2 && asked_at - samples_[samples_.size() - 2].asked_at < sample_spacing) {
        samples_.back() = {asked_at, std::max(at, samples_.back().at)};
    } else {
        samples_.push_back({asked_at, samples_.empty() ? at : std::max(at, samples_.back().at)});
    }
    while (samples_.size() > most_samples || asked_at - samples_.front().asked_at > sample_life) {
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

auto position_samples::required(time_point now, duration max_age) const -> std::optional<position> {
    if (sealed_) {
        return sealed_;
    }
    const auto oldest = now - max_age + std::min(travel_allowance, max_age / 4);
    const auto settled = now - std::min(usual_replica_lag, max_age / 2);
    auto found = std::optional<position>{};
    for (auto it = samples_.rbegin(); it != samples_.rend() && it->asked_at >= oldest; ++it) {
        found = it->at;
        if (it->asked_at <= settled) {
            break;
        }
    }
    return found;
}

auto position_samples::newest() const -> std::optional<position> {
    return sealed_ ? sealed_ : samples_.empty() ? std::nullopt : std::optional{samples_.back().at};
}

auto position_samples::newest_at() const -> std::optional<time_point> {
    return samples_.empty() ? std::nullopt : std::optional{samples_.back().asked_at};
}

auto need_of_read(const session_route& route, const position_samples& samples,
                  const std::optional<position>& own_write, time_point now) -> read_need {
    if (route.kind == consistency::primary || (route.kind == consistency::bounded_staleness && route.max_age <= 0ms)) {
        return {};
    }
    auto after = std::optional<position>{};
    if (route.max_age > 0ms) {
        after = samples.required(now, route.max_age);
        if (!after) {
            return {};
        }
    }
    if (own_write && route.kind == consistency::read_your_writes) {
        const auto newest = samples.newest();
        if (!newest || newest->term <= own_write->term) {
            after = after ? std::max(*after, *own_write) : own_write;
        } else {
            // The newest position of the new term contains whatever part of the old term survived.
            after = newest;
        }
    }
    return {true, after};
}

} // namespace citronlug
