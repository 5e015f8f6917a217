#pragma once

#include <citronlug/plugin.h>
#include <citronlug/types.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace citronlug {

/// A member that may serve a read.
struct read_candidate {
    member_id member;
    bool primary = false;
    bool eligible = false;    ///< known to satisfy the session's position and the accepted age
    bool available = false;   ///< has a free slot and an idle connection
    bool same_domain = false; ///< in the failure domain of the entry
    int in_flight = 0;        ///< statements running on it
    duration data_age{};      ///< upper bound, valid if eligible
};

/// Chooses the member for a read that accepts stale data. Plug-ins: `evidence`, `primary`.
class read_policy {
public:
    read_policy() = default;
    read_policy(const read_policy&) = delete;
    auto operator=(const read_policy&) -> read_policy& = delete;
    virtual ~read_policy() = default;

    /// Index of an eligible and available candidate; nothing if the read has to wait.
    [[nodiscard]] virtual auto choose(const std::vector<read_candidate>& candidates) const
        -> std::optional<std::size_t> = 0;
};

} // namespace citronlug
