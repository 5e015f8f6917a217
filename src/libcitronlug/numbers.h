#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace citronlug {

/// Parses the whole of `text` as an unsigned decimal integer; nothing if it is not one or exceeds 64 bits.
[[nodiscard]] auto parse_whole_number(std::string_view text) -> std::optional<std::int64_t>;
/// Parses the whole of `text` as a non-negative decimal number without exponent; nothing if it is not one.
[[nodiscard]] auto parse_decimal(std::string_view text) -> std::optional<double>;
/// True for a numeric "IP:PORT" with a port from 1 to 65535. IPv6 addresses are in brackets.
[[nodiscard]] auto is_address(std::string_view text) -> bool;

} // namespace citronlug
