#include "database_standin.h"
#include "termination.h"

#include <QCoreApplication>

#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>
#include <fmt/format.h>

using namespace citronlug;
using namespace citronlug::standin;

namespace {

auto milliseconds(double value) -> duration {
    return duration{static_cast<std::int64_t>(value * 1000)};
}

auto read_settings(const cxxopts::ParseResult& given)
    -> std::variant<database_standin_settings, std::string> {
    auto settings = database_standin_settings{};
    settings.members = given["members"].as<std::size_t>();
    if (settings.members < 1) {
        return std::string{"--members must be at least 1"};
    }
    if (given.count("ports") != 0) {
        settings.ports = given["ports"].as<std::vector<std::uint16_t>>();
        if (settings.ports.size() != settings.members) {
            return std::string{"--ports needs one port for each member"};
        }
    } else if (const auto base = given["base-port"].as<std::uint16_t>(); base != 0) {
        for (auto n = std::size_t{0}; n < settings.members; ++n) {
            settings.ports.push_back(static_cast<std::uint16_t>(base + n));
        }
    }
    settings.control_port = given["control-port"].as<std::uint16_t>();
    settings.each.slots = given["slots"].as<int>();
    settings.each.max_connections = given["max-connections"].as<int>();
    settings.each.connect_delay = milliseconds(given["connect-delay-ms"].as<double>());
    settings.each.statement_time = duration{given["statement-us"].as<std::int64_t>()};
    settings.each.lock_wait = milliseconds(given["lock-wait-ms"].as<double>());
    settings.lag = milliseconds(given["lag-ms"].as<double>());
    settings.seed = given["seed"].as<std::uint64_t>();
    if (given.count("schema") != 0) {
        const auto path = given["schema"].as<std::string>();
        auto file = std::ifstream{path};
        auto content = std::stringstream{};
        content << file.rdbuf();
        if (!file) {
            return "cannot read " + path;
        }
        auto schema = parse_schema(content.str());
        if (const auto* error = std::get_if<std::string>(&schema)) {
            return path + ": " + *error;
        }
        settings.schema = std::get<std::vector<sql_statement>>(std::move(schema));
    }
    return settings;
}

} // namespace

auto main(int argc, char** argv) -> int {
    auto options = cxxopts::Options{"citronlug-standin-db", "Test substitute for one database group"};
    options.add_options()("members", "number of members", cxxopts::value<std::size_t>()->default_value("3"))(
        "ports", "ports of the members, separated by commas", cxxopts::value<std::vector<std::uint16_t>>())(
        "base-port", "port of member 0; the others follow; 0: chosen by the system",
        cxxopts::value<std::uint16_t>()->default_value("0"))(
        "control-port", "port of the HTTP control API", cxxopts::value<std::uint16_t>()->default_value("0"))(
        "slots", "statements at once per member", cxxopts::value<int>()->default_value("5"))(
        "max-connections", "connections per member", cxxopts::value<int>()->default_value("40"))(
        "connect-delay-ms", "time to open a connection", cxxopts::value<double>()->default_value("12"))(
        "statement-us", "service time of a statement", cxxopts::value<std::int64_t>()->default_value("400"))(
        "lock-wait-ms", "limit of the wait for a row lock", cxxopts::value<double>()->default_value("1000"))(
        "lag-ms", "replication lag of every member", cxxopts::value<double>()->default_value("0"))(
        "seed", "of the spread of service times and connect delays",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "schema", "file with CREATE TABLE statements", cxxopts::value<std::string>())("help", "this text");
    auto settings = std::variant<database_standin_settings, std::string>{};
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        settings = read_settings(given);
    } catch (const std::exception& error) {
        settings = std::string{error.what()};
    }
    if (const auto* error = std::get_if<std::string>(&settings)) {
        fmt::print(stderr, "citronlug-standin-db: {}\n", *error);
        return 2;
    }
    const auto application = QCoreApplication{argc, argv};
    quit_on_signals();
    auto group = database_standin{std::get<database_standin_settings>(std::move(settings))};
    if (const auto error = group.start()) {
        fmt::print(stderr, "citronlug-standin-db: {}\n", *error);
        return 1;
    }
    auto ports = std::string{};
    for (auto n = std::size_t{0}; n < group.group().size(); ++n) {
        ports += fmt::format("{}{}", n == 0 ? "" : ",", group.member(n).port());
    }
    fmt::print("ready members={} control={}\n", ports, group.control_port());
    std::fflush(stdout);
    return QCoreApplication::exec();
}
