#include <citronlug/read_policy.h>

#include <tuple>

namespace citronlug {

namespace {

/// Chooses among eligible replicas by fewest statements in flight, then the entry's failure domain, then
/// lowest age. The primary serves the read only if no replica is eligible, so that its slots stay free for
/// writes.
class evidence_policy : public read_policy {
public:
    [[nodiscard]] auto choose(const std::vector<read_candidate>& candidates) const
        -> std::optional<std::size_t> override {
        auto best = std::optional<std::size_t>{};
        auto primary = std::optional<std::size_t>{};
        auto replica_eligible = false;
        const auto rank = [&](std::size_t n) {
            const auto& it = candidates[n];
            return std::tuple{it.in_flight, !it.same_domain, it.data_age};
        };
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            const auto& it = candidates[n];
            if (!it.eligible) {
                continue;
            }
            replica_eligible = replica_eligible || !it.primary;
            if (!it.available) {
                continue;
            }
            if (it.primary) {
                primary = n;
            } else if (!best || rank(n) < rank(*best)) {
                best = n;
            }
        }
        return replica_eligible ? best : primary;
    }
};

const plugin_registration<read_policy, evidence_policy> registration{"evidence"};

} // namespace

} // namespace citronlug
