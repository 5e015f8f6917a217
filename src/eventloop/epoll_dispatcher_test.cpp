#include "epoll_dispatcher.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QThread>
#include <QTimer>

#include <functional>
#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

using citronlug::epoll_dispatcher;

namespace {

/// Runs `work` on a thread that uses the dispatcher under test, until it calls its argument or five seconds
/// have passed. Returns whether it finished in time.
auto run_on_dispatcher(const std::function<void(std::function<void()>)>& work) -> bool {
    auto argc = 0;
    auto application = QCoreApplication{argc, nullptr};
    auto thread = QThread{};
    thread.setEventDispatcher(new epoll_dispatcher);
    auto* context = new QObject;
    context->moveToThread(&thread);
    auto finished = false;
    QObject::connect(&thread, &QThread::started, context, [&] {
        work([&] {
            finished = true;
            thread.quit();
        });
    });
    QObject::connect(&thread, &QThread::finished, context, &QObject::deleteLater);
    thread.start();
    if (!thread.wait(5000)) {
        thread.quit();
        thread.wait();
    }
    return finished;
}

} // namespace

TEST_GROUP(epoll_dispatcher){};

// Guards against timers that fire early, once only, or never.
TEST(epoll_dispatcher, fires_a_repeating_timer_until_it_is_stopped) {
    auto fired = 0;
    auto elapsed = qint64{0};
    const auto finished = run_on_dispatcher([&](auto done) {
        auto* timer = new QTimer;
        auto clock = std::make_shared<QElapsedTimer>();
        clock->start();
        QObject::connect(timer, &QTimer::timeout, timer, [=, &fired, &elapsed] {
            if (++fired == 3) {
                elapsed = clock->elapsed();
                timer->stop();
                timer->deleteLater();
                QTimer::singleShot(50, done);
            }
        });
        timer->start(20);
    });
    CHECK_TRUE(finished);
    CHECK_EQUAL(3, fired);
    CHECK_TRUE(elapsed >= 55);
}

// Guards against a lost wake-up: a call posted by another thread is delayed until the next timer.
TEST(epoll_dispatcher, wakes_for_a_posted_call_while_it_waits) {
    const auto finished = run_on_dispatcher([](auto done) {
        auto* target = new QObject;
        auto* poster = QThread::create([=] {
            QThread::msleep(30);
            QMetaObject::invokeMethod(target, [=] {
                target->deleteLater();
                done();
            });
        });
        QObject::connect(poster, &QThread::finished, poster, &QObject::deleteLater);
        poster->start();
    });
    CHECK_TRUE(finished);
}

// Guards against lost socket events with many connections, and against events for closed descriptors.
TEST(epoll_dispatcher, serves_sockets_while_others_open_and_close) {
    auto echoed = 0;
    const auto finished = run_on_dispatcher([&](auto done) {
        auto* server = new QTcpServer;
        QObject::connect(server, &QTcpServer::newConnection, server, [=] {
            while (auto* socket = server->nextPendingConnection()) {
                QObject::connect(socket, &QTcpSocket::readyRead, socket,
                                 [socket] { socket->write(socket->readAll()); });
                QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
            }
        });
        server->listen(QHostAddress::LocalHost);
        for (auto n = 0; n < 50; ++n) {
            auto* client = new QTcpSocket{server};
            QObject::connect(client, &QTcpSocket::connected, client, [client] { client->write("x"); });
            QObject::connect(client, &QTcpSocket::readyRead, client, [=, &echoed] {
                client->readAll();
                client->close();
                client->deleteLater();
                if (++echoed == 50) {
                    server->deleteLater();
                    done();
                }
            });
            client->connectToHost(QHostAddress::LocalHost, server->serverPort());
        }
    });
    CHECK_TRUE(finished);
    CHECK_EQUAL(50, echoed);
}
