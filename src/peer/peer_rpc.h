#pragma once

#include <citronlug/cell_node.h>
#include <citronlug/coordination.h>
#include <citronlug/request.h>
#include <citronlug/server_list_order.h>
#include <citronlug/timeline.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronlug {

/// Answer of the accountant to a request for rate-limit tokens.
struct grant_reply {
    bool is_accountant = false; ///< false: another instance is the accountant
    std::uint32_t tokens = 0;
    duration wait{};
};

struct config_reply {
    std::uint64_t version = 0; ///< 0: the peer has no newer version
    std::string text;
    list_basis basis{}; ///< of a list of servers
    std::string
        compressed; ///< `text` in compressed form, sent instead to a peer that accepts it; empty: none
};

/// Whether a failed call may have had an effect.
enum class call_failure {
    not_sent, ///< the call was never sent, so it had no effect
    lost,     ///< sent, but the connection failed or the peer did not answer; it may have had an effect
};

using execute_reply = std::variant<std::pair<answer, epoch_number>, call_failure>;

/// Handlers for the calls of peers. They run on the peer thread and must not block; the reply functions
/// passed to them are thread-safe.
struct peer_services {
    std::function<void(peer_message, hybrid_time, std::function<void(std::vector<peer_message>)>)>
        cell_message;
    std::function<void(peer_message)> cell_reply; ///< reply to a message that this instance sent
    std::function<std::uint64_t()> config_version;
    std::function<void(request, std::function<void(answer, epoch_number)>)> execute;
    std::function<void(account_id, std::uint32_t wanted, std::function<void(grant_reply)>)> take_grant;
    std::function<void(account_id, std::uint32_t tokens, duration age)> return_tokens;
    std::function<config_reply(std::uint64_t version)> fetch_config;
    std::function<std::optional<role_location>(role_id)> locate;
    std::function<std::vector<timeline_event>(const timeline_filter&)> timeline;
    std::function<void(database_id, account_id, request_id)> cancel;
    std::function<void(instance_report, std::function<void(report_answer)>)> report;
    std::function<void(coordinator_lease)> announce;
    std::function<config_reply()> fetch_servers;
};

struct peer_counters {
    std::uint64_t bytes_sent = 0;
    std::uint64_t calls = 0;
    std::uint64_t failed_calls = 0;
    std::uint64_t connection_attempts = 0;
    std::uint64_t refused_proofs = 0;
    std::uint64_t refused_connections = 0; ///< without authentication or with too large messages
};

/// Cap'n Proto RPC with the other instances, on a thread with its own kj event loop. One connection per peer
/// and direction. A peer must authenticate with the fleet's peer secret before it obtains the interface.
class peer_rpc {
public:
    peer_rpc(instance_id self, const std::string& secret, peer_services services);
    ~peer_rpc();
    peer_rpc(const peer_rpc&) = delete;
    auto operator=(const peer_rpc&) -> peer_rpc& = delete;

    /// Listens on a numeric "host:port". Returns the port, or 0 on failure.
    auto listen(const std::string& address) -> std::uint16_t;

    // Thread-safe. Reply functions are called on the peer thread, exactly once.
    auto send_cell_message(const std::string& address, peer_message message, hybrid_time at) -> void;
    auto execute(const std::string& address, request work, std::function<void(execute_reply)> done) -> void;
    auto take_grant(const std::string& address, account_id account, std::uint32_t wanted, time_point deadline,
                    std::function<void(std::optional<grant_reply>)> done) -> void;
    auto return_tokens(const std::string& address, account_id account, std::uint32_t tokens, duration age)
        -> void;
    auto fetch_config(const std::string& address, std::uint64_t version,
                      std::function<void(std::optional<config_reply>)> done) -> void;
    auto locate(const std::string& address, role_id role,
                std::function<void(std::optional<role_location>)> done) -> void;
    auto timeline(const std::string& address, timeline_filter filter,
                  std::function<void(std::optional<std::vector<timeline_event>>)> done) -> void;
    /// Requests the active configuration version of the peer.
    auto config_version(const std::string& address, std::function<void(std::optional<std::uint64_t>)> done)
        -> void;
    auto cancel(const std::string& address, database_id database, account_id account, request_id id) -> void;
    /// Sends a report to the coordinator.
    auto report(const std::string& address, instance_report report,
                std::function<void(std::optional<report_answer>)> done) -> void;
    /// Notifies an instance of the holder of the coordinator lease. A lost notification is not repeated.
    auto announce(const std::string& address, const coordinator_lease& lease) -> void;
    auto fetch_servers(const std::string& address, std::function<void(std::optional<config_reply>)> done)
        -> void;
    [[nodiscard]] auto counters() const -> peer_counters;
    auto stop() -> void;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace citronlug
