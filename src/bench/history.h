#pragma once

#include "checker.h"
#include "cluster.h"
#include "load.h"
#include "profile.h"

#include <vector>

namespace citronlug::bench {

/// The recorded run together with the logs of the stand-in groups, for the checker. Call it after the last
/// answer. Fails with `connection_lost` if a group does not give its log.
[[nodiscard]] auto collect_history(const profile& plan, const cluster& fleet, const load_outcome& outcome)
    -> result<std::vector<history_record>>;

} // namespace citronlug::bench
