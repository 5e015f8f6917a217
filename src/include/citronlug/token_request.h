#pragma once

#include <citronlug/rate_limit.h>

#include <vector>

namespace citronlug {

/// Time for which an announced share of a rate may be used without the coordinator, counted from the request
/// that the announcement answers. Longer than a change of coordinator takes.
inline constexpr duration share_lifetime = 5s;

/// Uses of tokens are counted together over this span.
inline constexpr duration use_resolution = 250ms;

/// Tokens spent by one instance in the `use_resolution` that ended at `age`.
struct token_use {
    duration age{};
    std::uint32_t tokens = 0;
};

/// Request to the coordinator for tokens of one client account, and its response.
struct token_request {
    account_id account;
    std::uint32_t wanted = 0; ///< 0: the request only reports uses
    /// Uses within the last window that this coordinator has not counted yet: without a coordinator, or of
    /// tokens of an earlier one.
    std::vector<token_use> uncounted;
    /// Number of tokens that this run of the instance has ever listed in `uncounted` for this coordinator, so
    /// that none is counted twice if a request is repeated.
    std::uint32_t uncounted_total = 0;
};
struct token_response {
    account_id account;
    std::uint32_t tokens = 0;
    duration wait{};  ///< until a token is available
    double share = 0; ///< part of the rate for use without the coordinator; 0: the last one stays as it is
    /// The response answers no request and only announces a share; `tokens` and `wait` mean nothing.
    bool is_share_only = false;
};

} // namespace citronlug
