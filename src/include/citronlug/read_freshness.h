#pragma once

#include <citronlug/desired_state.h>

#include <deque>
#include <optional>

namespace citronlug {

/// Positions of one group's true primary, each with a time before which every acknowledged write is contained
/// in it. A replica whose log holds such a position is at most as old as that time. Not thread-safe.
class position_samples {
public:
    /// The primary stated `at` in an answer to a message that was sent at `requested_at`, while this instance
    /// was permitted to use it.
    auto add(time_point requested_at, position at) -> void;
    /// All writes acknowledged until now are contained in `at`, and no others will be acknowledged until
    /// `clear`: the group has no primary, and this is the newest position that was acknowledged.
    auto seal(position at) -> void;
    /// A new primary has a log of its own; older positions may not be part of it.
    auto clear() -> void;

    /// Position that a read which arrived at `received` must find if it may miss writes acknowledged within
    /// `max_age` before; empty without evidence of that age.
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

/// What a read must find in a replica's log: evidence for the route's bound on age, and the session's own
/// last write.
struct read_requirement {
    bool replica_allowed = false; ///< a replica can serve it, with `after` if that is set
    std::optional<position> after;
};

/// `own_write`: position of the session's last write in this group. A write of an older term is contained in
/// every position of the present term, or was lost with the old primary. `received`: arrival of the read, or
/// of the beginning of its transaction.
[[nodiscard]] auto read_requirement_for(const session_route& route, const position_samples& samples,
                                        const std::optional<position>& own_write, time_point received)
    -> read_requirement;

} // namespace citronlug
