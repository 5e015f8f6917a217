#pragma once

namespace citronlug::standin {

/// Ends the Qt event loop of the program on SIGTERM and SIGINT. Call it after the application object was made
/// and before any thread is started.
auto quit_on_signals() -> void;

} // namespace citronlug::standin
