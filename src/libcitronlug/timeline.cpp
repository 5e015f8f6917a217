#include <citronlug/timeline.h>

#include <citronlug/log.h>

#include <algorithm>
#include <deque>
#include <mutex>

namespace citronlug {

hybrid_clock::hybrid_clock(instance_id instance) {
    last_.instance = std::move(instance);
}

auto hybrid_clock::tick(std::int64_t wall_us) -> hybrid_time {
    if (wall_us > last_.wall_us) {
        last_.wall_us = wall_us;
        last_.counter = 0;
    } else {
        ++last_.counter;
    }
    return last_;
}

auto hybrid_clock::observe(const hybrid_time& remote, std::int64_t wall_us) -> bool {
    if (remote.wall_us > wall_us + max_clock_lead_us) {
        return false;
    }
    // The next tick increments the counter, so its timestamp exceeds both.
    if (remote.wall_us > last_.wall_us) {
        last_.wall_us = remote.wall_us;
        last_.counter = remote.counter;
    } else if (remote.wall_us == last_.wall_us) {
        last_.counter = std::max(last_.counter, remote.counter);
    }
    return true;
}

auto matches(const timeline_filter& filter, const timeline_event& event) -> bool {
    return (filter.database.empty() || filter.database == event.database) &&
           (filter.account.empty() || filter.account == event.account) &&
           (filter.request.empty() || filter.request == event.request) && event.at.wall_us >= filter.since_us;
}

auto merge(const std::vector<std::vector<timeline_event>>& sources) -> std::vector<timeline_event> {
    auto all = std::vector<timeline_event>{};
    for (const auto& it : sources) {
        all.insert(all.end(), it.begin(), it.end());
    }
    std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    all.erase(std::unique(all.begin(), all.end()), all.end());
    return all;
}

auto select(const std::vector<timeline_event>& events, const timeline_filter& filter)
    -> std::vector<timeline_event> {
    auto found = std::vector<timeline_event>{};
    for (const auto& it : events) {
        if (matches(filter, it)) {
            found.push_back(it);
        }
    }
    if (found.size() > filter.limit) {
        found.erase(found.begin(), found.end() - static_cast<std::ptrdiff_t>(filter.limit));
    }
    return found;
}

class timeline::implementation {
public:
    implementation(instance_id instance, std::size_t size)
        : clock(std::move(instance))
        , capacity(std::max<std::size_t>(size, 1)) {}

    mutable std::mutex lock;
    hybrid_clock clock;
    std::size_t capacity;
    std::deque<timeline_event> events;
    std::uint64_t dropped = 0;
};

timeline::timeline(instance_id instance, std::size_t capacity)
    : impl_(std::make_unique<implementation>(std::move(instance), capacity)) {}

timeline::~timeline() = default;

auto timeline::record(std::int64_t wall_us, timeline_event event) -> hybrid_time {
    event.detail = redact(event.detail);
    const auto guard = std::lock_guard{impl_->lock};
    event.at = impl_->clock.tick(wall_us);
    auto time = event.at;
    impl_->events.push_back(std::move(event));
    if (impl_->events.size() > impl_->capacity) {
        impl_->events.pop_front();
        ++impl_->dropped;
    }
    return time;
}

auto timeline::stamp(std::int64_t wall_us) -> hybrid_time {
    const auto guard = std::lock_guard{impl_->lock};
    return impl_->clock.tick(wall_us);
}

auto timeline::observe(const hybrid_time& remote, std::int64_t wall_us) -> void {
    const auto guard = std::lock_guard{impl_->lock};
    impl_->clock.observe(remote, wall_us);
}

auto timeline::select(const timeline_filter& filter) const -> std::vector<timeline_event> {
    const auto guard = std::lock_guard{impl_->lock};
    return citronlug::select({impl_->events.begin(), impl_->events.end()}, filter);
}

auto timeline::dropped() const -> std::uint64_t {
    const auto guard = std::lock_guard{impl_->lock};
    return impl_->dropped;
}

} // namespace citronlug
