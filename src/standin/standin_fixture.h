#pragma once

#include <QCoreApplication>
#include <QThread>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace citronlug::standin {

/// Runs a stand-in on a thread of its own, so that a test can use blocking clients.
template <class Standin>
class standin_thread {
public:
    template <class Settings>
    explicit standin_thread(Settings settings) {
        static auto count = 1;
        static char name[] = "test";
        static char* arguments[] = {name, nullptr};
        static auto application = std::make_unique<QCoreApplication>(count, arguments);
        worker_.moveToThread(&thread_);
        thread_.start();
        call([&] { standin_ = std::make_unique<Standin>(std::move(settings)); });
    }

    ~standin_thread() {
        call([this] { standin_.reset(); });
        thread_.quit();
        thread_.wait();
    }
    standin_thread(const standin_thread&) = delete;
    auto operator=(const standin_thread&) -> standin_thread& = delete;

    /// Runs work on the stand-in's thread and waits for its end.
    auto call(const std::function<void()>& work) -> void {
        QMetaObject::invokeMethod(&worker_, work, Qt::BlockingQueuedConnection);
    }
    /// Only for use within `call`.
    [[nodiscard]] auto standin() -> Standin& { return *standin_; }

private:
    QThread thread_;
    QObject worker_;
    std::unique_ptr<Standin> standin_;
};

} // namespace citronlug::standin
