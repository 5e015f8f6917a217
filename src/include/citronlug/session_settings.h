#pragma once

#include <citronlug/settings.h>
#include <citronlug/types.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citronlug {

/// Whether the load that a backend server takes well is learned from its answers, instead of taken from its
/// number of slots.
enum class server_limit_mode {
    automatic, ///< in large fleets, in groups in which several servers can run the same statement
    on,
    off,
};

template <>
struct name_table<server_limit_mode> {
    static constexpr std::array<std::string_view, 3> names{"auto", "on", "off"};
};

/// Settings of one session instance.
struct session_settings {
    instance_id instance;
    failure_domain domain;
    std::string caller_address; ///< numeric "IP:port", like all addresses below
    std::string ready_address;
    std::string peer_address;
    std::string metrics_address;
    std::string store_address;
    std::string promotion_address;
    duration leave_time = 6s; ///< from the shutdown request until the process must have exited
    /// CPU cores that the process may use; with too few, it waits longer before it acquires the coordinator
    /// lease.
    double processor_share = 1;
    duration limit_window = 5s; ///< window over which the operations of a client account are counted
    int max_callers = 3000;     ///< open connections of callers; further ones are closed at once
    int log_lines_per_s = 100;  ///< limit for lines about single requests; state changes are always logged
    /// Nothing reaches a server of an evacuated failure domain later than this after the store acknowledged
    /// the evacuation; empty: evacuations are not read.
    std::optional<duration> evacuation_limit;
    std::optional<std::uint64_t> memory_mb; ///< of the machine; a process that exceeds it is killed
    std::optional<int> descriptors;         ///< that the process may open
    server_limit_mode server_limits = server_limit_mode::automatic;

    auto operator==(const session_settings&) const -> bool = default;
};

/// Fields that an environment variable may set: `CITRONLUG_` and the name in capitals.
inline constexpr std::array<std::string_view, 3> environment_settings{"evacuation_limit_ms", "memory_mb",
                                                                      "descriptors"};

/// Parses the settings from JSON. `overrides`: values of `environment_settings` by field, which replace those
/// of the text; empty values count as absent. Returns all errors at once; unknown fields are errors.
[[nodiscard]] auto parse_session_settings(const std::string& text,
                                          const std::map<std::string, std::string>& overrides = {})
    -> std::variant<session_settings, std::vector<setting_error>>;

} // namespace citronlug
