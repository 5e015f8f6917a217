#pragma once

#include <citronlug/cold_start.h>
#include <citronlug/plugin.h>
#include <citronlug/queue_policy.h>
#include <citronlug/read_freshness.h>
#include <citronlug/server_choice.h>
#include <citronlug/server_pool.h>
#include <citronlug/session_proxy.h>

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace citronlug {

/// Number of instances assumed until the coordinator has reported it. Keeps each instance's share of the
/// backend servers' connections small, so that instances that all start at once do not exceed their limits.
inline constexpr auto default_instance_count = std::uint32_t{16};

/// An open transaction of a caller.
struct session_transaction {
    std::shared_ptr<const session_route> route;
    bool is_read_only = false;
    time_point started_at;
    time_point last_used_at;      ///< end of its last statement
    connection_id connection = 0; ///< 0 until its first statement
    std::uint64_t generation = 0; ///< of the primary on which it runs; 0 on a replica
    bool has_written = false;
};

/// An accepted session of a caller.
struct caller_session {
    caller_id id = 0;
    std::string database;
    std::string key;
    account_id account;
    transaction_state state = transaction_state::idle;
    session_failure transaction_failure; ///< valid in state `failed`
    std::map<std::string, std::string> values;
    std::map<std::string, std::pair<bool, std::string>> statements; ///< prepared, by name: writes?, template
    std::size_t state_bytes = 0;                                    ///< size of `values` and `statements`
    std::map<group_id, position> own_writes; ///< position of the newest acknowledged write
    std::optional<session_transaction> transaction;
    std::uint64_t current_work = 0; ///< statement in progress; 0: none
    bool close_when_idle = false;   ///< the session is closed when it becomes idle
    time_point idle_since;
};

/// A session start received before this instance had loaded any rules.
struct pending_start {
    std::string database;
    std::string key;
    time_point since;
};

/// Processing stage of a statement.
enum class work_stage {
    admission, ///< waits for a token of its client account
    queued,    ///< waits for a connection
    preparing, ///< session values, prepared statement or BEGIN are being sent to the connection
    running,   ///< the statement itself was sent to the server
};

template <>
struct name_table<work_stage> {
    static constexpr std::array<std::string_view, 4> names{"admission", "queued", "preparing", "running"};
};

/// A caller's statement in progress.
struct statement_work {
    std::uint64_t id = 0;
    caller_id caller = 0; ///< 0 after the caller has disconnected
    session_statement statement;
    std::shared_ptr<const session_route> route;
    account_id account;
    time_point received;
    time_point deadline;       ///< end of the route's statement timeout
    time_point queue_deadline; ///< refused as not run if it still has no connection
    work_stage stage = work_stage::admission;
    bool writes = false; ///< may have a lasting effect once sent
    bool needs_primary = false;
    bool in_transaction = false;
    connection_id connection = 0;
    server_id server;
    std::size_t preparations_left = 0;
    std::optional<session_failure> prepare_failure;
    time_point sent_at;
    std::uint64_t generation = 0; ///< of the primary to which it was sent; 0 for a replica
    time_point permitted_until;   ///< expiry of the permit for that generation, as known when it was sent
    bool outlived_permit = false; ///< the permit was released while it ran
    std::set<server_id> tried_servers;
    std::set<server_id> lagging_servers;  ///< did not contain the required position
    std::uint32_t attempts = 0;           ///< sendings of the statement
    std::uint32_t may_have_run = 0;       ///< sendings that were lost or answered by a failure
    connection_id opening_connection = 0; ///< connection being opened for it
    server_id cold_server;                ///< it waits for a token of this server; empty: it does not
    std::deque<server_request> held;      ///< preparations that wait for tokens of a cold server
};

/// Statements of the same kind have similar service times.
inline auto kind_of(const statement_work& work) -> std::string {
    return work.route->name + ' ' + std::string{name_of(work.statement.verb)};
}

/// State of one group as seen by this instance.
struct group_state {
    primary_view primary;
    position_samples samples;
    std::optional<position> newest_acknowledged; ///< of the writes that this instance acknowledged
    session_proxy::primary_observations observations;
    std::map<int, std::unique_ptr<queue_policy>> queues; ///< by route priority
    time_point permit_missing_since;                     ///< zero while there is a permit
    bool had_permit = false;
    time_point changing_since;
    time_point probed_at;
};

class session_proxy::implementation {
public:
    implementation(failure_domain own_domain, session_effects& effects, metrics& counters);

    // Sessions.
    auto on_start(time_point now, caller_id caller, const std::string& database, const std::string& key)
        -> void;
    auto on_statement(time_point now, caller_id caller, session_statement statement) -> void;
    auto on_caller_closed(time_point now, caller_id caller) -> void;
    auto begin(time_point now, caller_session& session, const session_statement& statement) -> void;
    auto open_transaction(time_point now, caller_session& session, bool reads_only,
                          std::shared_ptr<const session_route> route) -> void;
    auto commit(time_point now, caller_session& session, session_statement statement) -> void;
    auto rollback(time_point now, caller_session& session) -> void;
    auto run(time_point now, caller_session& session, session_statement statement) -> void;
    auto update_session_state(caller_session& session, session_statement statement) -> void;
    /// Refusal for a route or key that the rules in force do not hold: final only if these are known to be
    /// the newest. Newer ones may hold it, and other instances may have them.
    [[nodiscard]] auto refusal_by_rules(time_point now, session_failure final) const -> session_failure;
    /// Checks that the session's route and key are still valid before an operation, and updates its account.
    /// If they are not, answers the caller, closes the session and returns null.
    auto authorise(time_point now, caller_session& session, const std::string& request)
        -> std::shared_ptr<const session_route>;
    auto acknowledge(caller_session& session) -> void;
    auto refuse(caller_session& session, const std::string& request, session_failure reason,
                transaction_state next) -> void;
    auto after_answer(time_point now, caller_session& session) -> void;
    auto fail_transaction(time_point now, caller_session& session, session_failure reason) -> void;
    auto roll_back_connection(time_point now, session_transaction& transaction) -> void;

    // Statements.
    auto start_work(time_point now, caller_session& session, session_statement statement,
                    std::shared_ptr<const session_route> route) -> statement_work&;
    auto admit(time_point now, statement_work& work) -> void;
    [[nodiscard]] auto token_deadline(time_point now, const statement_work& work) const -> time_point;
    auto enqueue(time_point now, statement_work& work) -> void;
    auto dispatch_queued(time_point now, const group_id& group) -> void;
    /// Checks whether a connection is idle for the work; opens one if there is none.
    auto check_start(time_point now, statement_work& work) -> start_check;
    auto assign_connection(time_point now, statement_work& work) -> bool;
    /// Counts a new connection by why no open one could be used.
    auto count_opening(const server_id& server, const server_pool::opening& opened) -> void;
    auto candidates_of(time_point now, const statement_work& work) -> std::vector<const backend_server*>;
    /// True if servers of this group are chosen by what was learned about them.
    auto learns_limits(const group_id& group) const -> bool;
    auto report_server_limits(time_point now) -> void;
    auto requirement_of(const statement_work& work) -> read_requirement;
    auto may_use_primary(time_point now, const group_state& group) const -> bool;
    /// True if this instance lost its permit for a reason other than a change of primary; other instances
    /// probably still have theirs.
    auto is_isolated(time_point now, const group_state& group) const -> bool;
    /// True if the group is isolated and no replica can serve the work, so that waiting is pointless.
    auto is_unservable(time_point now, const statement_work& work) -> bool;
    auto refuse_unservable(time_point now, statement_work& work) -> void;
    auto can_serve(time_point now) const -> bool;
    auto prepare(time_point now, statement_work& work) -> void;
    auto send(time_point now, statement_work& work) -> void;
    auto must_begin(const statement_work& work) -> bool;
    auto remove_from_queues(statement_work& work) -> void;
    /// Queues the work again, or refuses it as not run. `uses_retry_token`: the retry counts against the
    /// retry budget.
    auto retry(time_point now, statement_work& work, std::string_view reason, bool uses_retry_token = true)
        -> void;
    auto expire(time_point now, statement_work& work) -> void;
    /// Time after which a statement without lasting effect is abandoned at its server and retried.
    [[nodiscard]] auto attempt_timeout(const statement_work& work) const -> duration;

    // Cold servers.
    /// True if the work may send a message to the server. Otherwise it waits for `tokens` of the server.
    auto may_use_cold(time_point now, statement_work& work, const server_id& server, std::uint32_t tokens)
        -> bool;
    /// Takes the token for one message of the work to its server. False: the message must wait.
    auto take_cold_token(time_point now, statement_work& work, std::uint32_t tokens) -> bool;
    auto stop_waiting_for_cold(statement_work& work) -> void;
    /// Removes cold servers if the work can go to another one. A server whose limit grows keeps its place
    /// while there are tokens for it.
    auto drop_cold_candidates(time_point now, std::vector<const backend_server*>& candidates) -> void;
    /// Sends preparations as tokens allow.
    auto send_held(time_point now, statement_work& work) -> void;
    /// Continues work that waits for tokens on its connection.
    auto resume_cold_work(time_point now) -> void;
    /// Refuses the work as not run if it waits for a token of a cold server that it will not get in time.
    auto refuse_if_cold(time_point now, statement_work& work) -> bool;
    auto publish_cold_servers(time_point now) -> void;

    // Answers.
    auto on_server_opened(time_point now, connection_id id) -> void;
    /// `timed_out`: this instance gave the connection up; the server is not known to have closed it.
    auto on_server_lost(time_point now, connection_id id, connection_loss reason, bool timed_out = false)
        -> void;
    auto on_server_answer(time_point now, connection_id id, const session_answer& answer) -> void;
    auto on_prepared(time_point now, statement_work& work, const session_answer& answer) -> void;
    auto on_result(time_point now, statement_work& work, const session_answer& answer) -> void;
    auto on_error_answer(time_point now, statement_work& work, const session_answer& answer) -> void;
    auto on_attempt_lost(time_point now, statement_work& work, std::string_view reason, bool was_sent)
        -> void;
    auto record_position(time_point now, const statement_work& work, const session_answer& answer) -> void;
    /// Sends the caller its answer and removes the work. An error inside a transaction fails the transaction.
    auto finish(time_point now, statement_work& work, session_answer answer) -> void;
    auto finish_with_error(time_point now, statement_work& work, session_error code, std::string text)
        -> void;
    auto release_connection(time_point now, statement_work& work) -> void;
    auto close_connection(connection_id id) -> void;

    // Configuration and cluster state.
    auto set_rules(time_point now, std::shared_ptr<const desired_state> rules) -> void;
    auto set_servers(time_point now, const std::vector<backend_server>& servers) -> void;
    auto set_primary(time_point now, const primary_view& view) -> void;
    auto set_rules_evidence(time_point confirmed_at) -> void { rules_confirmed_at_ = confirmed_at; }
    auto set_instances(time_point now, std::uint32_t live) -> void;
    auto set_evacuations(time_point now, const evacuation_view& view) -> void;
    /// Closes idle and opening connections that may no longer be used, and aborts the open transactions of
    /// stopped servers.
    auto enforce_evacuations(time_point now) -> void;
    /// True if no server that the evacuations leave can run the work, or will without a change of primary.
    auto is_evacuated(const statement_work& work) -> bool;
    /// True if the evacuations allow no further message on this connection.
    [[nodiscard]] auto is_stopped(connection_id id) -> bool;
    auto update_connection_budgets() -> void;
    auto abort_primary_transactions(time_point now, const group_id& group) -> void;
    auto on_tick(time_point now) -> void;
    auto probe_primaries(time_point now) -> void;
    /// Age of the newest known position of a group's primary at which it is requested again.
    [[nodiscard]] auto position_probe_interval(const group_id& group) const -> duration;
    auto close_sessions(time_point now) -> void;
    auto refuse_expired_starts(time_point now) -> void;
    auto begin_shutdown(const shutdown_schedule& schedule) -> void;
    /// True if this instance is stopping and a new operation may not end in time.
    [[nodiscard]] auto is_admission_closed(time_point now) const -> bool;
    /// Refuses an operation of a stopping instance and closes its session.
    auto refuse_stopping(time_point now, caller_session& session, const std::string& request) -> void;
    /// Ends the statement before the answers of a stopping instance are due.
    auto limit_to_shutdown(statement_work& work) const -> void;

    [[nodiscard]] auto group_of(const group_id& id) -> group_state& { return groups_[id]; }
    auto log(log_level level, log_event event, const std::vector<log_field>& fields) -> void {
        effects_.log(level, event, fields);
    }
    auto log_outcome(time_point now, const statement_work& work, const session_answer& answer) -> void;

    session_effects& effects_;
    metrics& counters_;
    server_pool pool_;
    server_limit_mode server_limits_ = server_limit_mode::off;
    server_choice choice_{0};
    time_point server_limits_reported_at_;
    account_limiter limiter_;
    cold_start_gate cold_;
    std::shared_ptr<const desired_state> rules_;
    std::optional<time_point> rules_confirmed_at_;
    std::map<group_id, group_state> groups_;
    std::map<caller_id, pending_start> pending_starts_;
    std::unordered_map<caller_id, caller_session> sessions_;
    std::unordered_map<std::uint64_t, statement_work> active_work_;
    std::map<connection_id, std::uint64_t> work_of_connection_;
    std::map<connection_id, time_point>
        rolling_back_; ///< connections with a pending rollback, and since when
    std::map<connection_id, time_point>
        probes_; ///< connections with a pending status request, and since when
    std::set<std::uint64_t> waiting_for_tokens_;
    /// Moving average of the time that a statement takes at its server, by route.
    std::unordered_map<std::string, duration> mean_service_times_;
    std::uint64_t next_work_id_ = 1;
    std::uint32_t instances_ = default_instance_count;
    evacuation_view evacuations_;
    double retry_tokens_ = 10; ///< not 0, so that an instance can retry right after its start
    std::optional<shutdown_schedule> shutdown_; ///< empty until a graceful shutdown has begun
};

} // namespace citronlug
