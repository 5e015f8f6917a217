#include "retry_budget.h"

#include <algorithm>

namespace citronlug {

namespace {

constexpr auto retries_per_request = 0.1;
constexpr auto max_saved_retries = 20.0; // upper bound of unused retries
constexpr auto initial_retries = 3.0;

} // namespace

retry_budget::retry_budget(time_point now)
    : level_(initial_retries)
    , minimum_used_at_(now) {}

auto retry_budget::on_request() -> void {
    level_ = std::min(level_ + retries_per_request, max_saved_retries);
}

auto retry_budget::take(time_point now) -> bool {
    if (level_ >= 1) {
        level_ -= 1;
        return true;
    }
    if (now - minimum_used_at_ >= 1s) {
        minimum_used_at_ = now;
        return true;
    }
    return false;
}

} // namespace citronlug
