#pragma once

#include <citronlug/plugin.h>
#include <citronlug/types.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace citronlug {

/// Kinds of queued work. Work of one lane competes for the same slots.
enum class queue_lane { transaction, write, fresh_read, replica_read };

template <>
struct name_table<queue_lane> {
    static constexpr std::array<std::string_view, 4> names{"transaction", "write", "fresh-read",
                                                           "replica-read"};
};

inline constexpr std::size_t queue_lane_count = name_table<queue_lane>::names.size();

/// One entry of the queue.
struct queued_work {
    std::uint64_t number = 0;
    account_id account;
    queue_lane lane = queue_lane::write;
    duration cost{};  ///< expected service time
    int priority = 0; ///< of the account; 0 is the highest
};

/// Whether an entry can start now.
enum class start_check {
    start,
    skip,    ///< this entry cannot start; others of its lane may
    blocked, ///< no entry of this lane can start
};

template <>
struct name_table<start_check> {
    static constexpr std::array<std::string_view, 3> names{"start", "skip", "blocked"};
};

/// Order of the work that waits for a slot. Plug-ins: `fair`, `fifo`.
class queue_policy {
public:
    using start_checker = std::function<start_check(std::uint64_t number)>;

    queue_policy() = default;
    queue_policy(const queue_policy&) = delete;
    auto operator=(const queue_policy&) -> queue_policy& = delete;
    virtual ~queue_policy() = default;

    /// False if the queue is full for this account.
    [[nodiscard]] virtual auto push(queued_work work) -> bool = 0;
    virtual auto remove(std::uint64_t number) -> void = 0;
    /// Removes and returns the entry that starts next.
    [[nodiscard]] virtual auto take(const start_checker& check) -> std::optional<std::uint64_t> = 0;
    /// Total service time of the entries that would start before a new entry of this account and lane and
    /// that compete with it.
    [[nodiscard]] virtual auto service_time_ahead(const account_id& account, queue_lane lane) const
        -> duration = 0;
    [[nodiscard]] virtual auto size() const -> std::size_t = 0;
};

/// True if both lanes use the primary's slots, or neither does.
[[nodiscard]] constexpr auto competes(queue_lane left, queue_lane right) -> bool {
    return (left == queue_lane::replica_read) == (right == queue_lane::replica_read);
}

} // namespace citronlug
