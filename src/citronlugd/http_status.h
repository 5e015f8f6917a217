#pragma once

#include <citronlug/outcome.h>

namespace citronlug {

/// HTTP status of an answer that failed with this code and did not run.
[[nodiscard]] auto http_status(failure_code code) -> int;

} // namespace citronlug
