#pragma once

#include <citronlug/plugin.h>
#include <citronlug/request.h>
#include <citronlug/types.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace citronlug {

/// A reachable member that could become primary.
struct promotion_candidate {
    member_id member;
    position at;
    bool leaving = false;
};

/// Chooses the member to promote. Plug-in: `advanced`.
class promotion_policy {
public:
    promotion_policy() = default;
    promotion_policy(const promotion_policy&) = delete;
    auto operator=(const promotion_policy&) -> promotion_policy& = delete;
    virtual ~promotion_policy() = default;

    [[nodiscard]] virtual auto choose(const std::vector<promotion_candidate>& candidates) const
        -> std::optional<std::size_t> = 0;
};

} // namespace citronlug
