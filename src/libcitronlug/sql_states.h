#pragma once

#include <citronlug/request.h>

#include <optional>
#include <string_view>

namespace citronlug {

inline constexpr std::string_view unique_violation = "23505";

/// Errors of the server's condition, not of the statement: it is read-only or shutting down, or has too few
/// resources. The same statement may succeed later or elsewhere.
[[nodiscard]] inline auto is_transient(std::string_view sqlstate) -> bool {
    return sqlstate == "25006" || sqlstate.starts_with("57P") || sqlstate.starts_with("53") ||
           sqlstate.starts_with("08");
}

/// Position in the result of `SELECT citronlug_position()`.
[[nodiscard]] auto parse_position(const row_set& rows) -> std::optional<position>;

} // namespace citronlug
