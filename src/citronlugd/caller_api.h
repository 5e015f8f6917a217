#pragma once

#include <citronlug/outcome.h>
#include <citronlug/request.h>

#include <QByteArray>
#include <QString>

#include <optional>
#include <string>

namespace citronlug {

/// Operation that the path of a caller's request selects.
struct caller_target {
    transaction_step step = transaction_step::none;
    route_id route;          ///< for a single statement or the begin of a transaction
    std::string transaction; ///< sealed id of an open transaction
};

/// Parsed body of a request.
struct caller_body {
    std::string request;
    duration deadline = 5s;
    std::string session;
    std::optional<duration> max_age;
    statement body;
};

/// Maximum deadline that a caller may request.
inline constexpr duration max_deadline = 60s;

/// Parses the path of a POST request. Fails with `no_route`.
[[nodiscard]] auto parse_target(const QString& path) -> result<caller_target>;
/// Parses a JSON body. Commit and rollback take no statement. Fails with `bad_request`, naming the field.
[[nodiscard]] auto parse_body(const QByteArray& text, transaction_step step) -> result<caller_body>;
/// The key in "Bearer KEY"; empty if the header has another form.
[[nodiscard]] auto bearer_key(const QByteArray& authorization) -> std::string_view;

/// Formats an answer as JSON. Empty session and transaction values are omitted.
[[nodiscard]] auto format_answer(const answer& value, const std::string& session,
                                 const std::string& transaction) -> QByteArray;
[[nodiscard]] auto http_status(const answer& value) -> int;

} // namespace citronlug
