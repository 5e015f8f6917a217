#include "session_program.h"

#include "epoll_dispatcher.h"
#include "session_daemon.h"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <cctype>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <sodium.h>
#include <sys/resource.h>
#include <unistd.h>

namespace citronlug {

namespace {

/// Interval between checks of the settings file, which may change without a signal.
constexpr auto settings_check_ms = 1000;

int signal_pipe[2] = {-1, -1};

extern "C" void forward_signal(int number) {
    const auto byte = static_cast<char>(number);
    [[maybe_unused]] const auto n = write(signal_pipe[1], &byte, 1);
}

/// Signals from now on wait in the pipe until the event loop runs. Their default action would end a process
/// that is still starting.
auto catch_signals() -> bool {
    if (pipe(signal_pipe) != 0) {
        std::cerr << "cannot create a pipe for signals\n";
        return false;
    }
    for (const auto number : {SIGTERM, SIGINT, SIGHUP}) {
        std::signal(number, forward_signal);
    }
    std::signal(SIGPIPE, SIG_IGN);
    return true;
}

/// Raises the soft limit of file descriptors, often 1024, because each connection needs one.
auto raise_descriptor_limit() -> void {
    auto limit = rlimit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

auto read_file(const std::string& path) -> std::optional<std::string> {
    auto file = std::ifstream{path};
    if (!file) {
        return std::nullopt;
    }
    auto text = std::stringstream{};
    text << file.rdbuf();
    return text.str();
}

/// Values of settings that the environment states.
auto read_environment() -> std::map<std::string, std::string> {
    auto found = std::map<std::string, std::string>{};
    for (const auto field : environment_settings) {
        auto name = std::string{"CITRONLUG_"};
        for (const auto it : field) {
            name += static_cast<char>(std::toupper(static_cast<unsigned char>(it)));
        }
        if (const auto* value = std::getenv(name.c_str())) {
            found.emplace(field, value);
        }
    }
    return found;
}

auto read_settings(const std::string& path) -> std::optional<session_settings> {
    const auto text = read_file(path);
    if (!text) {
        std::cerr << fmt::format("cannot read the settings file \"{}\"\n", path);
        return std::nullopt;
    }
    auto parsed = parse_session_settings(*text, read_environment());
    if (const auto* errors = std::get_if<std::vector<setting_error>>(&parsed)) {
        for (const auto& it : *errors) {
            std::cerr << format_error(it) << '\n';
        }
        return std::nullopt;
    }
    return std::get<session_settings>(std::move(parsed));
}

/// Runs the event loop; handles signals and changes of the settings file. Returns the exit code.
auto run_instance(session_daemon& instance, const std::string& settings_path) -> int {
    if (const auto error = instance.start()) {
        std::cerr << *error << '\n';
        return 1;
    }
    auto loaded_text = read_file(settings_path);
    const auto reload = [&](bool forced) {
        auto text = read_file(settings_path);
        if (!text || (!forced && text == loaded_text)) {
            return;
        }
        loaded_text = std::move(text);
        if (const auto settings = read_settings(settings_path)) {
            instance.reload(*settings);
        }
    };
    auto signals = QSocketNotifier{signal_pipe[0], QSocketNotifier::Read};
    QObject::connect(&signals, &QSocketNotifier::activated, &instance, [&] {
        auto number = char{};
        if (read(signal_pipe[0], &number, 1) != 1) {
            return;
        }
        if (number == SIGHUP) {
            reload(true);
        } else {
            instance.leave([] { QCoreApplication::quit(); });
        }
    });
    auto check = QTimer{};
    QObject::connect(&check, &QTimer::timeout, &instance, [&] { reload(false); });
    check.start(settings_check_ms);
    return QCoreApplication::exec();
}

} // namespace

auto run_session_program(int argc, char** argv, const std::string& default_settings,
                         const platform_runner& with_platform) -> int {
    if (!catch_signals()) {
        return 1;
    }
    auto options = cxxopts::Options{argv[0], "One session instance of the database proxy"};
    options.add_options()("settings", "settings file (JSON)",
                          cxxopts::value<std::string>()->default_value(default_settings))(
        "check", "check the settings and exit")("help", "print this text");
    auto settings_path = std::string{};
    auto check_only = false;
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        settings_path = arguments["settings"].as<std::string>();
        check_only = arguments.count("check") > 0;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    const auto settings = read_settings(settings_path);
    if (!settings) {
        return 2;
    }
    if (check_only) {
        std::cout << "the settings are valid\n";
        return 0;
    }
    if (sodium_init() < 0) {
        std::cerr << "the system's random source is not available\n";
        return 1;
    }
    raise_descriptor_limit();
    QCoreApplication::setEventDispatcher(new epoll_dispatcher);
    auto application = QCoreApplication{argc, argv};
    return with_platform(*settings, [&](platform& on) {
        auto instance = session_daemon{*settings, on};
        return run_instance(instance, settings_path);
    });
}

} // namespace citronlug
