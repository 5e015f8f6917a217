#pragma once

#include <QAbstractEventDispatcher>

#include <memory>

namespace citronlug {

/// Event dispatcher for Qt threads, based on epoll. Qt's own dispatcher passes all sockets of a thread to
/// poll() in each iteration, so the cost of an event grows with the number of open connections; with epoll it
/// does not depend on the number of idle connections.
class epoll_dispatcher : public QAbstractEventDispatcher {
public:
    epoll_dispatcher();
    ~epoll_dispatcher() override;

    auto processEvents(QEventLoop::ProcessEventsFlags flags) -> bool override;

    auto registerSocketNotifier(QSocketNotifier* notifier) -> void override;
    auto unregisterSocketNotifier(QSocketNotifier* notifier) -> void override;

    auto registerTimer(int timer_id, qint64 interval, Qt::TimerType type, QObject* object) -> void override;
    auto unregisterTimer(int timer_id) -> bool override;
    auto unregisterTimers(QObject* object) -> bool override;
    [[nodiscard]] auto registeredTimers(QObject* object) const -> QList<TimerInfo> override;
    auto remainingTime(int timer_id) -> int override;

    auto wakeUp() -> void override;
    auto interrupt() -> void override;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace citronlug
