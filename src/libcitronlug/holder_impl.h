#pragma once

#include "connection_table.h"
#include "retry_budget.h"

#include <citronlug/database_holder.h>
#include <citronlug/member_view.h>
#include <citronlug/promotion_policy.h>
#include <citronlug/queue_policy.h>
#include <citronlug/read_policy.h>

#include <array>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace citronlug {

enum class work_kind { read, write, begin, run, commit, rollback };

template <>
struct name_table<work_kind> {
    static constexpr std::array<std::string_view, 6> names{"read", "write",  "begin",
                                                           "run",  "commit", "rollback"};
};

enum class work_stage {
    queued,         ///< waiting for a slot
    running,        ///< pipeline sent
    lookup,         ///< waiting for a slot to look up the recorded outcome of its request id
    lookup_running, ///< lookup sent
    confirming,     ///< committed; waiting until a replica has the position
};

template <>
struct name_table<work_stage> {
    static constexpr std::array<std::string_view, 5> names{"queued", "running", "lookup", "lookup-running",
                                                           "confirming"};
};

/// A request that has not been answered yet.
struct work_item {
    std::uint64_t number = 0;
    request_handle handle = 0;
    request client_request;
    work_kind kind = work_kind::read;
    work_stage stage = work_stage::queued;
    time_point arrived_at;
    bool cancelled = false;                   ///< the caller no longer waits for the answer
    bool revoked = false;                     ///< the key was revoked while the request was in progress
    bool lost_session = false;                ///< the session's position is not in the current history
    bool may_have_run = false;                ///< an earlier attempt may have taken effect
    bool tracked = false;                     ///< its request id is in `running_ids_`
    bool no_eligible_member = false;          ///< at the last check no member had the required data
    bool known_rolled_back = false;           ///< commit of a transaction that this holder has rolled back
    std::optional<member_id> excluded_member; ///< member whose connection failed during this read
    member_id target;                         ///< member on which it runs
    term_number term = 0;                     ///< term in which it was sent
    connection_number connection = 0;
    time_point sent_at;
    /// Time up to which the replica has every write; empty for a read from the primary.
    std::optional<time_point> complete_as_of;
    position min_position; ///< lower bound of the position that the read observes
    answer pending_answer; ///< answer to deliver after confirmation
};

struct open_transaction {
    transaction_id id;
    account_id account;
    key_id key;
    connection_number connection = 0;
    member_id member;
    term_number term = 0;
    time_point last_used;
    std::uint64_t active_work = 0; ///< work item that is queued or running; 0 if idle
};

struct probe_state {
    std::uint64_t sequence = 0; ///< of the outstanding probe; 0 if none
    time_point sent_at;
    bool fresh_connection = false; ///< the outstanding probe uses a new connection
    bool last_failed = false;      ///< the last probe failed
    /// A probe over a new connection failed or timed out since the last answer.
    bool reconnect_failed = false;
    bool connection_refused = false; ///< the member refused a new connection
    time_point follow_sent_at;       ///< time of the last order to follow the primary
};

/// Promotion that was ordered and whose result is outstanding.
struct pending_promotion {
    member_id member;
    term_number expected_term = 0;
    time_point ordered_at;
};

/// State of one holder. Its functions are grouped by subject in holder_*.cpp.
class database_holder::implementation {
public:
    implementation(database_settings settings, epoch_number epoch, time_point now);

    // database_holder.cpp: events
    auto set_authority(time_point valid_until) -> void { authority_until_ = valid_until; }
    auto update_settings(time_point now, database_settings settings) -> void;
    auto on_cancel(time_point now, request_handle handle) -> void;
    auto on_key_revoked(time_point now, const key_id& key) -> void;
    auto on_connected(time_point now, connection_number connection, bool success) -> void;
    auto on_connection_lost(time_point now, connection_number connection) -> void;
    auto on_pipeline(time_point now, connection_number connection, std::uint64_t sequence,
                     pipeline_result outcome) -> void;
    auto on_timer(time_point now) -> void;
    auto start_drain() -> void { draining_ = true; }
    [[nodiscard]] auto drained() const -> bool;
    [[nodiscard]] auto take_actions() -> std::vector<holder_action>;
    [[nodiscard]] auto status(time_point now) const -> holder_status;

    // holder_queue.cpp: admission, routing and dispatch
    auto on_request(time_point now, request_handle handle, request incoming) -> void;
    /// Starts queued work and lookups for which slots and connections are free.
    auto dispatch(time_point now) -> void;

    // holder_failover.cpp: probes, failover and hand-over
    auto on_member_status(time_point now, const member_id& member, std::uint64_t sequence,
                          std::optional<member_status> status) -> void;
    auto on_promoted(time_point now, const member_id& member, bool success, term_number term) -> void;

private:
    // database_holder.cpp
    auto apply_settings(time_point now) -> void;
    /// Selects the members to keep connections to. A leaving member is excluded unless it is the primary.
    auto select_connected_members() -> void;
    auto expire_work(time_point now) -> void;
    auto expire_item(time_point now, work_item& work) -> void;
    [[nodiscard]] auto has_authority(time_point now) const -> bool { return now < authority_until_; }
    auto find(std::uint64_t number) -> work_item*;
    auto deliver(time_point now, work_item& work, answer value) -> void;
    auto refuse(time_point now, work_item& work, failure_code code, std::string message,
                duration retry_after = {}) -> void;
    /// Answers that the request may have run.
    auto answer_unknown(time_point now, work_item& work, failure_code code, std::string message) -> void;
    auto emit_event(std::string kind, std::string detail) -> void;
    auto drop_connection(time_point now, connection_number connection) -> void;

    // holder_queue.cpp
    auto validate(const request& incoming) const -> std::optional<failure>;
    auto enqueue(time_point now, work_item& work) -> bool;
    auto requeue(time_point now, work_item& work) -> void;
    [[nodiscard]] auto lane_of(const work_item& work) const -> queue_lane;
    [[nodiscard]] auto expected_wait(time_point now, const work_item& work) const -> duration;
    auto check_start(time_point now, work_item& work) -> start_check;
    auto check_session(time_point now, work_item& work) -> std::optional<start_check>;
    auto check_primary(time_point now, work_item& work) -> start_check;
    auto check_read(time_point now, work_item& work) -> start_check;
    auto start(time_point now, work_item& work) -> void;
    auto send_pipeline(time_point now, work_item& work, const member_id& member,
                       std::vector<statement> statements) -> void;
    auto start_lookups(time_point now) -> void;
    auto record_service_time(const work_item& work, duration service_time) -> void;

    // holder_reads.cpp
    auto read_candidates(time_point now, const work_item& work) -> std::vector<read_candidate>;
    auto start_read(time_point now, work_item& work) -> void;
    auto finish_read(time_point now, work_item& work, pipeline_result outcome) -> void;
    auto handle_lost_read(time_point now, work_item& work) -> void;

    // holder_writes.cpp: at-most-once writes and their acknowledgement
    auto start_write(time_point now, work_item& work) -> void;
    auto finish_write(time_point now, work_item& work, pipeline_result outcome) -> void;
    auto finish_lookup(time_point now, work_item& work, const pipeline_result& outcome) -> void;
    /// Called when the outcome of a write or commit is unknown. Retries an idempotent write, otherwise looks
    /// up the request id if the deadline allows it.
    auto resolve_in_doubt(time_point now, work_item& work) -> void;
    /// Queues a lookup of the recorded outcome of the request id.
    auto queue_lookup(work_item& work) -> void;
    /// True if the member that the work was sent to is still primary, in the same term.
    [[nodiscard]] auto sent_to_current_primary(const work_item& work) const -> bool;
    auto acknowledge(time_point now, work_item& work, answer value) -> void;
    [[nodiscard]] auto is_confirmed(const work_item& work) const -> bool;
    auto check_confirmations(time_point now) -> void;
    auto probe_for_confirmation(time_point now, duration min_interval) -> void;
    auto insert_request(const work_item& work) const -> statement;

    // holder_transactions.cpp
    auto admit_step(time_point now, work_item& work) -> bool;
    auto start_step(time_point now, work_item& work) -> void;
    auto finish_step(time_point now, work_item& work, pipeline_result outcome) -> void;
    auto finish_commit(time_point now, work_item& work, pipeline_result outcome) -> void;
    /// Rolls back the transaction by closing its connection.
    auto end_transaction(time_point now, std::uint64_t number, failure_code code, const std::string& reason)
        -> void;
    auto record_rolled_back(std::uint64_t number) -> void;
    auto end_transactions(time_point now, failure_code code, const std::string& reason) -> void;
    auto expire_transactions(time_point now) -> void;
    [[nodiscard]] auto transaction_limit_reached(const account_id& account) const -> bool;

    // holder_failover.cpp
    auto send_probe(time_point now, const member_id& member, bool fresh_connection) -> void;
    /// Probes the member unless a probe is outstanding, the last one failed or was sent within
    /// `min_interval`.
    auto probe_if_due(time_point now, const member_id& member, duration min_interval) -> void;
    auto probe_all(time_point now) -> void;
    [[nodiscard]] auto probe_interval(time_point now, const member_id& member) const -> duration;
    auto send_due_probes(time_point now) -> void;
    auto monitor_group(time_point now) -> void;
    [[nodiscard]] auto is_suspected(time_point now, const member_info& member) const -> bool;
    [[nodiscard]] auto is_reachable(time_point now, const member_info& member) const -> bool;
    /// Promotes a replica if most members are reachable. `old`: the suspected primary, if there is one.
    auto start_failover(time_point now, const std::optional<member_id>& old, const std::string& reason)
        -> void;
    auto promote(time_point now, const member_id& member, term_number expected_term) -> void;
    auto send_follow_order(time_point now, const member_info& member) -> void;
    /// Detects a change of primary or term. Ends the work that ran on the previous primary.
    auto sync_primary(time_point now) -> void;
    /// Closes all connections to a member that must not be used any more. Late results are ignored.
    auto close_member_connections(time_point now, const member_id& member) -> void;
    /// Moves the primary role off a leaving primary, once running writes have ended and a replica caught up.
    auto hand_over(time_point now) -> void;
    [[nodiscard]] auto writes_running() const -> bool;
    auto abort_writes(time_point now) -> void;

    database_settings settings_;
    epoch_number epoch_;
    time_point authority_until_;
    bool draining_ = false;
    std::vector<holder_action> actions_;
    member_view view_;
    connection_table pool_{actions_};
    retry_budget budget_;
    std::unique_ptr<queue_policy> queue_;
    std::unique_ptr<read_policy> read_policy_;
    std::unique_ptr<promotion_policy> promotion_policy_;

    std::unordered_map<std::uint64_t, work_item> work_items_;
    std::unordered_map<request_handle, std::uint64_t> by_handle_;
    std::map<std::pair<account_id, request_id>, std::uint64_t> running_ids_;
    std::deque<std::uint64_t> lookups_;  ///< work in stage `lookup`, oldest first
    std::set<std::uint64_t> confirming_; ///< work in stage `confirming`
    std::uint64_t next_number_ = 1;
    std::array<double, queue_lane_count> service_us_{2000, 2000, 2000, 2000}; ///< moving average per lane

    std::map<std::uint64_t, open_transaction> transactions_;
    std::uint64_t next_transaction_ = 1;
    /// Recent transactions that are known to be rolled back. Any other ended transaction may have committed,
    /// so a repeated commit of it is never answered with "not run".
    std::set<std::uint64_t> rolled_back_;

    std::map<member_id, probe_state> probes_;
    std::uint64_t next_probe_ = 1;
    time_point last_timer_;
    time_point observing_since_; ///< start of silence detection; reset after a pause of this process
    std::optional<member_id> served_primary_;
    term_number served_term_ = 0;
    time_point primary_missing_since_;
    time_point last_primary_change_; ///< time of the last completed promotion
    time_point last_promotion_attempt_;
    time_point last_request_;
    bool failover_blocked_ = false; ///< a failover is needed, but too few members are reachable
    bool closing_member_connections_ = false;
    std::optional<pending_promotion> promotion_;
    std::optional<time_point> hand_over_started_;
    std::optional<time_point> writes_idle_since_; ///< no write has run on the leaving primary since then
    time_point next_hand_over_;                   ///< earliest start of a hand-over after one that timed out
    holder_status counters_;
};

} // namespace citronlug
