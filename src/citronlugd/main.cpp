#include "daemon.h"
#include "epoll_dispatcher.h"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <sodium.h>
#include <sys/resource.h>
#include <unistd.h>

namespace {

int signal_pipe[2] = {-1, -1};

extern "C" void on_signal(int /*number*/) {
    const auto byte = char{1};
    [[maybe_unused]] const auto n = write(signal_pipe[1], &byte, 1);
}

/// Raises the soft limit, often 1024, to the hard limit: each connection needs a descriptor.
auto raise_descriptor_limit() -> void {
    auto limit = rlimit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

auto read_settings(const std::string& path) -> std::optional<citronlug::process_settings> {
    auto file = std::ifstream{path};
    if (!file) {
        std::cerr << fmt::format("cannot read the settings file {}\n", path);
        return std::nullopt;
    }
    auto text = std::stringstream{};
    text << file.rdbuf();
    auto parsed = citronlug::parse_settings(text.str());
    if (const auto* errors = std::get_if<std::vector<citronlug::setting_error>>(&parsed)) {
        for (const auto& it : *errors) {
            std::cerr << citronlug::format_error(it) << '\n';
        }
        return std::nullopt;
    }
    return std::get<citronlug::process_settings>(std::move(parsed));
}

} // namespace

auto main(int argc, char** argv) -> int {
    auto options = cxxopts::Options{"citronlugd", "One instance of the database proxy"};
    options.add_options()("settings", "settings file (JSON)", cxxopts::value<std::string>())(
        "check", "check the settings and exit")("help", "print this text");
    auto settings_path = std::string{};
    auto check_only = false;
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        if (arguments.count("settings") == 0) {
            std::cerr << "--settings FILE is required\n";
            return 2;
        }
        settings_path = arguments["settings"].as<std::string>();
        check_only = arguments.count("check") > 0;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    auto settings = read_settings(settings_path);
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
    QCoreApplication::setEventDispatcher(new citronlug::epoll_dispatcher);
    auto application = QCoreApplication{argc, argv};
    auto instance = citronlug::daemon{std::move(*settings)};
    if (const auto error = instance.start()) {
        std::cerr << *error << '\n';
        return 1;
    }
    if (pipe(signal_pipe) != 0) {
        return 1;
    }
    auto signal_notifier = QSocketNotifier{signal_pipe[0], QSocketNotifier::Read};
    QObject::connect(&signal_notifier, &QSocketNotifier::activated, &application, [&] {
        signal_notifier.setEnabled(false);
        instance.leave([] { QCoreApplication::quit(); });
    });
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    std::signal(SIGPIPE, SIG_IGN);
    return QCoreApplication::exec();
}
