#pragma once

#include <citronlug/types.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace citronlug {

/// Time of a hybrid logical clock. If one event can have caused another, its time is the smaller one, as
/// far as every message between the processes carried a time.
struct hybrid_time {
    std::int64_t wall_us = 0; ///< microseconds since 1970
    std::uint32_t counter = 0;
    instance_id instance;

    auto operator<=>(const hybrid_time&) const = default;
};

/// Times further ahead of the local wall clock than this are not taken over, so that one instance with a
/// wrong clock does not move the times of the whole fleet.
inline constexpr std::int64_t max_clock_lead_us = 60'000'000;

/// Hybrid logical clock of one process. Not thread-safe; `timeline` locks its own.
class hybrid_clock {
public:
    explicit hybrid_clock(instance_id instance);

    /// Time of a local event or of a message that is sent now.
    auto tick(std::int64_t wall_us) -> hybrid_time;
    /// Takes the time of a received message into account. False if it was too far ahead and left out.
    auto observe(const hybrid_time& remote, std::int64_t wall_us) -> bool;

private:
    hybrid_time last_;
};

/// One event of one process. Empty ids mean that the event is not about one.
struct timeline_event {
    hybrid_time at;
    std::string kind;   ///< for example "takeover" or "primary-changed"
    std::string detail; ///< never contains a key or token
    database_id database;
    account_id account;
    request_id request;

    auto operator==(const timeline_event&) const -> bool = default;
};

/// Which events to select; empty fields select all.
struct timeline_filter {
    database_id database;
    account_id account;
    request_id request;
    std::int64_t since_us = 0;
    std::size_t limit = 1000; ///< the newest events are kept
};

[[nodiscard]] auto matches(const timeline_filter& filter, const timeline_event& event) -> bool;

/// Events of several processes in the order of their times, without repetitions.
[[nodiscard]] auto merge(const std::vector<std::vector<timeline_event>>& sources)
    -> std::vector<timeline_event>;

/// The newest events that pass the filter, in order. `events` must be ordered.
[[nodiscard]] auto select(const std::vector<timeline_event>& events, const timeline_filter& filter)
    -> std::vector<timeline_event>;

/// Newest events of this process, bounded in number, with the process's hybrid clock. Thread-safe.
class timeline {
public:
    timeline(instance_id instance, std::size_t capacity);
    ~timeline();
    timeline(const timeline&) = delete;
    auto operator=(const timeline&) -> timeline& = delete;

    /// Stores the event; `event.at` is set by the clock. Returns that time.
    auto record(std::int64_t wall_us, timeline_event event) -> hybrid_time;
    /// Time to send with a message.
    [[nodiscard]] auto stamp(std::int64_t wall_us) -> hybrid_time;
    /// Time received with a message.
    auto observe(const hybrid_time& remote, std::int64_t wall_us) -> void;
    [[nodiscard]] auto select(const timeline_filter& filter) const -> std::vector<timeline_event>;
    /// Events that fell out of the buffer.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace citronlug
