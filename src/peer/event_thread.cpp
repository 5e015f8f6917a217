#include "event_thread.h"

#include <QCoreApplication>
#include <QEvent>

#include <ctime>
#include <future>

namespace citronlug {

auto clock_now() -> time_point {
    auto ts = timespec{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point{std::chrono::seconds{ts.tv_sec} +
                      std::chrono::duration_cast<duration>(std::chrono::nanoseconds{ts.tv_nsec})};
}

auto wall_seconds() -> std::int64_t {
    return static_cast<std::int64_t>(std::time(nullptr));
}

auto task_queue::post(task work) -> void {
    auto wake = false;
    {
        const auto lock = std::lock_guard{mutex_};
        wake = pending_.empty();
        pending_.push_back(std::move(work));
    }
    if (wake) {
        QCoreApplication::postEvent(this, new QEvent{QEvent::User});
    }
}

auto task_queue::event(QEvent* event) -> bool {
    if (event->type() != QEvent::User) {
        return QObject::event(event);
    }
    auto tasks = std::vector<task>{};
    {
        const auto lock = std::lock_guard{mutex_};
        tasks.swap(pending_);
    }
    for (auto& it : tasks) {
        it();
    }
    return true;
}

event_thread::event_thread(const std::string& name)
    : queue_{new task_queue} {
    thread_.setObjectName(QString::fromStdString(name));
    queue_->moveToThread(&thread_);
    QObject::connect(&thread_, &QThread::finished, queue_, &QObject::deleteLater);
    thread_.start();
}

event_thread::~event_thread() {
    stop();
}

auto event_thread::run(const task_queue::task& work) -> void {
    auto finished = std::promise<void>{};
    post([&] {
        work();
        finished.set_value();
    });
    finished.get_future().wait();
}

auto event_thread::stop() -> void {
    thread_.quit();
    thread_.wait();
}

} // namespace citronlug
