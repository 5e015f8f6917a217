#include "event_thread.h"
#include "http_server.h"

#include <QCoreApplication>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <citronlug/testing.h> // its macros for operator new must follow Qt headers

using namespace citronlug;

namespace {

auto application() -> QCoreApplication& {
    static auto n = 1;
    static char name[] = "test";
    static char* arguments[] = {name, nullptr};
    static auto it = QCoreApplication{n, arguments};
    return it;
}

/// Blocking client on a plain socket, so that it can violate the protocol.
class raw_client {
public:
    explicit raw_client(std::uint16_t port)
        : socket_{::socket(AF_INET, SOCK_STREAM, 0)} {
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        connected_ = ::connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    }
    raw_client(raw_client&& other) noexcept
        : socket_{std::exchange(other.socket_, -1)}
        , connected_{other.connected_} {}
    raw_client(const raw_client&) = delete;
    auto operator=(const raw_client&) -> raw_client& = delete;
    ~raw_client() {
        if (socket_ >= 0) {
            ::close(socket_);
        }
    }

    auto send(const std::string& text) -> bool {
        return ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
    }

    /// Reads until `until` occurs, the peer closes the connection, or the timeout `ms` expires.
    auto read(const std::string& until, int ms = 3000) -> std::string {
        auto found = std::string{};
        const auto end = clock_now() + std::chrono::milliseconds{ms};
        while (found.find(until) == std::string::npos) {
            auto it = pollfd{socket_, POLLIN, 0};
            const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(end - clock_now()).count();
            if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) <= 0) {
                break;
            }
            char buf[4096];
            const auto n = ::recv(socket_, buf, sizeof buf, 0);
            if (n <= 0) {
                closed_ = true;
                break;
            }
            found.append(buf, static_cast<std::size_t>(n));
        }
        return found;
    }

    [[nodiscard]] auto closed() const -> bool { return closed_; }
    [[nodiscard]] auto connected() const -> bool { return connected_; }

private:
    int socket_;
    bool connected_ = false;
    bool closed_ = false;
};

auto post(const std::string& body, const std::string& extra = {}) -> std::string {
    return "POST /echo HTTP/1.1\r\nHost: x\r\n" + extra + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

/// Server that replies with the size of the request body.
TEST_GROUP_BASE(bounded_http_server, citronlug::testing::test_base) {
    http_limits limits;
    std::unique_ptr<event_thread> thread;
    std::unique_ptr<http_server> server;
    std::uint16_t port = 0;
    std::vector<std::shared_ptr<http_exchange>> held_exchanges; ///< of requests to /hold

    auto start()->void {
        application();
        thread = std::make_unique<event_thread>("server");
        thread->run([this] {
            server = std::make_unique<http_server>(
                limits,
                [this](const http_request& incoming, std::shared_ptr<http_exchange> exchange) {
                    if (incoming.path == "/hold") {
                        held_exchanges.push_back(std::move(exchange));
                    } else {
                        exchange->reply(200, "size=" + QByteArray::number(incoming.body.size()),
                                        "text/plain");
                    }
                },
                [](const QByteArray& authorization) { return authorization == "Bearer good"; });
            port = server->listen("127.0.0.1:0");
        });
    }

    auto connections()->std::size_t {
        auto n = std::size_t{0};
        thread->run([&] { n = server->connections(); });
        return n;
    }

    auto teardown()->void override {
        if (thread) {
            thread->run([this] {
                held_exchanges.clear();
                server.reset();
            });
            thread->stop();
        }
    }
};

TEST(bounded_http_server, reuses_a_connection_for_several_requests) {
    start();
    auto client = raw_client{port};
    for (auto n = 0; n < 3; ++n) {
        client.send(post("12345"));
        CHECK(client.read("size=5").find("200") != std::string::npos);
    }
}

// Guards against a peer that makes the server reserve memory for a body that is only declared.
TEST(bounded_http_server, refuses_a_declared_body_of_1_GB_before_it_is_sent) {
    start();
    auto client = raw_client{port};
    client.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\nabc");
    CHECK(client.read("larger than 1 MB").find("413") != std::string::npos);
    client.read("never", 1000);
    CHECK(client.closed());
}

// Guards against unauthenticated peers that use up the memory for bodies.
TEST(bounded_http_server, refuses_a_large_body_without_a_valid_key) {
    start();
    const auto body = std::string(100'000, 'x');
    auto unauthenticated = raw_client{port};
    unauthenticated.send(post(body).substr(0, 200));
    CHECK(unauthenticated.read("valid key").find("401") != std::string::npos);
    auto authenticated = raw_client{port};
    authenticated.send(post(body, "Authorization: Bearer good\r\n"));
    CHECK(authenticated.read("size=100000").find("200") != std::string::npos);
}

TEST(bounded_http_server, refuses_a_header_over_the_limit) {
    start();
    auto client = raw_client{port};
    client.send("POST /echo HTTP/1.1\r\nX-Long: " + std::string(40'000, 'a'));
    CHECK(client.read("16 kB").find("431") != std::string::npos);
}

// Guards against request smuggling by framing that Qt's parser and the guard could interpret differently.
TEST(bounded_http_server, refuses_ambiguous_framing) {
    start();
    const auto cases = std::map<std::string, std::string>{
        {"411", "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
        {"400", "POST /echo HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabc"},
        {"400 ", "POST /echo HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc"},
        {"400  ", "POST /echo HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcdef"}};
    for (const auto& [status, text] : cases) {
        auto client = raw_client{port};
        client.send(text);
        CHECK(client.read("not run").find(status.substr(0, 3)) != std::string::npos);
    }
}

// Guards against a peer that holds a connection by sending its request too slowly.
TEST(bounded_http_server, times_out_an_incomplete_request) {
    limits.request_timeout = 700ms;
    start();
    auto client = raw_client{port};
    client.send("POST /echo HTTP/1.1\r\nContent-Length: 10\r\n\r\na");
    CHECK(client.read("not complete").find("408") != std::string::npos);
}

TEST(bounded_http_server, closes_a_connection_that_sends_nothing) {
    limits.first_request_timeout = 700ms;
    start();
    auto client = raw_client{port};
    client.read("no request was received");
    client.read("never", 1500);
    CHECK(client.closed());
}

TEST(bounded_http_server, closes_an_idle_connection) {
    limits.idle_timeout = 700ms;
    start();
    auto client = raw_client{port};
    client.send(post("1"));
    client.read("size=1");
    client.read("never", 2500);
    CHECK(client.closed());
}

// Guards against unauthenticated peers that lock out callers by holding all connections.
TEST(bounded_http_server, evicts_an_idle_connection_at_the_connection_limit) {
    limits.connections = 50;
    start();
    auto idle = std::vector<raw_client>{};
    for (auto n = 0; n < 100; ++n) {
        idle.emplace_back(port);
    }
    auto client = raw_client{port};
    client.send(post("1234"));
    CHECK(client.read("size=4").find("200") != std::string::npos);
    CHECK(connections() <= 50 + 64);
}

// Guards against idle connections that slow down requests on others. Both ends are in this process, so
// 10,000 connections need 20,000 descriptors.
TEST(bounded_http_server, serves_others_next_to_10000_idle_connections) {
    auto limit = rlimit{};
    CHECK(getrlimit(RLIMIT_NOFILE, &limit) == 0);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    const auto n = std::min<rlim_t>(10'000, (limit.rlim_cur - 500) / 2);
    start();
    auto idle = std::vector<raw_client>{};
    for (auto it = rlim_t{0}; it < n; ++it) {
        idle.emplace_back(port);
        CHECK(idle.back().connected());
    }
    for (auto end = clock_now() + 20s; connections() < n && clock_now() < end;) {
        usleep(10'000); // the time to accept them is not part of the measurement
    }
    auto client = raw_client{port};
    auto slowest = duration{};
    for (auto it = 0; it < 200; ++it) {
        const auto before = clock_now();
        client.send(post("12345"));
        CHECK(client.read("size=5").find("200") != std::string::npos);
        slowest = std::max(slowest, clock_now() - before);
    }
    CHECK(connections() > n);
    CHECK(slowest < 500ms);
}

// Guards against a reply through a socket that was destroyed when the peer disconnected.
TEST(bounded_http_server, replies_asynchronously_and_tolerates_a_closed_connection) {
    start();
    {
        auto disconnected = raw_client{port};
        disconnected.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
        disconnected.read("never", 200);
    }
    auto waiting = raw_client{port};
    waiting.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    waiting.read("never", 200);
    thread->run([this] {
        LONGS_EQUAL(2, held_exchanges.size());
        CHECK(!held_exchanges[0]->connected());
        for (auto& it : held_exchanges) {
            it->reply(200, "late", "text/plain");
        }
    });
    CHECK(waiting.read("late").find("200") != std::string::npos);
}
