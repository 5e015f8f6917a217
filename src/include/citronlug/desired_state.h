#pragma once

#include <citronlug/accountant.h>
#include <citronlug/session_protocol.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace citronlug {

/// How fresh the reads of a route must be.
enum class consistency {
    primary,           ///< all acknowledged writes
    bounded_staleness, ///< all writes older than the route's bound
    read_your_writes,  ///< and all writes of the same session
};

template <>
struct name_table<consistency> {
    static constexpr std::array<std::string_view, 3> names{"primary", "bounded-staleness",
                                                           "read-your-writes"};
};

/// One database name that callers may ask for.
struct session_route {
    std::string name;
    database_id database;
    group_id group;
    consistency kind = consistency::primary;
    duration max_age{}; ///< zero: only the session's own writes bind, or on bounded routes no age is accepted
    duration statement_timeout{}; ///< of a single statement
    duration latency_target{};    ///< of a whole operation
    int priority = 0;             ///< 0 is the highest
    bool open_to_all = false;     ///< no key is needed
};

/// Group of backend servers as the operators describe it.
struct server_group {
    group_id id;
    std::uint32_t server_connections = 1;   ///< connections that one server accepts from all callers together
    std::uint32_t synchronous_replicas = 0; ///< replicas that have a commit before it is acknowledged
};

struct session_account {
    account_id id;
    rate_limit limit; ///< rate 0: unlimited
};

/// One version of the operators' rules, with indexes for look-ups on each request.
struct desired_state {
    std::uint64_t version = 0;
    std::unordered_map<std::string, std::shared_ptr<const session_route>> routes; ///< by database name
    std::map<group_id, server_group> groups;
    std::map<account_id, session_account> accounts;
    std::unordered_map<std::string, account_id> keys;
    duration transaction_idle = 3s; ///< an open transaction may be ended after this time without a statement

    [[nodiscard]] auto route_of(const std::string& database) const -> std::shared_ptr<const session_route>;
    [[nodiscard]] auto account_of(const std::string& key) const -> std::optional<account_id>;
    [[nodiscard]] auto group(const group_id& id) const -> const server_group*;
};

/// Life of a backend server as it reports it.
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
    bool reports_primary = false; ///< its own view; only the primary record decides
    std::uint32_t slots = 1;      ///< statements that it runs at once
    std::int64_t started_ms = 0;  ///< start of the process, Unix time; tells a restart under the same id

    auto operator==(const backend_server&) const -> bool = default;
};

} // namespace citronlug
