#include "statement_check.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <vector>

#include <fmt/format.h>

namespace citronlug {

namespace {

constexpr std::array<std::string_view, 17> control_keywords{
    "BEGIN", "COMMIT",  "ROLLBACK", "SAVEPOINT",  "PREPARE", "START",  "END",  "ABORT",  "SET",
    "RESET", "DISCARD", "RELEASE",  "DEALLOCATE", "LOCK",    "LISTEN", "COPY", "DECLARE"};
/// Change connection state that outlives the transaction.
constexpr std::array<std::string_view, 5> session_state_keywords{
    "SET_CONFIG", "PG_ADVISORY_LOCK", "PG_ADVISORY_LOCK_SHARED", "TEMP", "TEMPORARY"};
constexpr std::array<std::string_view, 4> read_keywords{"SELECT", "VALUES", "TABLE", "WITH"};
constexpr std::array<std::string_view, 5> modifying_keywords{"INSERT", "UPDATE", "DELETE", "MERGE", "INTO"};

/// Returns the keywords and identifiers of a statement, without literals and comments: unquoted ones in upper
/// case, quoted ones unchanged. A statement separator yields ";", except at the end.
auto tokenize(std::string_view text) -> std::vector<std::string> {
    auto tokens = std::vector<std::string>{};
    const auto skip_to = [&](std::size_t from, std::string_view end) {
        const auto at = text.find(end, from);
        return at == std::string_view::npos ? text.size() : at + end.size();
    };
    auto n = std::size_t{0};
    while (n < text.size()) {
        const auto c = static_cast<unsigned char>(text[n]);
        if (text.substr(n, 2) == "--") {
            n = skip_to(n, "\n");
        } else if (text.substr(n, 2) == "/*") {
            n = skip_to(n + 2, "*/");
        } else if (c == '\'') {
            n = skip_to(n + 1, "'");
        } else if (c == '"') {
            const auto end = skip_to(n + 1, "\"");
            tokens.emplace_back(text.substr(n, end - n));
            n = end;
        } else if (std::isalpha(c) != 0 || c == '_') {
            auto token = std::string{};
            for (; n < text.size() &&
                   (std::isalnum(static_cast<unsigned char>(text[n])) != 0 || text[n] == '_');
                 ++n) {
                token.push_back(static_cast<char>(std::toupper(static_cast<unsigned char>(text[n]))));
            }
            tokens.push_back(std::move(token));
        } else {
            if (c == ';') {
                tokens.emplace_back(";");
            }
            ++n;
        }
    }
    while (!tokens.empty() && tokens.back() == ";") {
        tokens.pop_back();
    }
    return tokens;
}

template <class Container>
auto contains(const Container& tokens, std::string_view token) -> bool {
    return std::find(tokens.begin(), tokens.end(), token) != tokens.end();
}

auto invalid_statement(std::string message) -> failure {
    return {failure_code::bad_request, std::move(message), {}};
}

} // namespace

auto check_statement(std::string_view text, access_mode mode) -> std::optional<failure> {
    const auto tokens = tokenize(text);
    if (tokens.empty()) {
        return invalid_statement("the statement is empty");
    }
    if (contains(control_keywords, tokens.front())) {
        return invalid_statement(fmt::format("a statement must not start with {}", tokens.front()));
    }
    if (std::any_of(session_state_keywords.begin(), session_state_keywords.end(),
                    [&](auto token) { return contains(tokens, token); })) {
        return invalid_statement("a statement must not change the state of its connection");
    }
    if (contains(tokens, ";")) {
        return invalid_statement("a request must contain exactly one statement");
    }
    auto lower = std::string{text};
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    if (lower.find("citronlug_") != std::string::npos) {
        return invalid_statement("names that start with citronlug_ are reserved");
    }
    if (mode == access_mode::read) {
        const auto changes = std::any_of(modifying_keywords.begin(), modifying_keywords.end(),
                                         [&](auto token) { return contains(tokens, token); });
        if (!contains(read_keywords, tokens.front()) || changes) {
            return invalid_statement("a read must not change data");
        }
    }
    return std::nullopt;
}

auto fingerprint(const request& work) -> std::string {
    auto hash = std::uint64_t{14695981039346656037ULL}; // FNV-1a
    const auto add = [&](std::string_view text) {
        for (const auto c : text) {
            hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
        }
        hash = (hash ^ 0xffU) * 1099511628211ULL;
    };
    add(work.route.value);
    add(name_of(work.step));
    add(work.body.text);
    for (const auto& it : work.body.parameters) {
        add(it ? "value" : "null");
        add(it.value_or(""));
    }
    return fmt::format("{:016x}", hash);
}

} // namespace citronlug
