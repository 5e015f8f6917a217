#pragma once

#include <citronlug/request.h>
#include <citronlug/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages of the session interface: a caller holds one connection with values, prepared statements and a
/// transaction of its own. The wire form belongs to a `wire_codec`.
namespace citronlug {

/// Group of backend servers that hold copies of one database.
using group_id = text_id<struct group_tag>;
/// Name under which a backend server registers itself; it outlives neither the server nor its address.
using server_id = text_id<struct server_tag>;

enum class session_verb {
    begin,
    begin_read, ///< a transaction that only reads
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

/// One statement of a caller.
struct session_statement {
    std::string id; ///< the caller's, repeated to the backend server
    session_verb verb = session_verb::malformed;
    std::string text; ///< as received; reads, writes and commits are forwarded unchanged
    std::string name; ///< of a session value or prepared statement
    std::string body; ///< set_value: the value; prepare: the shape; execute: the arguments
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

/// True for errors that promise the caller that nothing of its attempt is kept. Only work that certainly did
/// not run or was rolled back may end with one.
[[nodiscard]] auto guarantees_no_effect(session_error error) -> bool;

/// True for errors of a backend server after which the statement certainly did not run.
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

/// Whole answer to one statement, of a backend server or to a caller.
struct session_answer {
    std::vector<std::string> rows;
    std::string signature; ///< of the backend server; empty if the proxy answers itself
    std::optional<session_failure> error;
    transaction_state state = transaction_state::idle;
    std::optional<position> reached; ///< the server's log position, in answers of servers
};

enum class server_action {
    forward, ///< a caller's statement, with the caller's id
    begin,
    begin_read,
    rollback,
    set_value,
    prepare_read,
    prepare_write,
    execute, ///< a caller's statement under the connection's name of the prepared statement
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

/// One message to a backend server.
struct server_request {
    server_action action = server_action::forward;
    std::string id;   ///< of the caller's statement; empty for the proxy's own
    std::string text; ///< forward: the statement; set_value: the value; prepare: the shape
    std::string name; ///< of a value or prepared statement
    std::optional<position>
        required_position; ///< the server answers `lagging` if its log lacks this position
    term_number term = 0;  ///< step_down
};

/// What a server says of its replication.
struct server_status {
    bool is_primary = false;
    term_number term = 0;
    position received;
};

using caller_id = std::uint64_t;
using connection_id = std::uint64_t; ///< of a connection to a backend server; 0 means none

} // namespace citronlug
