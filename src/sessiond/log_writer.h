#pragma once

#include <citronlug/log.h>
#include <citronlug/log_events.h>
#include <citronlug/metrics.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace citronlug {

/// Structured log that never blocks on its file descriptor. Events of single requests are rate-limited, and
/// served requests are sampled; all other events are queued while the queue has room. The number of dropped
/// lines is counted and logged. Not thread-safe.
class log_writer {
public:
    log_writer(instance_id instance, int request_lines_per_s, metrics& counters, int fd);

    auto write(time_point now, log_level level, log_event event, const std::vector<log_field>& fields)
        -> void;
    /// Writes as many queued lines as possible without blocking.
    auto flush(time_point now) -> void;

private:
    auto enqueue(log_level level, std::string_view event, const std::vector<log_field>& fields) -> bool;
    [[nodiscard]] auto admit(time_point now, log_event event) -> bool;

    instance_id instance_;
    double lines_per_s_;
    metrics& counters_;
    int fd_;
    std::deque<std::string> lines_;
    std::size_t first_line_written_ = 0; ///< bytes of the first queued line already written
    double tokens_;
    time_point tokens_updated_at_;
    std::uint64_t served_ = 0;
    std::uint64_t dropped_ = 0;
    time_point drop_reported_at_;
};

} // namespace citronlug
