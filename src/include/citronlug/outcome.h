#pragma once

#include <citronlug/types.h>

#include <string>
#include <variant>

namespace citronlug {

/// What is known about the effect of a request.
enum class verdict {
    done,    ///< executed; the answer contains its whole result
    not_run, ///< certainly had no effect
    unknown, ///< may have had its effect; repeating the same request id may resolve it
};

template <>
struct name_table<verdict> {
    static constexpr std::array<std::string_view, 3> names{"done", "not run", "outcome unknown"};
};

/// Stable machine-readable cause of a failure; part of the client interface.
enum class failure_code {
    bad_request,       ///< malformed or incomplete request
    unauthorised,      ///< unknown, revoked or missing key
    forbidden,         ///< the key's client account may not do this
    no_route,          ///< unknown route, database or transaction
    rate_limited,      ///< the client account is over its rate
    overloaded,        ///< queue full, or the deadline cannot be met
    deadline_exceeded, ///< deadline passed before the work was started or answered
    too_stale,         ///< no member satisfies position or age within the deadline
    session_lost,      ///< the session's write is not in the history of the current term
    invalid_token,     ///< session token damaged, expired or of another client account
    no_authority,      ///< this instance has no authority to act now
    not_holder,        ///< the addressed instance does not hold the database
    no_primary,        ///< no primary accepts writes now
    statement_failed,  ///< the backend server refused the statement
    transaction_ended, ///< the transaction was rolled back or no longer exists
    connection_lost,   ///< the connection to the backend server failed during a statement
    duplicate_running, ///< a request with this id is in progress
    store_unavailable, ///< the platform store did not answer
    conflict,          ///< a conditional update failed because another one came first
    shutting_down,     ///< the instance is leaving
};

template <>
struct name_table<failure_code> {
    static constexpr std::array<std::string_view, 20> names{
        "bad-request",     "unauthorised",      "forbidden",         "no-route",         "rate-limited",
        "overloaded",      "deadline",          "too-stale",         "session-lost",     "invalid-token",
        "no-authority",    "not-holder",        "no-primary",        "statement-failed", "transaction-ended",
        "connection-lost", "duplicate-running", "store-unavailable", "conflict",         "shutting-down"};
};

/// A failed operation. The message never contains a key or a token.
struct failure {
    failure_code code{};
    std::string message;
    duration retry_after{}; ///< hint for the caller; zero means none
};

/// Value of an operation that can fail.
template <class T>
using result = std::variant<T, failure>;

/// True if the result holds a value.
template <class T>
[[nodiscard]] auto succeeded(const result<T>& outcome) -> bool {
    return std::holds_alternative<T>(outcome);
}

} // namespace citronlug
