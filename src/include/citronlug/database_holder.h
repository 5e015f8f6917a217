#pragma once

#include <citronlug/request.h>
#include <citronlug/types.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citronlug {

/// Number that the holder gives to a connection; never used twice within one process.
using connection_number = std::uint64_t;
/// Number that the caller of `on_request` gives to a request; answers carry it.
using request_handle = std::uint64_t;

/// Role of a member as the member itself states it.
enum class member_role { replica, primary };

template <>
struct name_table<member_role> {
    static constexpr std::array<std::string_view, 2> names{"replica", "primary"};
};

/// Start of a term in a member's history.
struct term_start {
    term_number term = 0;
    log_position start = 0; ///< last position of the previous term

    auto operator==(const term_start&) const -> bool = default;
};

/// What a member reports about itself.
struct member_status {
    member_role role = member_role::replica;
    position applied;                ///< newest position it has applied
    std::vector<term_start> history; ///< ascending terms
};

/// Static description of a held database, from the rules.
struct database_settings {
    database_id database;
    std::vector<member_id> members;
    std::vector<failure_domain> member_domains; ///< one per member, may be empty
    std::vector<member_id> leaving;
    int slots = 5;        ///< statements at once per member
    int connections = 35; ///< connections per member for the whole fleet
    std::string read_policy = "evidence";
    std::string queue_policy = "fair";
    std::string promotion_policy = "advanced";
};

/// How a pipeline of statements ended.
enum class pipeline_status {
    finished, ///< every statement has its result
    refused,  ///< the server reported an error; the transaction is rolled back
    lost,     ///< the connection failed; the effect is not known
    not_sent, ///< nothing was sent
};

template <>
struct name_table<pipeline_status> {
    static constexpr std::array<std::string_view, 4> names{"finished", "refused", "lost", "not sent"};
};

/// Result of a pipeline, one row set per statement that finished.
struct pipeline_result {
    pipeline_status status = pipeline_status::not_sent;
    std::vector<row_set> results;
    std::string sqlstate; ///< of the first error
    std::string message;
};

/// Actions of a holder, performed by its owner.
struct open_connection {
    member_id member;
    connection_number connection = 0;
};
struct close_connection {
    connection_number connection = 0;
};
/// Sends the statements as one libpq pipeline; `sequence` comes back with the result.
struct run_pipeline {
    connection_number connection = 0;
    std::uint64_t sequence = 0;
    std::vector<statement> statements;
};
/// Asks a member for its status over its probe connection. Opens it if needed.
struct probe_member {
    member_id member;
    std::uint64_t sequence = 0;
    bool fresh_connection = false; ///< drop the old probe connection first
};
/// Orders a member to become primary of `expected_term + 1`.
struct promote_member {
    member_id member;
    term_number expected_term = 0;
};
/// Orders a member to replicate from `primary` in `term`.
struct follow_primary {
    member_id member;
    member_id primary;
    term_number term = 0;
};
struct deliver_answer {
    request_handle handle = 0;
    answer value;
};
/// A change of state worth a line in log and time line.
struct holder_event {
    std::string kind; ///< for example "primary-suspected", "promotion-ordered", "primary-changed"
    std::string detail;
};

using holder_action = std::variant<open_connection, close_connection, run_pipeline, probe_member,
                                   promote_member, follow_primary, deliver_answer, holder_event>;

/// Counters and gauges of a holder for status and metrics.
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
    std::vector<std::pair<member_id, duration>> lag; ///< evidence age per replica
};

/// Deciding component of one held database: queue, slots, connections, read routing, at-most-once writes,
/// transactions and change of primary. It performs no I/O: callers feed events and perform the actions.
/// Not thread-safe; the owner locks its shard.
class database_holder {
public:
    database_holder(database_settings settings, epoch_number epoch, time_point now);
    ~database_holder();
    database_holder(database_holder&&) noexcept;
    auto operator=(database_holder&&) noexcept -> database_holder&;

    /// Time until which this instance may act for the database. Checked before each effect.
    auto set_authority(time_point valid_until) -> void;
    /// New rules; members and limits may change.
    auto update_settings(time_point now, database_settings settings) -> void;

    auto on_request(time_point now, request_handle handle, request incoming) -> void;
    /// The caller has gone or gave up; queued work is dropped, its open transaction is rolled back.
    auto on_cancel(time_point now, request_handle handle) -> void;
    /// Ends queued work and open transactions of a revoked key.
    auto on_key_revoked(time_point now, const key_id& key) -> void;
    auto on_connected(time_point now, connection_number connection, bool success) -> void;
    auto on_connection_lost(time_point now, connection_number connection) -> void;
    auto on_pipeline(time_point now, connection_number connection, std::uint64_t sequence,
                     pipeline_result outcome) -> void;
    /// Answer to `probe_member`; empty if the member refused or the connection failed.
    auto on_member_status(time_point now, const member_id& member, std::uint64_t sequence,
                          std::optional<member_status> status) -> void;
    /// Result of `promote_member`. `term`: the new term, or the term in which the member refused; 0 if the
    /// result is not known, because the order may still take effect.
    auto on_promoted(time_point now, const member_id& member, bool success, term_number term) -> void;
    /// Starts, retries, expires. Call at least each 50 ms.
    auto on_timer(time_point now) -> void;
    /// Stops taking new work; running work finishes. `drained()` tells when.
    auto start_drain(time_point now) -> void;
    [[nodiscard]] auto drained() const -> bool;

    /// Actions since the last call, in order.
    [[nodiscard]] auto take_actions() -> std::vector<holder_action>;
    [[nodiscard]] auto status(time_point now) const -> holder_status;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace citronlug
