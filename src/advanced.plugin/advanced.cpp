#include <citronlug/promotion_policy.h>

#include <tuple>

namespace citronlug {

namespace {

/// The most advanced member by term, then log position. A leaving member is chosen only if no other has the
/// same position, since a write that a replica confirmed must survive.
class advanced_policy : public promotion_policy {
public:
    [[nodiscard]] auto choose(const std::vector<promotion_candidate>& candidates) const
        -> std::optional<std::size_t> override {
        auto best = std::optional<std::size_t>{};
        const auto rank = [&](std::size_t n) {
            return std::tuple{candidates[n].at, !candidates[n].leaving};
        };
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            if (!best || rank(n) > rank(*best)) {
                best = n;
            }
        }
        return best;
    }
};

const plugin_registration<promotion_policy, advanced_policy> registration{"advanced"};

} // namespace

} // namespace citronlug
