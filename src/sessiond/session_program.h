#pragma once

#include "platform.h"

#include <citronlug/session_settings.h>

#include <functional>
#include <string>

namespace citronlug {

/// Runs the program on a platform, which lives while the function runs.
using platform_callback = std::function<int(platform&)>;
using platform_runner = std::function<int(const session_settings&, const platform_callback&)>;

/// Command line, settings, signals and event loop of a session instance. Exit code 2: the command line or the
/// settings are not valid; 1: the instance could not start.
auto run_session_program(int argc, char** argv, const std::string& default_settings,
                         const platform_runner& with_platform) -> int;

} // namespace citronlug
