// Qt headers use placement new, which the macros of CppUTest break.
#include <QCoreApplication>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTcpServer>
#include <QTcpSocket>

#include <unistd.h>

#include <filesystem>
#include <fstream>

#include <citronlug/testing.h>

#include "command_line.h"
#include "http_client.h"

using namespace citronlug;

namespace {

constexpr auto rules_text = "database d cell=c members=127.0.0.1:1  # Aino: orders\n";

/// Fake server with a queue of responses per path; the last response is repeated.
class scripted_server : public transport {
public:
    auto get(const QString& path) -> call_result override { return answer(path, {}); }
    auto post(const QString& path, const QJsonObject& body) -> call_result override {
        return answer(path, body);
    }
    auto pause(duration time) -> void override { paused += time; }

    std::map<QString, std::deque<call_result>> answers;
    std::vector<std::pair<QString, QJsonObject>> calls;
    duration paused{};

private:
    auto answer(const QString& path, const QJsonObject& body) -> call_result {
        calls.emplace_back(path, body);
        auto& list = answers[path];
        auto it = list.empty() ? call_result{} : list.front();
        if (list.size() > 1) {
            list.pop_front();
        }
        return it;
    }
};

auto reply(const char* json, int status = 200) -> call_result {
    return {call_status::answered, status, json, "127.0.0.1:7301", ""};
}

struct command_line_fixture : citronlug::testing::test_base {
    command_line_fixture() {
        std::ofstream{file} << rules_text;
        std::ofstream{bad_file} << rules_text << "limit x\n";
    }
    ~command_line_fixture() override {
        std::remove(file.c_str());
        std::remove(bad_file.c_str());
    }

    auto run(std::vector<const char*> arguments) -> int {
        out.str("");
        err.str("");
        arguments.insert(arguments.begin(), "citronlug");
        const auto parsed =
            parse_command_line(static_cast<int>(arguments.size()), arguments.data(), out, err);
        if (const auto* code = std::get_if<exit_code>(&parsed); code != nullptr) {
            return static_cast<int>(*code);
        }
        auto context = command_context{server, out, err};
        return static_cast<int>(run_command(std::get<command_line>(parsed), context));
    }
    [[nodiscard]] auto stdout_contains(const char* text) const -> bool {
        return out.str().find(text) != std::string::npos;
    }
    [[nodiscard]] auto stderr_contains(const char* text) const -> bool {
        return err.str().find(text) != std::string::npos;
    }

    std::string file =
        std::filesystem::temp_directory_path() / ("citronlug-test-" + std::to_string(getpid()) + ".rules");
    std::string bad_file = file + ".bad";
    scripted_server server;
    std::ostringstream out;
    std::ostringstream err;
};

} // namespace

TEST_GROUP_BASE(command_line_tool, command_line_fixture){};

// Guards against a check that needs a server, and against errors without line and column.
TEST(command_line_tool, checks_a_file_offline) {
    CHECK_EQUAL(0, run({"rules", "check", file.c_str()}));
    CHECK_EQUAL(1, run({"rules", "check", bad_file.c_str()}));
    CHECK(stderr_contains("line 2, column 8"));
    CHECK_EQUAL(1, run({"--json", "rules", "check", bad_file.c_str()}));
    CHECK_EQUAL(3, QJsonDocument::fromJson(QByteArray::fromStdString(out.str()))["errors"].toArray().size());
    CHECK_EQUAL(1, run({"rules", "check", "/nonexistent"}));
    CHECK_EQUAL(1, run({"rules", "apply", bad_file.c_str(), "--base", "1", "--summary", "x"}));
    CHECK(server.calls.empty());
}

// Guards against `explain` needing a server, and against success if nothing was found.
TEST(command_line_tool, explains_a_request_from_logs) {
    const auto log = file + ".log";
    std::ofstream{log}
        << "2026-12-04T08:38:47.100000Z info node-1 permit-lost group=\"g1\" primary=\"g1-1\"\n"
        << "not a line\n"
        << "2026-12-04T08:38:48.100000Z info node-1 request-refused request=\"9-3\" primary=\"g1-1\"\n";
    CHECK_EQUAL(0, run({"explain", "9-3", log.c_str()}));
    CHECK(stdout_contains("permit-lost") && stdout_contains("request-refused"));
    CHECK_EQUAL(1, run({"explain", "9-4", log.c_str()}));
    CHECK(stderr_contains("request 9-4 was not found"));
    CHECK_EQUAL(1, run({"explain", "9-3", "no-such-file.log"}));
    CHECK_EQUAL(2, run({"explain", "9-3"}));
    std::remove(log.c_str());
}

// Guards against commands that run with missing or invalid arguments.
TEST(command_line_tool, rejects_invalid_arguments) {
    for (const auto& it : std::vector<std::vector<const char*>>{
             {},
             {"bogus"},
             {"--bogus"},
             {"rules", "apply", file.c_str(), "--summary", "x"},
             {"rules", "apply", file.c_str(), "--base", "1"},
             {"rules", "apply", file.c_str(), "--base", "one", "--summary", "x"},
             {"key", "issue", "shop"},
             {"key", "withdraw", "id"},
             {"status", "--timeout", "0"}}) {
        CHECK_EQUAL(2, run(it));
    }
    CHECK(server.calls.empty());
}

TEST(command_line_tool, shows_the_difference_and_its_base) {
    server.answers["/rules"] = {
        reply(R"({"text": "limit a rate=1 burst=1 # S: c\n", "version": 7, "from_store": true})")};
    CHECK_EQUAL(0, run({"rules", "diff", file.c_str()}));
    CHECK(stdout_contains("+ database d") && stdout_contains("- limit a") && stderr_contains("--base 7"));
}

// Guards against a conflict reported as success, and against a report without the conflicting changes.
TEST(command_line_tool, reports_the_conflicting_changes) {
    server.answers["/rules"] = {
        reply(R"({"error": {"code": "conflict", "message": "version 9, not 7"}, "version": 9,
        "meanwhile": [{"version": 9, "author": "tom", "summary": "contract", "time": "t", "lines": ["+ limit b"]}],
        "meanwhile_complete": true})",
              409)};
    CHECK_EQUAL(3, run({"rules", "apply", file.c_str(), "--base", "7", "--summary", "x"}));
    CHECK(stderr_contains("tom: contract") && stderr_contains("+ limit b"));
    CHECK_EQUAL(7, server.calls.at(0).second["expected_version"].toInt());
}

TEST(command_line_tool, waits_until_a_change_is_in_force_everywhere) {
    server.answers["/rules"] = {reply(R"({"version": 8, "confirmed": true, "change": {"lines": []}})")};
    const auto outdated = reply(R"({"instances": [{"instance": "i2", "version": 7, "reachable": true}]})");
    const auto unresponsive =
        reply(R"({"instances": [{"instance": "i3", "version": 8, "reachable": false}]})");
    const auto in_force = reply(R"({"instances": [{"instance": "i2", "version": 8, "reachable": true}]})");
    server.answers["/versions"] = {outdated, unresponsive, in_force};
    CHECK_EQUAL(0, run({"rules", "apply", file.c_str(), "--base", "7", "--summary", "x", "--wait"}));
    CHECK(server.paused == 400ms);
    server.answers["/versions"] = {outdated};
    CHECK_EQUAL(4, run({"rules", "apply", file.c_str(), "--base", "7", "--summary", "x", "--wait"}));
    CHECK(stderr_contains("i2 has version 7"));
    server.answers["/versions"] = {unresponsive};
    server.answers["/keys/id/withdraw"] = {reply(R"({"version": 8, "confirmed": true, "id": "id"})")};
    CHECK_EQUAL(4, run({"key", "withdraw", "id", "--reason", "x", "--wait"}));
    CHECK(stderr_contains("i3 does not answer"));
}

TEST(command_line_tool, reports_an_unconfirmed_change_as_not_in_force) {
    server.answers["/rules"] = {reply(R"({"version": 8, "confirmed": false, "warning": "lost contact"})")};
    CHECK_EQUAL(4, run({"rules", "apply", file.c_str(), "--base", "7", "--summary", "x"}));
    CHECK(stderr_contains("lost contact"));
    server.answers["/rules"] = {{call_status::unanswered, 0, "", "", "closed"}};
    CHECK_EQUAL(1, run({"rules", "apply", file.c_str(), "--base", "7", "--summary", "x"}));
    CHECK(stderr_contains("the outcome is unknown"));
}

TEST(command_line_tool, prints_a_new_key_alone_on_standard_output) {
    server.answers["/keys"] = {reply(R"({"version": 8, "confirmed": true, "id": "1", "key": "ck_1_2"})")};
    CHECK_EQUAL(0, run({"key", "issue", "shop", "--requester", "Sales"}));
    CHECK_EQUAL(std::string{"ck_1_2\n"}, out.str());
    server.answers["/keys"] = {reply(R"({"version": 8, "confirmed": true, "repeated": true})")};
    CHECK_EQUAL(1, run({"key", "issue", "shop", "--requester", "Sales"}));
    CHECK(stderr_contains("withdraw it"));
}

namespace {

/// TCP server that sends the same response to each request, or closes the connection if it is empty.
class loopback_server {
public:
    explicit loopback_server(QByteArray answer) {
        server_.listen(QHostAddress::LocalHost);
        QObject::connect(&server_, &QTcpServer::newConnection, [this, answer] {
            auto* socket = server_.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, [this, socket, answer] {
                received += socket->readAll();
                socket->write(answer);
                socket->disconnectFromHost();
            });
        });
    }
    auto address() -> std::string { return "127.0.0.1:" + std::to_string(server_.serverPort()); }

    QByteArray received;

private:
    QTcpServer server_;
};

const auto ok_answer = QByteArray{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"};

} // namespace

TEST_GROUP_BASE(http_client_calls, citronlug::testing::test_base) {
    int argc = 1;
    char name[10] = "test";
    char* argv[2] = {name, nullptr};
    QCoreApplication application{argc, argv};
};

TEST(http_client_calls, fail_over_to_the_next_server) {
    auto good = loopback_server{ok_answer};
    auto client = http_client{{"127.0.0.1:1", good.address()}, "secret", 2s};
    CHECK(client.get("/status").succeeded());
    CHECK(good.received.contains("GET /admin/v1/status HTTP/1.1") && good.received.contains("Bearer secret"));
    CHECK(client.post("/keys", {{"account", "shop"}}).succeeded());
}

// Guards against a change that is applied twice, and against one wrongly reported as not applied.
TEST(http_client_calls, use_the_same_change_id_on_every_server) {
    auto unresponsive = loopback_server{""};
    auto good = loopback_server{ok_answer};
    auto client = http_client{{unresponsive.address(), good.address()}, "secret", 2s};
    CHECK(client.post("/keys", {}).succeeded());
    const auto id = [](const QByteArray& text) {
        return text.mid(text.indexOf("change_id") + 12, 32);
    };
    CHECK(id(unresponsive.received).size() == 32 && id(unresponsive.received) == id(good.received));
    auto refusing = loopback_server{"HTTP/1.1 503 x\r\nConnection: close\r\nContent-Length: 35\r\n\r\n"
                                    "{\"error\":{\"code\":\"no-authority\"}}  "};
    auto unsure = http_client{{unresponsive.address(), refusing.address()}, "secret", 2s};
    CHECK(unsure.post("/keys", {}).status == call_status::unanswered);
    // A refusal takes precedence over an unreachable server.
    auto refused = http_client{{refusing.address(), "127.0.0.1:1"}, "secret", 2s};
    CHECK_EQUAL(503, refused.post("/keys", {}).http_status);
}

TEST(http_client_calls, time_out) {
    auto listening = QTcpServer{};
    listening.listen(QHostAddress::LocalHost);
    auto client = http_client{{"127.0.0.1:" + std::to_string(listening.serverPort())}, "secret", 200ms};
    CHECK(client.post("/keys", {}).status == call_status::unanswered);
    CHECK(client.get("/status").status == call_status::not_sent);
}
