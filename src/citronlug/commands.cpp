#include "commands.h"

#include <citronlug/log_reader.h>
#include <citronlug/types.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QUrl>
#include <QUrlQuery>

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <fstream>

namespace citronlug {

namespace {

constexpr duration poll_interval = 200ms;

auto text(const QJsonObject& object, const char* field) -> std::string {
    return object.value(QLatin1String(field)).toString().toStdString();
}

auto number(const QJsonObject& object, const char* field) -> qint64 {
    return object.value(QLatin1String(field)).toInteger();
}

auto yes_no(const QJsonObject& object, const char* field) -> const char* {
    return object.value(QLatin1String(field)).toBool() ? "yes" : "no";
}

auto option(const command_line& line, const std::string& name) -> std::string {
    const auto it = line.options.find(name);
    return it == line.options.end() ? std::string{} : it->second;
}

auto joined(const QJsonArray& values) -> std::string {
    auto line = std::string{};
    for (const auto& it : values) {
        const auto name = it.isObject() ? it.toObject().value("name").toString() : it.toString();
        line += (line.empty() ? "" : " ") + name.toStdString();
    }
    return line.empty() ? "none" : line;
}

} // namespace

auto print_change(std::ostream& out, const QJsonObject& change) -> void {
    fmt::print(out, "version {}  {}  {}: {}\n", number(change, "version"), text(change, "time"),
               text(change, "author"), text(change, "summary"));
    for (const auto& it : change.value("lines").toArray()) {
        fmt::print(out, "    {}\n", it.toString().toStdString());
    }
}

namespace {

auto print_status(std::ostream& out, const QJsonObject& it) -> void {
    fmt::print(out, "instance {}: cell {}, region {}, failure domain {}, up {} s\n", text(it, "instance"),
               text(it, "cell"), text(it, "region"), text(it, "failure_domain"), number(it, "uptime_s"));
    fmt::print(out, "authority {}, majority {}, store answers {}, leaving {}\n", yes_no(it, "authority"),
               yes_no(it, "majority"), yes_no(it, "store_answers"), yes_no(it, "leaving"));
    fmt::print(out, "configuration version {}, cell record version {}, {} connections of callers\n",
               number(it, "config_version"), number(it, "record_version"), number(it, "caller_connections"));
    const auto live = it.value("live").toArray();
    for (const auto& value : it.value("table").toArray()) {
        const auto member = value.toObject();
        fmt::print(out, "member {}: {}, failure domain {}, peers {}, administration {}\n",
                   text(member, "instance"), live.contains(member.value("instance")) ? "live" : "SILENT",
                   text(member, "failure_domain"), text(member, "peer_address"),
                   text(member, "admin_address"));
    }
    for (const auto& value : it.value("holders").toArray()) {
        const auto holder = value.toObject();
        const auto primary = text(holder, "primary");
        fmt::print(
            out,
            "database {}: primary {}, term {}, {} running, {} queued, {} reads ({} by replicas), {} writes, "
            "{} not run, {} unknown, {} connections, {} transactions\n",
            text(holder, "database"), primary.empty() ? "NONE" : primary, number(holder, "term"),
            number(holder, "running"), number(holder, "queued"), number(holder, "reads"),
            number(holder, "replica_reads"), number(holder, "writes"), number(holder, "not_run"),
            number(holder, "unknown"), number(holder, "open_connections"),
            number(holder, "open_transactions"));
        const auto ages = holder.value("evidence_age_ms").toObject();
        for (auto age = ages.begin(); age != ages.end(); ++age) {
            fmt::print(out, "    replica {}: data at most {:.0f} ms old\n", age.key().toStdString(),
                       age.value().toDouble());
        }
    }
    fmt::print(out, "standby for: {}\naccounts: {}\n", joined(it.value("standby_for").toArray()),
               joined(it.value("accounts").toArray()));
}

auto print_event(std::ostream& out, const QJsonObject& event) -> void {
    fmt::print(out, "{}  {}  {}  {}", text(event, "time"), text(event, "instance"), text(event, "kind"),
               text(event, "detail"));
    for (const auto* field : {"database", "account", "request"}) {
        if (const auto value = text(event, field); !value.empty()) {
            fmt::print(out, "  {}={}", field, value);
        }
    }
    fmt::print(out, "\n");
}

/// Fetches `path` and prints the response body: as JSON with `--json`, else by `print`.
template <class Print>
auto query_and_print(const command_line& line, command_context& context, const QString& path, Print&& print)
    -> exit_code {
    const auto outcome = context.server.get(path);
    if (!outcome.succeeded()) {
        return report_failure(line, context, outcome);
    }
    const auto body = body_of(outcome);
    if (line.json) {
        print_json(context, body);
    } else {
        print(body);
    }
    return exit_code::done;
}

auto issue(const command_line& line, command_context& context) -> exit_code {
    const auto requester = option(line, "requester");
    if (line.arguments.size() != 3 || requester.empty()) {
        return report_usage(context, "key issue ACCOUNT --requester 'WHO ASKED' [--wait]");
    }
    const auto outcome = context.server.post("/keys", {{"account", QString::fromStdString(line.arguments[2])},
                                                       {"requester", QString::fromStdString(requester)}});
    if (!outcome.succeeded()) {
        return report_failure(line, context, outcome);
    }
    const auto answer = body_of(outcome);
    if (answer.value("repeated").toBool()) {
        fmt::print(context.err,
                   "the key was issued, but the answer with its secret was lost; withdraw it and issue "
                   "another: {}\n",
                   text(answer.value("change").toObject(), "summary"));
        return exit_code::failed;
    }
    if (!line.json) {
        // Only the key goes to standard output, so that it can be piped.
        fmt::print(context.out, "{}\n", text(answer, "key"));
        fmt::print(context.err, "key {} of {} is shown this once\n", text(answer, "id"),
                   text(answer, "account"));
    }
    return finish_change(line, context, answer);
}

auto withdraw(const command_line& line, command_context& context) -> exit_code {
    const auto reason = option(line, "reason");
    if (line.arguments.size() != 3 || reason.empty()) {
        return report_usage(context, "key withdraw ID --reason 'WHY' [--wait]");
    }
    const auto id = QString::fromUtf8(QUrl::toPercentEncoding(QString::fromStdString(line.arguments[2])));
    const auto outcome =
        context.server.post("/keys/" + id + "/withdraw", {{"reason", QString::fromStdString(reason)}});
    if (!outcome.succeeded()) {
        return report_failure(line, context, outcome);
    }
    const auto answer = body_of(outcome);
    if (!line.json) {
        fmt::print(context.err, "key {} {}\n", text(answer, "id"),
                   answer.value("already").toBool() ? "was already withdrawn" : "is withdrawn");
    }
    return finish_change(line, context, answer);
}

auto run_key(const command_line& line, command_context& context) -> exit_code {
    const auto subcommand = line.arguments.size() > 1 ? line.arguments[1] : "";
    if (subcommand == "issue") {
        return issue(line, context);
    }
    if (subcommand == "withdraw") {
        return withdraw(line, context);
    }
    if (subcommand != "list" || line.arguments.size() != 2) {
        return report_usage(context, "key issue|withdraw|list");
    }
    const auto account = option(line, "account");
    return query_and_print(line, context, "/keys", [&](const QJsonObject& body) {
        for (const auto& it : body.value("keys").toArray()) {
            const auto key = it.toObject();
            if (account.empty() || account == text(key, "account")) {
                fmt::print(context.out, "{}  {}  {}  asked by {}\n", text(key, "id"), text(key, "account"),
                           text(key, "state"), text(key, "requester"));
            }
        }
    });
}

auto run_timeline(const command_line& line, command_context& context) -> exit_code {
    auto query = QUrlQuery{};
    for (const auto* name : {"database", "account", "request", "limit"}) {
        if (const auto value = option(line, name); !value.empty()) {
            query.addQueryItem(name,
                               QString::fromUtf8(QUrl::toPercentEncoding(QString::fromStdString(value))));
        }
    }
    return query_and_print(line, context, "/timeline?" + query.query(QUrl::FullyEncoded),
                           [&](const QJsonObject& body) {
                               for (const auto& it : body.value("events").toArray()) {
                                   print_event(context.out, it.toObject());
                               }
                           });
}

auto run_explain(const command_line& line, command_context& context) -> exit_code {
    auto lines = std::vector<log_line>{};
    for (auto n = std::size_t{2}; n < line.arguments.size(); ++n) {
        auto in = std::ifstream{line.arguments[n]};
        if (!in) {
            fmt::print(context.err, "cannot read {}\n", line.arguments[n]);
            return exit_code::failed;
        }
        for (auto text = std::string{}; std::getline(in, text);) {
            if (auto it = read_log_line(text)) {
                lines.push_back(std::move(*it));
            }
        }
    }
    const auto found = explain_request(lines, line.arguments[1]);
    for (const auto& it : found) {
        fmt::print(context.out, "{}\n", it.text);
    }
    if (found.empty()) {
        fmt::print(context.err,
                   "request {} was not found in the logs; only some of the served requests are logged\n",
                   line.arguments[1]);
    }
    return found.empty() ? exit_code::failed : exit_code::done;
}

/// Messages about instances on which `version` is not known to be in force.
auto outdated_instances(const QJsonObject& versions, qint64 version) -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    for (const auto& value : versions.value("instances").toArray()) {
        const auto it = value.toObject();
        if (!it.value("reachable").toBool()) {
            names.push_back(text(it, "instance") + " does not answer");
        } else if (number(it, "version") < version) {
            names.push_back(fmt::format("{} has version {}", text(it, "instance"), number(it, "version")));
        }
    }
    return names;
}

} // namespace

auto report_usage(command_context& context, const std::string& message) -> exit_code {
    fmt::print(context.err, "usage: citronlug {}\n", message);
    return exit_code::usage;
}

auto body_of(const call_result& outcome) -> QJsonObject {
    return QJsonDocument::fromJson(outcome.body).object();
}

auto print_json(command_context& context, const QJsonObject& object) -> void {
    context.out << QJsonDocument{object}.toJson(QJsonDocument::Indented).toStdString();
}

auto report_failure(const command_line& line, command_context& context, const call_result& outcome)
    -> exit_code {
    if (outcome.status != call_status::answered) {
        const auto* effect = outcome.status == call_status::not_sent
                                 ? "nothing was changed"
                                 : "the outcome is unknown; see `citronlug rules history`";
        fmt::print(context.err, "no answer from {}; {}\n", outcome.message, effect);
        return exit_code::failed;
    }
    const auto body = body_of(outcome);
    if (line.json) {
        print_json(context, body);
    }
    const auto error = body.value("error").toObject();
    fmt::print(context.err, "{}: {} ({})\n", outcome.server,
               error.isEmpty() ? fmt::format("HTTP status {}", outcome.http_status) : text(error, "message"),
               text(error, "code"));
    for (const auto& it : body.value("errors").toArray()) {
        const auto fault = it.toObject();
        fmt::print(context.err, "line {}, column {}: {}; accepted: {}\n", number(fault, "line"),
                   number(fault, "column"), text(fault, "message"), text(fault, "accepted"));
    }
    if (outcome.http_status != 409) {
        return exit_code::failed;
    }
    fmt::print(context.err, "changed meanwhile:\n");
    for (const auto& it : body.value("meanwhile").toArray()) {
        print_change(context.err, it.toObject());
    }
    if (!body.value("meanwhile_complete").toBool()) {
        fmt::print(context.err, "older changes are no longer in the history\n");
    }
    return exit_code::conflict;
}

auto finish_change(const command_line& line, command_context& context, QJsonObject answer) -> exit_code {
    const auto version = number(answer, "version");
    const auto confirmed = answer.value("confirmed").toBool();
    auto outdated = std::vector<std::string>{};
    auto in_force = false;
    if (line.wait) {
        for (auto waited = duration{}; !in_force; waited += poll_interval) {
            const auto outcome = context.server.get("/versions");
            outdated = outcome.succeeded()
                           ? outdated_instances(body_of(outcome), version)
                           : std::vector<std::string>{"the versions in force could not be read"};
            in_force = outdated.empty();
            if (!in_force && waited >= line.wait_time) {
                break;
            }
            if (!in_force) {
                context.server.pause(poll_interval);
            }
        }
        answer.insert("in_force", in_force);
    }
    if (line.json) {
        print_json(context, answer);
    } else {
        fmt::print(context.err, "version {} {}\n", version,
                   answer.value("already").toBool() ? "already contains the change" : "is accepted");
        if (in_force) {
            fmt::print(context.err, "version {} is in force at all instances\n", version);
        }
    }
    if (const auto warning = text(answer, "warning"); !warning.empty()) {
        fmt::print(context.err, "warning: {}\n", warning);
    }
    for (const auto& it : outdated) {
        fmt::print(context.err, "not in force: {}\n", it);
    }
    return (line.wait ? in_force : confirmed) ? exit_code::done : exit_code::not_in_force;
}

auto run_command(const command_line& line, command_context& context) -> exit_code {
    const auto command = line.arguments.empty() ? "" : line.arguments.front();
    if (command == "rules") {
        return run_rules(line, context);
    }
    if (command == "key") {
        return run_key(line, context);
    }
    if (line.arguments.size() == 1 && command == "status") {
        return query_and_print(line, context, "/status",
                               [&](const QJsonObject& it) { print_status(context.out, it); });
    }
    if (line.arguments.size() == 1 && command == "timeline") {
        return run_timeline(line, context);
    }
    if (line.arguments.size() > 2 && command == "explain") {
        return run_explain(line, context);
    }
    if (line.arguments.size() == 1 && command == "versions") {
        return query_and_print(line, context, "/versions", [&](const QJsonObject& body) {
            for (const auto& value : body.value("instances").toArray()) {
                const auto it = value.toObject();
                fmt::print(context.out, "{}  cell {}  version {}{}\n", text(it, "instance"), text(it, "cell"),
                           number(it, "version"), it.value("reachable").toBool() ? "" : "  does not answer");
            }
        });
    }
    if (line.arguments.size() == 1 && command == "metrics") {
        const auto outcome = context.server.get("/metrics");
        if (!outcome.succeeded()) {
            return report_failure(line, context, outcome);
        }
        context.out << outcome.body.toStdString();
        return exit_code::done;
    }
    return report_usage(context,
                        "rules|key|status|versions|timeline|explain|metrics ... (see citronlug --help)");
}

} // namespace citronlug
