// Qt headers use placement new, which the macros of CppUTest would break.
#include "standin_fixture.h"
#include "store_standin.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTcpSocket>

#include <citronlug/testing.h>

using namespace citronlug;
using namespace citronlug::standin;

namespace {

struct http_reply {
    int status = 0; ///< 0: none within the time; -1: the connection was closed
    QJsonDocument body;
};

/// One HTTP call on a connection of its own.
class http_call {
public:
    http_call(std::uint16_t port, const char* method, const std::string& path, const std::string& body = "",
              const std::string& client = "i1") {
        socket_.connectToHost("127.0.0.1", port);
        socket_.waitForConnected(1000);
        socket_.write(
            fmt::format("{} {} HTTP/1.1\r\nHost: t\r\nX-Instance: {}\r\nContent-Length: {}\r\n\r\n{}", method,
                        path, client, body.size(), body)
                .c_str());
        socket_.flush();
    }

    auto reply(int wait_ms = 2000) -> http_reply {
        auto text = QByteArray{};
        while (socket_.waitForReadyRead(wait_ms)) {
            text += socket_.readAll();
            const auto end = text.indexOf("\r\n\r\n");
            const auto length = text.toLower().indexOf("content-length: ");
            if (end < 0 || length < 0) {
                continue;
            }
            const auto from = length + 16;
            const auto size = text.mid(from, text.indexOf('\r', from) - from).toInt();
            if (text.size() >= end + 4 + size) {
                return {text.mid(9, 3).toInt(), QJsonDocument::fromJson(text.mid(end + 4))};
            }
        }
        return {socket_.state() == QAbstractSocket::ConnectedState ? 0 : -1, {}};
    }

private:
    QTcpSocket socket_;
};

auto test_settings() -> store_standin_settings {
    return {.port = 0, .writes_per_s = 8, .reads_per_s = 12, .list_lag = 30ms};
}

} // namespace

TEST_GROUP_BASE(platform_store, citronlug::testing::test_base) {
    standin_thread<store_standin> store{test_settings()};
    std::uint16_t port = 0;

    void setup() override {
        store.call([this] { port = store.standin().start(); });
        CHECK(port != 0);
    }

    auto call(const char* method, const std::string& path, const std::string& body = "",
              const std::string& client = "i1")
        ->http_reply {
        return http_call{port, method, path, body, client}.reply(300);
    }
    auto put(std::uint64_t expected, const std::string& value)->int {
        return call("PUT", "/objects/cells/c1",
                    fmt::format(R"({{"expected_version":{},"value":"{}"}})", expected, value))
            .status;
    }
    auto value()->std::string {
        return call("GET", "/objects/cells/c1").body.object()["value"].toString().toStdString();
    }
    auto fault(const std::string& json)->void {
        CHECK_EQUAL(200, call("POST", "/fault", json).status);
    }
};

TEST(platform_store, conditional_updates) {
    CHECK_EQUAL(404, call("GET", "/objects/cells/c1").status);
    CHECK_EQUAL(200, put(0, "a"));
    CHECK_EQUAL(409, put(0, "b"));
    CHECK_EQUAL(200, put(1, "b"));
    CHECK(value() == "b");
    CHECK_EQUAL(400, call("PUT", "/objects/x", "{}").status);
}

// Guards against a watch that misses the change or answers before it.
TEST(platform_store, watch_answers_on_the_change) {
    put(0, "a");
    auto watch = http_call{port, "GET", "/objects/cells/c1?watch_after=1&wait_ms=2000"};
    CHECK_EQUAL(0, watch.reply(50).status);
    put(1, "b");
    CHECK(watch.reply(500).body.object()["value"].toString() == "b");
    CHECK_EQUAL(200, call("GET", "/objects/cells/c1?watch_after=2&wait_ms=50").status);
    { auto gone = http_call{port, "GET", "/objects/cells/c1?watch_after=2&wait_ms=100"}; }
    CHECK_EQUAL(200, put(2, "c")); // the client of the last watch has gone
}

TEST(platform_store, calls_over_the_rate_are_refused) {
    auto refused = 0;
    for (auto n = 0; n < 20; ++n) {
        refused += call("GET", "/objects/cells/c1").status == 429 ? 1 : 0;
    }
    CHECK(refused > 0 && refused <= 8);
    CHECK_EQUAL(200, put(0, "a"));
}

// Guards against a lost answer whose write had no effect: the fault must leave the effect in place.
TEST(platform_store, lost_answer_leaves_the_effect) {
    fault(R"({"kind":"lose-answers","n":1})");
    CHECK_EQUAL(-1, put(0, "a"));
    CHECK(value() == "a");
    CHECK_EQUAL(200, put(1, "b"));
}

TEST(platform_store, outage_ends_by_itself_or_by_healing) {
    auto watch = http_call{port, "GET", "/objects/cells/c1?watch_after=1&wait_ms=2000"};
    CHECK_EQUAL(0, watch.reply(30).status);
    fault(R"({"kind":"outage","ms":60})");
    CHECK_EQUAL(-1, watch.reply(30).status);
    CHECK_EQUAL(-1, put(0, "a"));
    QThread::msleep(60);
    CHECK_EQUAL(200, put(0, "a"));
    fault(R"({"kind":"outage"})");
    CHECK_EQUAL(-1, call("GET", "/instances").status);
    fault(R"({"kind":"heal"})");
    CHECK(value() == "a");
}

TEST(platform_store, isolation_and_slow_answers_can_be_limited_to_clients) {
    put(0, "a");
    fault(R"({"kind":"isolate","clients":["i1"]})");
    CHECK_EQUAL(0, put(1, "b"));
    CHECK_EQUAL(200, call("GET", "/objects/cells/c1", "", "i2").status);
    fault(R"({"kind":"heal"})");
    CHECK(value() == "a");
    fault(R"({"kind":"slow","ms":80,"clients":["i1"]})");
    auto slow = http_call{port, "GET", "/objects/cells/c1"};
    CHECK_EQUAL(0, slow.reply(40).status);
    CHECK_EQUAL(200, slow.reply(200).status);
}

TEST(platform_store, stale_reads_give_the_version_before) {
    put(0, "a");
    put(1, "b");
    fault(R"({"kind":"stale-reads","ms":50})");
    CHECK(value() == "a");
    QThread::msleep(60);
    CHECK(value() == "b");
}

TEST(platform_store, instances_are_listed_after_the_lag_and_calls_are_counted) {
    const auto body = R"({"cell":"c1","peer_address":"p","admin_address":"a","domain":"d1","leaving":true})";
    CHECK_EQUAL(200, call("PUT", "/instances/i1", body).status);
    CHECK(call("GET", "/instances").body.array().isEmpty());
    QThread::msleep(40);
    const auto entry = call("GET", "/instances", "", "i2").body.array()[0].toObject();
    CHECK(entry["instance"].toString() == "i1" && entry["domain"].toString() == "d1" &&
          entry["leaving"].toBool());
    CHECK_EQUAL(200, call("DELETE", "/instances/i1").status);
    const auto counters = call("GET", "/counters").body.object();
    CHECK_EQUAL(2, counters["calls"].toObject()["list"].toInt());
    CHECK_EQUAL(1, counters["instances"].toObject()["i2"].toObject()["list"].toInt());
}
