#pragma once

#include <citronlug/request.h>
#include <citronlug/session_protocol.h>

#include <map>
#include <optional>

namespace citronlug {

/// Since when the present run of each instance has been heard. What an instance acknowledged is known to its
/// process only, so a run that ended without a last report takes that knowledge along.
class instance_runs {
public:
    auto on_report(time_point now, const instance_id& instance, incarnation run) -> void;
    /// When the present run was first heard, so that all earlier ones had ended; empty if none was heard.
    [[nodiscard]] auto heard_since(const instance_id& instance) const -> std::optional<time_point>;
    /// When the newest of all runs was first heard.
    [[nodiscard]] auto newest_heard_since() const -> time_point { return newest_heard_since_; }

private:
    struct heard_run {
        incarnation run = 0;
        time_point since;
    };

    std::map<instance_id, heard_run> runs_;
    time_point newest_heard_since_;
};

/// What is known of the acknowledged writes of one group.
///
/// The report of an instance states the newest write that its present run acknowledged. It says nothing about
/// earlier runs of the instance, so it completes the knowledge only if the primary was asked for its position
/// after these had ended: no write that they acknowledged is newer than the answer.
class acknowledged_writes {
public:
    auto on_reported(position newest) -> void;
    /// The primary was at `at` in answer to a request of `asked_at`.
    auto on_primary_position(time_point asked_at, position at, const instance_runs& runs) -> void;
    /// A term begins at `now`, and none of its writes is acknowledged yet. Acknowledged writes of earlier
    /// terms are not newer than `earlier`, or were reported.
    auto begin_term(time_point now, position earlier) -> void;
    /// True if `bound` covers what earlier runs of the instance acknowledged.
    [[nodiscard]] auto covers_earlier_runs(const instance_id& instance, const instance_runs& runs) const
        -> bool;
    /// No known acknowledged write is newer than this position. It may be one that was rolled back.
    [[nodiscard]] auto bound() const -> position { return bound_; }

private:
    position bound_;
    std::optional<time_point> covered_until_; ///< `bound_` covers what was acknowledged before
};

} // namespace citronlug
