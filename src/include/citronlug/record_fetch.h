#pragma once

#include <citronlug/types.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronlug {

/// Time that a source has to deliver records before the next one is asked. A later answer still counts.
inline constexpr auto record_fetch_timeout = duration{1s};

/// Decides which instance to ask for records that this one lacks. Each source is asked once, in turn. If none
/// delivers, the store is the next source, and after a pause all are asked again. Not thread-safe.
class record_fetch {
public:
    struct request {
        std::uint64_t number = 0; ///< passed back with the answer
        std::string address;
    };

    /// The request to make now, if any. `sources`: addresses, the best one first.
    [[nodiscard]] auto next(time_point now, const std::vector<std::string>& sources)
        -> std::optional<request>;
    /// The source answered, or failed.
    auto on_answer(std::uint64_t number, bool delivered) -> void;
    /// The records are not lacking any more.
    auto reset() -> void;

    /// True while a source has time to answer.
    [[nodiscard]] auto is_pending(time_point now) const -> bool;
    /// True if all sources have been asked in vain, so the records should be read from the store.
    [[nodiscard]] auto is_store_due() const -> bool { return is_store_due_; }

private:
    std::uint64_t number_ = 0; ///< of the last request
    bool is_pending_ = false;
    time_point asked_at_;
    std::set<std::string> asked_; ///< in this turn
    bool is_store_due_ = false;
};

} // namespace citronlug
