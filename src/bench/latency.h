#pragma once

#include <citronlug/types.h>

#include <boost/histogram.hpp>

namespace citronlug::bench {

/// Distribution of latencies on a logarithmic axis from 10 microseconds to 100 s, with 3% wide bins.
class latency_histogram {
public:
    latency_histogram()
        : counts_{boost::histogram::make_histogram(axis{bins, lowest_us, highest_us})} {}

    auto add(duration value) -> void {
        counts_(static_cast<double>(std::max<std::int64_t>(value.count(), 1)));
        ++total_;
    }

    [[nodiscard]] auto total() const -> std::uint64_t { return total_; }

    /// Upper edge of the bin that holds the share `q` (0 to 1) of the values; zero without values.
    [[nodiscard]] auto quantile(double q) const -> duration {
        auto seen = 0.0;
        for (auto&& bin : boost::histogram::indexed(counts_, boost::histogram::coverage::all)) {
            seen += *bin;
            if (total_ > 0 && seen >= q * static_cast<double>(total_)) {
                return duration{static_cast<std::int64_t>(std::min(bin.bin().upper(), highest_us))};
            }
        }
        return duration{};
    }

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    static constexpr unsigned bins = 545;
    static constexpr double lowest_us = 10;
    static constexpr double highest_us = 1e8;

    decltype(boost::histogram::make_histogram(axis{bins, lowest_us, highest_us})) counts_;
    std::uint64_t total_ = 0;
};

} // namespace citronlug::bench
