#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace citronlug {

/// The whole of `text` as a decimal whole number without sign, or nothing.
[[nodiscard]] auto parse_whole_number(std::string_view text) -> std::optional<std::int64_t>;
/// The whole of `text` as a finite number without exponent, or nothing.
[[nodiscard]] auto parse_decimal(std::string_view text) -> std::optional<double>;
/// True for a numeric "IP:PORT" with a port from 1 to 65535; IPv6 addresses stand in brackets.
[[nodiscard]] auto is_address(std::string_view text) -> bool;

} // namespace citronlug
