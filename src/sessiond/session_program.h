#pragma once

#include "platform.h"

#include <citronlug/session_settings.h>

#include <functional>
#include <string>

namespace citronlug {

/// Runs the program on a platform that outlives the call. Returns the exit code.
using platform_callback = std::function<int(platform&)>;
/// Creates the platform and calls the callback with it. Returns the callback's result.
using platform_runner = std::function<int(const session_settings&, const platform_callback&)>;

/// Handles the command line, settings, signals and event loop of a session instance. Returns the exit code: 2
/// if the command line or the settings are not valid, 1 if the instance could not start.
auto run_session_program(int argc, char** argv, const std::string& default_settings,
                         const platform_runner& with_platform) -> int;

} // namespace citronlug
