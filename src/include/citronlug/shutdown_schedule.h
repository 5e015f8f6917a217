#pragma once

#include <citronlug/types.h>

namespace citronlug {

/// Times of a graceful shutdown, in this order. Each statement that an instance accepts has its answer before
/// the process exits, and what may not end in time is refused as not run.
struct shutdown_schedule {
    time_point begun;
    time_point transactions_end; ///< open transactions that are idle are aborted
    time_point admission_end;    ///< new operations are refused
    time_point answers_due;      ///< statements under way are answered, whatever their servers do
    time_point exit_at;          ///< the process exits once all answers are sent
    time_point last_exit;        ///< it exits even if callers do not read their answers
};

/// Schedule of a shutdown that begins now and must have ended after `leave_time`.
[[nodiscard]] auto make_shutdown_schedule(time_point now, duration leave_time) -> shutdown_schedule;

} // namespace citronlug
