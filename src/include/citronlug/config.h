#pragma once

#include <citronlug/keys.h>
#include <citronlug/outcome.h>
#include <citronlug/rules.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace citronlug {

inline constexpr std::size_t max_history_entries = 20;
inline constexpr std::size_t max_change_lines = 40;
/// Largest value that the platform's store accepts.
inline constexpr std::size_t max_config_bytes = 1'000'000;

/// One accepted change, for `citronlug rules history`.
struct config_change {
    std::uint64_t version = 0; ///< version of the store's object that this change made
    std::string id;            ///< random; tells after a lost answer whether the change took effect
    std::string author;
    std::string summary;
    std::int64_t time_s = 0; ///< seconds since 1970
    /// Difference of the rules, at most `max_change_lines` lines.
    std::vector<std::string> lines;

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
/// Reads the JSON text. The newest entry of the history gets `version`, since its author could not know it
/// before the store accepted it. Fails with `bad_request` if the text is malformed.
[[nodiscard]] auto parse_configuration(const std::string& text, std::uint64_t version)
    -> result<configuration>;

/// A configuration with no rules and no keys and a new token secret.
[[nodiscard]] auto initial_configuration() -> configuration;

/// Adds a change to the history and returns its id, a new random one if `id` is empty. `before` are the
/// rules of the version that is replaced.
auto record_change(configuration& config, const rule_set& before, std::string author, std::string summary,
                   std::int64_t time_s, std::string id = {}) -> std::string;

} // namespace citronlug
