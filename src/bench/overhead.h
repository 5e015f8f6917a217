#pragma once

#include "cluster.h"
#include "latency.h"

#include <citronlug/outcome.h>

#include <string>

namespace citronlug::bench {

/// Latency of one statement through an instance and directly, measured in one run.
struct overhead_result {
    latency_histogram direct;
    latency_histogram proxied;
    std::uint64_t failures = 0;
};

/// Sends `rate` statements per second for `length` each way, alternating between the two.
[[nodiscard]] auto measure_overhead(const cluster& fleet, double rate, duration length)
    -> result<overhead_result>;

struct throughput_result {
    double statements_per_second = 0;
    double core_share = 0; ///< processor time of the instance per second
    latency_histogram latency;
    std::uint64_t failures = 0;
};

/// Keeps `concurrency` reads in flight at the first instance.
[[nodiscard]] auto measure_throughput(const cluster& fleet, std::size_t concurrency, duration length)
    -> throughput_result;

struct idle_result {
    std::size_t opened = 0;
    std::uint64_t bytes_before = 0; ///< resident memory of the instance
    std::uint64_t bytes_after = 0;
    double core_share = 0; ///< processor time of the instance per second while they are idle
};

/// Opens connections to the first instance and leaves them idle for `length`.
[[nodiscard]] auto measure_idle_connections(const cluster& fleet, std::size_t count, duration length)
    -> idle_result;

/// Processor time that a process has used since its start; zero if it is gone.
[[nodiscard]] auto processor_time(int pid) -> duration;
/// Resident memory of a process in bytes; zero if it is gone.
[[nodiscard]] auto resident_bytes(int pid) -> std::uint64_t;

} // namespace citronlug::bench
