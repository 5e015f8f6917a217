#pragma once

#include "checker.h"

#include <string>
#include <vector>

namespace citronlug::bench {

/// Reads the answer of a database stand-in to `GET /log`: the logs of its members and the terms that ended.
/// Fails with `bad_request` if it is malformed.
[[nodiscard]] auto read_ground_truth(const database_id& database, const std::string& json)
    -> result<std::vector<history_record>>;

} // namespace citronlug::bench
