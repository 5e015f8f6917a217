#include "caller_api.h"

#include "http_status.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <cmath>

#include <fmt/format.h>

namespace citronlug {

namespace {

constexpr auto max_id_bytes = 128;
constexpr auto max_token_bytes = 2048;
constexpr auto max_parameters = 1000;

auto bad_request(std::string message) -> failure {
    return failure{failure_code::bad_request, std::move(message), {}};
}

/// Parses a whole number of milliseconds between `min` and `max`.
auto parse_ms(const QJsonValue& value, const char* name, duration min, duration max) -> result<duration> {
    const auto n = value.toDouble(-1);
    if (!value.isDouble() || n != std::floor(n) || n < static_cast<double>(min / 1ms) ||
        n > static_cast<double>(max / 1ms)) {
        return bad_request(
            fmt::format("{} must be a whole number from {} to {}", name, min / 1ms, max / 1ms));
    }
    return duration{static_cast<std::int64_t>(n) * 1000};
}

auto parse_text(const QJsonValue& value, const char* name, int max_bytes) -> result<std::string> {
    if (!value.isString()) {
        return bad_request(fmt::format("{} must be a string", name));
    }
    auto text = value.toString().toStdString();
    if (text.size() > static_cast<std::size_t>(max_bytes)) {
        return bad_request(fmt::format("{} must not be longer than {} bytes", name, max_bytes));
    }
    // PostgreSQL text cannot contain a zero byte, and libpq would truncate the text there.
    if (text.find('\0') != std::string::npos) {
        return bad_request(fmt::format("{} must not contain a zero character", name));
    }
    return text;
}

auto parse_parameter(const QJsonValue& value, int n) -> result<std::optional<std::string>> {
    switch (value.type()) {
    case QJsonValue::Null:
        return std::optional<std::string>{};
    case QJsonValue::Bool:
        return std::optional<std::string>{value.toBool() ? "true" : "false"};
    case QJsonValue::Double: {
        const auto number = value.toDouble();
        constexpr auto max_exact_integer = 9007199254740992.0; // 2^53
        if (number == std::floor(number) && std::abs(number) <= max_exact_integer) {
            return std::optional<std::string>{std::to_string(static_cast<std::int64_t>(number))};
        }
        return std::optional<std::string>{fmt::format("{}", number)};
    }
    case QJsonValue::String: {
        auto text = parse_text(value, "a parameter", 1'000'000);
        if (auto* error = std::get_if<failure>(&text)) {
            return *error;
        }
        return std::optional<std::string>{std::move(std::get<std::string>(text))};
    }
    default:
        return bad_request(fmt::format("parameters[{}] must be a string, number, boolean or null", n));
    }
}

auto parse_field(const QString& name, const QJsonValue& value, bool has_statement, caller_body& to)
    -> std::optional<failure> {
    if (name == "request_id") {
        auto text = parse_text(value, "request_id", max_id_bytes);
        if (auto* error = std::get_if<failure>(&text)) {
            return *error;
        }
        to.request = std::move(std::get<std::string>(text));
        if (to.request.empty()) {
            return bad_request("request_id must not be empty");
        }
    } else if (name == "deadline_ms") {
        const auto time = parse_ms(value, "deadline_ms", 1ms, max_deadline);
        if (const auto* error = std::get_if<failure>(&time)) {
            return *error;
        }
        to.deadline = std::get<duration>(time);
    } else if (name == "session") {
        auto text = parse_text(value, "session", max_token_bytes);
        if (auto* error = std::get_if<failure>(&text)) {
            return *error;
        }
        to.session = std::move(std::get<std::string>(text));
    } else if (name == "max_age_ms") {
        const auto time = parse_ms(value, "max_age_ms", 0ms, 24h);
        if (const auto* error = std::get_if<failure>(&time)) {
            return *error;
        }
        to.max_age = std::get<duration>(time);
    } else if (name == "sql" && has_statement) {
        auto text = parse_text(value, "sql", 1'000'000);
        if (auto* error = std::get_if<failure>(&text)) {
            return *error;
        }
        to.body.text = std::move(std::get<std::string>(text));
    } else if (name == "parameters" && has_statement) {
        if (!value.isArray() || value.toArray().size() > max_parameters) {
            return bad_request("parameters must be an array of at most 1000 values");
        }
        const auto values = value.toArray();
        for (auto n = 0; n < values.size(); ++n) {
            auto parameter = parse_parameter(values[n], n);
            if (auto* error = std::get_if<failure>(&parameter)) {
                return *error;
            }
            to.body.parameters.push_back(std::move(std::get<std::optional<std::string>>(parameter)));
        }
    } else {
        return bad_request(
            fmt::format("unknown field \"{}\"; accepted: request_id, deadline_ms, session, max_age_ms{}",
                        name.left(40).toStdString(), has_statement ? ", sql, parameters" : ""));
    }
    return std::nullopt;
}

auto to_json(const std::string& text) -> QJsonValue {
    return QString::fromStdString(text);
}

} // namespace

auto parse_target(const QString& path) -> result<caller_target> {
    const auto parts = path.split('/');
    const auto unknown =
        failure{failure_code::no_route, "there is no such path in the callers' interface", {}};
    if (parts.size() < 4 || !parts[0].isEmpty() || parts[1] != "v1" || parts[3].isEmpty()) {
        return unknown;
    }
    auto target = caller_target{};
    if (parts[2] == "routes") {
        target.route = route_id{parts[3].toStdString()};
        if (parts.size() == 4) {
            return target;
        }
        if (parts.size() == 5 && parts[4] == "transactions") {
            target.step = transaction_step::begin;
            return target;
        }
    } else if (parts[2] == "transactions" && parts.size() == 5) {
        target.transaction = parts[3].toStdString();
        if (parts[4] == "statements") {
            target.step = transaction_step::run;
            return target;
        }
        if (parts[4] == "commit" || parts[4] == "rollback") {
            target.step = parts[4] == "commit" ? transaction_step::commit : transaction_step::rollback;
            return target;
        }
    }
    return unknown;
}

auto parse_body(const QByteArray& text, transaction_step step) -> result<caller_body> {
    const auto has_statement = step == transaction_step::none || step == transaction_step::run;
    auto body = caller_body{};
    if (!has_statement && text.isEmpty()) {
        return body;
    }
    auto error = QJsonParseError{};
    const auto document = QJsonDocument::fromJson(text, &error);
    if (error.error != QJsonParseError::NoError) {
        return bad_request(fmt::format("the body is not valid JSON at byte {}: {}", error.offset,
                                       error.errorString().toStdString()));
    }
    if (!document.isObject()) {
        return bad_request("the body must be a JSON object");
    }
    const auto object = document.object();
    for (auto it = object.begin(); it != object.end(); ++it) {
        if (auto fault = parse_field(it.key(), it.value(), has_statement, body)) {
            return *fault;
        }
    }
    if (has_statement && body.body.text.empty()) {
        return bad_request("sql is missing or empty");
    }
    return body;
}

auto bearer_key(const QByteArray& authorization) -> std::string_view {
    constexpr auto prefix = std::string_view{"Bearer "};
    const auto text =
        std::string_view{authorization.constData(), static_cast<std::size_t>(authorization.size())};
    return text.starts_with(prefix) ? text.substr(prefix.size()) : std::string_view{};
}

auto format_answer(const answer& value, const std::string& session, const std::string& transaction)
    -> QByteArray {
    const auto outcome = name_of(value.outcome);
    auto object =
        QJsonObject{{"outcome", QString::fromUtf8(outcome.data(), static_cast<qsizetype>(outcome.size()))}};
    if (value.error) {
        const auto code = name_of(value.error->code);
        object["code"] = QString::fromUtf8(code.data(), static_cast<qsizetype>(code.size()));
        object["message"] = to_json(value.error->message);
        object["retry_after_ms"] = static_cast<qint64>(value.error->retry_after / 1ms);
    }
    if (value.outcome == verdict::done) {
        auto columns = QJsonArray{};
        for (const auto& it : value.rows.columns) {
            columns.append(to_json(it));
        }
        auto rows = QJsonArray{};
        for (const auto& row : value.rows.rows) {
            auto cells = QJsonArray{};
            for (const auto& cell : row) {
                cells.append(cell ? to_json(*cell) : QJsonValue{});
            }
            rows.append(cells);
        }
        object["columns"] = columns;
        object["rows"] = rows;
        object["affected"] = static_cast<qint64>(value.rows.affected);
        object["from_replica"] = value.from_replica;
        object["data_age_ms"] =
            static_cast<qint64>(std::chrono::ceil<std::chrono::milliseconds>(value.data_age).count());
        object["replayed"] = value.replayed;
    }
    if (!value.served_by.empty()) {
        object["served_by"] = to_json(value.served_by.value);
    }
    if (!session.empty()) {
        object["session"] = to_json(session);
    }
    if (!transaction.empty()) {
        object["transaction"] = to_json(transaction);
    }
    return QJsonDocument{object}.toJson(QJsonDocument::Compact);
}

auto http_status(const answer& value) -> int {
    if (value.outcome == verdict::done) {
        return 200;
    }
    if (value.outcome == verdict::unknown) {
        return 504;
    }
    return http_status(value.error ? value.error->code : failure_code::overloaded);
}

} // namespace citronlug
