#pragma once

#include <citronlug/outcome.h>
#include <citronlug/request.h>
#include <citronlug/types.h>

#include <string>
#include <string_view>

namespace citronlug {

/// Contents of a session token. Times are seconds since the Unix epoch, because a token may be used at any
/// instance.
struct session_token {
    account_id account;
    database_id database;
    position at;
    std::int64_t expires_s = 0;

    auto operator==(const session_token&) const -> bool = default;
};

/// Signs a token with an HMAC keyed by `secret`, which all instances share. Returns URL-safe base64.
[[nodiscard]] auto sign_token(const session_token& token, std::string_view secret) -> std::string;
/// Verifies and decodes a token. Fails with `invalid_token` if it is damaged, expired, or issued to another
/// client account.
[[nodiscard]] auto verify_token(std::string_view text, std::string_view secret, const account_id& account,
                                std::int64_t now_s) -> result<session_token>;

} // namespace citronlug
