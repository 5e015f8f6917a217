#include <citronlug/keys.h>

#include <sodium.h>

#include <cstring>

namespace citronlug {

namespace {

constexpr std::size_t id_bytes = 6;
constexpr std::size_t secret_bytes = 24;
constexpr std::string_view key_prefix = "ck_";

auto to_hex(const unsigned char* bytes, std::size_t n) -> std::string {
    auto buf = std::string(n * 2 + 1, '\0');
    sodium_bin2hex(buf.data(), buf.size(), bytes, n);
    buf.pop_back();
    return buf;
}

auto random_hex(std::size_t n) -> std::string {
    auto bytes = std::vector<unsigned char>(n);
    randombytes_buf(bytes.data(), bytes.size());
    return to_hex(bytes.data(), bytes.size());
}

auto hash_secret(std::string_view secret) -> std::string {
    unsigned char digest[crypto_hash_sha256_BYTES];
    crypto_hash_sha256(digest, reinterpret_cast<const unsigned char*>(secret.data()), secret.size());
    return to_hex(digest, sizeof digest);
}

} // namespace

auto issue_key(const account_id& account, const std::string& requester) -> new_key {
    const auto id = random_hex(id_bytes);
    const auto secret = random_hex(secret_bytes);
    auto entry = key_entry{key_id{id}, account, hash_secret(secret), key_state::valid, requester};
    return new_key{std::move(entry), std::string{key_prefix} + id + "_" + secret};
}

key_ring::key_ring(const std::vector<key_entry>& entries) {
    for (const auto& it : entries) {
        entries_.emplace(it.id.value, it);
    }
}

auto key_ring::check(std::string_view presented) const -> result<key_entry> {
    const auto invalid_key = failure{failure_code::unauthorised, "the key is not valid", {}};
    if (!presented.starts_with(key_prefix)) {
        return invalid_key;
    }
    const auto body = presented.substr(key_prefix.size());
    const auto separator = body.find('_');
    if (separator == std::string_view::npos) {
        return invalid_key;
    }
    const auto presented_hash = hash_secret(body.substr(separator + 1));
    const auto it = entries_.find(body.substr(0, separator));
    if (it == entries_.end() || it->second.secret_hash.size() != presented_hash.size()) {
        return invalid_key;
    }
    const auto equal =
        sodium_memcmp(it->second.secret_hash.data(), presented_hash.data(), presented_hash.size()) == 0;
    if (!equal || it->second.state != key_state::valid) {
        return invalid_key;
    }
    return it->second;
}

auto key_ring::is_valid(const key_id& id) const -> bool {
    const auto it = entries_.find(id.value);
    return it != entries_.end() && it->second.state == key_state::valid;
}

} // namespace citronlug
