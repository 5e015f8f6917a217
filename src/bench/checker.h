#pragma once

#include <citronlug/outcome.h>
#include <citronlug/request.h>
#include <citronlug/types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Independent check of a recorded run. It shares only plain types with the programs under test. All times
/// are of one clock: the machine's monotonic clock, which the database stand-in uses in its log too.
namespace citronlug::bench {

/// One sending of a request. A retry is another sending with the same id.
struct request_sent {
    time_point at;
    std::uint64_t attempt = 0; ///< unique in the history; the answer repeats it
    request_id id;
    account_id account;
    key_id key;
    instance_id instance;
    database_id database;
    access_mode mode = access_mode::read;
    bool idempotent = true;
    ack_mode ack = ack_mode::primary;
    /// Accepted age of the data of a read; empty: present data. Not looked at for writes.
    std::optional<duration> max_age;
    /// Reads see all writes acknowledged earlier under the same name. Empty: no session. After the error
    /// `session_lost` the caller goes on under another name.
    std::string session;
    /// The row that is read or written, as "table/key"; empty: not checked. The first value of the first row
    /// of a read's answer is taken as its value.
    std::string row;
    /// Value written; empty: the row is removed. Writes to one row have different values.
    std::optional<std::string> value;
};

/// Answer as the caller saw it. A request that gets none has no record.
struct answer_received {
    time_point at;
    std::uint64_t attempt = 0;
    verdict outcome = verdict::unknown;
    position reached; ///< zero if the caller cannot tell
    row_set rows;
    bool from_replica = false;
    std::optional<duration> data_age; ///< upper bound that the answer states
};

struct log_item {
    position at;
    time_point committed;
    account_id account;
    request_id id;
    std::vector<std::string> rows; ///< "table/key" of the changed rows
};

/// Log of one member at the end of the run, read after the last answer.
struct member_log {
    database_id database;
    std::string member;
    term_number term = 0;            ///< of its data
    std::vector<log_item> entries;   ///< from the start of the run, ascending
    std::vector<log_item> truncated; ///< undone when the member followed a new primary
};

/// Revocation of a key, at the time when it was accepted.
struct key_revoked {
    time_point at;
    key_id key;
};

/// Limit of a client account from this time on.
struct account_limit {
    time_point at;
    account_id account;
    double rate = 0; ///< requests per second
    double burst = 0;
};

/// A later term than this one has begun.
struct term_superseded {
    time_point at;
    database_id database;
    term_number term = 0;
};

using history_record =
    std::variant<request_sent, answer_received, member_log, key_revoked, account_limit, term_superseded>;

enum class violation_kind {
    own_write_missing, ///< a read did not see a write acknowledged to its session
    stale_read,        ///< a read was older than it accepts
    understated_age,   ///< a read was older than its answer states
    run_twice,         ///< a non-idempotent request took effect more than once
    write_lost,        ///< an acknowledged write is not in the final log
    superseded_write,  ///< a write committed after its term was superseded was acknowledged
    limit_exceeded,    ///< more requests ran than rate * T + burst in a window of length T
    false_not_run,     ///< answered "not run", but took effect
    revoked_key,       ///< ran more than 3 s after the revocation of its key
};

inline constexpr std::size_t violation_kinds = 9;

struct violation {
    violation_kind kind{};
    time_point at;
    database_id database;
    account_id account;
    request_id id;
    std::string detail;
};

struct check_settings {
    duration revocation_limit = 3s; ///< until a revoked key stops working
    duration limit_change = 6s;     ///< until a changed limit is in force everywhere; the larger one counts
    /// Longest time from the sending of an answer to its record. It is the tolerance for acknowledgements
    /// that were on their way when a term was superseded.
    duration answer_transit = 50ms;
};

struct check_report {
    std::vector<violation> violations;
    /// Cases that each check examined. A check with no case proves nothing.
    std::map<violation_kind, std::uint64_t> examined;
    /// Acknowledged writes with `ack=primary` that a change of primary removed. The requirements allow this:
    /// replication is asynchronous.
    std::uint64_t lost_with_primary = 0;

    [[nodiscard]] auto count(violation_kind kind) const -> std::size_t;
};

/// Checks the history; the records may come in any order.
[[nodiscard]] auto check_history(const std::vector<history_record>& history,
                                 const check_settings& settings = {}) -> check_report;

} // namespace citronlug::bench

template <>
struct citronlug::name_table<citronlug::bench::violation_kind> {
    static constexpr std::array<std::string_view, citronlug::bench::violation_kinds> names{
        "own-write-missing", "stale-read",     "understated-age", "run-twice",  "write-lost",
        "superseded-write",  "limit-exceeded", "false-not-run",   "revoked-key"};
};
