#pragma once

#include <citronlug/outcome.h>
#include <citronlug/request.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronlug {

/// Why the proxy must not run a caller's statement; nothing if it may. Refuses transaction control, settings,
/// several statements in one text, use of the table of request ids, and changes in a read.
[[nodiscard]] auto check_statement(std::string_view text, access_mode mode) -> std::optional<failure>;

/// Identifies what a request does, so that an id used for two different requests is noticed. 16 hexadecimal
/// digits, equal in all builds.
[[nodiscard]] auto fingerprint(const request& work) -> std::string;

} // namespace citronlug
