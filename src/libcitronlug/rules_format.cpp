#include <citronlug/rules.h>

#include <fmt/format.h>

namespace citronlug {

namespace {

auto format_age(duration age) -> std::string {
    if (age % 1min == duration{}) {
        return fmt::format("{}m", age / 1min);
    }
    if (age % 1s == duration{}) {
        return fmt::format("{}s", age / 1s);
    }
    return fmt::format("{}ms", age / 1ms);
}

auto comment(const rule_origin& origin) -> std::string {
    return fmt::format("  # {}: {}", origin.requester, origin.reason);
}

template <class Id>
auto joined(const std::vector<Id>& ids) -> std::string {
    auto text = std::string{};
    for (const auto& it : ids) {
        text += (text.empty() ? "" : ",") + it.value;
    }
    return text;
}

auto format_rule(const database_rule& it) -> std::string {
    auto line =
        fmt::format("database {} cell={} members={}", it.database.value, it.cell.value, joined(it.members));
    if (!it.domains.empty()) {
        line += " domains=" + joined(it.domains);
    }
    return line + fmt::format(" slots={} connections={}", it.slots, it.connections) + comment(it.origin);
}

auto format_rule(const route_rule& it) -> std::string {
    auto line =
        fmt::format("route {} database={} mode={}", it.route.value, it.database.value, name_of(it.mode));
    if (it.mode == access_mode::write) {
        line += fmt::format(" idempotent={} ack={}", it.idempotent ? "yes" : "no", name_of(it.ack));
    }
    if (it.max_age) {
        line += " max-age=" + format_age(*it.max_age);
    }
    return line + (it.open ? " open=yes" : "") + comment(it.origin);
}

auto format_rule(const limit_rule& it) -> std::string {
    return fmt::format("limit {} rate={} burst={}", it.account.value, it.limit.rate, it.limit.burst) +
           comment(it.origin);
}

auto format_rule(const leave_rule& it) -> std::string {
    return fmt::format("leave server={}", it.server.value) + comment(it.origin);
}

template <class Map>
auto append_lines(std::string& text, const Map& rules) -> void {
    for (const auto& [name, rule] : rules) {
        text += format_rule(rule) + "\n";
    }
}

template <class Map>
auto append_difference(std::vector<std::string>& lines, const Map& before, const Map& after) -> void {
    for (const auto& [name, rule] : before) {
        if (after.count(name) == 0) {
            lines.push_back("- " + format_rule(rule));
        }
    }
    for (const auto& [name, rule] : after) {
        const auto old = before.find(name);
        if (old == before.end()) {
            lines.push_back("+ " + format_rule(rule));
        } else if (!(old->second == rule)) {
            lines.push_back("~ " + format_rule(rule));
        }
    }
}

} // namespace

auto format_rules(const rule_set& rules) -> std::string {
    auto text = std::string{};
    append_lines(text, rules.databases);
    append_lines(text, rules.routes);
    append_lines(text, rules.limits);
    append_lines(text, rules.leaves);
    return text;
}

auto format_error(const rule_error& error) -> std::string {
    return fmt::format("line {}, column {}: {}; accepted: {}", error.line, error.column, error.message,
                       error.accepted);
}

auto difference(const rule_set& before, const rule_set& after) -> std::vector<std::string> {
    auto lines = std::vector<std::string>{};
    append_difference(lines, before.databases, after.databases);
    append_difference(lines, before.routes, after.routes);
    append_difference(lines, before.limits, after.limits);
    append_difference(lines, before.leaves, after.leaves);
    return lines;
}

} // namespace citronlug
