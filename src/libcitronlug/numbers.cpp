#include "numbers.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <string>

namespace citronlug {

namespace {

auto is_digit(char c) -> bool {
    return c >= '0' && c <= '9';
}

} // namespace

auto parse_whole_number(std::string_view text) -> std::optional<std::int64_t> {
    auto value = std::int64_t{0};
    if (text.empty() || !std::all_of(text.begin(), text.end(), is_digit)) {
        return std::nullopt;
    }
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return ec == std::errc{} ? std::optional{value} : std::nullopt;
}

auto parse_decimal(std::string_view text) -> std::optional<double> {
    auto value = 0.0;
    if (text.empty() ||
        !std::all_of(text.begin(), text.end(), [](char c) { return is_digit(c) || c == '.'; })) {
        return std::nullopt;
    }
    const auto* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, value, std::chars_format::fixed);
    return ec == std::errc{} && end == last ? std::optional{value} : std::nullopt;
}

auto is_address(std::string_view text) -> bool {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto port = parse_whole_number(text.substr(colon + 1));
    if (!port || *port < 1 || *port > 65'535 || text.size() - colon > 6) {
        return false;
    }
    auto host = std::string{text.substr(0, colon)};
    auto buf = in6_addr{};
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
        return inet_pton(AF_INET6, host.c_str(), &buf) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), &buf) == 1;
}

} // namespace citronlug
