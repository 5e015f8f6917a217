#include "checker.h"
#include "cluster.h"
#include "history.h"
#include "load.h"
#include "overhead.h"
#include "profile.h"
#include "report.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <thread>

using namespace citronlug;
using namespace citronlug::bench;

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

auto to_duration(double seconds) -> duration {
    return duration{static_cast<std::int64_t>(seconds * 1e6)};
}

auto make_parser() -> cxxopts::Options {
    auto parser = cxxopts::Options{"citronlug-bench", "Load and experiment tool for citronlug on loopback"};
    parser.add_options()("mode", "load, prepare, overhead, throughput, idle or usage",
                         cxxopts::value<std::string>()->default_value("load"))(
        "profile", "profile file (JSON)", cxxopts::value<std::string>())(
        "cluster", "file that names the running processes (JSON)", cxxopts::value<std::string>())(
        "seconds", "length of the run", cxxopts::value<double>()->default_value("20"))(
        "seed", "seed of arrivals and choices", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "scale", "factor on all offered loads", cxxopts::value<double>()->default_value("1"))(
        "fault", "kind@seconds+length[:amount][/database], repeatable",
        cxxopts::value<std::vector<std::string>>())("overload", "client account that sends more",
                                                    cxxopts::value<std::string>())(
        "factor", "factor of the overload", cxxopts::value<double>()->default_value("8"))(
        "concurrency", "requests in flight for throughput",
        cxxopts::value<std::size_t>()->default_value("64"))("rate", "statements per second for overhead",
                                                            cxxopts::value<double>()->default_value("200"))(
        "json", "write the result to this file",
        cxxopts::value<std::string>())("progress", "show progress on the terminal")("help", "show this text");
    return parser;
}

auto write_json(const cxxopts::ParseResult& args, const QJsonObject& found) -> void {
    if (args.count("json") == 0) {
        return;
    }
    auto file = QFile{QString::fromStdString(args["json"].as<std::string>())};
    if (file.open(QIODevice::WriteOnly)) {
        file.write(QJsonDocument{found}.toJson());
    }
}

auto report_failure(const failure& error) -> int {
    fmt::print(stderr, "citronlug-bench: {}\n", error.message);
    return exit_failed;
}

auto print_check(const check_report& checked) -> void {
    constexpr std::size_t shown = 10;
    fmt::print("violations: {}", checked.violations.size());
    for (const auto& [kind, cases] : checked.examined) {
        fmt::print("; {} {} of {}", name_of(kind), checked.count(kind), cases);
    }
    fmt::print("; lost with their primary: {}\n", checked.lost_with_primary);
    for (std::size_t n = 0; n < std::min(shown, checked.violations.size()); ++n) {
        const auto& it = checked.violations[n];
        fmt::print("  {} {} {} {}: {}\n", name_of(it.kind), it.database.value, it.account.value, it.id.value,
                   it.detail);
    }
}

auto run_load_mode(const cxxopts::ParseResult& args, const profile& plan, const cluster& fleet) -> int {
    auto options = load_options{};
    options.length = to_duration(args["seconds"].as<double>());
    options.seed = args["seed"].as<std::uint64_t>();
    options.scale = args["scale"].as<double>();
    options.progress = args.count("progress") > 0;
    if (args.count("fault") > 0) {
        for (const auto& it : args["fault"].as<std::vector<std::string>>()) {
            const auto parsed = parse_fault(it);
            if (!succeeded(parsed)) {
                return report_failure(std::get<failure>(parsed));
            }
            options.faults.push_back(std::get<fault>(parsed));
        }
    }
    auto overloading = std::optional<account_id>{};
    if (args.count("overload") > 0) {
        overloading = account_id{args["overload"].as<std::string>()};
        options.heavy = overload{*overloading, args["factor"].as<double>(), duration{}, options.length};
    }
    const auto outcome = run_load(plan, fleet, options);
    const auto found = measure(outcome, fleet);
    fmt::print("{}", format_table(found, overloading));
    const auto history = collect_history(plan, fleet, outcome);
    if (!succeeded(history)) {
        return report_failure(std::get<failure>(history));
    }
    const auto checked = check_history(std::get<std::vector<history_record>>(history));
    print_check(checked);
    auto json = to_json(found, overloading);
    json["violations"] = static_cast<qint64>(checked.violations.size());
    write_json(args, json);
    return checked.violations.empty() ? 0 : exit_failed;
}

auto run_overhead_mode(const cxxopts::ParseResult& args, const cluster& fleet) -> int {
    const auto measured =
        measure_overhead(fleet, args["rate"].as<double>(), to_duration(args["seconds"].as<double>()));
    if (!succeeded(measured)) {
        return report_failure(std::get<failure>(measured));
    }
    const auto& found = std::get<overhead_result>(measured);
    const auto p50_direct = found.direct.quantile(0.5).count();
    const auto p99_direct = found.direct.quantile(0.99).count();
    const auto p50_proxied = found.proxied.quantile(0.5).count();
    const auto p99_proxied = found.proxied.quantile(0.99).count();
    fmt::print(
        "direct p50 {} us, p99 {} us; through one instance p50 {} us, p99 {} us; added p50 {} us, p99 {} us; "
        "{} calls, {} failures\n",
        p50_direct, p99_direct, p50_proxied, p99_proxied, p50_proxied - p50_direct, p99_proxied - p99_direct,
        found.direct.total(), found.failures);
    write_json(args, QJsonObject{{"added_p50_us", static_cast<qint64>(p50_proxied - p50_direct)},
                                 {"added_p99_us", static_cast<qint64>(p99_proxied - p99_direct)},
                                 {"failures", static_cast<qint64>(found.failures)}});
    return found.failures == 0 ? 0 : exit_failed;
}

auto run_throughput_mode(const cxxopts::ParseResult& args, const cluster& fleet) -> int {
    const auto found = measure_throughput(fleet, args["concurrency"].as<std::size_t>(),
                                          to_duration(args["seconds"].as<double>()));
    fmt::print(
        "{:.0f} statements/s through one instance, {:.2f} cores of it, p50 {} us, p99 {} us, {} failures\n",
        found.statements_per_second, found.core_share, found.latency.quantile(0.5).count(),
        found.latency.quantile(0.99).count(), found.failures);
    write_json(args, QJsonObject{{"statements_per_second", found.statements_per_second},
                                 {"core_share", found.core_share},
                                 {"failures", static_cast<qint64>(found.failures)}});
    return found.failures == 0 ? 0 : exit_failed;
}

auto run_idle_mode(const cxxopts::ParseResult& args, const cluster& fleet) -> int {
    const auto wanted = args["concurrency"].as<std::size_t>();
    const auto found = measure_idle_connections(fleet, wanted, to_duration(args["seconds"].as<double>()));
    const auto per_connection = static_cast<double>(found.bytes_after - found.bytes_before) /
                                static_cast<double>(std::max<std::size_t>(found.opened, 1));
    fmt::print("{} idle connections: {:.1f} KB each, {:.2f}% of a core in all\n", found.opened,
               per_connection / 1000, found.core_share * 100);
    return found.opened == wanted ? 0 : exit_failed;
}

/// Processor share and memory of each instance over the given time.
auto run_usage_mode(const cxxopts::ParseResult& args, const cluster& fleet) -> int {
    const auto seconds = args["seconds"].as<double>();
    auto before = std::vector<duration>{};
    for (const auto& it : fleet.instances) {
        before.push_back(processor_time(it.pid));
    }
    std::this_thread::sleep_for(to_duration(seconds));
    auto entries = QJsonArray{};
    for (std::size_t n = 0; n < fleet.instances.size(); ++n) {
        const auto pid = fleet.instances[n].pid;
        const auto share = static_cast<double>((processor_time(pid) - before[n]).count()) * 1e-6 / seconds;
        fmt::print("{:<12} {:.2f}% of a core, {:.1f} MB resident\n", fleet.instances[n].id.value, share * 100,
                   static_cast<double>(resident_bytes(pid)) / 1e6);
        entries.append(QJsonObject{{"instance", QString::fromStdString(fleet.instances[n].id.value)},
                                   {"core_share", share},
                                   {"resident_bytes", static_cast<qint64>(resident_bytes(pid))}});
    }
    write_json(args, QJsonObject{{"instances", entries}});
    return 0;
}

auto run_mode(const cxxopts::ParseResult& args) -> int {
    const auto fleet = read_cluster(args["cluster"].as<std::string>());
    if (!succeeded(fleet)) {
        return report_failure(std::get<failure>(fleet));
    }
    const auto& targets = std::get<cluster>(fleet);
    const auto mode = args["mode"].as<std::string>();
    if (mode == "overhead") {
        return run_overhead_mode(args, targets);
    }
    if (mode == "throughput") {
        return run_throughput_mode(args, targets);
    }
    if (mode == "idle") {
        return run_idle_mode(args, targets);
    }
    if (mode == "usage") {
        return run_usage_mode(args, targets);
    }
    const auto plan = read_profile(args["profile"].as<std::string>());
    if (!succeeded(plan)) {
        return report_failure(std::get<failure>(plan));
    }
    if (mode == "prepare") {
        const auto prepared = prepare_rows(std::get<profile>(plan), targets);
        return succeeded(prepared) ? 0 : report_failure(std::get<failure>(prepared));
    }
    return run_load_mode(args, std::get<profile>(plan), targets);
}

} // namespace

auto main(int argc, char** argv) -> int {
    auto parser = make_parser();
    try {
        const auto args = parser.parse(argc, argv);
        if (args.count("help") > 0) {
            fmt::print("{}", parser.help());
            return 0;
        }
        if (args.count("cluster") == 0) {
            fmt::print(stderr, "citronlug-bench: --cluster is required\n");
            return exit_usage;
        }
        return run_mode(args);
    } catch (const cxxopts::exceptions::exception& error) {
        fmt::print(stderr, "citronlug-bench: {}\n", error.what());
        return exit_usage;
    }
}
