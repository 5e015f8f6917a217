#include "retry_budget.h"

#include <algorithm>

namespace citronlug {

namespace {

constexpr auto share = 0.1;    // retries per request
constexpr auto ceiling = 20.0; // retries saved up at most
constexpr auto initial = 3.0;

} // namespace

retry_budget::retry_budget(time_point now)
    : level_(initial)
    , minimum_used_(now) {}

auto retry_budget::on_request() -> void {
    level_ = std::min(level_ + share, ceiling);
}

auto retry_budget::take(time_point now) -> bool {
    if (level_ >= 1) {
        level_ -= 1;
        return true;
    }
    if (now - minimum_used_ >= 1s) {
        minimum_used_ = now;
        return true;
    }
    return false;
}

} // namespace citronlug
