#pragma once

#include "cluster.h"
#include "http_client.h"
#include "load.h"

namespace citronlug::bench {

/// Injects and heals faults through the stand-ins' control interfaces and by signals to the instances.
class fault_injector {
public:
    fault_injector(const cluster& fleet, http_client& http)
        : fleet_{fleet}
        , http_{http} {}

    /// Returns the note with `succeeded` set if the stand-in or process took the fault.
    auto inject(const fault& what, duration now) -> fault_note;
    auto heal(fault_note& note, duration now) -> void;
    /// Index of the present primary of the database; the highest term wins.
    [[nodiscard]] auto primary_of(std::size_t database) -> std::optional<std::size_t>;

private:
    auto post_fault(const std::string& url, const std::string& body) -> bool;
    [[nodiscard]] auto holder_of(std::size_t database) -> const instance_target*;

    const cluster& fleet_;
    http_client& http_;
    std::map<std::size_t, std::size_t> faulty_member_; ///< by database
    std::map<std::size_t, int> faulty_pid_;
};

} // namespace citronlug::bench
