#pragma once

#include <citronlug/request.h>
#include <citronlug/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages of the session interface. Each caller has a connection with its own session values, prepared
/// statements and transaction. A `wire_codec` defines the encoding.
namespace citronlug {

/// Group of backend servers that hold copies of one database.
using group_id = text_id<struct group_tag>;
/// Name under which a backend server registers itself. Valid only while the server exists and keeps its
/// address.
using server_id = text_id<struct server_tag>;

enum class session_verb {
    begin,
    begin_read, ///< begins a read-only transaction
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare_read,
    prepare_write,
    execute,
    deallocate,
    malformed,
};

template <>
struct name_table<session_verb> {
    static constexpr std::array<std::string_view, 12> names{
        "begin", "begin-read",   "commit",        "rollback", "read",       "write",
        "set",   "prepare-read", "prepare-write", "execute",  "deallocate", "malformed"};
};

/// A statement sent by a caller.
struct session_statement {
    std::string id; ///< request id chosen by the caller; passed on to the backend server
    session_verb verb = session_verb::malformed;
    std::string text; ///< as received; reads, writes and commits are forwarded unchanged
    std::string name; ///< of the session value or prepared statement
    std::string body; ///< set_value: the value; prepare: the statement template; execute: the arguments
};

enum class session_error {
    busy,
    aborted,
    lagging,
    read_only,
    misrouted,
    connection_limit,
    in_doubt,
    timed_out,
    failed,
    no_database,
    unauthorised,
    malformed,
    no_statement,
};

template <>
struct name_table<session_error> {
    static constexpr std::array<std::string_view, 13> names{
        "busy",      "aborted", "lagging",     "read-only",    "misrouted", "connection-limit", "in-doubt",
        "timed-out", "failed",  "no-database", "unauthorised", "malformed", "no-statement"};
};

/// True for errors after which the caller may rely on the attempt having had no effect. Only for work that
/// certainly did not run or was rolled back.
[[nodiscard]] auto guarantees_no_effect(session_error error) -> bool;

/// True for errors of a backend server that show that the statement was not run.
[[nodiscard]] auto was_not_run(session_error error) -> bool;

enum class transaction_state { idle, open, failed };

template <>
struct name_table<transaction_state> {
    static constexpr std::array<std::string_view, 3> names{"idle", "open", "failed"};
};

struct session_failure {
    session_error code{};
    std::string text;
};

/// Complete answer to one statement, from a backend server or to a caller.
struct session_answer {
    std::vector<std::string> rows;
    std::string signature; ///< of the backend server; empty if the proxy itself answers
    std::optional<session_failure> error;
    transaction_state state = transaction_state::idle;
    std::optional<position> reached; ///< log position of the backend server; set in its answers
};

enum class server_action {
    forward, ///< a caller's statement, with the caller's id
    begin,
    begin_read,
    rollback,
    set_value,
    prepare_read,
    prepare_write,
    execute, ///< a caller's prepared statement, under its name on this connection
    reset,
    status,
    step_down,
};

template <>
struct name_table<server_action> {
    static constexpr std::array<std::string_view, 11> names{
        "forward",       "begin",   "begin-read", "rollback", "set",      "prepare-read",
        "prepare-write", "execute", "reset",      "status",   "step-down"};
};

/// A message to a backend server.
struct server_request {
    server_action action = server_action::forward;
    std::string id;   ///< request id of the caller's statement; empty for messages of the proxy itself
    std::string text; ///< forward: the statement; set_value: the value; prepare: the statement template;
                      ///< execute: the arguments
    std::string name; ///< of the session value or prepared statement
    /// The server answers `lagging` if its log does not contain this position.
    std::optional<position> required_position;
    term_number term = 0; ///< of a `step_down`
};

/// Replication state reported by a backend server.
struct server_status {
    bool is_primary = false;
    term_number term = 0;
    position received; ///< newest log position
};

using caller_id = std::uint64_t;
using connection_id = std::uint64_t; ///< of a connection to a backend server; 0 means none

} // namespace citronlug
