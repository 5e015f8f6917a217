#pragma once

#include <citronlug/log_history.h>
#include <citronlug/request.h>
#include <citronlug/types.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citronlug {

/// Identifies a connection of a holder. Assigned by the holder; unique within one process.
using connection_number = std::uint64_t;
/// Identifies a request. Assigned by the caller of `on_request`; answers refer to it.
using request_handle = std::uint64_t;

/// Role of a member as reported by the member itself.
enum class member_role { replica, primary };

template <>
struct name_table<member_role> {
    static constexpr std::array<std::string_view, 2> names{"replica", "primary"};
};

/// Status that a member reports in answer to a probe.
struct member_status {
    member_role role = member_role::replica;
    position applied;                ///< highest known term and last applied log position
    std::vector<term_start> history; ///< ascending terms
};

/// Configuration of a held database, taken from the rules.
struct database_settings {
    database_id database;
    std::vector<member_id> members;
    std::vector<failure_domain> member_domains; ///< one per member; unknown where missing or empty
    std::vector<member_id> leaving;             ///< members being taken out of service
    int slots = 5;                              ///< maximum concurrent statements per member
    int connections = 35;                       ///< maximum connections per member, over all instances
    std::string read_policy = "evidence";
    std::string queue_policy = "fair";
    std::string promotion_policy = "advanced";
};

/// Outcome of a pipeline of statements.
enum class pipeline_status {
    finished, ///< every statement returned a result
    refused,  ///< the server reported an error; the transaction is rolled back
    lost,     ///< the connection failed; the effect is unknown
    not_sent, ///< nothing was sent
};

template <>
struct name_table<pipeline_status> {
    static constexpr std::array<std::string_view, 4> names{"finished", "refused", "lost", "not sent"};
};

/// Result of a pipeline, with one row set per finished statement.
struct pipeline_result {
    pipeline_status status = pipeline_status::not_sent;
    std::vector<row_set> results;
    std::string sqlstate; ///< SQLSTATE of the first error
    std::string message;
};

// Actions that a holder requests and its owner performs.

struct open_connection {
    member_id member;
    connection_number connection = 0;
};
struct close_connection {
    connection_number connection = 0;
};
/// Sends the statements as one libpq pipeline. The result is reported with the same `sequence`.
struct run_pipeline {
    connection_number connection = 0;
    std::uint64_t sequence = 0;
    std::vector<statement> statements;
};
/// Queries the status of a member over its probe connection, which is opened if necessary.
struct probe_member {
    member_id member;
    std::uint64_t sequence = 0;
    bool fresh_connection = false; ///< close the existing probe connection first
};
/// Promotes a member to primary of term `expected_term + 1`.
struct promote_member {
    member_id member;
    term_number expected_term = 0;
};
/// Makes a member replicate from `primary` in `term`.
struct follow_primary {
    member_id member;
    member_id primary;
    term_number term = 0;
};
struct deliver_answer {
    request_handle handle = 0;
    answer value;
};
/// State change that is written to the log and the timeline.
struct holder_event {
    std::string kind; ///< for example "primary-suspected", "promotion-ordered", "primary-changed"
    std::string detail;
};

using holder_action = std::variant<open_connection, close_connection, run_pipeline, probe_member,
                                   promote_member, follow_primary, deliver_answer, holder_event>;

/// Counters and gauges of a holder, for status reports and metrics.
struct holder_status {
    database_id database;
    member_id primary;
    term_number term = 0;
    std::uint64_t queued = 0;
    std::uint64_t running = 0;
    std::uint64_t reads = 0;
    std::uint64_t replica_reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t promotions = 0;
    std::uint64_t open_connections = 0;
    std::uint64_t open_transactions = 0;
    std::vector<std::pair<member_id, duration>> lag; ///< upper bound of the data age per replica
};

/// State machine that serves one database: request queue, slots, connections, read routing, at-most-once
/// writes, transactions and failover. It performs no I/O: the owner feeds it events and performs the actions
/// that it returns. Not thread-safe; the owner locks its shard.
class database_holder {
public:
    database_holder(database_settings settings, epoch_number epoch, time_point now);
    ~database_holder();
    database_holder(database_holder&&) noexcept;
    auto operator=(database_holder&&) noexcept -> database_holder&;

    /// Sets the time until which this instance may act for the database. Checked before every operation that
    /// has an external effect.
    auto set_authority(time_point valid_until) -> void;
    /// Applies changed rules; members and limits may differ.
    auto update_settings(time_point now, database_settings settings) -> void;

    auto on_request(time_point now, request_handle handle, request incoming) -> void;
    /// The caller disconnected or cancelled the request. A queued request is dropped and the open transaction
    /// that it belongs to is rolled back.
    auto on_cancel(time_point now, request_handle handle) -> void;
    /// Rejects queued requests and rolls back open transactions of a revoked key.
    auto on_key_revoked(time_point now, const key_id& key) -> void;
    auto on_connected(time_point now, connection_number connection, bool success) -> void;
    auto on_connection_lost(time_point now, connection_number connection) -> void;
    auto on_pipeline(time_point now, connection_number connection, std::uint64_t sequence,
                     pipeline_result outcome) -> void;
    /// Result of `probe_member`; empty if the member refused the connection or the connection failed.
    auto on_member_status(time_point now, const member_id& member, std::uint64_t sequence,
                          std::optional<member_status> status) -> void;
    /// Result of `promote_member`. `term` is the new term, or the term in which the member refused the
    /// promotion. It is 0 if the result is unknown; the promotion may then still take effect.
    auto on_promoted(time_point now, const member_id& member, bool success, term_number term) -> void;
    /// Starts, retries and expires work. Must be called at least every 50 ms.
    auto on_timer(time_point now) -> void;
    /// Stops accepting new requests. `drained()` returns true once the running ones have finished.
    auto start_drain(time_point now) -> void;
    [[nodiscard]] auto drained() const -> bool;

    /// Returns the actions requested since the last call, in order.
    [[nodiscard]] auto take_actions() -> std::vector<holder_action>;
    [[nodiscard]] auto status(time_point now) const -> holder_status;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace citronlug
