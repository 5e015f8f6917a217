#pragma once

#include "latency.h"
#include "load.h"

#include <QJsonObject>

#include <map>
#include <string>
#include <vector>

namespace citronlug::bench {

/// How one client account fared.
struct account_measure {
    account_id account;
    std::uint64_t arrivals = 0;
    std::uint64_t done = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t within_rate = 0; ///< arrivals that an ideal bucket of the account's rate admits
    /// Refusals by which the account got less than its rate: an account above its rate is refused as often as
    /// it exceeds it, whichever of its requests that meets.
    std::uint64_t wrongful_refusals = 0;
    latency_histogram latency; ///< of done operations, from the intended start
};

/// Longest time without an acknowledged write on a database after a fault.
struct failover_gap {
    std::string fault;
    std::string database;
    duration gap{};
    bool injected = false;
};

struct measures {
    std::uint64_t reads = 0; ///< answered reads that a replica may serve
    std::uint64_t replica_reads = 0;
    latency_histogram reads_latency;
    latency_histogram writes_latency;
    std::map<account_id, account_measure> accounts;
    std::map<std::string, std::uint64_t> codes; ///< failure codes
    std::vector<failover_gap> gaps;
    std::uint64_t within_rate = 0;
    std::uint64_t wrongful_refusals = 0;

    [[nodiscard]] auto replica_share() const -> double {
        return reads == 0 ? 0 : static_cast<double>(replica_reads) / static_cast<double>(reads);
    }
    [[nodiscard]] auto wrongful_share() const -> double {
        return within_rate == 0 ? 0
                                : static_cast<double>(wrongful_refusals) / static_cast<double>(within_rate);
    }
    /// Account with the highest p99, without the overloading one.
    [[nodiscard]] auto worst_account(const std::optional<account_id>& except) const -> const account_measure*;
};

/// Works the measures out of the recorded history.
[[nodiscard]] auto measure(const load_outcome& outcome, const cluster& fleet) -> measures;

/// Table for the terminal.
[[nodiscard]] auto format_table(const measures& found, const std::optional<account_id>& overloading)
    -> std::string;

[[nodiscard]] auto to_json(const measures& found, const std::optional<account_id>& overloading)
    -> QJsonObject;

} // namespace citronlug::bench
