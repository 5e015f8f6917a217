#pragma once

#include <citronlug/account_gate.h>
#include <citronlug/desired_state.h>
#include <citronlug/log.h>
#include <citronlug/log_events.h>
#include <citronlug/metrics.h>
#include <citronlug/session_protocol.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronlug {

/// What this instance may take for the primary of a group.
struct primary_view {
    group_id group;
    server_id primary;            ///< empty while the group has none
    std::uint64_t generation = 0; ///< of the record; grows with each change of primary
    bool changing = false;        ///< a change is under way: the permission is given back
    time_point permitted_until;   ///< the primary may be used before this time
};

/// Effects of a `session_proxy`, performed by its owner. Calls may come from within each of its functions.
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
    /// Closes the connection once all answers are sent.
    virtual auto close_caller(caller_id caller) -> void = 0;

    virtual auto open_server(connection_id connection, const backend_server& server,
                             const account_id& account) -> void = 0;
    virtual auto send_server(connection_id connection, const server_request& request) -> void = 0;
    virtual auto close_server(connection_id connection) -> void = 0;

    /// There are questions to the accountant.
    virtual auto send_token_requests() -> void = 0;
    virtual auto log(log_level level, log_event event, const std::vector<log_field>& fields) -> void = 0;
};

/// Why a connection to a server did not open or ended.
enum class connection_loss { refused, closed, no_room, misrouted };

template <>
struct name_table<connection_loss> {
    static constexpr std::array<std::string_view, 4> names{"refused", "closed", "no-room", "misrouted"};
};

/// Sessions of callers, their transactions, and the statements that run on connections to backend servers:
/// admission, order, placement, retries, and which answer may be given at which stage. Performs no I/O and
/// reads no clock. Not thread-safe.
class session_proxy {
public:
    session_proxy(failure_domain own_domain, session_effects& effects, metrics& counters);
    ~session_proxy();
    session_proxy(const session_proxy&) = delete;
    auto operator=(const session_proxy&) -> session_proxy& = delete;

    // What operators and servers state.
    auto set_rules(time_point now, std::shared_ptr<const desired_state> rules) -> void;
    auto set_servers(time_point now, const std::vector<backend_server>& servers) -> void;
    auto set_primary(time_point now, const primary_view& view) -> void;
    auto set_instances(time_point now, std::uint32_t live) -> void;
    /// All writes of the group that were acknowledged are contained in `at`, until the group has a primary
    /// again.
    auto set_final_position(time_point now, const group_id& group, position at) -> void;
    /// A position of the group's primary that another permitted instance was told after `asked_at`.
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
    [[nodiscard]] auto gate() -> account_gate&;
    /// Tries the operations again that wait for a token.
    auto retry_admission(time_point now) -> void;

    /// Deadlines and pauses; to be called every few milliseconds.
    auto on_tick(time_point now) -> void;
    /// The instance leaves: sessions are closed when they are idle, and no new ones begin after
    /// `no_new_sessions`.
    auto begin_shutdown(time_point now, duration transaction_time) -> void;
    [[nodiscard]] auto open_sessions() const -> std::size_t;
    /// False while this instance is cut off from what allows it to use any primary, so that new callers are
    /// better served elsewhere.
    [[nodiscard]] auto can_serve(time_point now) const -> bool;

    /// True if no write of this instance is under way at a primary of this group before `generation`, so that
    /// the permission is given back.
    [[nodiscard]] auto has_released(const group_id& group, std::uint64_t generation) const -> bool;
    /// Newest position of a write of this group that this instance acknowledged.
    [[nodiscard]] auto newest_acknowledged(const group_id& group) const -> std::optional<position>;
    /// How the primary of this group answered lately, for the decision on a change.
    struct primary_observations {
        time_point answered_at; ///< last answer
        time_point failed_at;   ///< last failure
        bool lost_lead = false; ///< it refused a write as a replica
    };
    [[nodiscard]] auto observations_of(const group_id& group) const -> primary_observations;
    [[nodiscard]] auto newest_sample(const group_id& group) const
        -> std::optional<std::pair<time_point, position>>;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace citronlug
