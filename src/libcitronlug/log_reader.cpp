#include <citronlug/log_events.h>
#include <citronlug/log_reader.h>

#include <QDateTime>

#include <algorithm>
#include <set>

namespace citronlug {

namespace {

/// Events this long before a request can be the cause of its outcome: a change of primary, or of the
/// coordinator, takes up to 4 s.
constexpr auto lookback_us = std::int64_t{5'000'000};
/// Largest expected difference between the wall clocks of instances.
constexpr auto max_clock_skew_us = std::int64_t{500'000};

auto next_token(std::string_view& rest) -> std::string {
    const auto end = std::min(rest.find(' '), rest.size());
    const auto token = std::string{rest.substr(0, end)};
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return token;
}

/// Parses `name="value"` and the following space. Returns false if there is no field.
auto next_field(std::string_view& rest, std::map<std::string, std::string>& fields) -> bool {
    const auto equals = rest.find("=\"");
    if (equals == std::string_view::npos) {
        return false;
    }
    auto& value = fields[std::string{rest.substr(0, equals)}];
    rest.remove_prefix(equals + 2);
    while (!rest.empty() && rest.front() != '"') {
        if (rest.front() == '\\' && rest.size() > 1) {
            rest.remove_prefix(1);
        }
        value += rest.front();
        rest.remove_prefix(1);
    }
    rest.remove_prefix(std::min<std::size_t>(2, rest.size()));
    return true;
}

auto field(const log_line& line, const std::string& name) -> std::string {
    const auto it = line.fields.find(name);
    return it == line.fields.end() ? std::string{} : it->second;
}

/// Events that affect all requests of an instance.
auto is_instance_event(log_event event) -> bool {
    switch (event) {
    case log_event::process_started:
    case log_event::process_stopping:
    case log_event::process_stopped:
    case log_event::settings_reloaded:
    case log_event::dependency_lost:
    case log_event::dependency_regained:
    case log_event::rules_applied:
    case log_event::lines_dropped:
        return true;
    default:
        return false;
    }
}

auto is_change_step(log_event event) -> bool {
    switch (event) {
    case log_event::change_started:
    case log_event::change_released:
    case log_event::change_waiting:
    case log_event::change_ordered:
    case log_event::change_finished:
    case log_event::change_abandoned:
        return true;
    default:
        return false;
    }
}

} // namespace

auto read_log_line(const std::string& text) -> std::optional<log_line> {
    auto rest = std::string_view{text};
    auto line = log_line{};
    const auto time = QString::fromStdString(next_token(rest));
    const auto wall = QDateTime::fromString(time, Qt::ISODateWithMs);
    const auto level = next_token(rest);
    line.instance.value = next_token(rest);
    line.event = next_token(rest);
    if (!wall.isValid() || line.event.empty()) {
        return std::nullopt;
    }
    // QDateTime has millisecond precision; the last three digits before the Z are the microseconds.
    line.wall_us = wall.toMSecsSinceEpoch() * 1000 + time.mid(time.size() - 4, 3).toInt();
    while (!rest.empty() && next_field(rest, line.fields)) {
    }
    line.text = text;
    return line;
}

auto explain_request(const std::vector<log_line>& lines, const std::string& request)
    -> std::vector<log_line> {
    auto found = std::vector<log_line>{};
    auto instances = std::set<std::string>{};
    auto servers = std::set<std::string>{};
    for (const auto& it : lines) {
        if (field(it, "request") == request) {
            found.push_back(it);
            instances.insert(it.instance.value);
            servers.insert(field(it, "server"));
            servers.insert(field(it, "primary"));
        }
    }
    if (found.empty()) {
        return found;
    }
    servers.erase("");
    const auto by_time = [](const log_line& a, const log_line& b) {
        return a.wall_us < b.wall_us;
    };
    const auto [first, last] = std::minmax_element(found.begin(), found.end(), by_time);
    const auto from = first->wall_us - lookback_us;
    const auto to = last->wall_us + max_clock_skew_us;
    auto groups = std::set<std::string>{};
    for (const auto& it : lines) {
        if (servers.contains(field(it, "primary")) || servers.contains(field(it, "server"))) {
            groups.insert(field(it, "group"));
        }
    }
    groups.erase("");
    for (const auto& it : lines) {
        const auto event = value_of<log_event>(it.event);
        if (!event || it.wall_us < from || it.wall_us > to || !field(it, "request").empty()) {
            continue;
        }
        const auto same_group = groups.contains(field(it, "group"));
        const auto same_instance = instances.contains(it.instance.value);
        const auto is_server_event =
            *event == log_event::permit_lost || *event == log_event::permit_regained ||
            *event == log_event::primary_recorded || *event == log_event::server_unusable;
        if ((same_instance && (is_instance_event(*event) || (is_server_event && same_group))) ||
            (same_group && is_change_step(*event))) {
            found.push_back(it);
        }
    }
    std::stable_sort(found.begin(), found.end(), by_time);
    return found;
}

} // namespace citronlug
