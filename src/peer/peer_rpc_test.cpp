#include "event_thread.h"
#include "peer_rpc.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <future>
#include <thread>
#include <vector>

#include <citronlug/compressed_text.h>
#include <citronlug/testing.h> // its macros for operator new must follow the other headers

using namespace citronlug;

/// A server and a client instance. The client uses the secret that the test passes.
TEST_GROUP_BASE(peers, citronlug::testing::test_base) {
    std::atomic<int> executed_requests = 0;
    std::unique_ptr<peer_rpc> server;
    std::unique_ptr<peer_rpc> client;
    std::string address;
    std::atomic<bool> answers_requests = true;
    config_reply offered_rules; ///< set while no call is in flight
    std::vector<std::function<void(answer, epoch_number)>> pending_replies; ///< used on the server's thread

    auto start(const std::string& client_secret)->void {
        auto services = peer_services{};
        services.execute = [this](request work, std::function<void(answer, epoch_number)> done) {
            ++executed_requests;
            if (!answers_requests) {
                pending_replies.push_back(std::move(done));
                return;
            }
            auto value = answer{};
            value.outcome = verdict::done;
            value.rows = {{"a", "b"}, {{"1", std::nullopt}, {work.body.text, work.body.parameters.at(0)}}, 7};
            value.served_by = member_id{work.account.value};
            done(std::move(value), 42);
        };
        services.config_version = [] {
            return std::uint64_t{5};
        };
        services.fetch_config = [this](std::uint64_t /*version*/) {
            return offered_rules;
        };
        server = std::make_unique<peer_rpc>(instance_id{"server"}, "secret", services);
        address = "127.0.0.1:" + std::to_string(server->listen("127.0.0.1:0"));
        client = std::make_unique<peer_rpc>(instance_id{"client"}, client_secret, peer_services{});
    }

    static auto sample(duration deadline)->request {
        auto work = request{};
        work.account = account_id{"shop"};
        work.deadline = clock_now() + deadline;
        work.body = {"SELECT", {std::string{"x\0y", 3}}};
        return work;
    }

    auto execute(const std::string& to, duration deadline)->execute_reply {
        auto reply = std::promise<execute_reply>{};
        client->execute(to, sample(deadline), [&](execute_reply it) { reply.set_value(std::move(it)); });
        return reply.get_future().get();
    }

    auto fetch_rules()->std::optional<config_reply> {
        auto reply = std::promise<std::optional<config_reply>>{};
        client->fetch_config(address, 0,
                             [&](std::optional<config_reply> it) { reply.set_value(std::move(it)); });
        return reply.get_future().get();
    }

    auto teardown()->void override {
        client.reset();
        server.reset();
    }
};

TEST(peers, return_all_fields_of_an_answer) {
    start("secret");
    const auto reply = execute(address, 2s);
    CHECK((std::holds_alternative<std::pair<answer, epoch_number>>(reply)));
    const auto& [value, epoch] = std::get<std::pair<answer, epoch_number>>(reply);
    LONGS_EQUAL(42, epoch);
    CHECK(value.outcome == verdict::done);
    CHECK((value.rows == row_set{{"a", "b"}, {{"1", std::nullopt}, {"SELECT", std::string{"x\0y", 3}}}, 7}));
}

// Guards against statements executed for a client that can connect but has the wrong secret.
TEST(peers, reject_a_client_with_a_wrong_secret) {
    start("another secret");
    const auto reply = execute(address, 2s);
    CHECK(std::get<call_failure>(reply) == call_failure::not_sent);
    LONGS_EQUAL(0, executed_requests);
    CHECK(server->counters().refused_proofs > 0);
}

// Guards against calls that wait for the whole deadline when the peer does not respond or refuses the
// connection: the failure must be reported within 1 s, so that the entry can look up a new holder.
TEST(peers, report_an_unreachable_peer_as_not_sent) {
    start("secret");
    const auto listener = ::socket(AF_INET, SOCK_STREAM, 0);
    auto name = sockaddr_in{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    LONGS_EQUAL(0, ::bind(listener, reinterpret_cast<sockaddr*>(&name), sizeof name));
    LONGS_EQUAL(0, ::listen(listener, 5)); // accepts, but never answers
    auto length = socklen_t{sizeof name};
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&name), &length);
    const auto before = clock_now();
    const auto unanswered_call = execute("127.0.0.1:" + std::to_string(ntohs(name.sin_port)), 5s);
    CHECK(std::get<call_failure>(unanswered_call) == call_failure::not_sent);
    CHECK(clock_now() - before < 1s);
    ::close(listener);
    const auto refused = execute("127.0.0.1:1", 5s);
    CHECK(std::get<call_failure>(refused) == call_failure::not_sent);
}

// Guards against closing the connection of a peer that answers pings while it executes a slow request.
TEST(peers, keep_a_slow_request_open_and_report_a_lost_connection) {
    start("secret");
    execute(address, 2s);
    answers_requests = false;
    auto reply = std::promise<execute_reply>{};
    auto result = reply.get_future();
    client->execute(address, sample(10s), [&](execute_reply it) { reply.set_value(std::move(it)); });
    CHECK(result.wait_for(2500ms) == std::future_status::timeout);
    server->stop();
    CHECK(result.wait_for(2s) == std::future_status::ready);
    CHECK(std::get<call_failure>(result.get()) == call_failure::lost);
}

namespace {

auto connect_to_port(const std::string& address) -> int {
    const auto fd = ::socket(AF_INET, SOCK_STREAM, 0);
    auto name = sockaddr_in{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    LONGS_EQUAL(0, ::connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof name));
    return fd;
}

} // namespace

// Guards against memory taken by a peer that has proved nothing: a message of one segment of 8 MiB is
// announced.
TEST(peers, close_a_connection_that_announces_a_large_message_without_a_proof) {
    start("secret");
    const auto fd = connect_to_port(address);
    const auto header = std::string{"\0\0\0\0\0\0\x10\0", 8};
    LONGS_EQUAL(8, ::send(fd, header.data(), header.size(), MSG_NOSIGNAL));
    while (server->counters().refused_connections == 0) {
        std::this_thread::sleep_for(10ms); // the test program has a time limit
    }
    auto buffer = std::array<char, 4096>{};
    while (::recv(fd, buffer.data(), buffer.size(), 0) > 0) {
    }
    ::close(fd);
    CHECK((std::holds_alternative<std::pair<answer, epoch_number>>(execute(address, 2s))));
}

// Guards against peers kept out by connections that send nothing: only 64 may be unauthenticated.
TEST(peers, are_served_beside_many_connections_that_send_nothing) {
    start("secret");
    auto silent = std::vector<int>{};
    for (auto n = 0; n < 80; ++n) {
        silent.push_back(connect_to_port(address));
    }
    CHECK((std::holds_alternative<std::pair<answer, epoch_number>>(execute(address, 2s))));
    CHECK(server->counters().refused_connections >= 16);
    for (const auto fd : silent) {
        ::close(fd);
    }
}

// Guards against rules that differ from the sender's because they were compressed on the way.
TEST(peers, deliver_compressed_rules_as_text) {
    start("secret");
    const auto text = std::string(300'000, 'r');
    offered_rules = {7, text, {}, compress_text(text)};
    CHECK(fetch_rules()->text == text);
    LONGS_EQUAL(7, fetch_rules()->version);
    offered_rules.compressed = {};
    CHECK(fetch_rules()->text == text);

    // A damaged text is no answer.
    offered_rules.compressed = compress_text(text).substr(0, 100);
    CHECK_FALSE(fetch_rules().has_value());
}

// Guards against an instance that reaches no other one any more because the handler of one failed call threw.
TEST(peers, are_reached_after_a_handler_that_throws) {
    start("secret");
    auto called = std::promise<void>{};
    client->fetch_config("127.0.0.1:1", 0, [&](const std::optional<config_reply>& /*reply*/) {
        called.set_value();
        throw std::runtime_error{"a handler that throws"};
    });
    called.get_future().wait();
    auto reply = std::make_shared<std::promise<execute_reply>>();
    auto result = reply->get_future();
    client->execute(address, sample(2s), [reply](execute_reply it) { reply->set_value(std::move(it)); });
    CHECK(result.wait_for(3s) == std::future_status::ready);
}
