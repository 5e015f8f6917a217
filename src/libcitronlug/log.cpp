#include <citronlug/log.h>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

namespace citronlug {

namespace {

constexpr auto redacted_value = "***";
constexpr std::array<std::string_view, 5> secret_names{"key", "token", "secret", "password", "authorization"};

auto is_alnum(char c) -> bool {
    return std::isalnum(static_cast<unsigned char>(c)) != 0;
}

/// Characters of a bearer credential (RFC 6750).
auto is_credential(char c) -> bool {
    return is_alnum(c) || std::string_view{"-._~+/="}.find(c) != std::string_view::npos;
}

template <class Predicate>
auto find_end(std::string_view text, std::size_t start, Predicate&& predicate) -> std::size_t {
    while (start < text.size() && predicate(text[start])) {
        ++start;
    }
    return start;
}

/// The name of an HTTP authentication scheme is case-insensitive.
auto starts_with_bearer(std::string_view text) -> bool {
    constexpr std::string_view scheme = "bearer ";
    return text.size() >= scheme.size() &&
           std::equal(scheme.begin(), scheme.end(), text.begin(),
                      [](char a, char b) { return a == std::tolower(static_cast<unsigned char>(b)); });
}

auto append_quoted(std::string& line, std::string_view value) -> void {
    line += '"';
    for (const auto c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) {
            line += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        } else {
            line += c;
        }
    }
    line += '"';
}

} // namespace

auto redact(std::string_view text) -> std::string {
    auto out = std::string{};
    for (std::size_t n = 0; n < text.size();) {
        if (text.substr(n).starts_with("ck_")) {
            const auto id_end = find_end(text, n + 3, is_alnum);
            if (id_end < text.size() && text[id_end] == '_') {
                out += text.substr(n, id_end + 1 - n);
                out += redacted_value;
                n = find_end(text, id_end + 1, [](char c) { return is_alnum(c) || c == '_'; });
                continue;
            }
        }
        if (starts_with_bearer(text.substr(n))) {
            out += text.substr(n, 7);
            out += redacted_value;
            n = find_end(text, n + 7, is_credential);
            continue;
        }
        out += text[n++];
    }
    return out;
}

auto format_log_line(std::int64_t wall_us, log_level level, const instance_id& instance,
                     std::string_view event, const std::vector<log_field>& fields) -> std::string {
    const auto seconds = static_cast<std::time_t>(wall_us / 1'000'000);
    auto line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z {} {} {}", fmt::gmtime(seconds), wall_us % 1'000'000,
                            name_of(level), instance.value, event);
    for (const auto& it : fields) {
        const auto secret =
            std::find(secret_names.begin(), secret_names.end(), it.name) != secret_names.end();
        line += fmt::format(" {}=", it.name);
        append_quoted(line, secret ? redacted_value : redact(it.value));
    }
    return line;
}

logger::logger(instance_id instance, log_level min_level, sink out)
    : instance_(std::move(instance))
    , min_level_(min_level)
    , out_(std::move(out)) {
    if (!out_) {
        // A single write per line prevents threads from interleaving their output.
        out_ = [](const std::string& line) {
            fmt::print(stderr, "{}", line + "\n");
        };
    }
}

auto logger::write(std::int64_t wall_us, log_level level, std::string_view event,
                   const std::vector<log_field>& fields) const -> void {
    if (level >= min_level_) {
        out_(format_log_line(wall_us, level, instance_, event, fields));
    }
}

} // namespace citronlug
