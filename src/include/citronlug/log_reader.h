#pragma once

#include <citronlug/types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronlug {

/// One line of the structured log.
struct log_line {
    std::int64_t wall_us = 0; ///< Unix time in microseconds, by the clock of the instance
    instance_id instance;
    std::string event;
    std::map<std::string, std::string> fields;
    std::string text; ///< the whole line
};

/// Nothing if the text is not a line of the log.
[[nodiscard]] auto read_log_line(const std::string& text) -> std::optional<log_line>;

/// Lines of several instances that explain how a request ended, by time: its own, and from shortly before
/// what its instance lost, learned or gave up, losses of its server, and the steps of a change of its primary
/// at the coordinator. Empty if no line names the request.
[[nodiscard]] auto explain_request(const std::vector<log_line>& lines, const std::string& request)
    -> std::vector<log_line>;

} // namespace citronlug
