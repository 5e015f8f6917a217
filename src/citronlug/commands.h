#pragma once

#include "transport.h"

#include <citronlug/types.h>

#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace citronlug {

/// Exit codes of `citronlug`.
enum class exit_code {
    done = 0,
    failed = 1,       ///< refused, failed, or outcome unknown
    usage = 2,        ///< wrong arguments
    conflict = 3,     ///< another change was made first; nothing was changed
    not_in_force = 4, ///< accepted, but not known to be in force everywhere in time
};

/// Arguments of one command.
struct command_line {
    std::vector<std::string> arguments; ///< positional, for example {"rules", "apply", "shop.rules"}
    std::vector<std::string> servers;
    std::string token_file;
    std::map<std::string, std::string> options; ///< command-specific options that are set
    bool json = false;
    bool wait = false;
    duration wait_time = 6s; ///< limit on waiting for a configuration to come into force
    duration timeout = 10s;  ///< of one API call
};

/// API access and output streams of a command.
struct command_context {
    transport& server;
    std::ostream& out;
    std::ostream& err;
};

/// Runs the command.
[[nodiscard]] auto run_command(const command_line& line, command_context& context) -> exit_code;

/// Runs a `rules` subcommand.
[[nodiscard]] auto run_rules(const command_line& line, command_context& context) -> exit_code;

/// Prints the accepted usage and returns `exit_code::usage`.
[[nodiscard]] auto report_usage(command_context& context, const std::string& message) -> exit_code;
/// Reports a failed call and returns the matching exit code.
[[nodiscard]] auto report_failure(const command_line& line, command_context& context,
                                  const call_result& outcome) -> exit_code;
/// Response body as a JSON object; empty if it is not one.
[[nodiscard]] auto body_of(const call_result& outcome) -> QJsonObject;
auto print_json(command_context& context, const QJsonObject& object) -> void;
/// Prints one entry of the change history.
auto print_change(std::ostream& out, const QJsonObject& change) -> void;
/// Reports an accepted change; with `--wait`, waits until its version is in force everywhere.
[[nodiscard]] auto finish_change(const command_line& line, command_context& context, QJsonObject answer)
    -> exit_code;

} // namespace citronlug
