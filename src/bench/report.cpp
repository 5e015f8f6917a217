#include "report.h"

#include <QJsonArray>

#include <fmt/format.h>

#include <algorithm>

namespace citronlug::bench {

namespace {

constexpr duration gap_search_time = 15s;

auto is_read(operation_kind kind) -> bool {
    return kind == operation_kind::aged_read || kind == operation_kind::session_read;
}

auto milliseconds(duration value) -> double {
    return static_cast<double>(value.count()) / 1000.0;
}

/// Times of acknowledged writes per database, ascending.
auto write_times(const std::vector<operation_record>& records, std::size_t database)
    -> std::vector<duration> {
    auto out = std::vector<duration>{};
    for (const auto& it : records) {
        if (it.database == database && !is_read(it.kind) && it.outcome == verdict::done) {
            out.push_back(it.answered);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

auto longest_gap(const std::vector<duration>& times, duration from, duration end) -> duration {
    auto longest = duration{};
    auto previous = from;
    for (const auto it : times) {
        if (it < from) {
            continue;
        }
        longest = std::max(longest, it - previous);
        previous = it;
        if (it > from + gap_search_time) {
            return longest;
        }
    }
    return previous < end ? std::max(longest, std::min(end, from + gap_search_time) - previous) : longest;
}

} // namespace

auto measures::worst_account(const std::optional<account_id>& except) const -> const account_measure* {
    const account_measure* worst = nullptr;
    for (const auto& [account, it] : accounts) {
        if (account == except || account.value == "ticker" || it.done == 0) {
            continue;
        }
        if (worst == nullptr || it.latency.quantile(0.99) > worst->latency.quantile(0.99)) {
            worst = &it;
        }
    }
    return worst;
}

auto measure(const load_outcome& outcome, const cluster& fleet) -> measures {
    auto out = measures{};
    auto last = duration{};
    for (const auto& it : outcome.records) {
        auto& account = out.accounts[it.account];
        account.account = it.account;
        last = std::max(last, it.intended);
        account.arrivals += it.attempt == 1 ? 1 : 0;
        if (!it.code.empty()) {
            ++out.codes[it.code];
        }
        account.within_rate += it.attempt == 1 && it.within_rate ? 1 : 0;
        if (it.outcome == verdict::not_run) {
            ++account.not_run;
        } else if (it.outcome == verdict::unknown) {
            ++account.unknown;
        } else {
            ++account.done;
            const auto latency = it.answered - it.intended;
            account.latency.add(latency);
            (is_read(it.kind) ? out.reads_latency : out.writes_latency).add(latency);
            if (is_read(it.kind)) {
                ++out.reads;
                out.replica_reads += it.from_replica ? 1 : 0;
            }
        }
    }
    for (auto& [id, account] : out.accounts) {
        const auto served = account.done + account.unknown;
        const auto missing = account.within_rate > served ? account.within_rate - served : 0;
        account.wrongful_refusals = std::min(account.not_run, missing);
        out.within_rate += account.within_rate;
        out.wrongful_refusals += account.wrongful_refusals;
    }
    for (const auto& note : outcome.faults) {
        const auto times = write_times(outcome.records, note.what.database);
        out.gaps.push_back({std::string{name_of(note.what.kind)},
                            fleet.databases[note.what.database].id.value,
                            longest_gap(times, note.injected, last), note.succeeded});
    }
    return out;
}

auto format_table(const measures& found, const std::optional<account_id>& overloading) -> std::string {
    auto out = std::string{};
    const auto line = [&out](const std::string& text) {
        out += text + "\n";
    };
    line(fmt::format("{:<24} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9}", "client account", "arrivals", "done",
                     "not run", "unknown", "wrongful", "p50 ms", "p99 ms"));
    for (const auto& [account, it] : found.accounts) {
        line(fmt::format("{:<24} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9.2f} {:>9.2f}", account.value, it.arrivals,
                         it.done, it.not_run, it.unknown, it.wrongful_refusals,
                         milliseconds(it.latency.quantile(0.5)), milliseconds(it.latency.quantile(0.99))));
    }
    line(fmt::format("reads on replicas: {:.1f}% of {}", found.replica_share() * 100, found.reads));
    line(fmt::format("wrongful refusals: {:.3f}% of {}", found.wrongful_share() * 100, found.within_rate));
    line(fmt::format("reads  p50 {:.2f} ms, p99 {:.2f} ms", milliseconds(found.reads_latency.quantile(0.5)),
                     milliseconds(found.reads_latency.quantile(0.99))));
    line(fmt::format("writes p50 {:.2f} ms, p99 {:.2f} ms", milliseconds(found.writes_latency.quantile(0.5)),
                     milliseconds(found.writes_latency.quantile(0.99))));
    if (const auto* worst = found.worst_account(overloading); worst != nullptr) {
        line(fmt::format("worst-served client account: {}, p99 {:.2f} ms", worst->account.value,
                         milliseconds(worst->latency.quantile(0.99))));
    }
    for (const auto& [code, n] : found.codes) {
        line(fmt::format("answers with {}: {}", code, n));
    }
    for (const auto& it : found.gaps) {
        line(fmt::format("gap of acknowledged writes after {} on {}: {:.2f} s{}", it.fault, it.database,
                         milliseconds(it.gap) / 1000, it.injected ? "" : " (fault NOT injected)"));
    }
    return out;
}

auto to_json(const measures& found, const std::optional<account_id>& overloading) -> QJsonObject {
    auto out = QJsonObject{};
    out["replica_share"] = found.replica_share();
    out["reads"] = static_cast<qint64>(found.reads);
    out["wrongful_share"] = found.wrongful_share();
    out["wrongful_refusals"] = static_cast<qint64>(found.wrongful_refusals);
    out["reads_p50_ms"] = milliseconds(found.reads_latency.quantile(0.5));
    out["reads_p99_ms"] = milliseconds(found.reads_latency.quantile(0.99));
    out["writes_p50_ms"] = milliseconds(found.writes_latency.quantile(0.5));
    out["writes_p99_ms"] = milliseconds(found.writes_latency.quantile(0.99));
    if (const auto* worst = found.worst_account(overloading); worst != nullptr) {
        out["worst_account"] = QString::fromStdString(worst->account.value);
        out["worst_account_p99_ms"] = milliseconds(worst->latency.quantile(0.99));
    }
    auto gaps = QJsonArray{};
    for (const auto& it : found.gaps) {
        auto entry = QJsonObject{};
        entry["fault"] = QString::fromStdString(it.fault);
        entry["database"] = QString::fromStdString(it.database);
        entry["gap_ms"] = milliseconds(it.gap);
        entry["injected"] = it.injected;
        gaps.append(entry);
    }
    out["failover_gaps"] = gaps;
    auto codes = QJsonObject{};
    for (const auto& [code, n] : found.codes) {
        codes[QString::fromStdString(code)] = static_cast<qint64>(n);
    }
    out["codes"] = codes;
    return out;
}

} // namespace citronlug::bench
