#pragma once

#include <compare>
#include <cstdint>

namespace citronlug {

/// State of the store that a copy of its records shows. Of two copies, the one with the later basis counts,
/// wherever it came from.
struct list_basis {
    std::uint64_t era = 0;
    std::uint64_t revision = 0; ///< 0: not stated

    auto operator<=>(const list_basis&) const = default;
};

/// Decides which list of servers is in force at an instance, which reads the store and fetches the
/// coordinator's list. The coordinator may have been cut off from the store, so its list can be older than
/// the one read here. Not thread-safe.
class server_list_order {
public:
    /// True if a list with this basis replaces the present one. The first list always does, and so does one
    /// whose basis is not stated, because instances of the previous version state none.
    auto accept(list_basis basis) -> bool;
    /// As `accept`, for a list of this version from the coordinator.
    auto accept_fetched(std::uint64_t version, list_basis basis) -> bool;
    /// True if the coordinator's list of this version was older than the present one, so that fetching it
    /// again is of no use.
    [[nodiscard]] auto was_refused(std::uint64_t version) const -> bool {
        return version == refused_version_;
    }
    [[nodiscard]] auto present() const -> list_basis { return present_; }

private:
    list_basis present_;
    std::uint64_t refused_version_ = 0;
};

} // namespace citronlug
