#include "store_client.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpServer>
#include <QTcpSocket>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

/// Answers each call with status 200 and the given body.
TEST_GROUP(store_client) {
    QCoreApplication* application = nullptr;
    QTcpServer* listener = nullptr;
    store_client* store = nullptr;
    std::string body;

    void setup() override {
        static auto argc = 1;
        static char name[] = "store_client_test";
        static char* argv[] = {name, nullptr};
        application = new QCoreApplication{argc, argv};
        listener = new QTcpServer;
        listener->listen(QHostAddress::LocalHost);
        QObject::connect(listener, &QTcpServer::newConnection, listener, [this] {
            auto* socket = listener->nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
                if (socket->readAll().contains("\r\n\r\n")) {
                    const auto answer =
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body;
                    socket->write(answer.data(), static_cast<qint64>(answer.size()));
                    socket->disconnectFromHost();
                }
            });
        });
        store = new store_client{"127.0.0.1:" + std::to_string(listener->serverPort()), instance_id{"i-1"}};
    }
    void teardown() override {
        delete store;
        delete listener;
        delete application;
    }

    /// The list, or nothing if the call counts as failed.
    auto list()->std::optional<std::vector<listed_instance>> {
        auto is_answered = false;
        auto found = std::optional<std::vector<listed_instance>>{};
        store->instances([&](std::optional<std::vector<listed_instance>> it) {
            is_answered = true;
            found = std::move(it);
        });
        auto timer = QElapsedTimer{};
        timer.start();
        while (!is_answered && timer.elapsed() < 5000) {
            QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 50);
        }
        CHECK_TRUE(is_answered);
        return found;
    }
};

// Guards against one entry that hides all other instances: each instance would then take itself for the last
// one.
TEST(store_client, lists_the_instances_around_an_entry_that_names_none) {
    const auto instance =
        std::string{R"({"instance":"i-2","cell":"c","peer_address":"127.0.0.1:9","domain":"a"})"};
    for (const auto& odd :
         {std::string(1100, '[') + std::string(1100, ']'), std::string{"1e999"}, std::string{"\"\xff\""},
          std::string{"{}"}, std::string{R"({"instance":"i-3","peer_address":"127.0.0.1:70000"})"}}) {
        body = "[" + odd + "," + instance + "]";
        const auto listed = list();
        CHECK_TRUE(listed.has_value());
        CHECK_EQUAL(1U, listed->size());
        CHECK_EQUAL(std::string{"i-2"}, listed->front().instance.value);
    }
}

// Guards against an unreadable list that is taken for an empty one.
TEST(store_client, takes_an_unreadable_list_for_no_answer) {
    for (const auto* text : {"", "{}", "[", "[{}", "null"}) {
        body = text;
        CHECK_FALSE(list().has_value());
    }
    body = "[]";
    CHECK_TRUE(list()->empty());
}
