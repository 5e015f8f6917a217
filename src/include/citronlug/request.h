#pragma once

#include <citronlug/outcome.h>
#include <citronlug/types.h>

#include <optional>
#include <string>
#include <vector>

namespace citronlug {

/// One SQL statement with its text parameters; an empty optional is SQL NULL.
struct statement {
    std::string text;
    std::vector<std::optional<std::string>> parameters;

    auto operator==(const statement&) const -> bool = default;
};

/// Replication position of a database group.
struct position {
    term_number term = 0;
    log_position log = 0;

    auto operator<=>(const position&) const = default;
};

/// Whether a request reads or writes.
enum class access_mode { read, write };

template <>
struct name_table<access_mode> {
    static constexpr std::array<std::string_view, 2> names{"read", "write"};
};

/// Which servers must confirm a write before it is acknowledged.
enum class ack_mode {
    primary, ///< the primary has committed
    replica, ///< additionally, a replica of the same term has reached the position
};

template <>
struct name_table<ack_mode> {
    static constexpr std::array<std::string_view, 2> names{"primary", "replica"};
};

/// Operation of a request on an interactive transaction.
enum class transaction_step { none, begin, run, commit, rollback };

template <>
struct name_table<transaction_step> {
    static constexpr std::array<std::string_view, 5> names{"none", "begin", "run", "commit", "rollback"};
};

/// Identifies an open transaction by holder epoch and number within that epoch. Epoch 0 means none.
struct transaction_id {
    epoch_number epoch = 0;
    std::uint64_t number = 0;

    auto operator<=>(const transaction_id&) const = default;
};

/// Authorised request that the entry instance forwards to the holder. Never contains the key's secret.
struct request {
    request_id id;
    account_id account;
    key_id key; ///< public part of the key; lets revocation cancel its requests
    route_id route;
    database_id database;
    access_mode mode = access_mode::read;
    bool idempotent = true;
    ack_mode ack = ack_mode::primary;
    time_point deadline;
    std::optional<position> session; ///< reads must include this position
    std::optional<duration> max_age; ///< maximum age of data; empty means read from the primary only
    transaction_step step = transaction_step::none;
    transaction_id transaction;
    statement body;
    failure_domain entry_domain; ///< failure domain of the entry instance
};

/// Rows of text values; an empty optional is SQL NULL.
struct row_set {
    std::vector<std::string> columns;
    std::vector<std::vector<std::optional<std::string>>> rows;
    std::uint64_t affected = 0; ///< rows changed by a write

    auto operator==(const row_set&) const -> bool = default;
};

/// Response to one request.
struct answer {
    verdict outcome = verdict::not_run;
    std::optional<failure> error; ///< set unless the outcome is `done`
    row_set rows;
    position reached; ///< position that later reads of the session must include
    member_id served_by;
    bool from_replica = false;
    bool replayed = false; ///< recorded outcome of an earlier execution with the same id
    duration data_age{};   ///< upper bound of the age of the data read
    transaction_id transaction;
};

} // namespace citronlug
