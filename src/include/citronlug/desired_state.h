#pragma once

#include <citronlug/rate_limit.h>
#include <citronlug/session_protocol.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace citronlug {

/// Which writes the reads of a route must see.
enum class consistency {
    primary,           ///< all acknowledged writes
    bounded_staleness, ///< all writes older than the route's bound
    read_your_writes,  ///< as `bounded_staleness`, and all writes of the same session
};

template <>
struct name_table<consistency> {
    static constexpr std::array<std::string_view, 3> names{"primary", "bounded-staleness",
                                                           "read-your-writes"};
};

/// Maps a database name that callers may request to a group of backend servers.
struct session_route {
    std::string name;
    database_id database;
    group_id group;
    consistency kind = consistency::primary;
    /// Zero: no bound besides the session's own writes; with `bounded_staleness`, no staleness is accepted.
    duration max_age{};
    duration statement_timeout{};   ///< of a single statement
    duration latency_target{};      ///< of a whole operation
    int priority = 0;               ///< 0 is the highest
    bool open_to_all = false;       ///< no API key is required
    std::uint32_t max_attempts = 0; ///< sendings after which a statement may have run; 0: not configured
};

/// Group of backend servers as configured by the operators.
struct server_group {
    group_id id;
    std::uint32_t server_connections = 1;   ///< connections that one server accepts in total
    std::uint32_t synchronous_replicas = 0; ///< replicas that receive a commit before it is acknowledged
    duration cold_start{};                  ///< time for which a server is slow after its start; zero: none
    double cold_per_s = 0; ///< requests per second to a cold server, of all instances; 0: unlimited
};

struct session_account {
    account_id id;
    rate_limit limit; ///< rate 0: unlimited
    int priority = 0; ///< among accounts that compete for the same servers; 0 is the highest
};

/// One version of the operators' rules, indexed for look-ups on each request.
struct desired_state {
    std::uint64_t version = 0;
    std::unordered_map<std::string, std::shared_ptr<const session_route>> routes; ///< by database name
    std::map<group_id, server_group> groups;
    std::map<account_id, session_account> accounts;
    std::unordered_map<std::string, account_id> keys;
    duration transaction_idle = 3s; ///< open transactions without a statement for this time may be ended

    [[nodiscard]] auto route_of(const std::string& database) const -> std::shared_ptr<const session_route>;
    [[nodiscard]] auto account_of(const std::string& key) const -> std::optional<account_id>;
    [[nodiscard]] auto group(const group_id& id) const -> const server_group*;
};

/// Life-cycle state that a backend server reports.
enum class server_state { ready, draining };

template <>
struct name_table<server_state> {
    static constexpr std::array<std::string_view, 2> names{"ready", "draining"};
};

/// One registered backend server.
struct backend_server {
    server_id id;
    group_id group;
    std::string address;
    failure_domain domain;
    server_state state = server_state::ready;
    bool reports_primary = false; ///< the server's own view; only the primary record is authoritative
    std::uint32_t slots = 1;      ///< statements that the server runs concurrently
    std::int64_t started_ms = 0;  ///< process start, Unix time; detects a restart under the same id
    duration cold_remaining{};    ///< how much longer it stays slow after its start, as of its entry

    auto operator==(const backend_server&) const -> bool = default;
};

} // namespace citronlug
