#include <citronlug/read_policy.h>

namespace citronlug {

namespace {

/// Baseline: every read runs on the primary.
class primary_policy : public read_policy {
public:
    [[nodiscard]] auto choose(const std::vector<read_candidate>& candidates) const
        -> std::optional<std::size_t> override {
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            if (candidates[n].primary && candidates[n].eligible && candidates[n].available) {
                return n;
            }
        }
        return std::nullopt;
    }
};

const plugin_registration<read_policy, primary_policy> registration{"primary"};

} // namespace

} // namespace citronlug
