#include <citronlug/network_address.h>

#include <arpa/inet.h>

#include <charconv>

namespace citronlug {

auto parse_network_address(const std::string& text) -> std::optional<network_address> {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto it = network_address{text.substr(0, colon), 0};
    const auto is_bracketed = it.host.size() > 2 && it.host.front() == '[' && it.host.back() == ']';
    if (is_bracketed) {
        it.host = it.host.substr(1, it.host.size() - 2);
    }
    auto buf = in6_addr{};
    if (inet_pton(is_bracketed ? AF_INET6 : AF_INET, it.host.c_str(), &buf) != 1 ||
        it.host.find('\0') != std::string::npos) {
        return std::nullopt;
    }
    const auto* end = text.data() + text.size();
    const auto [next, ec] = std::from_chars(text.data() + colon + 1, end, it.port);
    return ec == std::errc{} && next == end ? std::optional{std::move(it)} : std::nullopt;
}

auto is_connectable(const std::string& text) -> bool {
    const auto it = parse_network_address(text);
    return it && it->port != 0;
}

} // namespace citronlug
