#pragma once

#include "commands.h"

#include <ostream>
#include <variant>

namespace citronlug {

/// Parses the arguments. On wrong arguments or `--help`, prints a message and returns the exit code.
[[nodiscard]] auto parse_command_line(int argc, const char* const* argv, std::ostream& out, std::ostream& err)
    -> std::variant<command_line, exit_code>;

/// Administration token from the token file, or `environment` if no file is set, trimmed of whitespace. Empty
/// if there is none.
[[nodiscard]] auto read_token(const command_line& line, const char* environment) -> std::string;

} // namespace citronlug
