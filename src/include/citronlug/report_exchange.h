#pragma once

#include <citronlug/coordination.h>

#include <map>
#include <optional>
#include <vector>

namespace citronlug {

/// Both sides of the reports between an instance and the coordinator. A report carries only the groups whose
/// state changed since the last report that the coordinator confirmed, and an answer only the primary records
/// and positions that the instance does not have, so that the traffic does not grow with the number of groups
/// while nothing changes. Each side detects that the other does not have the state that a message builds on,
/// and the complete state follows. Not thread-safe.

/// Instance's side.
class report_sender {
public:
    /// Returns the report to send now: `complete`, reduced to what changed. The last report must have been
    /// answered or have failed.
    [[nodiscard]] auto reduce(time_point now, instance_report complete) -> instance_report;
    /// Adds to the answer to the last report what it leaves out. The next report will be complete if the
    /// answer asks for that.
    [[nodiscard]] auto expand(report_answer answer) -> report_answer;
    /// The last report has no answer, or the answer is not the coordinator's. The coordinator may have it, so
    /// the next report will be complete.
    auto on_failure() -> void;

private:
    /// State of a group as last reported, with points in time instead of ages.
    struct reported_group {
        std::uint64_t released_generation = 0;
        std::optional<position> acknowledged;
        std::optional<time_point> answered_at;
        std::optional<time_point> failed_at;
        bool rejected_as_replica = false;
    };

    [[nodiscard]] static auto has_changed(time_point now, const reported_group& before,
                                          const reported_group& after) -> bool;

    std::uint64_t number_ = 0;    ///< of the last report
    std::uint64_t confirmed_ = 0; ///< the last report, if the coordinator has it; 0: send a complete report
    std::map<group_id, reported_group> reported_;
    std::uint64_t records_version_ = 0; ///< of `records_`; 0: none
    std::vector<group_status> records_; ///< in the coordinator's order, without positions
    std::uint64_t samples_number_ = 0;  ///< of the positions received for these records
};

/// Coordinator's side.
class report_receiver {
public:
    /// Returns the complete report that `report` describes; empty if it is older than one received before, or
    /// if it builds on a report that this side does not have.
    [[nodiscard]] auto complete(time_point now, const instance_report& report)
        -> std::optional<instance_report>;
    /// Adds to the answer to `report` those of `groups` that the instance lacks. `groups`: the present state,
    /// always in the same order. `random_version`: names this state if it is new.
    auto add_groups(time_point now, const std::vector<group_status>& groups, std::uint64_t random_version,
                    const instance_report& report, report_answer& answer) -> void;
    /// Forgets all reports and versions, when this instance begins to coordinate.
    auto reset() -> void;

private:
    struct received_report {
        time_point at;
        instance_report report;
    };

    struct published_group {
        group_id group;
        primary_record record;
        std::optional<time_point> sampled_at;
        std::uint64_t sample_number = 0; ///< value of `samples_number_` when the position was received
    };

    std::map<instance_id, received_report> reports_;
    std::uint64_t records_version_ = 0;
    std::vector<published_group> records_;
    std::uint64_t samples_number_ = 0;
};

} // namespace citronlug
