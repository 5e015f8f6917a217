#pragma once

#include <citronlug/outcome.h>
#include <citronlug/request.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronlug {

/// Returns the reason why a caller's statement must not be run, or nullopt if it may be. Rejects transaction
/// control, changes of settings, several statements in one text, use of reserved names such as the table of
/// request ids, and modifications in a read.
[[nodiscard]] auto check_statement(std::string_view text, access_mode mode) -> std::optional<failure>;

/// Hash of a request's contents, to detect a request id that is used for two different requests. 16
/// hexadecimal digits, the same in all builds.
[[nodiscard]] auto fingerprint(const request& work) -> std::string;

} // namespace citronlug
