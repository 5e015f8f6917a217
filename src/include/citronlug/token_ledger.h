#pragma once

#include <citronlug/token_request.h>

#include <vector>

namespace citronlug {

/// Records how many tokens of one client account an instance spent over the last window, and which
/// coordinator has counted them. Not thread-safe.
class token_ledger {
public:
    explicit token_ledger(duration window)
        : window_{window} {}

    /// One token was spent. `coordinator`: fencing token of the coordinator that granted it; 0: none.
    auto record(time_point now, std::uint64_t coordinator) -> void;
    /// Number of tokens spent within the last window.
    [[nodiscard]] auto total(time_point now) -> std::uint32_t;
    /// Uses of the last window that this coordinator has not counted, oldest first, to be sent to it now.
    [[nodiscard]] auto report(time_point now, std::uint64_t coordinator) -> std::vector<token_use>;
    /// Number of tokens in all reports to the coordinator of the last one, each counted once.
    [[nodiscard]] auto reported_total() const -> std::uint32_t { return reported_total_; }
    /// The coordinator has answered the last report.
    auto on_report_answered(std::uint64_t coordinator) -> void;
    /// The last report may not have arrived. The next one repeats it.
    auto on_report_failed() -> void;

private:
    struct slot {
        time_point end;
        std::uint32_t tokens = 0;
        std::uint64_t counted_by = 0;
        std::uint32_t in_total = 0; ///< tokens included in `reported_total_`
        bool is_reported = false;   ///< in the last report
    };

    auto expire(time_point now) -> void;

    duration window_;
    std::vector<slot> slots_;       ///< oldest first
    std::uint64_t coordinator_ = 0; ///< of the last report
    std::uint32_t reported_total_ = 0;
};

} // namespace citronlug
