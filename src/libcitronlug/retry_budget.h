#pragma once

#include <citronlug/types.h>

namespace citronlug {

/// Limits retries to a tenth of the requests, but always allows one per second, so that retries do not
/// multiply the load of a failing group. Not thread-safe.
class retry_budget {
public:
    explicit retry_budget(time_point now);

    auto on_request() -> void;
    /// Consumes one retry; false if none is left.
    [[nodiscard]] auto take(time_point now) -> bool;

private:
    double level_;
    time_point minimum_used_at_; ///< when the allowance of one per second was last used
};

} // namespace citronlug
