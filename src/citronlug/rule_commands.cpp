#include "commands.h"

#include <citronlug/rules.h>

#include <QJsonArray>

#include <fmt/format.h>
#include <fmt/ostream.h>

#include <charconv>
#include <fstream>
#include <iterator>
#include <variant>

namespace citronlug {

namespace {

constexpr auto usage =
    "rules check FILE | diff FILE | apply FILE --base VERSION --summary TEXT [--wait] | show | history";

struct rules_file {
    std::string text;
    rule_set rules;
};

/// Reads and parses a rules file; reports its errors.
auto read_rules(const command_line& line, command_context& context) -> std::optional<rules_file> {
    const auto& name = line.arguments[2];
    auto in = std::ifstream{name, std::ios::binary};
    auto file = rules_file{{std::istreambuf_iterator<char>{in}, std::istreambuf_iterator<char>{}}, {}};
    if (!in.is_open() || in.bad()) {
        fmt::print(context.err, "cannot read {}\n", name);
        return std::nullopt;
    }
    auto parsed = parse_rules(file.text);
    if (auto* rules = std::get_if<rule_set>(&parsed); rules != nullptr) {
        file.rules = std::move(*rules);
        return file;
    }
    auto errors = QJsonArray{};
    for (const auto& it : std::get<std::vector<rule_error>>(parsed)) {
        fmt::print(context.err, "{}: {}\n", name, format_error(it));
        errors.append(QJsonObject{{"line", it.line},
                                  {"column", it.column},
                                  {"message", QString::fromStdString(it.message)},
                                  {"accepted", QString::fromStdString(it.accepted)}});
    }
    if (line.json) {
        print_json(context, {{"errors", errors}});
    }
    return std::nullopt;
}

auto check(const command_line& line, command_context& context) -> exit_code {
    const auto file = read_rules(line, context);
    if (!file) {
        return exit_code::failed;
    }
    if (line.json) {
        print_json(context, {{"errors", QJsonArray{}}});
    } else {
        const auto& rules = file->rules;
        fmt::print(context.out, "{}: no errors; {} databases, {} routes, {} limits, {} leaving servers\n",
                   line.arguments[2], rules.databases.size(), rules.routes.size(), rules.limits.size(),
                   rules.leaves.size());
    }
    return exit_code::done;
}

auto diff(const command_line& line, command_context& context) -> exit_code {
    const auto file = read_rules(line, context);
    if (!file) {
        return exit_code::failed;
    }
    const auto outcome = context.server.get("/rules");
    if (!outcome.succeeded()) {
        return report_failure(line, context, outcome);
    }
    const auto body = body_of(outcome);
    const auto before = parse_rules(body.value("text").toString().toStdString());
    const auto version = body.value("version").toInteger();
    if (!std::holds_alternative<rule_set>(before)) {
        fmt::print(context.err, "cannot parse the rules in force; use a newer version of citronlug\n");
        return exit_code::failed;
    }
    const auto changes = difference(std::get<rule_set>(before), file->rules);
    if (line.json) {
        auto lines = QJsonArray{};
        for (const auto& it : changes) {
            lines.append(QString::fromStdString(it));
        }
        print_json(context, {{"version", version}, {"lines", lines}});
        return exit_code::done;
    }
    for (const auto& it : changes) {
        fmt::print(context.out, "{}\n", it);
    }
    if (!body.value("from_store").toBool()) {
        fmt::print(context.err, "the store does not answer; compared with the rules in force at {}\n",
                   outcome.server);
    }
    fmt::print(context.err, "{} changes against version {}; apply them with: --base {}\n", changes.size(),
               version, version);
    return exit_code::done;
}

/// Value of `--base`; "newest" is resolved by the server. Reports errors.
auto base_version(const command_line& line, command_context& context) -> std::variant<qint64, exit_code> {
    const auto it = line.options.find("base");
    if (it == line.options.end()) {
        return report_usage(context,
                            "rules apply FILE --base VERSION --summary TEXT; `rules diff` shows the version");
    }
    if (it->second == "newest") {
        const auto outcome = context.server.get("/rules");
        if (!outcome.succeeded()) {
            return report_failure(line, context, outcome);
        }
        return body_of(outcome).value("version").toInteger();
    }
    auto version = qint64{0};
    const auto* last = it->second.data() + it->second.size();
    const auto [end, ec] = std::from_chars(it->second.data(), last, version);
    if (ec != std::errc{} || end != last || version < 0) {
        return report_usage(context, "rules apply FILE --base VERSION, a whole number or 'newest'");
    }
    return version;
}

auto apply(const command_line& line, command_context& context) -> exit_code {
    const auto summary = line.options.find("summary");
    if (summary == line.options.end()) {
        return report_usage(context, "rules apply FILE --base VERSION --summary TEXT [--wait]");
    }
    const auto file = read_rules(line, context);
    if (!file) {
        return exit_code::failed;
    }
    const auto base = base_version(line, context);
    if (const auto* code = std::get_if<exit_code>(&base); code != nullptr) {
        return *code;
    }
    const auto outcome =
        context.server.post("/rules", {{"text", QString::fromStdString(file->text)},
                                       {"expected_version", std::get<qint64>(base)},
                                       {"summary", QString::fromStdString(summary->second)}});
    if (!outcome.succeeded()) {
        return report_failure(line, context, outcome);
    }
    const auto answer = body_of(outcome);
    if (!line.json) {
        for (const auto& it : answer.value("change").toObject().value("lines").toArray()) {
            fmt::print(context.out, "{}\n", it.toString().toStdString());
        }
    }
    return finish_change(line, context, answer);
}

/// Fetches `path` and prints the response body: as JSON with `--json`, else by `print`.
template <class Print>
auto query_and_print(const command_line& line, command_context& context, const char* path, Print&& print)
    -> exit_code {
    const auto outcome = context.server.get(path);
    if (!outcome.succeeded()) {
        return report_failure(line, context, outcome);
    }
    const auto body = body_of(outcome);
    if (line.json) {
        print_json(context, body);
    } else {
        print(body, outcome.server);
    }
    return exit_code::done;
}

auto show(const command_line& line, command_context& context) -> exit_code {
    return query_and_print(line, context, "/rules", [&](const QJsonObject& body, const std::string& server) {
        // Only the rules go to standard output, so that they can be redirected to a file and edited.
        const auto text = body.value("text").toString().toStdString();
        context.out << text << (text.empty() || text.ends_with('\n') ? "" : "\n") << std::flush;
        fmt::print(context.err, "version {}{}\n", body.value("version").toInteger(),
                   body.value("from_store").toBool()
                       ? ""
                       : ", in force at " + server + "; the store does not answer");
    });
}

auto history(const command_line& line, command_context& context) -> exit_code {
    return query_and_print(line, context, "/history",
                           [&](const QJsonObject& body, const std::string& /*server*/) {
                               for (const auto& it : body.value("changes").toArray()) {
                                   print_change(context.out, it.toObject());
                               }
                           });
}

} // namespace

auto run_rules(const command_line& line, command_context& context) -> exit_code {
    const auto subcommand = line.arguments.size() > 1 ? line.arguments[1] : "";
    const auto has_file = line.arguments.size() == 3;
    if (subcommand == "check" && has_file) {
        return check(line, context);
    }
    if (subcommand == "diff" && has_file) {
        return diff(line, context);
    }
    if (subcommand == "apply" && has_file) {
        return apply(line, context);
    }
    if (subcommand == "show" && line.arguments.size() == 2) {
        return show(line, context);
    }
    if (subcommand == "history" && line.arguments.size() == 2) {
        return history(line, context);
    }
    return report_usage(context, usage);
}

} // namespace citronlug
