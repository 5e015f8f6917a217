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

/// Number of connections that this instance may keep and open to one server.
struct connection_budget {
    std::uint32_t share = 1; ///< connections that this instance may always keep
    /// Upper bound; above the share, connections are opened until the server reaches its connection limit.
    std::uint32_t max_connections = 1;
    /// Idle connections within the share are closed after this time as well; nothing: they stay open.
    std::optional<duration> idle_timeout;
};

/// Divides a server's connections among `instances`, less a reserve for probes and new instances. If there
/// are fewer connections than instances, each instance may keep one only part of the time.
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
    std::map<std::string, std::string> values;                      ///< session settings in effect on it
    std::map<std::pair<bool, std::string>, std::string> statements; ///< prepared: (writes, shape) -> name
    std::uint64_t next_statement = 1;                               ///< for names of prepared statements
};

/// Load and health of a server, used to place statements.
struct server_health {
    duration average_latency{30ms};   ///< moving average; time until the whole answer
    std::uint32_t failures = 0;       ///< consecutive
    std::uint32_t refusals = 0;       ///< consecutive, because its queue was full
    time_point unusable_until;        ///< after failures: not used before this time
    time_point queue_full_until;      ///< no statements are sent before this time
    time_point lagging_until;         ///< not used for reads before this time, as it lacked a position
    time_point growth_blocked_until;  ///< no connection above the share is opened before this time
    time_point opening_blocked_until; ///< no connection at all is opened before this time
    time_point answered_at;           ///< time of the last answer
    bool opening_failed = false;      ///< the last connection did not open
};

/// Connections of this instance to the backend servers. Chooses the connection for a statement, and returns
/// which connections its owner has to open or close. Not thread-safe.
class server_pool {
public:
    explicit server_pool(failure_domain own_domain);

    /// Returns the connections to close: those not busy whose server left the list, changed its address or
    /// was restarted.
    auto set_servers(time_point now, const std::vector<backend_server>& servers)
        -> std::vector<connection_id>;
    auto set_budget(const group_id& group, connection_budget budget) -> void;

    [[nodiscard]] auto server(const server_id& id) const -> const backend_server*;
    [[nodiscard]] auto health(const server_id& id) -> server_health&;
    [[nodiscard]] auto servers_of(const group_id& group) const -> std::vector<const backend_server*>;
    [[nodiscard]] auto find(connection_id id) -> server_connection*;

    /// Estimated time until a statement of this account is answered if it is sent to this server now; nothing
    /// if the server is not usable now.
    [[nodiscard]] auto estimate(const backend_server& server, const account_id& account, time_point now)
        -> std::optional<duration>;

    /// Added latency of the network to a server in another failure domain.
    [[nodiscard]] auto distance_to(const backend_server& server) const -> duration;
    /// True if a connection to this server is idle for this account.
    [[nodiscard]] auto has_idle(const server_id& server, const account_id& account) const -> bool;
    /// An idle connection for this account, marked busy; 0 if there is none. Prefers one whose session
    /// settings are `values`.
    [[nodiscard]] auto acquire(const server_id& server, const account_id& account,
                               const std::map<std::string, std::string>& values, time_point now)
        -> connection_id;
    struct opening {
        connection_id connection = 0; ///< the owner must open it; 0: none may be opened now
        connection_id evicted = 0;    ///< idle connection that the owner must close first; 0: none
    };
    /// If connections are scarce, evicts an idle one of another account even below the limit.
    [[nodiscard]] auto open(const backend_server& server, const account_id& account, time_point now)
        -> opening;
    /// An idle connection of any account, marked busy; 0 if there is none.
    [[nodiscard]] auto acquire_any(const server_id& server, time_point now) -> connection_id;

    auto on_opened(connection_id id, time_point now) -> void;
    auto release(connection_id id, time_point now) -> void;
    auto remove(connection_id id) -> void;

    /// Results that update the health of a server.
    auto on_answer(const server_id& id, duration latency, time_point now) -> void;
    auto on_failure(const server_id& id, time_point now) -> void;
    auto on_lagging(const server_id& id, time_point now) -> void;
    /// A connection was refused, or lost before it was open. Until one opens, further ones are tried one by
    /// one, with pauses.
    auto on_opening_failed(const server_id& id, time_point now) -> void;
    /// The server refused a connection because it has reached its limit.
    auto on_connection_limit(const server_id& id, time_point now) -> void;
    /// The server refused a statement because its queue is full.
    auto on_queue_full(const server_id& id, time_point now) -> void;

    /// Idle connections to close now: those above the share, past the idle time-out, or to servers that are
    /// leaving.
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
