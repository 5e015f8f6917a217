#include "event_queue.h"

#include <QSocketNotifier>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>
#include <vector>

#include <sys/timerfd.h>
#include <unistd.h>

namespace citronlug::standin {

auto now_on_machine() -> time_point {
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since_boot)};
}

event_queue::event_queue()
    : descriptor_(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
    if (descriptor_ < 0) {
        std::abort();
    }
    notifier_ = std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated, notifier_.get(), [this] { run_due(); });
}

event_queue::~event_queue() {
    notifier_.reset();
    close(descriptor_);
}

auto event_queue::at(time_point due, std::function<void()> work) -> void {
    waiting_.emplace(due, std::move(work));
    arm();
}

auto event_queue::arm() -> void {
    if (waiting_.empty() || waiting_.begin()->first >= armed_) {
        return;
    }
    armed_ = waiting_.begin()->first;
    // A zero time would disarm the timer.
    const auto wait = std::max(armed_ - now_on_machine(), duration{1});
    auto setting = itimerspec{};
    setting.it_value.tv_sec = std::chrono::duration_cast<std::chrono::seconds>(wait).count();
    setting.it_value.tv_nsec = std::chrono::nanoseconds{wait % 1s}.count();
    timerfd_settime(descriptor_, 0, &setting, nullptr);
}

auto event_queue::run_due() -> void {
    auto expirations = std::uint64_t{0};
    [[maybe_unused]] const auto n = read(descriptor_, &expirations, sizeof expirations);
    const auto now = now_on_machine();
    // Work that is added meanwhile waits for the next round, so that sockets get their turn. The timer
    // counts as armed until then.
    armed_ = time_point::min();
    auto due = std::vector<std::function<void()>>{};
    const auto end = waiting_.upper_bound(now);
    for (auto it = waiting_.begin(); it != end; ++it) {
        due.push_back(std::move(it->second));
    }
    waiting_.erase(waiting_.begin(), end);
    for (const auto& work : due) {
        work();
    }
    armed_ = time_point::max();
    arm();
}

} // namespace citronlug::standin
