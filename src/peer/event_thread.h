#pragma once

#include <citronlug/types.h>

#include <QObject>
#include <QThread>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace citronlug {

/// Monotonic time. It also advances while the process or the machine is suspended, so that a lease expires
/// during a pause.
[[nodiscard]] auto clock_now() -> time_point;
/// Seconds since 1970.
[[nodiscard]] auto wall_seconds() -> std::int64_t;

/// Tasks for the Qt event loop of one thread. Tasks posted before the loop runs share one wake-up.
class task_queue : public QObject {
public:
    using task = std::function<void()>;

    /// Thread-safe.
    auto post(task work) -> void;
    auto event(QEvent* event) -> bool override;

private:
    std::mutex mutex_;
    std::vector<task> pending_;
};

/// Thread with a Qt event loop and a task queue.
class event_thread {
public:
    explicit event_thread(const std::string& name);
    ~event_thread();
    event_thread(const event_thread&) = delete;
    auto operator=(const event_thread&) -> event_thread& = delete;

    auto post(task_queue::task work) -> void { queue_->post(std::move(work)); }
    /// Runs the task on the thread and waits until it has finished. Deadlocks if called on the thread itself.
    auto run(const task_queue::task& work) -> void;
    /// Object that lives on the thread, parent for timers and notifiers.
    [[nodiscard]] auto context() const -> QObject* { return queue_; }
    auto stop() -> void;

private:
    QThread thread_;
    task_queue* queue_ = nullptr;
};

} // namespace citronlug
