#pragma once

#include "commands.h"

#include <ostream>
#include <variant>

namespace citronlug {

/// Reads the arguments; on a fault or a request for help it prints the text and gives the exit code.
[[nodiscard]] auto parse_command_line(int argc, const char* const* argv, std::ostream& out, std::ostream& err)
    -> std::variant<command_line, exit_code>;

/// Token from the file, or from `environment` if no file is given, without white space around it. Empty if
/// there is none.
[[nodiscard]] auto read_token(const command_line& line, const char* environment) -> std::string;

} // namespace citronlug
