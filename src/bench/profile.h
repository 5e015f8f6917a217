#pragma once

#include <citronlug/outcome.h>
#include <citronlug/rate_limit.h>
#include <citronlug/types.h>

#include <string>
#include <vector>

namespace citronlug::bench {

/// Kinds of faults that a run injects.
enum class fault_kind {
    primary_crash,     ///< the primary's process ends
    primary_partition, ///< the primary is cut from the other members and from callers of the group
    primary_silent,    ///< open connections to the primary stop answering, new ones too
    replica_lag,       ///< replicas fall behind
    instance_kill,     ///< SIGKILL to the instance that holds the database
    instance_pause,    ///< SIGSTOP to it, SIGCONT after the length
    store_outage,      ///< the platform store refuses all calls
    lose_answers,      ///< the primary loses answers after the effect
    silent_connections ///< open connections of the primary go silent, new ones work
};

/// One account's load.
struct account_load {
    account_id account;
    rate_limit limit;
    double offered = 0; ///< requests per second
};

struct fault {
    fault_kind kind{};
    duration at{};     ///< since the start of the run
    duration length{}; ///< until it is healed
    std::size_t database = 0;
    int amount = 0; ///< milliseconds of lag, or answers to lose
};

/// Shares of the kinds of operations; they add up to 1.
struct operation_mix {
    double aged_reads = 0;    ///< accept data of `max_age`
    double session_reads = 0; ///< must include the session's own writes
    double session_writes = 0;
    double orders = 0; ///< inserts that must run at most once
};

/// One experiment, read from a JSON file.
struct profile {
    std::string name;
    std::size_t databases = 3;
    std::size_t members = 3;
    int slots = 5;
    int connections = 35;
    int connect_ms = 12;
    std::vector<account_load> accounts;
    operation_mix mix;
    duration max_age{5s};
    duration deadline{3s};
};

/// Reads a profile file. Fails with `bad_request` and the field path.
[[nodiscard]] auto read_profile(const std::string& path) -> result<profile>;

/// Reads "kind@seconds+length[:amount]", for example "primary-crash@5+10".
[[nodiscard]] auto parse_fault(const std::string& text) -> result<fault>;

} // namespace citronlug::bench

template <>
struct citronlug::name_table<citronlug::bench::fault_kind> {
    static constexpr std::array<std::string_view, 9> names{
        "primary-crash",  "primary-partition", "primary-silent", "replica-lag",       "instance-kill",
        "instance-pause", "store-outage",      "lose-answers",   "silent-connections"};
};
