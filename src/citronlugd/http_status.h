#pragma once

#include <citronlug/outcome.h>

namespace citronlug {

/// HTTP status for a request that was not run and failed with this code.
[[nodiscard]] auto http_status(failure_code code) -> int;

} // namespace citronlug
