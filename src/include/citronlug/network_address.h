#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace citronlug {

/// IP address and TCP port.
struct network_address {
    std::string host; ///< without the brackets of an IPv6 address
    std::uint16_t port = 0;

    auto operator==(const network_address&) const -> bool = default;
};

/// Parses "IPV4:PORT" or "[IPV6]:PORT". Empty if the host is not an IP address or the port is not a decimal
/// number of at most 65535. Port 0 is accepted; it lets a listener choose a port.
[[nodiscard]] auto parse_network_address(const std::string& text) -> std::optional<network_address>;

/// True if the text is an address that one can connect to: parsed as above, and the port is not 0.
[[nodiscard]] auto is_connectable(const std::string& text) -> bool;

} // namespace citronlug
