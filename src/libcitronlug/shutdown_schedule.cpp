#include <citronlug/shutdown_schedule.h>

#include <algorithm>

namespace citronlug {

namespace {

/// Part of the time for leaving that is reserved for the exit of the process.
constexpr auto exit_margin = duration{600ms};
/// Part of the exit margin in which answers may still be sent to callers that read slowly.
constexpr auto slow_caller_margin = duration{300ms};
/// Time for sending the last answers.
constexpr auto answer_margin = duration{200ms};
/// Time that a statement has at least to end by itself.
constexpr auto max_statement_time = duration{1300ms};

} // namespace

auto make_shutdown_schedule(time_point now, duration leave_time) -> shutdown_schedule {
    auto it = shutdown_schedule{};
    it.begun = now;
    it.transactions_end = now + leave_time / 2;
    it.exit_at = now + leave_time - exit_margin;
    it.last_exit = it.exit_at + slow_caller_margin;
    it.answers_due = it.exit_at - answer_margin;
    it.admission_end =
        std::max(it.transactions_end, it.answers_due - std::min(max_statement_time, leave_time / 4));
    return it;
}

} // namespace citronlug
