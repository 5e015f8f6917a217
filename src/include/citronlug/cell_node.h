#pragma once

#include <citronlug/cell_record.h>
#include <citronlug/types.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace citronlug {

/// Timing of the lease protocol. All instances of a cell must use the same values.
struct lease_settings {
    /// Each heartbeat goes to half of the peers, so that a peer gets at least two within a lease.
    duration heartbeat_interval = 450ms;
    duration lease = 2000ms;
    duration drift_allowance = 200ms;        ///< for clock drift between instances; a tenth of the lease
    duration store_renewal_interval = 500ms; ///< while contact with a majority is missing
    duration member_removal_delay = 60s;     ///< time without heartbeats before a member is removed
};

/// Periodic message of a member to its peers. A peer that accepts it extends the sender's authority.
struct heartbeat_message {
    instance_id from;
    incarnation run = 0;
    std::uint64_t table_version = 0;
    std::uint64_t record_version = 0;
    std::uint64_t config_version = 0; ///< configuration version that the sender holds
    std::uint64_t call = 0;           ///< call number, echoed in the answer
};
/// Answer to a heartbeat.
struct heartbeat_answer {
    instance_id from;
    incarnation run = 0;
    std::uint64_t table_version = 0;
    std::uint64_t record_version = 0;
    std::uint64_t config_version = 0;
    std::uint64_t call = 0;
    bool accepted = false; ///< true: the answer counts towards the majority that extends authority
};
/// Requests a promise not to accept heartbeats of incarnation `subject_run` of `subject`.
struct promise_request {
    instance_id from;
    incarnation run = 0;
    std::uint64_t table_version = 0;
    std::uint64_t call = 0;
    instance_id subject;
    incarnation subject_run = 0;
};
struct promise_answer {
    instance_id from;
    std::uint64_t call = 0;
    bool granted = false;
};
/// Asks whether the peer holds this table version or a newer one.
struct table_request {
    instance_id from;
    std::uint64_t table_version = 0;
    std::uint64_t call = 0;
};
struct table_answer {
    instance_id from;
    std::uint64_t call = 0;
    bool held = false;
};
/// Requests the peer's cell record.
struct record_request {
    instance_id from;
    std::uint64_t call = 0;
};
struct record_answer {
    instance_id from;
    std::uint64_t call = 0;
    std::uint64_t version = 0;
    std::string text; ///< JSON text of the record
};

/// Messages between the cell nodes of two instances.
using peer_message = std::variant<heartbeat_message, heartbeat_answer, promise_request, promise_answer,
                                  table_request, table_answer, record_request, record_answer>;

/// Read of a store object.
struct store_get {
    std::uint64_t call = 0;
    std::string key;
};
/// Conditional update: succeeds only if the object has `expected_version` (0: does not exist).
struct store_put {
    std::uint64_t call = 0;
    std::string key;
    std::string value;
    std::uint64_t expected_version = 0;
};
struct send_peer {
    instance_id to;
    std::string address;
    peer_message message;
};
/// This instance now holds the role under this epoch.
struct role_gained {
    role_id role;
    epoch_number epoch = 0;
    /// True if the previous holder's authority had expired before the takeover. Anything that it granted
    /// until the end of its authority has then expired too. False after a hand-over and for a vacant role.
    bool after_expiry = false;
};
struct role_lost {
    role_id role;
    epoch_number epoch = 0;
};
/// A state change to be logged and added to the timeline.
struct cell_event {
    std::string kind; ///< for example "authority-lost", "takeover", "member-added"
    std::string detail;
};

/// Actions that a cell node requests and its owner performs.
using cell_action = std::variant<store_get, store_put, send_peer, role_gained, role_lost, cell_event>;

/// Result of a store call.
enum class store_status {
    ok,
    not_found,
    conflict,    ///< the object's version differs from the expected one
    unavailable, ///< refused, failed or timed out; a write may have been applied
};

template <>
struct name_table<store_status> {
    static constexpr std::array<std::string_view, 4> names{"ok", "not found", "conflict", "unavailable"};
};

struct store_reply {
    store_status status = store_status::unavailable;
    std::uint64_t version = 0;
    std::string value; ///< content read by `store_get`
};

/// Entry of the platform's list of instances, which may be out of date.
struct listed_instance {
    instance_id instance;
    cell_id cell;
    std::string peer_address;
    std::string admin_address;
    failure_domain domain;
    bool leaving = false;
};

/// Holder of a role according to the newest record that this instance has.
struct role_location {
    instance_id holder;
    std::string peer_address;
    epoch_number epoch = 0;
};

/// Lease protocol of one instance in its cell: heartbeats, authority, takeovers, changes of the member table
/// and hand-over of roles. Performs no I/O: the owner passes events in and carries out the actions. Not
/// thread-safe; the owner must serialize calls.
class cell_node {
public:
    cell_node(cell_id cell, cell_member self, lease_settings settings, std::uint64_t seed, time_point now);
    ~cell_node();
    cell_node(cell_node&&) noexcept;
    auto operator=(cell_node&&) noexcept -> cell_node&;

    auto on_timer(time_point now) -> void; ///< to be called every 100 ms
    auto on_store_reply(time_point now, std::uint64_t call, store_reply reply) -> void;
    auto on_peer_message(time_point now, const peer_message& message) -> void;
    /// Updates the platform's list of instances, which may be some seconds old.
    auto on_instance_list(time_point now, const std::vector<listed_instance>& list) -> void;
    /// Sets the roles that the rules assign to this cell.
    auto set_roles(time_point now, std::vector<role_id> roles) -> void;
    auto set_config_version(std::uint64_t version) -> void;
    /// Starts to hand all roles over to other members; `handed_over()` reports completion.
    auto start_leave(time_point now) -> void;
    /// True after `start_leave()` once the record assigns no role to this instance.
    [[nodiscard]] auto handed_over() const -> bool;

    /// Time until which this instance's authority is valid; in the past if it has none.
    [[nodiscard]] auto authority_until() const -> time_point;
    /// True while more than half of the table has accepted a heartbeat sent within the last lease.
    [[nodiscard]] auto has_majority(time_point now) const -> bool;
    [[nodiscard]] auto locate(const role_id& role) const -> std::optional<role_location>;
    [[nodiscard]] auto is_standby(const role_id& role) const -> bool;
    /// Newest record that this instance has.
    [[nodiscard]] auto record() const -> const cell_record&;
    /// Highest configuration version reported by peers.
    [[nodiscard]] auto peer_config_version() const -> std::uint64_t;
    /// Members whose heartbeats arrived within the last lease, and this instance if it is in the table.
    [[nodiscard]] auto live_members(time_point now) const -> std::vector<cell_member>;
    /// Returns and clears the actions requested so far, in order.
    [[nodiscard]] auto take_actions() -> std::vector<cell_action>;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace citronlug
