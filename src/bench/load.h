#pragma once

#include "cluster.h"
#include "profile.h"

#include <citronlug/outcome.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronlug::bench {

enum class operation_kind { aged_read, session_read, session_write, order, ticker };

/// One attempt of one operation. Times count from the start of the run.
struct operation_record {
    operation_kind kind{};
    std::string request_id;
    account_id account;
    std::size_t database = 0;
    std::size_t instance = 0;
    int attempt = 0;
    duration intended{}; ///< time of the arrival; latency counts from here
    duration sent{};
    duration answered{};
    verdict outcome = verdict::unknown;
    std::string code; ///< failure code; "transport" if no HTTP answer came
    bool within_rate = true;
    bool from_replica = false;
    duration data_age{};               ///< as the answer states it
    std::string row;                   ///< "table/key" of the row read or written
    std::string session;               ///< reads see all writes acknowledged earlier under this name
    std::optional<std::int64_t> value; ///< written, or read
};

/// Multiplies one account's offered load for a while.
struct overload {
    account_id account;
    double factor = 1;
    duration at{};
    duration length{};
};

struct load_options {
    duration length{20s};
    std::uint64_t seed = 1;
    double scale = 1; ///< factor on all offered loads
    std::vector<fault> faults;
    std::optional<overload> heavy;
    bool progress = false;
};

struct fault_note {
    fault what;
    duration injected{}; ///< since the start of the run
    duration healed{};
    bool succeeded = false;
    std::string primary_before;
};

struct load_outcome {
    time_point started; ///< by the machine's monotonic clock
    std::vector<operation_record> records;
    std::vector<fault_note> faults;
    std::map<account_id, std::vector<duration>> arrivals; ///< for the limit check
};

/// Creates the rows that the operations use. Fails if an instance does not take them.
[[nodiscard]] auto prepare_rows(const profile& plan, const cluster& fleet) -> result<std::size_t>;

/// Runs the open-loop load with its faults. Retries orders and session writes of unknown outcome with the
/// same request id through other instances, as a caller would.
[[nodiscard]] auto run_load(const profile& plan, const cluster& fleet, const load_options& options)
    -> load_outcome;

} // namespace citronlug::bench

template <>
struct citronlug::name_table<citronlug::bench::operation_kind> {
    static constexpr std::array<std::string_view, 5> names{"aged-read", "session-read", "session-write",
                                                           "order", "ticker"};
};
