#pragma once

#include <citronlug/outcome.h>
#include <citronlug/types.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace citronlug {

enum class key_state { valid, revoked };

template <>
struct name_table<key_state> {
    static constexpr std::array<std::string_view, 2> names{"valid", "revoked"};
};

/// API key as stored in the configuration: a hash instead of the secret.
struct key_entry {
    key_id id;
    account_id account;
    std::string secret_hash; ///< SHA-256 in hexadecimal
    key_state state = key_state::valid;
    std::string requester; ///< person who requested the key

    auto operator==(const key_entry&) const -> bool = default;
};

struct new_key {
    key_entry entry;
    std::string text; ///< "ck_<id>_<secret>"; shown to the operator only once
};

/// Generates a key from the system's random source.
[[nodiscard]] auto issue_key(const account_id& account, const std::string& requester) -> new_key;

/// Keys by id. Secret hashes are compared in constant time.
class key_ring {
public:
    key_ring() = default;
    explicit key_ring(const std::vector<key_entry>& entries);

    /// Authenticates a presented key and returns its entry. Fails with `unauthorised` if the key is
    /// malformed, unknown, wrong or revoked; the message does not distinguish these cases and never contains
    /// the key.
    [[nodiscard]] auto check(std::string_view presented) const -> result<key_entry>;
    [[nodiscard]] auto is_valid(const key_id& id) const -> bool;

private:
    std::map<std::string, key_entry, std::less<>> entries_;
};

} // namespace citronlug
