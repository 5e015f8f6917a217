#pragma once

#include <citronlug/log.h>
#include <citronlug/log_events.h>
#include <citronlug/metrics.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace citronlug {

/// Structured log on standard output that never blocks. Lines about single requests are limited per second,
/// and served requests are sampled; lines on changes of state are always kept while there is room. What is
/// left out is counted and logged. Not thread-safe.
class log_writer {
public:
    log_writer(instance_id instance, int request_lines_per_s, metrics& counters, int fd);

    auto write(time_point now, log_level level, log_event event, const std::vector<log_field>& fields)
        -> void;
    /// Writes what the reader takes without waiting.
    auto flush(time_point now) -> void;

private:
    auto enqueue(log_level level, std::string_view event, const std::vector<log_field>& fields) -> bool;
    [[nodiscard]] auto admit(time_point now, log_event event) -> bool;

    instance_id instance_;
    double lines_per_s_;
    metrics& counters_;
    int fd_;
    std::deque<std::string> lines_;
    std::size_t first_line_written_ = 0; ///< bytes of the first line that are written
    double tokens_;
    time_point tokens_at_;
    std::uint64_t served_ = 0;
    std::uint64_t dropped_ = 0;
    time_point drop_reported_at_;
};

} // namespace citronlug
