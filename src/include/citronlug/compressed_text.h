#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace citronlug {

/// Largest text that is expanded, in bytes.
inline constexpr auto max_expanded_bytes = std::size_t{16} * 1024 * 1024;

/// Text in a compressed form. The rules of one version go to each instance over links that statements need
/// too, and their records resemble each other.
[[nodiscard]] auto compress_text(std::string_view text) -> std::string;
/// The text; empty if `data` is not a compressed text of at most `max_expanded_bytes`.
[[nodiscard]] auto expand_text(std::string_view data) -> std::optional<std::string>;

} // namespace citronlug
