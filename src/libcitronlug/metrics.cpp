#include <citronlug/metrics.h>

#include <boost/histogram.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace citronlug {

namespace {

namespace bh = boost::histogram;

/// Five buckets per decade give a resolution of about 60%, enough to distinguish 1 ms from 3 ms.
constexpr int bucket_count = 30;
constexpr double min_latency_s = 50e-6;
constexpr double max_latency_s = 60.0;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram = decltype(bh::make_histogram(log_axis{bucket_count, min_latency_s, max_latency_s}));

struct latency_series {
    histogram buckets = bh::make_histogram(log_axis{bucket_count, min_latency_s, max_latency_s});
    double sum_s = 0;

    auto add(const latency_series& other) -> void {
        buckets += other.buckets;
        sum_s += other.sum_s;
    }
};

/// Name and formatted labels; defines the order of the output.
using series_id = std::pair<std::string, std::string>;

struct shard {
    std::mutex lock;
    std::map<series_id, std::uint64_t> counters;
    std::map<series_id, double> gauges;
    std::map<series_id, latency_series> latencies;
};

auto escape(const std::string& text) -> std::string {
    auto out = std::string{};
    for (const auto c : text) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += c;
    }
    return out;
}

auto label_text(const label_set& labels) -> std::string {
    auto text = std::string{};
    for (const auto& [name, value] : labels) {
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escape(value));
    }
    return text;
}

auto label_block(const std::string& labels) -> std::string {
    return labels.empty() ? "" : "{" + labels + "}";
}

auto append_type(std::string& text, std::string& last, const std::string& name, const char* type) -> void {
    if (name != last) {
        text += fmt::format("# TYPE {} {}\n", name, type);
        last = name;
    }
}

auto append_latency(std::string& text, const series_id& id, const latency_series& series) -> void {
    const auto& [name, labels] = id;
    const auto prefix = labels.empty() ? "" : labels + ",";
    auto cumulative = static_cast<std::uint64_t>(series.buckets.at(-1));
    for (auto n = 0; n < bucket_count; ++n) {
        cumulative += static_cast<std::uint64_t>(series.buckets.at(n));
        text += fmt::format("{}_bucket{{{}le=\"{:.6g}\"}} {}\n", name, prefix,
                            series.buckets.axis().bin(n).upper(), cumulative);
    }
    cumulative += static_cast<std::uint64_t>(series.buckets.at(bucket_count));
    text += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", name, prefix, cumulative);
    text += fmt::format("{}_sum{} {}\n{}_count{} {}\n", name, label_block(labels), series.sum_s, name,
                        label_block(labels), cumulative);
}

} // namespace

class metrics::implementation {
public:
    explicit implementation(std::size_t n)
        : shards(std::max<std::size_t>(n, 1)) {}

    auto thread_shard() -> shard& {
        return shards[std::hash<std::thread::id>{}(std::this_thread::get_id()) % shards.size()];
    }

    /// Aggregates one kind of series over all shards.
    template <class Value, class Add>
    auto sum_over_shards(std::map<series_id, Value> shard::*member, Add&& add) -> std::map<series_id, Value> {
        auto sum = std::map<series_id, Value>{};
        for (auto& it : shards) {
            const auto guard = std::lock_guard{it.lock};
            for (const auto& [id, value] : it.*member) {
                add(sum[id], value);
            }
        }
        return sum;
    }

    std::vector<shard> shards;
};

metrics::metrics(std::size_t shards)
    : impl_(std::make_unique<implementation>(shards)) {}

metrics::~metrics() = default;

auto metrics::count(const std::string& name, const label_set& labels, std::uint64_t n) -> void {
    auto id = series_id{name, label_text(labels)};
    auto& own = impl_->thread_shard();
    const auto guard = std::lock_guard{own.lock};
    own.counters[std::move(id)] += n;
}

auto metrics::set(const std::string& name, const label_set& labels, double value) -> void {
    auto id = series_id{name, label_text(labels)};
    // The shard depends on the series, not the thread, so that the last value set by any thread wins.
    auto& own = impl_->shards[std::hash<std::string>{}(id.first + id.second) % impl_->shards.size()];
    const auto guard = std::lock_guard{own.lock};
    own.gauges[std::move(id)] = value;
}

auto metrics::observe(const std::string& name, const label_set& labels, duration latency) -> void {
    auto id = series_id{name, label_text(labels)};
    const auto seconds = std::chrono::duration<double>(latency).count();
    auto& own = impl_->thread_shard();
    const auto guard = std::lock_guard{own.lock};
    auto& series = own.latencies[std::move(id)];
    series.buckets(seconds);
    series.sum_s += seconds;
}

auto metrics::counter(const std::string& name, const label_set& labels) const -> std::uint64_t {
    const auto sums =
        impl_->sum_over_shards(&shard::counters, [](auto& sum, const auto& value) { sum += value; });
    const auto it = sums.find({name, label_text(labels)});
    return it == sums.end() ? 0 : it->second;
}

auto metrics::quantile(const std::string& name, const label_set& labels, double q) const -> duration {
    const auto sums =
        impl_->sum_over_shards(&shard::latencies, [](auto& sum, const auto& value) { sum.add(value); });
    const auto it = sums.find({name, label_text(labels)});
    if (it == sums.end()) {
        return {};
    }
    const auto& buckets = it->second.buckets;
    const auto target_rank = q * bh::algorithm::sum(buckets);
    auto cumulative = 0.0;
    for (auto n = -1; n < bucket_count; ++n) {
        cumulative += static_cast<double>(buckets.at(n));
        if (cumulative >= target_rank && cumulative > 0) {
            const auto edge = n < 0 ? min_latency_s : buckets.axis().bin(n).upper();
            return std::chrono::duration_cast<duration>(std::chrono::duration<double>(edge));
        }
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(max_latency_s));
}

auto metrics::text() const -> std::string {
    const auto counters =
        impl_->sum_over_shards(&shard::counters, [](auto& sum, const auto& value) { sum += value; });
    const auto gauges =
        impl_->sum_over_shards(&shard::gauges, [](auto& sum, const auto& value) { sum = value; });
    const auto latencies =
        impl_->sum_over_shards(&shard::latencies, [](auto& sum, const auto& value) { sum.add(value); });
    auto out = std::string{};
    auto last = std::string{};
    for (const auto& [id, value] : counters) {
        append_type(out, last, id.first, "counter");
        out += fmt::format("{}{} {}\n", id.first, label_block(id.second), value);
    }
    for (const auto& [id, value] : gauges) {
        append_type(out, last, id.first, "gauge");
        out += fmt::format("{}{} {}\n", id.first, label_block(id.second), value);
    }
    for (const auto& [id, series] : latencies) {
        append_type(out, last, id.first, "histogram");
        append_latency(out, id, series);
    }
    return out;
}

} // namespace citronlug
