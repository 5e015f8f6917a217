#include "statement_check.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <vector>

#include <fmt/format.h>

namespace citronlug {

namespace {

constexpr std::array<std::string_view, 17> control_words{
    "BEGIN", "COMMIT",  "ROLLBACK", "SAVEPOINT",  "PREPARE", "START",  "END",  "ABORT",  "SET",
    "RESET", "DISCARD", "RELEASE",  "DEALLOCATE", "LOCK",    "LISTEN", "COPY", "DECLARE"};
/// Change the state of the connection beyond the transaction.
constexpr std::array<std::string_view, 5> state_words{"SET_CONFIG", "PG_ADVISORY_LOCK",
                                                      "PG_ADVISORY_LOCK_SHARED", "TEMP", "TEMPORARY"};
constexpr std::array<std::string_view, 4> read_words{"SELECT", "VALUES", "TABLE", "WITH"};
constexpr std::array<std::string_view, 5> change_words{"INSERT", "UPDATE", "DELETE", "MERGE", "INTO"};

/// Words of a statement in upper case outside of literals and comments; ";" for a separator.
auto words_of(std::string_view text) -> std::vector<std::string> {
    auto words = std::vector<std::string>{};
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
            words.emplace_back(text.substr(n, end - n));
            n = end;
        } else if (std::isalpha(c) != 0 || c == '_') {
            auto word = std::string{};
            for (; n < text.size() &&
                   (std::isalnum(static_cast<unsigned char>(text[n])) != 0 || text[n] == '_');
                 ++n) {
                word.push_back(static_cast<char>(std::toupper(static_cast<unsigned char>(text[n]))));
            }
            words.push_back(std::move(word));
        } else {
            if (c == ';') {
                words.emplace_back(";");
            }
            ++n;
        }
    }
    while (!words.empty() && words.back() == ";") {
        words.pop_back();
    }
    return words;
}

template <class Words>
auto has(const Words& words, std::string_view word) -> bool {
    return std::find(words.begin(), words.end(), word) != words.end();
}

auto refused(std::string message) -> failure {
    return {failure_code::bad_request, std::move(message), {}};
}

} // namespace

auto check_statement(std::string_view text, access_mode mode) -> std::optional<failure> {
    const auto words = words_of(text);
    if (words.empty()) {
        return refused("the statement is empty");
    }
    if (has(control_words, words.front())) {
        return refused(fmt::format("a statement must not start with {}", words.front()));
    }
    if (std::any_of(state_words.begin(), state_words.end(), [&](auto word) { return has(words, word); })) {
        return refused("a statement must not change the state of its connection");
    }
    if (has(words, ";")) {
        return refused("a request holds one statement");
    }
    auto lower = std::string{text};
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    if (lower.find("citronlug_") != std::string::npos) {
        return refused("names that start with citronlug_ are reserved");
    }
    if (mode == access_mode::read) {
        const auto changes = std::any_of(change_words.begin(), change_words.end(),
                                         [&](auto word) { return has(words, word); });
        if (!has(read_words, words.front()) || changes) {
            return refused("a read must not change data");
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
