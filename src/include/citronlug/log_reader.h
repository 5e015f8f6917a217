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

/// Parses a line of the structured log; empty if `text` is not one.
[[nodiscard]] auto read_log_line(const std::string& text) -> std::optional<log_line>;

/// Selects the lines that explain the outcome of a request, ordered by time: lines about the request itself,
/// state changes of its instance and of its backend server shortly before, and the steps of a primary change
/// logged by the coordinator. `lines` may come from several instances. Empty if no line refers to the
/// request.
[[nodiscard]] auto explain_request(const std::vector<log_line>& lines, const std::string& request)
    -> std::vector<log_line>;

} // namespace citronlug
