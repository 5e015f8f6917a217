#include "store_standin.h"
#include "termination.h"

#include <QCoreApplication>

#include <cstdio>
#include <exception>
#include <iostream>
#include <optional>

#include <cxxopts.hpp>
#include <fmt/format.h>

using namespace citronlug;
using namespace citronlug::standin;

auto main(int argc, char** argv) -> int {
    auto options = cxxopts::Options{"citronlug-standin-store",
                                    "Test substitute for the platform's object API and instance list"};
    options.add_options()("port", "port; 0: chosen by the system",
                          cxxopts::value<std::uint16_t>()->default_value("0"))(
        "writes-per-s", "object writes a second", cxxopts::value<double>()->default_value("400"))(
        "reads-per-s", "object reads a second", cxxopts::value<double>()->default_value("2000"))(
        "list-lag-ms", "lag of the instance list", cxxopts::value<std::int64_t>()->default_value("2000"))(
        "list-expiry-ms", "time after which an instance must announce itself again",
        cxxopts::value<std::int64_t>()->default_value("10000"))("help", "this text");
    auto settings = store_standin_settings{};
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        settings.port = given["port"].as<std::uint16_t>();
        settings.writes_per_s = given["writes-per-s"].as<double>();
        settings.reads_per_s = given["reads-per-s"].as<double>();
        settings.list_lag = std::chrono::milliseconds{given["list-lag-ms"].as<std::int64_t>()};
        settings.list_expiry = std::chrono::milliseconds{given["list-expiry-ms"].as<std::int64_t>()};
    } catch (const std::exception& error) {
        fmt::print(stderr, "citronlug-standin-store: {}\n", error.what());
        return 2;
    }
    const auto application = QCoreApplication{argc, argv};
    quit_on_signals();
    auto store = store_standin{settings};
    const auto port = store.start();
    if (port == 0) {
        fmt::print(stderr, "citronlug-standin-store: cannot listen on port {}\n", settings.port);
        return 1;
    }
    fmt::print("ready port={}\n", port);
    std::fflush(stdout);
    return QCoreApplication::exec();
}
