#pragma once

#include <citronlug/coordination.h>
#include <citronlug/desired_state.h>
#include <citronlug/evacuation.h>

#include <functional>

namespace citronlug {

/// Result of a status probe.
struct probe_result {
    bool answered = false; ///< the server answered, with or without a status
    bool refused = false;  ///< the connection was refused
    std::optional<server_status> status;
};

/// Acquires and renews the coordinator lease, and changes the primary of a group if it fails or drains:
/// 1. marks the change in the group's record, so that no more permissions are granted;
/// 2. waits until all registered instances have released their permissions, or until these have expired;
/// 3. records the replica with the newest position as the successor and orders its promotion;
/// 4. records the new primary once it leads.
/// The next coordinator continues an unfinished change from the record. Performs no I/O and reads no clock;
/// every instance runs one. Not thread-safe.
class primary_coordinator {
public:
    using event_sink = std::function<void(const coordinator_event&)>;

    /// `new_secret`: peer secret of the fleet if this instance creates the lease record. `acquisition_delay`:
    /// delay before it acquires a vacant lease, see `lease_acquisition_delay`.
    primary_coordinator(instance_id self, incarnation run, std::string peer_address, std::string new_secret,
                        duration acquisition_delay, event_sink events);
    ~primary_coordinator();
    primary_coordinator(const primary_coordinator&) = delete;
    auto operator=(const primary_coordinator&) -> primary_coordinator& = delete;

    /// A record as read from the store.
    auto on_record(time_point now, const std::string& name, const std::string& value, std::uint64_t revision)
        -> void;
    auto on_record_removed(time_point now, const std::string& name) -> void;
    /// All primary records, or the lease record, are current as of the store request at `asked_at`.
    auto on_primaries_confirmed(time_point asked_at) -> void;
    auto on_lease_confirmed(time_point now, time_point asked_at) -> void;
    /// True if the lease record has to be read: it, or the outcome of the last write to it, is unknown.
    [[nodiscard]] auto needs_lease_record() const -> bool;
    auto set_servers(time_point now, const std::vector<backend_server>& servers) -> void;
    auto set_groups(const std::map<group_id, server_group>& groups) -> void;
    /// To be called whenever the view changes.
    auto set_evacuations(time_point now, const evacuation_view& view) -> void;
    auto on_instances(time_point now, const std::set<instance_id>& registered) -> void;
    auto on_report(time_point now, const instance_report& report) -> void;
    auto on_probe(time_point now, const server_id& server, time_point asked_at, const probe_result& result)
        -> void;
    /// The status request was not sent, because the server is cold. It says nothing about the server.
    auto on_probe_deferred(const server_id& server) -> void;
    auto on_written(time_point now, const std::string& name, time_point asked_at, write_outcome outcome,
                    std::uint64_t revision) -> void;
    auto on_promotion(time_point now, const group_id& group, promotion_outcome outcome) -> void;

    /// The lease holder has answered a report sent at `asked_at` with these values of its lease record.
    auto on_holder_answer(time_point asked_at, std::uint64_t fencing_token, std::uint64_t renewals) -> void;

    /// The store states this era. `restored`: it has come back from an older copy, so that its revisions mean
    /// nothing any more; the lease and the primary records known here stay in force.
    auto on_store_era(time_point now, std::uint64_t era, bool restored) -> void;
    /// A coordinator with this token exists or existed.
    auto on_token_seen(std::uint64_t fencing_token) -> void;
    /// Highest token of any coordinator that this instance has heard of.
    [[nodiscard]] auto highest_fencing_token() const -> std::uint64_t;
    /// True while this instance coordinates but still asks the others for the primary records that they know,
    /// because the store came back older. No permission may be given meanwhile.
    [[nodiscard]] auto is_collecting(time_point now) const -> bool;

    /// Returns the actions that are due.
    [[nodiscard]] auto on_tick(time_point now) -> std::vector<coordinator_action>;
    /// Hands the lease over to an instance that reported recently, or releases it if there is none.
    [[nodiscard]] auto leave(time_point now) -> std::vector<coordinator_action>;

    /// True while this instance holds the lease and has read the primary records since it acquired it.
    [[nodiscard]] auto is_coordinating(time_point now) const -> bool;
    /// True while this instance holds the lease but has not read the primary records since it acquired it.
    [[nodiscard]] auto needs_primaries(time_point now) const -> bool;
    [[nodiscard]] auto lease() const -> const std::optional<coordinator_lease>&;
    [[nodiscard]] auto record_of(const group_id& group) const -> std::optional<primary_record>;
    [[nodiscard]] auto records() const -> std::map<group_id, primary_record>;
    /// Number of registered instances, at least 1.
    [[nodiscard]] auto registered() const -> std::uint32_t;
    /// Instances that have reported recently.
    [[nodiscard]] auto recent_reporters(time_point now) const -> std::set<instance_id>;
    [[nodiscard]] auto recent_reports(time_point now) const -> std::vector<instance_report>;
    [[nodiscard]] auto has_reported_recently(time_point now, const instance_id& instance) const -> bool;
    /// Newest position that this coordinator received from the group's primary, and when it was requested.
    [[nodiscard]] auto sample_of(const group_id& group) const
        -> std::optional<std::pair<time_point, position>>;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace citronlug
