#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

/// Basic types shared by all modules.
namespace citronlug {

/// Span of time in microseconds.
using duration = std::chrono::microseconds;

/// Monotonic clock of the local process. Decision logic never reads a clock; callers pass the time as `now`.
struct process_clock {
    using duration = citronlug::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<process_clock>;
    static constexpr bool is_steady = true;
};

/// Point in time of `process_clock`.
using time_point = process_clock::time_point;

using namespace std::chrono_literals;

/// Strongly typed text identifier; identifiers of different kinds are not interchangeable.
template <class Tag>
struct text_id {
    std::string value;

    auto operator<=>(const text_id&) const = default;
    [[nodiscard]] auto empty() const -> bool { return value.empty(); }
};

using instance_id = text_id<struct instance_tag>;
using cell_id = text_id<struct cell_tag>;
using failure_domain = text_id<struct failure_domain_tag>;
using account_id = text_id<struct account_tag>;
using database_id = text_id<struct database_tag>;
using route_id = text_id<struct route_tag>;
using request_id = text_id<struct request_tag>;
using key_id = text_id<struct key_tag>;
/// Address of a backend server, "host:port"; it also identifies the member of a database group.
using member_id = text_id<struct member_tag>;

/// Random number that identifies one run of a process; 0 means none.
using incarnation = std::uint64_t;
/// Term of a database group; increases with each change of primary.
using term_number = std::uint64_t;
/// Position in the log of a database group.
using log_position = std::uint64_t;
/// Epoch of a role in the cell record; increases with each change of holder.
using epoch_number = std::uint64_t;

/// Names of the values of an enum class, in declaration order. Specialised for each enum.
template <class Enum>
struct name_table;

/// Name of an enum value; "unknown" if it has none.
template <class Enum>
[[nodiscard]] constexpr auto name_of(Enum value) -> std::string_view {
    const auto n = static_cast<std::size_t>(value);
    return n < name_table<Enum>::names.size() ? name_table<Enum>::names[n] : std::string_view{"unknown"};
}

/// Enum value with this name, or nothing.
template <class Enum>
[[nodiscard]] constexpr auto value_of(std::string_view name) -> std::optional<Enum> {
    for (std::size_t n = 0; n < name_table<Enum>::names.size(); ++n) {
        if (name_table<Enum>::names[n] == name) {
            return static_cast<Enum>(n);
        }
    }
    return std::nullopt;
}

} // namespace citronlug

template <class Tag>
struct std::hash<citronlug::text_id<Tag>> {
    auto operator()(const citronlug::text_id<Tag>& id) const noexcept -> std::size_t {
        return std::hash<std::string>{}(id.value);
    }
};
