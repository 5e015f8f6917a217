#include <citronlug/session_token.h>

#include <sodium.h>

#include <array>
#include <charconv>
#include <vector>

#include <fmt/format.h>

namespace citronlug {

namespace {

using mac = std::array<unsigned char, crypto_auth_hmacsha256_BYTES>;
constexpr auto base64_variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
constexpr std::string_view format_version = "1";

auto mac_of(std::string_view text, std::string_view secret) -> mac {
    auto state = crypto_auth_hmacsha256_state{};
    auto digest = mac{};
    crypto_auth_hmacsha256_init(&state, reinterpret_cast<const unsigned char*>(secret.data()), secret.size());
    crypto_auth_hmacsha256_update(&state, reinterpret_cast<const unsigned char*>(text.data()), text.size());
    crypto_auth_hmacsha256_final(&state, digest.data());
    return digest;
}

/// Prefixes the text with its length, so that different tokens never have the same encoding.
auto length_prefixed(std::string_view text) -> std::string {
    return fmt::format("{}:{}", text.size(), text);
}

auto consume_number(std::string_view& text, char end) -> std::optional<std::int64_t> {
    auto value = std::int64_t{0};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr == text.data() + text.size() || *parsed.ptr != end) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()) + 1);
    return value;
}

auto consume_text(std::string_view& text) -> std::optional<std::string> {
    const auto size = consume_number(text, ':');
    if (!size || *size < 0 || static_cast<std::size_t>(*size) > text.size()) {
        return std::nullopt;
    }
    auto value = std::string{text.substr(0, static_cast<std::size_t>(*size))};
    text.remove_prefix(static_cast<std::size_t>(*size));
    return value;
}

auto parse(std::string_view text) -> std::optional<session_token> {
    const auto version = consume_text(text);
    const auto account = consume_text(text);
    const auto database = consume_text(text);
    const auto term = consume_number(text, ',');
    const auto log = consume_number(text, ',');
    const auto expires = consume_number(text, ',');
    if (version != format_version || !account || !database || !term || !log || !expires || !text.empty()) {
        return std::nullopt;
    }
    return session_token{account_id{*account}, database_id{*database},
                         position{static_cast<term_number>(*term), static_cast<log_position>(*log)},
                         *expires};
}

} // namespace

auto sign_token(const session_token& token, std::string_view secret) -> std::string {
    const auto text =
        fmt::format("{}{}{}{},{},{},", length_prefixed(format_version), length_prefixed(token.account.value),
                    length_prefixed(token.database.value), static_cast<std::int64_t>(token.at.term),
                    static_cast<std::int64_t>(token.at.log), token.expires_s);
    const auto digest = mac_of(text, secret);
    auto bytes = std::vector<unsigned char>(digest.begin(), digest.end());
    bytes.insert(bytes.end(), text.begin(), text.end());
    auto buf = std::string(sodium_base64_encoded_len(bytes.size(), base64_variant), '\0');
    sodium_bin2base64(buf.data(), buf.size(), bytes.data(), bytes.size(), base64_variant);
    buf.pop_back();
    return buf;
}

auto verify_token(std::string_view text, std::string_view secret, const account_id& account,
                  std::int64_t now_s) -> result<session_token> {
    const auto invalid = [](const char* message) {
        return failure{failure_code::invalid_token, message, {}};
    };
    auto bytes = std::vector<unsigned char>(text.size());
    auto n = std::size_t{0};
    const char* end = nullptr;
    if (sodium_base642bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &n, &end,
                          base64_variant) != 0 ||
        end != text.data() + text.size() || n < crypto_auth_hmacsha256_BYTES) {
        return invalid("the session token is damaged");
    }
    const auto body = std::string_view{reinterpret_cast<const char*>(bytes.data()), n}.substr(sizeof(mac));
    const auto digest = mac_of(body, secret);
    const auto token = parse(body);
    if (sodium_memcmp(digest.data(), bytes.data(), digest.size()) != 0 || !token) {
        return invalid("the session token is damaged");
    }
    if (token->account != account) {
        return invalid("the session token belongs to another client account");
    }
    if (now_s >= token->expires_s) {
        return invalid("the session token has expired");
    }
    return *token;
}

} // namespace citronlug
