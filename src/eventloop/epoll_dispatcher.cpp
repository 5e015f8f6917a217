#include "epoll_dispatcher.h"

#include <QCoreApplication>
#include <QEvent>
#include <QSocketNotifier>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace citronlug {

namespace {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Maximum number of events per epoll_wait call.
constexpr auto batch_size = std::size_t{64};
constexpr auto notifier_kinds = std::size_t{3};

constexpr auto epoll_bits = std::array<std::uint32_t, notifier_kinds>{
    EPOLLIN | EPOLLHUP | EPOLLRDHUP | EPOLLERR, EPOLLOUT | EPOLLERR | EPOLLHUP, EPOLLPRI};

/// Notifiers of one descriptor, by QSocketNotifier::Type.
struct descriptor_notifiers {
    std::array<QSocketNotifier*, notifier_kinds> notifiers{};

    [[nodiscard]] auto interest() const -> std::uint32_t {
        return (notifiers[0] != nullptr ? EPOLLIN | EPOLLRDHUP : 0U) |
               (notifiers[1] != nullptr ? EPOLLOUT : 0U) | (notifiers[2] != nullptr ? EPOLLPRI : 0U);
    }
};

struct timer {
    milliseconds interval{};
    Qt::TimerType type = Qt::CoarseTimer;
    QObject* object = nullptr;
    clock::time_point due;
};

} // namespace

class epoll_dispatcher::implementation {
public:
    implementation()
        : poll_fd_{epoll_create1(EPOLL_CLOEXEC)}
        , wake_fd_{eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)} {
        auto event = epoll_event{};
        event.events = EPOLLIN;
        event.data.fd = wake_fd_;
        if (poll_fd_ < 0 || wake_fd_ < 0 || epoll_ctl(poll_fd_, EPOLL_CTL_ADD, wake_fd_, &event) != 0) {
            qFatal("cannot create or set up the epoll and event descriptors");
        }
    }
    ~implementation() {
        close(wake_fd_);
        close(poll_fd_);
    }
    implementation(const implementation&) = delete;
    auto operator=(const implementation&) -> implementation& = delete;

    auto update(int fd, descriptor_notifiers& it, bool is_registered) -> void {
        auto event = epoll_event{};
        event.events = it.interest();
        event.data.fd = fd;
        const auto operation =
            event.events == 0 ? EPOLL_CTL_DEL : (is_registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD);
        // The kernel removes a closed descriptor from the epoll set itself, so a failed removal is ignored
        // and a descriptor number that was reused is added again.
        if (epoll_ctl(poll_fd_, operation, fd, &event) != 0 && operation == EPOLL_CTL_MOD) {
            epoll_ctl(poll_fd_, EPOLL_CTL_ADD, fd, &event);
        }
        if (event.events == 0) {
            sockets.erase(fd);
        }
    }

    /// Milliseconds until the next timer is due, -1 without timers.
    [[nodiscard]] auto wait_time(clock::time_point now) const -> int {
        if (by_due_time.empty()) {
            return -1;
        }
        const auto remaining = std::chrono::ceil<milliseconds>(by_due_time.begin()->first - now).count();
        return static_cast<int>(std::clamp<std::int64_t>(remaining, 0, 60'000));
    }

    auto start_timer(int id, timer it) -> void {
        by_due_time.emplace(it.due, id);
        timers.insert_or_assign(id, it);
    }

    auto stop_timer(int id) -> bool {
        const auto it = timers.find(id);
        if (it == timers.end()) {
            return false;
        }
        by_due_time.erase({it->second.due, id});
        timers.erase(it);
        return true;
    }

    auto dispatch_timers() -> bool {
        const auto now = clock::now();
        auto due = std::vector<int>{};
        for (const auto& [at, id] : by_due_time) {
            if (at > now) {
                break;
            }
            due.push_back(id);
        }
        for (const auto id : due) {
            const auto it = timers.find(id);
            if (it == timers.end()) {
                continue; // stopped by the handler of an earlier timer
            }
            by_due_time.erase({it->second.due, id});
            it->second.due = std::max(it->second.due + it->second.interval, now);
            by_due_time.emplace(it->second.due, id);
            auto event = QTimerEvent{id};
            QCoreApplication::sendEvent(it->second.object, &event);
        }
        return !due.empty();
    }

    auto dispatch_sockets(int count, const std::array<epoll_event, batch_size>& events) -> bool {
        auto handled = false;
        for (auto n = 0; n < count; ++n) {
            const auto& event = events.at(static_cast<std::size_t>(n));
            const auto fd = event.data.fd;
            if (fd == wake_fd_) {
                auto value = std::uint64_t{};
                [[maybe_unused]] const auto read_bytes = read(wake_fd_, &value, sizeof value);
                wake_pending.store(false);
                continue;
            }
            for (auto kind = std::size_t{0}; kind < notifier_kinds; ++kind) {
                // Looked up each time, because a handler may remove notifiers.
                const auto it = sockets.find(fd);
                if (it == sockets.end()) {
                    break;
                }
                auto* notifier = it->second.notifiers.at(kind);
                if (notifier != nullptr && (event.events & epoll_bits.at(kind)) != 0) {
                    auto activation = QEvent{QEvent::SockAct};
                    QCoreApplication::sendEvent(notifier, &activation);
                    handled = true;
                }
            }
        }
        return handled;
    }

    auto wait(int timeout, std::array<epoll_event, batch_size>& events) const -> int {
        return epoll_wait(poll_fd_, events.data(), static_cast<int>(events.size()), timeout);
    }

    auto wake() -> void {
        if (!wake_pending.exchange(true)) {
            const auto one = std::uint64_t{1};
            [[maybe_unused]] const auto written = write(wake_fd_, &one, sizeof one);
        }
    }

    std::unordered_map<int, descriptor_notifiers> sockets;
    std::unordered_map<int, timer> timers;
    std::set<std::pair<clock::time_point, int>> by_due_time; ///< timers by due time
    std::atomic<bool> wake_pending = false;                  ///< the event descriptor is already signalled
    std::atomic<bool> interrupted = false;

private:
    int poll_fd_;
    int wake_fd_;
};

epoll_dispatcher::epoll_dispatcher()
    : impl_{std::make_unique<implementation>()} {}

epoll_dispatcher::~epoll_dispatcher() = default;

auto epoll_dispatcher::processEvents(QEventLoop::ProcessEventsFlags flags) -> bool {
    impl_->interrupted.store(false);
    Q_EMIT awake();
    QCoreApplication::sendPostedEvents();
    if (impl_->interrupted.load()) {
        return false;
    }
    const auto may_wait = flags.testFlag(QEventLoop::WaitForMoreEvents);
    const auto no_timers = flags.testFlag(QEventLoop::X11ExcludeTimers);
    auto timeout = 0;
    if (may_wait) {
        Q_EMIT aboutToBlock();
        timeout = no_timers ? -1 : impl_->wait_time(clock::now());
    }
    auto events = std::array<epoll_event, batch_size>{};
    const auto count = impl_->wait(timeout, events);
    if (may_wait) {
        Q_EMIT awake();
    }
    auto handled = impl_->dispatch_sockets(count, events);
    if (!no_timers) {
        handled = impl_->dispatch_timers() || handled;
    }
    QCoreApplication::sendPostedEvents();
    return handled;
}

auto epoll_dispatcher::registerSocketNotifier(QSocketNotifier* notifier) -> void {
    const auto fd = static_cast<int>(notifier->socket());
    const auto [it, added] = impl_->sockets.try_emplace(fd);
    it->second.notifiers.at(static_cast<std::size_t>(notifier->type())) = notifier;
    impl_->update(fd, it->second, !added);
}

auto epoll_dispatcher::unregisterSocketNotifier(QSocketNotifier* notifier) -> void {
    const auto fd = static_cast<int>(notifier->socket());
    const auto it = impl_->sockets.find(fd);
    if (it == impl_->sockets.end()) {
        return;
    }
    auto& slot = it->second.notifiers.at(static_cast<std::size_t>(notifier->type()));
    if (slot == notifier) {
        slot = nullptr;
        impl_->update(fd, it->second, true);
    }
}

auto epoll_dispatcher::registerTimer(int timer_id, qint64 interval, Qt::TimerType type, QObject* object)
    -> void {
    const auto span = milliseconds{interval};
    impl_->start_timer(timer_id, {span, type, object, clock::now() + span});
}

auto epoll_dispatcher::unregisterTimer(int timer_id) -> bool {
    return impl_->stop_timer(timer_id);
}

auto epoll_dispatcher::unregisterTimers(QObject* object) -> bool {
    auto ids = std::vector<int>{};
    for (const auto& [id, it] : impl_->timers) {
        if (it.object == object) {
            ids.push_back(id);
        }
    }
    std::for_each(ids.begin(), ids.end(), [this](int id) { impl_->stop_timer(id); });
    return !ids.empty();
}

auto epoll_dispatcher::registeredTimers(QObject* object) const -> QList<TimerInfo> {
    auto found = QList<TimerInfo>{};
    for (const auto& [id, it] : impl_->timers) {
        if (it.object == object) {
            found.push_back({id, static_cast<int>(it.interval.count()), it.type});
        }
    }
    return found;
}

auto epoll_dispatcher::remainingTime(int timer_id) -> int {
    const auto it = impl_->timers.find(timer_id);
    if (it == impl_->timers.end()) {
        return -1;
    }
    const auto remaining = std::chrono::ceil<milliseconds>(it->second.due - clock::now()).count();
    return static_cast<int>(std::max<std::int64_t>(remaining, 0));
}

auto epoll_dispatcher::wakeUp() -> void {
    impl_->wake();
}

auto epoll_dispatcher::interrupt() -> void {
    impl_->interrupted.store(true);
    wakeUp();
}

} // namespace citronlug
