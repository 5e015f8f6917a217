#include "log_writer.h"

#include <chrono>

#include <poll.h>
#include <unistd.h>

namespace citronlug {

namespace {

/// One of this many served requests is logged.
constexpr auto served_sample_interval = std::uint64_t{200};
constexpr auto max_queued_lines = std::size_t{2000};
constexpr auto drop_report_interval = duration{5s};
/// A writable pipe accepts this many bytes without blocking (PIPE_BUF).
constexpr auto max_write_bytes = std::size_t{4096};

auto is_request_event(log_event event) -> bool {
    switch (event) {
    case log_event::request_served:
    case log_event::request_slow:
    case log_event::request_retried:
    case log_event::request_refused:
    case log_event::request_failed:
    case log_event::request_in_doubt:
    case log_event::session_rejected:
    case log_event::transaction_ended:
        return true;
    default:
        return false;
    }
}

auto wall_us() -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

log_writer::log_writer(instance_id instance, int request_lines_per_s, metrics& counters, int fd)
    : instance_{std::move(instance)}
    , lines_per_s_{static_cast<double>(request_lines_per_s)}
    , counters_{counters}
    , fd_{fd}
    , tokens_{lines_per_s_} {}

auto log_writer::admit(time_point now, log_event event) -> bool {
    if (!is_request_event(event)) {
        return true;
    }
    if (event == log_event::request_served && served_++ % served_sample_interval != 0) {
        return false;
    }
    const auto passed = std::chrono::duration<double>{now - tokens_updated_at_}.count();
    tokens_ = std::min(lines_per_s_, tokens_ + passed * lines_per_s_);
    tokens_updated_at_ = now;
    if (tokens_ < 1) {
        ++dropped_;
        return false;
    }
    tokens_ -= 1;
    return true;
}

auto log_writer::enqueue(log_level level, std::string_view event, const std::vector<log_field>& fields)
    -> bool {
    if (lines_.size() >= max_queued_lines) {
        ++dropped_;
        return false;
    }
    lines_.push_back(format_log_line(wall_us(), level, instance_, event, fields) + "\n");
    return true;
}

auto log_writer::write(time_point now, log_level level, log_event event, const std::vector<log_field>& fields)
    -> void {
    if (admit(now, event)) {
        enqueue(level, name_of(event), fields);
    }
}

auto log_writer::flush(time_point now) -> void {
    if (dropped_ > 0 && now - drop_reported_at_ >= drop_report_interval) {
        drop_reported_at_ = now;
        counters_.count("citronlug_log_lines_dropped_total", {}, dropped_);
        const auto n = std::exchange(dropped_, 0);
        enqueue(log_level::warning, name_of(log_event::lines_dropped), {{"lines", std::to_string(n)}});
    }
    while (!lines_.empty()) {
        auto ready = pollfd{fd_, POLLOUT, 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            return;
        }
        const auto& line = lines_.front();
        const auto n = ::write(fd_, line.data() + first_line_written_,
                               std::min(max_write_bytes, line.size() - first_line_written_));
        if (n <= 0) {
            return;
        }
        first_line_written_ += static_cast<std::size_t>(n);
        if (first_line_written_ == line.size()) {
            lines_.pop_front();
            first_line_written_ = 0;
        }
    }
}

} // namespace citronlug
