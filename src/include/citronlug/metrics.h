#pragma once

#include <citronlug/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace citronlug {

/// Labels of a series, for example {{"database", "orders-1"}}.
using label_set = std::vector<std::pair<std::string, std::string>>;

/// Counters, gauges and latency histograms of one process. Thread-safe. Threads are spread over shards with
/// one lock each to reduce contention; `text()` aggregates the shards.
class metrics {
public:
    explicit metrics(std::size_t shards = 8);
    ~metrics();
    metrics(const metrics&) = delete;
    auto operator=(const metrics&) -> metrics& = delete;

    /// Adds to a counter. Names have the form [a-z_][a-z0-9_]*; counters end in "_total".
    auto count(const std::string& name, const label_set& labels = {}, std::uint64_t n = 1) -> void;
    /// Sets a gauge; the last value wins.
    auto set(const std::string& name, const label_set& labels, double value) -> void;
    /// Adds a latency to a histogram with buckets from 50 us to 60 s.
    auto observe(const std::string& name, const label_set& labels, duration latency) -> void;

    /// Sum of a counter over all shards; zero if it does not exist.
    [[nodiscard]] auto counter(const std::string& name, const label_set& labels = {}) const -> std::uint64_t;
    /// Upper edge of the bucket that contains quantile `q` (0 to 1) of a histogram; zero if it is empty.
    [[nodiscard]] auto quantile(const std::string& name, const label_set& labels, double q) const -> duration;
    /// All series in the Prometheus text exposition format 0.0.4, ordered by name. Latencies are in seconds.
    [[nodiscard]] auto text() const -> std::string;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace citronlug
