#pragma once

#include <citronlug/keys.h>
#include <citronlug/outcome.h>
#include <citronlug/rules.h>

#include <cstdint>
#include <string>
#include <vector>

namespace citronlug {

/// One accepted change, for `citronlug rules history`.
struct config_change {
    std::uint64_t version = 0;
    std::string author;
    std::string summary;
    std::int64_t time_s = 0; ///< seconds since 1970

    auto operator==(const config_change&) const -> bool = default;
};

/// The configuration of the fleet: one object at the store under `config_key`.
struct configuration {
    std::uint64_t version = 0; ///< version of the store's object
    std::string rules_text;
    rule_set rules;
    std::vector<key_entry> keys;
    std::string token_secret;           ///< hexadecimal
    std::vector<config_change> history; ///< newest last, at most 20

    auto operator==(const configuration&) const -> bool = default;
};

inline constexpr const char* config_key = "config";

/// JSON text without `version`, which the store keeps.
[[nodiscard]] auto to_json(const configuration& config) -> std::string;
[[nodiscard]] auto parse_configuration(const std::string& text, std::uint64_t version)
    -> result<configuration>;

/// A configuration with no rules and no keys and a new token secret.
[[nodiscard]] auto initial_configuration() -> configuration;

} // namespace citronlug
