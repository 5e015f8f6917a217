#pragma once

#include <citronlug/desired_state.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citronlug {

/// Connections of this instance to one server: how many it may keep and open.
struct connection_budget {
    std::uint32_t share = 1; ///< connections that are always this instance's to use
    std::uint32_t max_connections =
        1; ///< above its share it opens more, up to this number, until a server has no room
    /// An idle connection is closed after this time even within the share; nothing: it stays open.
    std::optional<duration> idle_timeout;
};

/// Share of one server's connections among `instances`, with some left for probes and new instances. With
/// fewer connections than instances each instance has one for a part of the time only.
[[nodiscard]] auto connection_budget_for(std::uint32_t server_connections, std::uint32_t instances)
    -> connection_budget;

enum class connection_phase {
    opening,
    idle,
    busy, ///< runs a statement, or belongs to an open transaction
    closed,
};

template <>
struct name_table<connection_phase> {
    static constexpr std::array<std::string_view, 4> names{"opening", "idle", "busy", "closed"};
};

/// One connection to a backend server, on behalf of one client account.
struct server_connection {
    connection_id id = 0;
    backend_server server;
    account_id account;
    connection_phase phase = connection_phase::opening;
    time_point opened_at;
    time_point used_at;
    std::map<std::string, std::string> values;                      ///< session values in force there
    std::map<std::pair<bool, std::string>, std::string> statements; ///< prepared: writes?, shape -> name
    std::uint64_t next_statement = 1;                               ///< names of prepared statements
};

/// What placement knows of a server's load and health.
struct server_health {
    duration average_latency{30ms};   ///< moving average of whole answers
    std::uint32_t failures = 0;       ///< in a row
    std::uint32_t refusals = 0;       ///< in a row, because its queue is full
    time_point unusable_until;        ///< not chosen before, after failures
    time_point queue_full_until;      ///< sent nothing before, after its queue was full
    time_point lagging_until;         ///< a replica that lacked a position is not chosen for reads before
    time_point growth_blocked_until;  ///< no connection above the share before, after the server had no room
    time_point opening_blocked_until; ///< no connection at all is opened before
    time_point answered_at;           ///< last answer
};

/// Connections of this instance to the backend servers, and which of them serves a statement. Opens and
/// closes through the actions that it returns. Not thread-safe.
class server_pool {
public:
    explicit server_pool(failure_domain own_domain);

    auto set_servers(time_point now, const std::vector<backend_server>& servers)
        -> std::vector<connection_id>;
    auto set_budget(const group_id& group, connection_budget budget) -> void;

    [[nodiscard]] auto server(const server_id& id) const -> const backend_server*;
    [[nodiscard]] auto health(const server_id& id) -> server_health&;
    [[nodiscard]] auto servers_of(const group_id& group) const -> std::vector<const backend_server*>;
    [[nodiscard]] auto find(connection_id id) -> server_connection*;

    /// Estimated time until a statement of this account placed there now is answered; nothing if the server
    /// is not usable now.
    [[nodiscard]] auto estimate(const backend_server& server, const account_id& account, time_point now)
        -> std::optional<duration>;

    /// True if a connection to this server is idle for this account.
    [[nodiscard]] auto has_idle(const server_id& server, const account_id& account) const -> bool;
    /// An idle connection for this account, marked busy; 0 if there is none. One whose session values are
    /// `values` comes first.
    [[nodiscard]] auto acquire(const server_id& server, const account_id& account,
                               const std::map<std::string, std::string>& values, time_point now)
        -> connection_id;
    struct opening {
        connection_id connection = 0; ///< the owner must open it; 0: all connections are in use
        connection_id evicted = 0;    ///< idle connection of another account that the owner must close first
    };
    /// Where connections are scarce, an idle one of another account makes room although the limit is not
    /// reached.
    [[nodiscard]] auto open(const backend_server& server, const account_id& account, time_point now)
        -> opening;
    /// An idle connection of any account, marked busy.
    [[nodiscard]] auto acquire_any(const server_id& server, time_point now) -> connection_id;

    auto on_opened(connection_id id, time_point now) -> void;
    auto release(connection_id id, time_point now) -> void;
    auto remove(connection_id id) -> void;

    /// Outcomes that change the health of a server.
    auto on_answer(const server_id& id, duration latency, time_point now) -> void;
    auto on_failure(const server_id& id, time_point now) -> void;
    auto on_lagging(const server_id& id, time_point now) -> void;
    auto on_connection_limit(const server_id& id, time_point now) -> void;
    /// The server refused a statement because its queue is full.
    auto on_queue_full(const server_id& id, time_point now) -> void;

    /// Idle connections above the share, past their idle life, or to servers that are leaving, that should be
    /// closed now.
    [[nodiscard]] auto surplus(time_point now) -> std::vector<connection_id>;
    [[nodiscard]] auto connections() const -> const std::map<connection_id, server_connection>& {
        return connections_;
    }
    [[nodiscard]] auto busy(const server_id& id) const -> std::uint32_t;

private:
    struct usage {
        std::uint32_t opening = 0;
        std::uint32_t idle = 0;
        std::uint32_t busy = 0;
        [[nodiscard]] auto total() const -> std::uint32_t { return opening + idle + busy; }
    };
    [[nodiscard]] auto usage_of(const server_id& id) const -> usage;
    [[nodiscard]] auto limit_of(const backend_server& server, time_point now) -> std::uint32_t;

    failure_domain own_domain_;
    std::map<server_id, backend_server> servers_;
    std::map<server_id, server_health> health_;
    std::map<group_id, connection_budget> budgets_;
    std::map<connection_id, server_connection> connections_;
    connection_id next_connection_ = 1;
};

} // namespace citronlug
