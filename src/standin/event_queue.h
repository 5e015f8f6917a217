#pragma once

#include <citronlug/types.h>

#include <functional>
#include <map>
#include <memory>

class QSocketNotifier;

namespace citronlug::standin {

/// Monotonic time of this machine; comparable between processes.
[[nodiscard]] auto now_on_machine() -> time_point;

/// Runs functions at given times in the current thread's event loop. It uses a timerfd, since a Qt timer
/// has a resolution of 1 ms and statements take fractions of one. Functions due at the same time run in the
/// order in which they were added.
class event_queue {
public:
    event_queue();
    event_queue(const event_queue&) = delete;
    auto operator=(const event_queue&) -> event_queue& = delete;
    ~event_queue();

    auto at(time_point due, std::function<void()> work) -> void;

private:
    auto run_due() -> void;
    auto arm() -> void;

    int descriptor_ = -1;
    std::unique_ptr<QSocketNotifier> notifier_;
    std::multimap<time_point, std::function<void()>> waiting_;
    time_point armed_ = time_point::max();
};

} // namespace citronlug::standin
