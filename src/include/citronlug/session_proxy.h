#pragma once

#include <citronlug/account_limiter.h>
#include <citronlug/cold_start.h>
#include <citronlug/desired_state.h>
#include <citronlug/evacuation.h>
#include <citronlug/log.h>
#include <citronlug/log_events.h>
#include <citronlug/metrics.h>
#include <citronlug/session_protocol.h>
#include <citronlug/session_settings.h>
#include <citronlug/shutdown_schedule.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronlug {

/// Primary of a group as this instance may use it. The permit to use it expires unless it is renewed.
struct primary_view {
    group_id group;
    server_id primary;            ///< empty while the group has none
    std::uint64_t generation = 0; ///< of the primary record; increases with each change of primary
    bool changing = false;        ///< a change of primary is in progress; the permit is released
    time_point permitted_until;   ///< expiry of the permit
};

/// Actions that a `session_proxy` has its owner perform. Any function of the proxy may call them.
class session_effects {
public:
    session_effects() = default;
    session_effects(const session_effects&) = delete;
    auto operator=(const session_effects&) -> session_effects& = delete;
    virtual ~session_effects() = default;

    virtual auto accept_caller(caller_id caller) -> void = 0;
    /// Refuses the session and closes the connection.
    virtual auto reject_caller(caller_id caller, const session_failure& reason) -> void = 0;
    virtual auto answer_caller(caller_id caller, const session_answer& answer) -> void = 0;
    /// Closes the connection after all answers have been sent.
    virtual auto close_caller(caller_id caller) -> void = 0;

    virtual auto open_server(connection_id connection, const backend_server& server,
                             const account_id& account) -> void = 0;
    virtual auto send_server(connection_id connection, const server_request& request) -> void = 0;
    virtual auto close_server(connection_id connection) -> void = 0;

    /// There are requests for tokens of client accounts or cold servers to be sent to the coordinator.
    virtual auto send_token_requests() -> void = 0;
    virtual auto log(log_level level, log_event event, const std::vector<log_field>& fields) -> void = 0;
};

/// Why a connection to a backend server failed to open or was lost.
enum class connection_loss { refused, closed, no_room, misrouted };

template <>
struct name_table<connection_loss> {
    static constexpr std::array<std::string_view, 4> names{"refused", "closed", "no-room", "misrouted"};
};

/// Manages callers' sessions and transactions, and runs their statements on connections to backend servers:
/// admission, queueing, choice of server, retries, and which answer is correct at each stage of a statement.
/// Performs no I/O and reads no clock. Not thread-safe.
class session_proxy {
public:
    session_proxy(failure_domain own_domain, session_effects& effects, metrics& counters);
    ~session_proxy();
    session_proxy(const session_proxy&) = delete;
    auto operator=(const session_proxy&) -> session_proxy& = delete;

    // Configuration and cluster state.
    auto set_rules(time_point now, std::shared_ptr<const desired_state> rules) -> void;
    auto set_servers(time_point now, const std::vector<backend_server>& servers) -> void;
    auto set_primary(time_point now, const primary_view& view) -> void;
    /// The rules in force were the newest at `confirmed_at`. Without a call their age is not considered.
    auto set_rules_evidence(time_point confirmed_at) -> void;
    auto set_instances(time_point now, std::uint32_t live) -> void;
    /// Until it is called, placement does not learn. To be called before the first `set_servers`; `seed`
    /// differs between instances.
    auto set_server_limits(server_limit_mode mode, std::uint64_t seed) -> void;
    /// To be called whenever the view changes.
    auto set_evacuations(time_point now, const evacuation_view& view) -> void;
    /// The group has no primary: `at` contains all acknowledged writes until there is a new one.
    auto set_final_position(time_point now, const group_id& group, position at) -> void;
    /// A log position that the group's primary reported after `asked_at` to another instance with a permit.
    auto add_position(time_point now, const group_id& group, time_point asked_at, position at) -> void;

    // Callers.
    auto on_start(time_point now, caller_id caller, const std::string& database, const std::string& key)
        -> void;
    auto on_statement(time_point now, caller_id caller, session_statement statement) -> void;
    auto on_caller_closed(time_point now, caller_id caller) -> void;

    // Backend servers.
    auto on_server_opened(time_point now, connection_id connection) -> void;
    auto on_server_lost(time_point now, connection_id connection, connection_loss reason) -> void;
    auto on_server_answer(time_point now, connection_id connection, const session_answer& answer) -> void;

    // Limits.
    [[nodiscard]] auto limiter() -> account_limiter&;
    /// Repeats the admission of operations that wait for a token.
    auto retry_admission(time_point now) -> void;

    [[nodiscard]] auto cold_start() -> cold_start_gate&;
    /// Tokens of cold servers from the answer to the report that was sent at `asked_at`.
    auto on_cold_grants(time_point now, time_point asked_at, const std::vector<cold_grant>& grants) -> void;

    /// Handles deadlines and retry delays; to be called every few milliseconds.
    auto on_tick(time_point now) -> void;
    /// Starts a graceful shutdown: sessions are closed when they become idle, and each statement is answered
    /// by the times of the schedule.
    auto begin_shutdown(const shutdown_schedule& schedule) -> void;
    /// True while a statement has no answer yet.
    [[nodiscard]] auto has_statements_in_progress() const -> bool;
    [[nodiscard]] auto open_sessions() const -> std::size_t;
    /// The session that has been idle for longest, without a transaction, and for at least
    /// `min_idle_before_closing`. It may be closed to make room for another caller: callers do not take the
    /// end of an idle session for a failure.
    [[nodiscard]] auto longest_idle_session(time_point now) const -> std::optional<caller_id>;
    /// Size of the session values and prepared statements of a caller.
    [[nodiscard]] auto session_bytes(caller_id caller) const -> std::size_t;
    /// False while this instance has had no permit for any primary for some time, because it reaches neither
    /// the store nor the coordinator. The load balancer should then send new callers to other instances.
    [[nodiscard]] auto can_serve(time_point now) const -> bool;

    /// True if this instance has no write in flight at a primary of this group older than `generation`, so
    /// that its permits for these primaries are released.
    [[nodiscard]] auto has_released(const group_id& group, std::uint64_t generation) const -> bool;
    /// Newest log position of a write to this group that this instance acknowledged.
    [[nodiscard]] auto newest_acknowledged(const group_id& group) const -> std::optional<position>;
    /// Recent behaviour of the group's primary, on which the coordinator bases a change of primary.
    struct primary_observations {
        time_point answered_at; ///< last answer
        time_point failed_at;   ///< last lost or refused connection
        bool lost_lead = false; ///< it rejected a statement as read-only: it is a replica now
    };
    [[nodiscard]] auto observations_of(const group_id& group) const -> primary_observations;
    /// Newest known log position of the group's primary, and the time when it was requested.
    [[nodiscard]] auto newest_sample(const group_id& group) const
        -> std::optional<std::pair<time_point, position>>;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace citronlug
