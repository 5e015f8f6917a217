#pragma once

#include <citronlug/account_gate.h>
#include <citronlug/session_protocol.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace citronlug {

/// Life of a permission to use a primary, from before its evidence was asked for. A change of primary waits
/// that long for instances that do not give their permission back.
inline constexpr duration permission_lifetime = 2s;
/// Life of the coordinator's authority, from before the request of its last renewal.
inline constexpr duration coordinator_lease_duration = 3s;

/// Time that an instance with this part of a core leaves a vacant duty to others. The coordinator answers a
/// question for nearly each operation of the fleet; on a small instance its answers come too late.
[[nodiscard]] auto lease_acquisition_delay(double processor_share) -> duration;

/// The one instance that changes primaries and accounts for rates. Kept in the platform's store.
struct coordinator_lease {
    instance_id holder; ///< empty: given up by the last holder
    incarnation run = 0;
    std::uint64_t token = 0; ///< grows with each change of holder; fences its orders
    std::uint64_t renewals = 0;
    std::string peer_address; ///< of the holder
    std::string peer_secret;  ///< shared by all instances; drawn by the first holder

    auto operator==(const coordinator_lease&) const -> bool = default;
};

/// The primary of one group. Kept in the platform's store; only the holder of the duty writes it.
struct primary_record {
    server_id primary;
    term_number term = 0;
    std::uint64_t generation = 0; ///< grows with each change
    bool changing = false;        ///< permissions for `primary` are no longer given
    server_id candidate;          ///< chosen successor, while changing

    auto operator==(const primary_record&) const -> bool = default;
};

[[nodiscard]] auto to_text(const coordinator_lease& record) -> std::string;
[[nodiscard]] auto to_text(const primary_record& record) -> std::string;
/// Nothing if the text is not a record.
[[nodiscard]] auto parse_coordinator_lease(const std::string& text) -> std::optional<coordinator_lease>;
[[nodiscard]] auto parse_primary(const std::string& text) -> std::optional<primary_record>;

/// Names of the records in their kind.
inline constexpr auto coordinator_lease_name = "duty";
[[nodiscard]] auto primary_record_name(const group_id& group) -> std::string;
/// Nothing if the name is not that of a primary record.
[[nodiscard]] auto group_of_record(const std::string& name) -> std::optional<group_id>;

/// What an instance tells the holder of the duty about one group.
struct group_report {
    group_id group;
    std::uint64_t released_generation = 0; ///< permissions of generations before this one are given back
    std::optional<position> acknowledged;  ///< newest position of a write that the instance acknowledged
    std::optional<duration> since_answer;  ///< time since the primary last answered
    std::optional<duration> since_failure; ///< time since a connection to it last failed
    bool rejected_as_replica = false;      ///< it refused a write as a replica
};

/// Sent by each instance to the holder of the duty.
struct instance_report {
    instance_id instance;
    incarnation run = 0;
    std::string peer_address;
    bool leaving = false; ///< it does not take the duty
    std::vector<group_report> groups;
    std::vector<token_question> token_requests;
};

/// What the holder says of one group.
struct group_status {
    group_id group;
    primary_record record;
    std::optional<position> sample; ///< position of the primary
    duration sample_age{};          ///< since it was asked for
};

struct report_answer {
    bool is_coordinating = false;      ///< false: nothing else is set
    std::uint64_t token = 0;           ///< of its duty
    std::uint64_t renewals = 0;        ///< of its duty that the store has confirmed
    std::uint32_t instances = 1;       ///< registered
    std::uint64_t rules_version = 0;   ///< newest that the holder knows
    std::uint64_t servers_version = 0; ///< changes with the list of servers that the holder knows
    std::vector<group_status> groups;
    std::vector<token_answer> tokens;
};

/// The newest generation of each group that an instance knows, from records that it read in the store and
/// words of the coordinator. An instance that follows the coordinator reads no records, so it may know a
/// group by its words alone.
[[nodiscard]] auto newest_generations(const std::map<group_id, primary_record>& stored,
                                      const std::map<group_id, primary_record>& reported)
    -> std::map<group_id, std::uint64_t>;

/// Effects that the coordinator asks for.
struct write_record {
    std::string name;
    std::string value;
    std::uint64_t expected_revision = 0; ///< 0: create
};
struct list_instances {};
struct probe_server {
    server_id server;
};
struct order_promotion {
    group_id group;
    server_id server;
    std::uint64_t token = 0;
};
struct order_step_down {
    server_id server;
    term_number term = 0;
};
using coordinator_action =
    std::variant<write_record, list_instances, probe_server, order_promotion, order_step_down>;

enum class write_outcome { done, conflict, unknown };

template <>
struct name_table<write_outcome> {
    static constexpr std::array<std::string_view, 3> names{"done", "conflict", "unknown"};
};

enum class promotion_outcome { accepted, not_running, unknown };

template <>
struct name_table<promotion_outcome> {
    static constexpr std::array<std::string_view, 3> names{"accepted", "not-running", "unknown"};
};

/// Event for the log, returned so that deciding code needs no sink.
struct coordinator_event {
    std::string_view name; ///< of a log_event
    std::string group;
    std::string detail;
};

} // namespace citronlug
