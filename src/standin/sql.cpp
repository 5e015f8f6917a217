#include "sql.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace citronlug::standin {

namespace {

enum class token_kind { end, word, quoted_word, text, number, parameter, symbol };

struct token {
    token_kind kind = token_kind::end;
    std::string text; ///< words in lower case
};

struct syntax_error {
    std::string message;
};

auto is_word_start(char c) -> bool {
    return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_';
}

auto is_digit(char c) -> bool {
    return std::isdigit(static_cast<unsigned char>(c)) != 0;
}

auto is_word(char c) -> bool {
    return is_word_start(c) || is_digit(c) || c == '.';
}

auto lower(std::string_view text) -> std::string {
    auto result = std::string{text};
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

/// Text between quotes that starts at `at`; a doubled quote stands for one.
auto read_quoted(std::string_view text, std::size_t& at) -> std::string {
    const auto quote = text[at];
    auto value = std::string{};
    for (++at; at < text.size(); ++at) {
        if (text[at] != quote) {
            value += text[at];
        } else if (at + 1 < text.size() && text[at + 1] == quote) {
            value += quote;
            ++at;
        } else {
            ++at;
            return value;
        }
    }
    throw syntax_error{"unterminated quoted text"};
}

auto tokens_of(std::string_view text) -> std::vector<token> {
    auto result = std::vector<token>{};
    for (auto at = std::size_t{0}; at < text.size();) {
        const auto c = text[at];
        const auto run = [&](auto&& accepts) {
            const auto from = at;
            while (at < text.size() && accepts(text[at])) {
                ++at;
            }
            return text.substr(from, at - from);
        };
        if (std::isspace(static_cast<unsigned char>(c)) != 0) {
            ++at;
        } else if (text.substr(at, 2) == "--") {
            at = std::min(text.find('\n', at), text.size());
        } else if (is_word_start(c)) {
            result.push_back({token_kind::word, lower(run(is_word))});
        } else if (is_digit(c)) {
            result.push_back(
                {token_kind::number, std::string{run([](char d) { return is_digit(d) || d == '.'; })}});
        } else if (c == '$') {
            ++at;
            result.push_back({token_kind::parameter, std::string{run(is_digit)}});
        } else if (c == '\'') {
            result.push_back({token_kind::text, read_quoted(text, at)});
        } else if (c == '"') {
            result.push_back({token_kind::quoted_word, read_quoted(text, at)});
        } else {
            const auto wide = text.substr(at, 2) == "::";
            result.push_back({token_kind::symbol, wide ? "::" : std::string{c}});
            at += wide ? 2 : 1;
        }
    }
    result.push_back({});
    return result;
}

class parser {
public:
    explicit parser(std::string_view text)
        : tokens_(tokens_of(text)) {}

    auto parse() -> sql_statement {
        if (peek().kind == token_kind::end) {
            return {};
        }
        const auto verb = next().text;
        if (verb == "create") {
            create_table();
        } else if (verb == "insert") {
            insert();
        } else if (verb == "select") {
            select();
        } else if (verb == "update") {
            update();
        } else if (verb == "delete") {
            expect("from");
            result_.kind = sql_kind::remove;
            result_.table = name();
            where();
        } else if (verb == "set") {
            result_.kind = sql_kind::set;
            skip_to_end();
        } else {
            transaction_command(verb);
        }
        if (accept(";") || peek().kind == token_kind::end) {
            if (peek().kind == token_kind::end) {
                return std::move(result_);
            }
        }
        throw syntax_error{"syntax error at or near \"" + peek().text + "\""};
    }

private:
    [[nodiscard]] auto peek(std::size_t ahead = 0) const -> const token& {
        return tokens_[std::min(at_ + ahead, tokens_.size() - 1)];
    }

    auto next() -> const token& {
        const auto& it = peek();
        at_ = std::min(at_ + 1, tokens_.size() - 1);
        return it;
    }

    auto accept(std::string_view text) -> bool {
        const auto& it = peek();
        if ((it.kind == token_kind::word || it.kind == token_kind::symbol) && it.text == text) {
            next();
            return true;
        }
        return false;
    }

    auto expect(std::string_view text) -> void {
        if (!accept(text)) {
            throw syntax_error{"syntax error at or near \"" + peek().text + "\", expected " +
                               std::string{text}};
        }
    }

    auto skip_to_end() -> void {
        while (peek().kind != token_kind::end && peek().text != ";") {
            next();
        }
    }

    auto name() -> std::string {
        const auto& it = next();
        if (it.kind != token_kind::word && it.kind != token_kind::quoted_word) {
            throw syntax_error{"syntax error at or near \"" + it.text + "\", expected a name"};
        }
        return it.text;
    }

    auto names() -> std::vector<std::string> {
        auto list = std::vector<std::string>{};
        expect("(");
        do {
            list.push_back(name());
        } while (accept(","));
        expect(")");
        return list;
    }

    auto value() -> operand {
        auto result = operand{};
        const auto negative = accept("-");
        const auto it = next();
        if (it.kind == token_kind::parameter) {
            const auto [end, ec] =
                std::from_chars(it.text.data(), it.text.data() + it.text.size(), result.parameter);
            if (ec != std::errc{} || result.parameter < 1) {
                throw syntax_error{"there is no parameter $" + it.text};
            }
            result_.parameters = std::max(result_.parameters, result.parameter);
        } else if (it.kind == token_kind::number) {
            result.literal = (negative ? "-" : "") + it.text;
        } else if (it.kind == token_kind::text || (it.kind == token_kind::word && is_boolean(it.text))) {
            result.literal = it.text;
        } else if (it.kind != token_kind::word || it.text != "null") {
            throw syntax_error{"syntax error at or near \"" + it.text + "\", expected a value"};
        }
        if (accept("::")) {
            name();
        }
        return result;
    }

    static auto is_boolean(std::string_view text) -> bool { return text == "true" || text == "false"; }

    auto values() -> std::vector<operand> {
        auto list = std::vector<operand>{};
        expect("(");
        while (!accept(")")) {
            if (!list.empty()) {
                expect(",");
            }
            list.push_back(value());
        }
        return list;
    }

    auto transaction_command(const std::string& verb) -> void {
        if (verb == "begin" || verb == "start") {
            result_.kind = sql_kind::begin;
            skip_to_end();
        } else if (verb == "commit" || verb == "end") {
            result_.kind = sql_kind::commit;
        } else if (verb == "rollback" || verb == "abort") {
            result_.kind = sql_kind::rollback;
        } else if (verb == "discard") {
            expect("all");
            result_.kind = sql_kind::discard;
        } else {
            throw syntax_error{"syntax error at or near \"" + verb + "\""};
        }
    }

    auto create_table() -> void {
        expect("table");
        result_.kind = sql_kind::create_table;
        if (accept("if")) {
            expect("not");
            expect("exists");
            result_.ignore_existing = true;
        }
        result_.table = name();
        expect("(");
        do {
            if (accept("primary")) {
                expect("key");
                result_.primary_key = names();
            } else {
                column_definition();
            }
        } while (accept(","));
        expect(")");
    }

    /// The type and its modifiers are accepted and have no effect.
    auto column_definition() -> void {
        const auto column = name();
        result_.columns.push_back(column);
        for (auto depth = 0; depth > 0 || (peek().text != "," && peek().text != ")");) {
            const auto it = next();
            if (it.kind == token_kind::end) {
                throw syntax_error{"syntax error at end of input"};
            }
            depth += it.text == "(" ? 1 : it.text == ")" ? -1 : 0;
            if (it.text == "primary" && accept("key")) {
                result_.primary_key = {column};
            }
        }
    }

    auto insert() -> void {
        expect("into");
        result_.kind = sql_kind::insert;
        result_.table = name();
        if (peek().text == "(") {
            result_.columns = names();
        }
        expect("values");
        do {
            result_.rows.push_back(values());
        } while (accept(","));
        if (accept("on")) {
            expect("conflict");
            if (peek().text == "(") {
                names();
            }
            expect("do");
            expect("nothing");
            result_.ignore_existing = true;
        }
    }

    auto select() -> void {
        const auto calls = peek().kind == token_kind::word && peek(1).text == "(";
        if (calls && peek().text == "count") {
            next();
            expect("(");
            expect("*");
            expect(")");
            result_.count = true;
        } else if (calls) {
            call(name());
            return;
        } else if (accept("*")) {
            if (peek().text == "from" && peek(2).text == "(") {
                next();
                call(name());
                return;
            }
        } else if (peek().kind == token_kind::word && !is_boolean(peek().text) && peek().text != "null") {
            do {
                result_.columns.push_back(name());
            } while (accept(","));
        } else {
            result_.kind = sql_kind::constant;
            result_.rows.push_back({value()});
            return;
        }
        expect("from");
        result_.kind = sql_kind::select;
        result_.table = name();
        where();
        if (accept("order")) {
            expect("by");
            result_.order_by = name();
            result_.descending = accept("desc");
            accept("asc");
        }
        if (accept("limit")) {
            result_.limit = value();
        }
    }

    auto call(const std::string& function) -> void {
        static const auto known = std::vector<std::pair<std::string, std::pair<sql_kind, std::size_t>>>{
            {"pg_sleep", {sql_kind::sleep, 1}},
            {"citronlug_status", {sql_kind::status, 0}},
            {"citronlug_promote", {sql_kind::promote, 1}},
            {"citronlug_follow", {sql_kind::follow, 2}},
            {"citronlug_position", {sql_kind::position, 0}}};
        const auto it = std::find_if(known.begin(), known.end(),
                                     [&](const auto& entry) { return entry.first == function; });
        if (it == known.end()) {
            throw sql_error{"42883", "function " + function + " does not exist"};
        }
        result_.kind = it->second.first;
        result_.rows.push_back(values());
        if (result_.rows.front().size() != it->second.second) {
            throw sql_error{"42883", "function " + function + " has other arguments"};
        }
    }

    auto update() -> void {
        result_.kind = sql_kind::update;
        result_.table = name();
        expect("set");
        do {
            auto it = assignment{};
            it.column = name();
            expect("=");
            const auto& first = peek();
            if (first.kind == token_kind::word && first.text != "null" && !is_boolean(first.text)) {
                it.base = name();
                it.subtract = peek().text == "-";
                if (!accept("-") && !accept("+")) {
                    it.copy = true;
                    result_.assignments.push_back(std::move(it));
                    continue;
                }
            }
            it.value = value();
            result_.assignments.push_back(std::move(it));
        } while (accept(","));
        where();
    }

    auto where() -> void {
        if (!accept("where")) {
            return;
        }
        do {
            auto it = condition{};
            it.column = name();
            expect("=");
            it.value = value();
            result_.where.push_back(std::move(it));
        } while (accept("and"));
    }

    std::vector<token> tokens_;
    std::size_t at_ = 0;
    sql_statement result_;
};

} // namespace

auto parse_sql(std::string_view text) -> std::variant<sql_statement, sql_error> {
    try {
        return parser{text}.parse();
    } catch (const syntax_error& error) {
        return sql_error{"42601", error.message};
    } catch (const sql_error& error) {
        return error;
    }
}

auto split_statements(std::string_view text) -> std::vector<std::string> {
    auto result = std::vector<std::string>{};
    auto current = std::string{};
    auto quote = '\0';
    const auto finish = [&] {
        if (current.find_first_not_of(" \t\r\n") != std::string::npos) {
            result.push_back(current);
        }
        current.clear();
    };
    for (const auto c : text) {
        if (quote == '\0' && c == ';') {
            finish();
            continue;
        }
        if (quote == '\0' && (c == '\'' || c == '"')) {
            quote = c;
        } else if (c == quote) {
            quote = '\0';
        }
        current += c;
    }
    finish();
    return result;
}

auto is_write(sql_kind kind) -> bool {
    return kind == sql_kind::create_table || kind == sql_kind::insert || kind == sql_kind::update ||
           kind == sql_kind::remove;
}

} // namespace citronlug::standin
