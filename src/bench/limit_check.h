#pragma once

#include <citronlug/types.h>

#include <cstddef>
#include <vector>

namespace citronlug::bench {

/// Time span within which one request was admitted.
struct admission_span {
    time_point from;
    time_point to;
};

/// Rate from a time on.
struct rate_step {
    time_point at;
    double rate = 0; ///< requests per second
};

/// A window in which more requests were certainly admitted than rate * T + burst.
struct limit_excess {
    time_point from;
    time_point to;
    std::size_t count = 0;
    double allowed = 0;
};

/// Looks at every window and counts the spans that lie wholly within it. Windows that overlap one that was
/// reported are not reported again. The first step counts from the beginning of time. Takes n log n steps.
[[nodiscard]] auto find_limit_excess(std::vector<admission_span> spans, const std::vector<rate_step>& rates,
                                     double burst) -> std::vector<limit_excess>;

} // namespace citronlug::bench
