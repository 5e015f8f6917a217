#pragma once

#include <citronlug/coordination.h>

#include <optional>
#include <set>
#include <vector>

namespace citronlug {

/// Decides which servers stand in the primary record of a group that replicates synchronously as those that
/// may have confirmed acknowledged writes. The entry of a server that is down expires, and a later
/// coordinator would otherwise not know that it has to be asked. Not thread-safe.
class confirming_servers {
public:
    /// Newest position that the primary stated.
    struct primary_position {
        time_point asked_at;
        position at;
    };

    /// The servers to record. `registered`: all registered servers of the group; `replicas`: newest positions
    /// of those that are not the primary.
    ///
    /// A registered server is added. One that is not registered any more is dropped once a replica has what
    /// the primary had after it was missed, so that no acknowledged write rests on it alone.
    [[nodiscard]] auto next(time_point now, const primary_record& record,
                            const std::set<server_id>& registered,
                            const std::optional<primary_position>& primary,
                            const std::vector<position>& replicas) -> std::vector<server_id>;
    /// True if a recorded server is not registered, so that the replicas have to be asked for their
    /// positions.
    [[nodiscard]] auto has_missing() const -> bool { return !missing_.empty(); }

private:
    std::set<server_id> missing_;
    time_point missing_since_;          ///< when the last of them was first missed
    std::optional<position> confirmed_; ///< they can have confirmed no newer write
};

} // namespace citronlug
