#pragma once

#include <citronlug/desired_state.h>

#include <deque>
#include <optional>

namespace citronlug {

/// Position samples of one group's current primary. Each sample contains every write that was acknowledged
/// before its time, so a replica whose log holds the position is at most as old as that time. Not
/// thread-safe.
class position_samples {
public:
    /// The primary reported `at` in response to a request sent at `requested_at`, while this instance was
    /// permitted to use it.
    auto add(time_point requested_at, position at) -> void;
    /// The group has no primary, and `at` is its newest acknowledged position: `at` contains all acknowledged
    /// writes, and no further write is acknowledged until `clear`.
    auto seal(position at) -> void;
    /// Drops all samples, since the log of a new primary may not contain their positions.
    auto clear() -> void;

    /// Position that a replica must have for a read received at `received` that may miss only writes
    /// acknowledged within `max_age` before. Nothing if no sample is recent enough.
    [[nodiscard]] auto required(time_point received, duration max_age) const -> std::optional<position>;
    [[nodiscard]] auto newest() const -> std::optional<position>;
    [[nodiscard]] auto newest_at() const -> std::optional<time_point>;

private:
    struct sample {
        time_point requested_at;
        position at;
    };

    std::deque<sample> samples_; ///< by time
    std::optional<position> sealed_;
};

/// What a replica must have to serve a read: a position recent enough for the route's bound on age, and the
/// session's own last write.
struct read_requirement {
    bool replica_allowed = false; ///< a replica that has `after`, if set, may serve the read
    std::optional<position> after;
};

/// `own_write`: position of the session's last write in this group. A write of an older term is contained in
/// every position of the current term, or was lost with the old primary. `received`: when the read arrived,
/// or the start of its transaction.
[[nodiscard]] auto read_requirement_for(const session_route& route, const position_samples& samples,
                                        const std::optional<position>& own_write, time_point received)
    -> read_requirement;

} // namespace citronlug
