#pragma once

#include <citronlug/request.h>

#include <optional>
#include <string_view>

namespace citronlug {

inline constexpr std::string_view unique_violation = "23505";

/// True for errors caused by the state of the server (read-only, shutting down, short of resources) or of the
/// connection, not by the statement. The same statement may succeed later or on another server.
[[nodiscard]] inline auto is_transient(std::string_view sqlstate) -> bool {
    return sqlstate == "25006" || sqlstate.starts_with("57P") || sqlstate.starts_with("53") ||
           sqlstate.starts_with("08");
}

/// Parses the log position in the result of `SELECT citronlug_position()`.
[[nodiscard]] auto parse_position(const row_set& rows) -> std::optional<position>;

} // namespace citronlug
