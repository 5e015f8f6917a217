#pragma once

#include <citronlug/types.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace citronlug {

/// Timestamp of a hybrid logical clock. A cause has a smaller timestamp than its effect, provided that every
/// message between the processes carries a timestamp.
struct hybrid_time {
    std::int64_t wall_us = 0; ///< microseconds since 1970
    std::uint32_t counter = 0;
    instance_id instance;

    auto operator<=>(const hybrid_time&) const = default;
};

/// Remote timestamps further ahead of the local wall clock than this are ignored, so that one instance with a
/// wrong clock does not advance the clocks of all others.
inline constexpr std::int64_t max_clock_lead_us = 60'000'000;

/// Hybrid logical clock of one process. Not thread-safe; `timeline` guards its clock with a lock.
class hybrid_clock {
public:
    explicit hybrid_clock(instance_id instance);

    /// Advances the clock for a local event or an outgoing message, and returns the timestamp.
    auto tick(std::int64_t wall_us) -> hybrid_time;
    /// Merges the timestamp of a received message. Returns false if it was too far ahead and was ignored.
    auto observe(const hybrid_time& remote, std::int64_t wall_us) -> bool;

private:
    hybrid_time last_;
};

/// Event of one process. Ids that do not apply to the event are empty.
struct timeline_event {
    hybrid_time at;
    std::string kind;   ///< for example "takeover" or "primary-changed"
    std::string detail; ///< never contains a key or token
    database_id database;
    account_id account;
    request_id request;

    auto operator==(const timeline_event&) const -> bool = default;
};

/// Selection of events; empty fields match all.
struct timeline_filter {
    database_id database;
    account_id account;
    request_id request;
    std::int64_t since_us = 0;
    std::size_t limit = 1000; ///< only the newest events are returned
};

[[nodiscard]] auto matches(const timeline_filter& filter, const timeline_event& event) -> bool;

/// Merges the events of several processes in timestamp order and removes duplicates.
[[nodiscard]] auto merge(const std::vector<std::vector<timeline_event>>& sources)
    -> std::vector<timeline_event>;

/// The newest events that match the filter, in timestamp order. `events` must be in that order.
[[nodiscard]] auto select(const std::vector<timeline_event>& events, const timeline_filter& filter)
    -> std::vector<timeline_event>;

/// Bounded buffer of the newest events of this process, with its hybrid logical clock. Thread-safe.
class timeline {
public:
    timeline(instance_id instance, std::size_t capacity);
    ~timeline();
    timeline(const timeline&) = delete;
    auto operator=(const timeline&) -> timeline& = delete;

    /// Stores the event, redacts its detail and sets `event.at` from the clock. Returns that timestamp.
    auto record(std::int64_t wall_us, timeline_event event) -> hybrid_time;
    /// Timestamp for an outgoing message.
    [[nodiscard]] auto stamp(std::int64_t wall_us) -> hybrid_time;
    /// Merges the timestamp of a received message.
    auto observe(const hybrid_time& remote, std::int64_t wall_us) -> void;
    [[nodiscard]] auto select(const timeline_filter& filter) const -> std::vector<timeline_event>;
    /// Number of events dropped because the buffer was full.
    [[nodiscard]] auto dropped() const -> std::uint64_t;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace citronlug
