#pragma once

#include <citronlug/types.h>

namespace citronlug {

/// Events of the structured log of a session instance. docs/OPERATIONS.md lists the fields of each.
enum class log_event {
    process_started,
    process_stopping,
    process_stopped,
    settings_reloaded,
    dependency_lost,
    dependency_regained,
    rules_applied,
    servers_changed,
    primary_recorded,
    permit_lost,
    permit_regained,
    change_started,
    change_released,
    change_waiting,
    change_chosen,
    change_ordered,
    change_finished,
    change_abandoned,
    duty_taken,
    duty_lost,
    request_served,
    request_slow,
    request_retried,
    request_refused,
    request_failed,
    request_in_doubt,
    session_rejected,
    transaction_ended,
    server_unusable,
    lines_dropped,
    record_rejected,
    evacuation_changed,
    server_cold,
    server_limit_changed,
    store_restored,
    caller_refused,
    records_behind,
};

template <>
struct name_table<log_event> {
    static constexpr std::array<std::string_view, 37> names{
        "process-started",  "process-stopping",     "process-stopped",  "settings-reloaded",
        "dependency-lost",  "dependency-regained",  "rules-applied",    "servers-changed",
        "primary-recorded", "permit-lost",          "permit-regained",  "change-started",
        "change-released",  "change-waiting",       "change-chosen",    "change-ordered",
        "change-finished",  "change-abandoned",     "duty-taken",       "duty-lost",
        "request-served",   "request-slow",         "request-retried",  "request-refused",
        "request-failed",   "request-in-doubt",     "session-rejected", "transaction-ended",
        "server-unusable",  "lines-dropped",        "record-rejected",  "evacuation-changed",
        "server-cold",      "server-limit-changed", "store-restored",   "caller-refused",
        "records-behind"};
};

} // namespace citronlug
