#pragma once

#include <citronlug/coordination.h>
#include <citronlug/desired_state.h>

#include <functional>

namespace citronlug {

/// Result of a status probe.
struct probe_result {
    bool answered = false; ///< the server answered something
    bool refused = false;  ///< nothing listens at its address
    std::optional<server_status> status;
};

/// Takes and keeps the coordinator's duty, and changes the primary of a group when it is lost or leaving:
/// 1. writes into the group's record that a change is under way, so that no permission is given any more;
/// 2. waits until all registered instances have given theirs back, or until the last one has run out;
/// 3. records the replica with the newest position as the successor and orders its promotion;
/// 4. records the new primary once it leads.
/// A successor in the duty continues from the record. Performs no I/O and reads no clock; every instance runs
/// one. Not thread-safe.
class primary_coordinator {
public:
    using event_sink = std::function<void(const coordinator_event&)>;

    /// `acquisition_delay`: time that it leaves a vacant duty to others.
    primary_coordinator(instance_id self, incarnation run, std::string peer_address, std::string new_secret,
                        duration acquisition_delay, event_sink events);
    ~primary_coordinator();
    primary_coordinator(const primary_coordinator&) = delete;
    auto operator=(const primary_coordinator&) -> primary_coordinator& = delete;

    /// A record as the store states it in an answer to a request of `asked_at`.
    auto on_record(time_point now, const std::string& name, const std::string& value, std::uint64_t revision)
        -> void;
    auto on_record_removed(time_point now, const std::string& name) -> void;
    /// The store has stated all primaries, or the duty, in an answer to a request of `asked_at`.
    auto on_primaries_confirmed(time_point asked_at) -> void;
    auto on_lease_confirmed(time_point now, time_point asked_at) -> void;
    /// True if the duty record should be read: it is not known, or the outcome of a write to it is not.
    [[nodiscard]] auto needs_lease_record() const -> bool;
    auto set_servers(time_point now, const std::vector<backend_server>& servers) -> void;
    auto set_groups(const std::map<group_id, server_group>& groups) -> void;
    auto on_instances(time_point now, const std::set<instance_id>& registered) -> void;
    auto on_report(time_point now, const instance_report& report) -> void;
    auto on_probe(time_point now, const server_id& server, time_point asked_at, const probe_result& result)
        -> void;
    auto on_written(time_point now, const std::string& name, time_point asked_at, write_outcome outcome,
                    std::uint64_t revision) -> void;
    auto on_promotion(time_point now, const group_id& group, promotion_outcome outcome) -> void;

    /// The holder of the duty has answered a report of `asked_at`: its record showed these values then.
    auto on_holder_answer(time_point asked_at, std::uint64_t token, std::uint64_t renewals) -> void;

    /// Decides what is due.
    [[nodiscard]] auto on_tick(time_point now) -> std::vector<coordinator_action>;
    /// Hands the duty over to an instance that reported lately, or gives it up if there is none.
    [[nodiscard]] auto leave(time_point now) -> std::vector<coordinator_action>;

    /// True while this instance coordinates and has read the primaries since it took the duty.
    [[nodiscard]] auto is_coordinating(time_point now) const -> bool;
    /// True if it has taken the duty but not read the primaries since.
    [[nodiscard]] auto needs_primaries(time_point now) const -> bool;
    [[nodiscard]] auto lease() const -> const std::optional<coordinator_lease>&;
    [[nodiscard]] auto record_of(const group_id& group) const -> std::optional<primary_record>;
    [[nodiscard]] auto records() const -> std::map<group_id, primary_record>;
    /// Number of registered instances, and of those that reported lately.
    [[nodiscard]] auto registered() const -> std::uint32_t;
    [[nodiscard]] auto recent_reporters(time_point now) const -> std::set<instance_id>;
    [[nodiscard]] auto has_reported_recently(time_point now, const instance_id& instance) const -> bool;
    /// Newest position that the primary of the group stated to this coordinator, and when it was asked for.
    [[nodiscard]] auto sample_of(const group_id& group) const
        -> std::optional<std::pair<time_point, position>>;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace citronlug
