#pragma once

#include <citronlug/settings.h>
#include <citronlug/types.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace citronlug {

/// Settings of one session instance.
struct session_settings {
    instance_id instance;
    failure_domain domain;
    std::string caller_address; ///< numeric "IP:port", as all addresses here
    std::string ready_address;
    std::string peer_address;
    std::string metrics_address;
    std::string store_address;
    std::string promotion_address;
    duration leave_time = 6s; ///< from the request to leave until the process must have ended
    /// Cores that the process may use; instances with enough of them take the coordinator's duty.
    double processor_share = 1;
    duration limit_window = 5s; ///< span over which the operations of a client account are counted
    int max_callers = 3000;     ///< most open sessions
    int log_lines_per_s = 100;  ///< lines about single requests; lines on changes of state are always written

    auto operator==(const session_settings&) const -> bool = default;
};

/// Reads the settings. Reports all faults at once; unknown fields are faults.
[[nodiscard]] auto parse_session_settings(const std::string& text)
    -> std::variant<session_settings, std::vector<setting_error>>;

} // namespace citronlug
