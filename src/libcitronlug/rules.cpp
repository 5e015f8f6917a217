#include <citronlug/rules.h>

#include "numbers.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <string_view>

namespace citronlug {

namespace {

constexpr auto database_syntax =
    "database NAME cell=CELL members=IP:PORT,... [domains=NAME,...] [slots=1..1000] "
    "[connections=5..10000]  # who asked: why";
constexpr auto route_syntax = "route NAME database=NAME mode=read|write [max-age=N(ms|s|m)] [open=yes|no] "
                              "[idempotent=yes|no] [ack=primary|replica]  # who asked: why";
constexpr auto limit_syntax = "limit ACCOUNT rate=N burst=N  # who asked: why";
constexpr auto leave_syntax = "leave server=IP:PORT  # who asked: why";
constexpr auto name_syntax = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit";
constexpr auto address_syntax = "numeric IP:PORT, for example 127.0.0.1:6001 or [::1]:6001";
constexpr auto age_syntax = "a whole number with unit ms, s or m, from 1ms to 1440m, for example 5s";
constexpr std::size_t max_line_bytes = 4000;
/// Connections per member that the holder reserves for the standby, health probes and a takeover.
constexpr int reserved_connections = 4;
constexpr duration max_accepted_age = 24h;

auto is_space(char c) -> bool {
    return c == ' ' || c == '\t';
}

auto trim(std::string_view text) -> std::string_view {
    while (!text.empty() && is_space(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && is_space(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

auto is_name(std::string_view text) -> bool {
    const auto alnum = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    };
    return !text.empty() && text.size() <= 64 && alnum(text.front()) &&
           std::all_of(text.begin(), text.end(),
                       [&](char c) { return alnum(c) || c == '.' || c == '_' || c == '-'; });
}

auto parse_age(std::string_view text) -> std::optional<duration> {
    auto n = std::int64_t{0};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || n < 1 || n > 100'000'000) {
        return std::nullopt;
    }
    const auto unit = text.substr(static_cast<std::size_t>(end - text.data()));
    auto age = duration{};
    if (unit == "ms") {
        age = std::chrono::milliseconds{n};
    } else if (unit == "s") {
        age = std::chrono::seconds{n};
    } else if (unit == "m") {
        age = std::chrono::minutes{n};
    } else {
        return std::nullopt;
    }
    return age <= max_accepted_age ? std::optional{age} : std::nullopt;
}

auto split_list(std::string_view text) -> std::vector<std::string_view> {
    auto parts = std::vector<std::string_view>{};
    while (true) {
        const auto comma = text.find(',');
        parts.push_back(text.substr(0, comma));
        if (comma == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(comma + 1);
    }
}

/// Token of a line with its column, counted from 1.
struct token {
    std::string_view text;
    int column = 1;
};

/// Parser of one line: splits it into tokens and `key=value` options and collects errors.
class line_reader {
public:
    line_reader(std::string_view line, int number, std::vector<rule_error>& errors)
        : line_(line)
        , number_(number)
        , errors_(errors) {}

    auto fail(int column, std::string message, std::string accepted) -> void {
        errors_.push_back({number_, column, std::move(message), std::move(accepted)});
        failed_ = true;
    }

    [[nodiscard]] auto failed() const -> bool { return failed_; }
    [[nodiscard]] auto tokens() const -> const std::vector<token>& { return tokens_; }
    [[nodiscard]] auto origin() const -> const rule_origin& { return origin_; }

    /// Splits the line into tokens and comment. Returns false if the line contains no rule.
    auto split() -> bool {
        const auto hash = line_.find('#');
        const auto body = line_.substr(0, hash);
        for (std::size_t n = 0; n < body.size();) {
            if (is_space(body[n])) {
                ++n;
                continue;
            }
            const auto end =
                std::find_if(body.begin() + static_cast<std::ptrdiff_t>(n), body.end(), is_space);
            const auto length = static_cast<std::size_t>(end - body.begin()) - n;
            tokens_.push_back({body.substr(n, length), static_cast<int>(n) + 1});
            n += length;
        }
        if (tokens_.empty()) {
            return false;
        }
        read_origin(hash);
        return true;
    }

    /// Parses the options after the first `skip` tokens. Unknown and duplicate options are errors.
    auto read_options(std::size_t skip, const std::vector<std::string_view>& known, const char* syntax)
        -> void {
        for (auto n = skip; n < tokens_.size(); ++n) {
            const auto& it = tokens_[n];
            const auto equals = it.text.find('=');
            const auto key = it.text.substr(0, equals);
            if (equals == std::string_view::npos) {
                fail(it.column, fmt::format("'{}' is not of the form key=value", it.text), syntax);
            } else if (std::find(known.begin(), known.end(), key) == known.end()) {
                fail(it.column, fmt::format("unknown option '{}'", key),
                     fmt::format("{}", fmt::join(known, ", ")));
            } else if (!options_
                            .emplace(key, token{it.text.substr(equals + 1),
                                                it.column + static_cast<int>(equals) + 1})
                            .second) {
                fail(it.column, fmt::format("duplicate option '{}'", key), syntax);
            }
        }
    }

    [[nodiscard]] auto find(std::string_view key) const -> const token* {
        const auto it = options_.find(key);
        return it == options_.end() ? nullptr : &it->second;
    }

    [[nodiscard]] auto column_of(std::string_view key) const -> int {
        const auto* found = find(key);
        return found == nullptr ? tokens_.front().column : found->column;
    }

    auto require(std::string_view key, const char* syntax) -> const token* {
        const auto* found = find(key);
        if (found == nullptr) {
            fail(tokens_.back().column + static_cast<int>(tokens_.back().text.size()),
                 fmt::format("option '{}' is missing", key), syntax);
        }
        return found;
    }

    /// Name in the token; reports an error if it is not a valid name.
    auto name(const token& it, const char* kind_name) -> std::string {
        if (!is_name(it.text)) {
            fail(it.column, fmt::format("'{}' is not a valid {}", it.text, kind_name), name_syntax);
        }
        return std::string{it.text};
    }

    auto required_name(std::string_view key, const char* kind_name, const char* syntax) -> std::string {
        const auto* found = require(key, syntax);
        return found == nullptr ? std::string{} : name(*found, kind_name);
    }

    auto address(const token& it) -> member_id {
        if (!is_address(it.text)) {
            fail(it.column, fmt::format("'{}' is not a valid address", it.text), address_syntax);
        }
        return member_id{std::string{it.text}};
    }

    auto whole_number(std::string_view key, int fallback, int min_value, int max_value) -> int {
        const auto* found = find(key);
        if (found == nullptr) {
            return fallback;
        }
        const auto value = parse_whole_number(found->text);
        if (!value || *value < min_value || *value > max_value) {
            fail(found->column, fmt::format("invalid value '{}' for '{}'", found->text, key),
                 fmt::format("a whole number from {} to {}", min_value, max_value));
            return fallback;
        }
        return static_cast<int>(*value);
    }

    auto decimal(std::string_view key, double min_value, double max_value, const char* syntax) -> double {
        const auto* found = require(key, syntax);
        if (found == nullptr) {
            return min_value;
        }
        const auto value = parse_decimal(found->text);
        if (!value || !(*value >= min_value && *value <= max_value)) {
            fail(found->column, fmt::format("invalid value '{}' for '{}'", found->text, key),
                 fmt::format("a number from {} to {}", min_value, max_value));
            return min_value;
        }
        return *value;
    }

    auto yes_or_no(std::string_view key, bool fallback) -> bool {
        const auto* found = find(key);
        if (found != nullptr && found->text != "yes" && found->text != "no") {
            fail(found->column, fmt::format("invalid value '{}' for '{}'", found->text, key), "yes, no");
        }
        return found == nullptr ? fallback : found->text == "yes";
    }

    template <class Enum>
    auto choice(std::string_view key, Enum fallback) -> Enum {
        const auto* found = find(key);
        if (found == nullptr) {
            return fallback;
        }
        const auto value = value_of<Enum>(found->text);
        if (!value) {
            fail(found->column, fmt::format("invalid value '{}' for '{}'", found->text, key),
                 fmt::format("{}", fmt::join(name_table<Enum>::names, ", ")));
        }
        return value.value_or(fallback);
    }

private:
    auto read_origin(std::size_t hash) -> void {
        origin_.line = number_;
        if (hash == std::string_view::npos) {
            fail(static_cast<int>(line_.size()) + 1,
                 "the comment that names who asked for the rule is missing", "# who asked: why");
            return;
        }
        const auto comment = line_.substr(hash + 1);
        const auto colon = comment.find(':');
        const auto requester = trim(comment.substr(0, colon));
        const auto reason =
            colon == std::string_view::npos ? std::string_view{} : trim(comment.substr(colon + 1));
        if (requester.empty() || reason.empty()) {
            fail(static_cast<int>(hash) + 1, "the comment does not name who asked and why",
                 "# who asked: why");
        }
        origin_.requester = requester;
        origin_.reason = reason;
    }

    std::string_view line_;
    int number_;
    std::vector<rule_error>& errors_;
    bool failed_ = false;
    std::vector<token> tokens_;
    std::map<std::string_view, token> options_;
    rule_origin origin_;
};

/// Location of a rule in the file, for errors found across rules.
struct location {
    int line = 0;
    int column = 0;
};

class file_reader {
public:
    auto read(std::string_view text) -> void {
        auto number = 0;
        while (!text.empty()) {
            const auto end = text.find('\n');
            auto line = text.substr(0, end);
            text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
            if (line.ends_with('\r')) {
                line.remove_suffix(1);
            }
            read_line(line, ++number);
        }
        check_references();
    }

    [[nodiscard]] auto take() -> std::variant<rule_set, std::vector<rule_error>> {
        if (errors_.empty()) {
            return std::move(rules_);
        }
        std::stable_sort(errors_.begin(), errors_.end(), [](const auto& a, const auto& b) {
            return std::pair{a.line, a.column} < std::pair{b.line, b.column};
        });
        return std::move(errors_);
    }

private:
    auto read_line(std::string_view line, int number) -> void {
        auto in = line_reader{line, number, errors_};
        const auto control = std::find_if(line.begin(), line.end(), [](char c) {
            return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
        });
        if (control != line.end()) {
            return in.fail(static_cast<int>(control - line.begin()) + 1,
                           "the line contains a control character", "printable text");
        }
        if (line.size() > max_line_bytes) {
            return in.fail(static_cast<int>(max_line_bytes) + 1, "the line is too long",
                           fmt::format("at most {} bytes", max_line_bytes));
        }
        if (!in.split()) {
            return;
        }
        const auto kind = in.tokens().front();
        if (kind.text == "database") {
            read_database(in);
        } else if (kind.text == "route") {
            read_route(in);
        } else if (kind.text == "limit") {
            read_limit(in);
        } else if (kind.text == "leave") {
            read_leave(in);
        } else {
            in.fail(
                kind.column, fmt::format("unknown rule '{}'", kind.text),
                fmt::format("{} | {} | {} | {}", database_syntax, route_syntax, limit_syntax, leave_syntax));
        }
    }

    /// Second token of the line: the name of the object that the rule defines.
    static auto subject_name(line_reader& in, const char* kind_name, const char* syntax) -> std::string {
        const auto& tokens = in.tokens();
        if (tokens.size() < 2 || tokens[1].text.find('=') != std::string_view::npos) {
            in.fail(tokens.front().column + static_cast<int>(tokens.front().text.size()),
                    fmt::format("the {} is missing", kind_name), syntax);
            return {};
        }
        return in.name(tokens[1], kind_name);
    }

    static auto options_start(const line_reader& in) -> std::size_t {
        const auto& tokens = in.tokens();
        return tokens.size() > 1 && tokens[1].text.find('=') == std::string_view::npos ? 2 : 1;
    }

    /// Adds the rule and records its location; a duplicate name is an error.
    template <class Map, class Key, class Rule>
    auto add(line_reader& in, Map& map, const char* kind_name, Key key, Rule rule, std::size_t name_token)
        -> void {
        const auto& tokens = in.tokens();
        const auto column = tokens[std::min(name_token, tokens.size() - 1)].column;
        if (key.empty()) {
            return;
        }
        const auto line = rule.origin.line;
        const auto [first, added] = locations_.try_emplace({kind_name, key.value}, location{line, column});
        if (!added) {
            return in.fail(column,
                           fmt::format("{} '{}' is already defined on line {}", kind_name, key.value,
                                       first->second.line),
                           fmt::format("one rule per {}", kind_name));
        }
        map.emplace(std::move(key), std::move(rule));
    }

    auto read_database(line_reader& in) -> void {
        auto rule = database_rule{};
        rule.database = database_id{subject_name(in, "database name", database_syntax)};
        in.read_options(options_start(in), {"cell", "members", "domains", "slots", "connections"},
                        database_syntax);
        rule.cell = cell_id{in.required_name("cell", "cell name", database_syntax)};
        if (const auto* members = in.require("members", database_syntax); members != nullptr) {
            auto column = members->column;
            for (const auto part : split_list(members->text)) {
                const auto member = in.address({part, column});
                if (std::find(rule.members.begin(), rule.members.end(), member) != rule.members.end()) {
                    in.fail(column, fmt::format("duplicate member '{}'", part), "each member once");
                }
                rule.members.push_back(member);
                column += static_cast<int>(part.size()) + 1;
            }
        }
        if (const auto* domains = in.find("domains"); domains != nullptr) {
            auto column = domains->column;
            for (const auto part : split_list(domains->text)) {
                rule.domains.push_back(failure_domain{in.name({part, column}, "failure domain")});
                column += static_cast<int>(part.size()) + 1;
            }
            if (rule.domains.size() != rule.members.size()) {
                in.fail(domains->column,
                        fmt::format("{} failure domains for {} members", rule.domains.size(),
                                    rule.members.size()),
                        "one failure domain per member, in the same order");
            }
        }
        rule.slots = in.whole_number("slots", rule.slots, 1, 1000);
        rule.connections = in.whole_number("connections", rule.connections, 5, 10'000);
        if (!in.failed() && rule.connections < rule.slots + reserved_connections) {
            in.fail(in.column_of("connections"), "too few connections for the slots",
                    fmt::format("connections of at least slots + {}", reserved_connections));
        }
        rule.origin = in.origin();
        add(in, rules_.databases, "database", rule.database, rule, 1);
    }

    auto read_route(line_reader& in) -> void {
        auto rule = route_rule{};
        rule.route = route_id{subject_name(in, "route name", route_syntax)};
        in.read_options(options_start(in), {"database", "mode", "max-age", "open", "idempotent", "ack"},
                        route_syntax);
        rule.database = database_id{in.required_name("database", "database name", route_syntax)};
        in.require("mode", route_syntax);
        rule.mode = in.choice("mode", access_mode::read);
        const auto reads = rule.mode == access_mode::read;
        rule.idempotent = in.yes_or_no("idempotent", reads);
        rule.ack = in.choice("ack", ack_mode::primary);
        rule.open = in.yes_or_no("open", false);
        if (const auto* age = in.find("max-age"); age != nullptr) {
            rule.max_age = parse_age(age->text);
            if (!rule.max_age) {
                in.fail(age->column, fmt::format("invalid value '{}' for 'max-age'", age->text), age_syntax);
            }
        }
        if (reads && !rule.idempotent) {
            in.fail(in.column_of("idempotent"), "a read route is always idempotent",
                    "idempotent=no with mode=write");
        }
        if (reads && in.find("ack") != nullptr) {
            in.fail(in.column_of("ack"), "a read route has no acknowledgement", "ack with mode=write");
        }
        if (!reads && in.find("max-age") != nullptr) {
            in.fail(in.column_of("max-age"), "a write route always uses the primary",
                    "max-age with mode=read");
        }
        // Request ids and rate limits are per client account, which a request without a key lacks.
        if (!reads && rule.open) {
            in.fail(in.column_of("open"), "a write route cannot be open to all", "open=yes with mode=read");
        }
        rule.origin = in.origin();
        database_columns_[rule.route] = in.column_of("database");
        add(in, rules_.routes, "route", rule.route, rule, 1);
    }

    auto read_limit(line_reader& in) -> void {
        auto rule = limit_rule{};
        rule.account = account_id{subject_name(in, "client account", limit_syntax)};
        in.read_options(options_start(in), {"rate", "burst"}, limit_syntax);
        rule.limit.rate = in.decimal("rate", 0.001, 1'000'000, limit_syntax);
        // A burst below 1 would never admit a request.
        rule.limit.burst = in.decimal("burst", 1, 1'000'000, limit_syntax);
        rule.origin = in.origin();
        add(in, rules_.limits, "limit", rule.account, rule, 1);
    }

    auto read_leave(line_reader& in) -> void {
        auto rule = leave_rule{};
        in.read_options(1, {"server"}, leave_syntax);
        if (const auto* server = in.require("server", leave_syntax); server != nullptr) {
            rule.server = in.address(*server);
        }
        rule.origin = in.origin();
        add(in, rules_.leaves, "leave", rule.server, rule, 1);
    }

    auto add_error_at(location where, std::string message, std::string accepted) -> void {
        errors_.push_back({where.line, where.column, std::move(message), std::move(accepted)});
    }

    /// Checks references between rules. A rule with an error elsewhere on its line still defines its name.
    auto check_references() -> void {
        auto owner = std::map<member_id, database_id>{};
        for (const auto& [name, rule] : rules_.databases) {
            auto leaving = std::size_t{0};
            for (const auto& it : rule.members) {
                leaving += rules_.leaves.count(it);
                const auto [first, added] = owner.try_emplace(it, name);
                if (!added && first->second != name) {
                    add_error_at(
                        locations_.at({"database", name.value}),
                        fmt::format("server {} also belongs to database '{}'", it.value, first->second.value),
                        "each server in one database");
                }
            }
            if (!rule.members.empty() && leaving == rule.members.size()) {
                add_error_at(locations_.at({"database", name.value}),
                             fmt::format("all members of database '{}' are leaving", name.value),
                             "at least one member without a leave rule");
            }
        }
        for (const auto& [name, rule] : rules_.routes) {
            if (!rule.database.empty() && rules_.databases.count(rule.database) == 0) {
                auto known = std::vector<std::string>{};
                for (const auto& [database, ignored] : rules_.databases) {
                    known.push_back(database.value);
                }
                add_error_at({rule.origin.line, database_columns_[name]},
                             fmt::format("unknown database '{}'", rule.database.value),
                             known.empty() ? "a database rule first"
                                           : fmt::format("{}", fmt::join(known, ", ")));
            }
        }
        for (const auto& [server, rule] : rules_.leaves) {
            if (is_address(server.value) && owner.count(server) == 0) {
                add_error_at(locations_.at({"leave", server.value}),
                             fmt::format("server {} is not a member of any database", server.value),
                             "a server from the members of a database rule");
            }
        }
    }

    rule_set rules_;
    std::vector<rule_error> errors_;
    std::map<std::pair<std::string, std::string>, location> locations_;
    std::map<route_id, int> database_columns_;
};

} // namespace

auto parse_rules(const std::string& text) -> std::variant<rule_set, std::vector<rule_error>> {
    auto in = file_reader{};
    in.read(text);
    return in.take();
}

} // namespace citronlug
