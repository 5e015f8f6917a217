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

/// Time constants of the lease protocol. All instances of a cell use the same values.
struct lease_settings {
    duration heartbeat_interval = 450ms; ///< half of the peers are asked in each; two fit into a lease twice
    duration lease = 2000ms;
    duration drift_allowance = 200ms;        ///< a tenth of the lease
    duration store_renewal_interval = 500ms; ///< while contact with a majority is missing
    duration member_removal_delay = 60s;     ///< silence before a member leaves the table
};

/// Messages between the cell nodes of two instances.
struct heartbeat_message {
    instance_id from;
    incarnation run = 0;
    std::uint64_t table_version = 0;
    std::uint64_t record_version = 0;
    std::uint64_t config_version = 0; ///< newest configuration known
    std::uint64_t call = 0;           ///< number of the call, repeated in the answer
};
/// Answer to a heartbeat. `accepted` counts as contact that keeps authority.
struct heartbeat_answer {
    instance_id from;
    incarnation run = 0;
    std::uint64_t table_version = 0;
    std::uint64_t record_version = 0;
    std::uint64_t config_version = 0;
    std::uint64_t call = 0;
    bool accepted = false;
};
/// Asks for the promise not to answer `subject_run` of `subject`.
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
/// Asks whether the peer holds this table version.
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
/// Asks for the newest cell record; the answer carries its JSON text.
struct record_request {
    instance_id from;
    std::uint64_t call = 0;
};
struct record_answer {
    instance_id from;
    std::uint64_t call = 0;
    std::uint64_t version = 0;
    std::string text;
};

using peer_message = std::variant<heartbeat_message, heartbeat_answer, promise_request, promise_answer,
                                  table_request, table_answer, record_request, record_answer>;

/// Actions of a cell node, performed by its owner.
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
/// This instance now fills the role with this epoch.
struct role_gained {
    role_id role;
    epoch_number epoch = 0;
    /// The former holder's authority had expired before, so what it gave out for the time of its authority
    /// has expired too. False after a hand-over and for a role without a holder.
    bool after_expiry = false;
};
struct role_lost {
    role_id role;
    epoch_number epoch = 0;
};
/// A change of state worth a line in log and time line.
struct cell_event {
    std::string kind; ///< for example "authority-lost", "takeover", "member-added"
    std::string detail;
};

using cell_action = std::variant<store_get, store_put, send_peer, role_gained, role_lost, cell_event>;

/// How a store call ended.
enum class store_status {
    ok,
    not_found,
    conflict,    ///< the object has another version
    unavailable, ///< refused, failed or timed out; the effect of a write is not known
};

template <>
struct name_table<store_status> {
    static constexpr std::array<std::string_view, 4> names{"ok", "not found", "conflict", "unavailable"};
};

struct store_reply {
    store_status status = store_status::unavailable;
    std::uint64_t version = 0;
    std::string value; ///< of a get
};

/// Instance as the platform's lagging list states it.
struct listed_instance {
    instance_id instance;
    cell_id cell;
    std::string peer_address;
    std::string admin_address;
    failure_domain domain;
    bool leaving = false;
};

/// Who fills a role now, as far as this instance knows.
struct role_location {
    instance_id holder;
    std::string peer_address;
    epoch_number epoch = 0;
};

/// Deciding component of one instance in its cell: heartbeats, authority, takeovers, changes of the table
/// and hand-over of roles. It performs no I/O. Not thread-safe; the owner locks it.
class cell_node {
public:
    cell_node(cell_id cell, cell_member self, lease_settings settings, std::uint64_t seed, time_point now);
    ~cell_node();
    cell_node(cell_node&&) noexcept;
    auto operator=(cell_node&&) noexcept -> cell_node&;

    auto on_timer(time_point now) -> void; ///< call each 100 ms
    auto on_store_reply(time_point now, std::uint64_t call, store_reply reply) -> void;
    auto on_peer_message(time_point now, const peer_message& message) -> void;
    /// The platform's list of instances, at most some seconds old.
    auto on_instance_list(time_point now, const std::vector<listed_instance>& list) -> void;
    /// The roles that the rules give to this cell.
    auto set_roles(time_point now, std::vector<role_id> roles) -> void;
    auto set_config_version(std::uint64_t version) -> void;
    /// Hands all roles over to other members. `handed_over()` tells when none is left.
    auto start_leave(time_point now) -> void;
    [[nodiscard]] auto handed_over() const -> bool;

    /// Time until which this instance's authority is valid; in the past if it has none.
    [[nodiscard]] auto authority_until() const -> time_point;
    /// True while contact with more than half of the table is younger than one lease.
    [[nodiscard]] auto has_majority(time_point now) const -> bool;
    [[nodiscard]] auto locate(const role_id& role) const -> std::optional<role_location>;
    [[nodiscard]] auto is_standby(const role_id& role) const -> bool;
    /// Newest record known.
    [[nodiscard]] auto record() const -> const cell_record&;
    /// Highest configuration version heard from peers.
    [[nodiscard]] auto peer_config_version() const -> std::uint64_t;
    /// Members heard within one lease, this instance included if it is in the table.
    [[nodiscard]] auto live_members(time_point now) const -> std::vector<cell_member>;
    [[nodiscard]] auto take_actions() -> std::vector<cell_action>;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace citronlug
