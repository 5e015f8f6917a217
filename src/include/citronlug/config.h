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
/// Largest object that the platform's store accepts.
inline constexpr std::size_t max_config_bytes = 1'000'000;

/// Entry of the change history, shown by `citronlug rules history`.
struct config_change {
    std::uint64_t version = 0; ///< version of the stored object that this change created
    std::string id; ///< random; identifies the change when a lost response is checked against the history
    std::string author;
    std::string summary;
    std::int64_t time_s = 0; ///< seconds since 1970
    /// Changed rules, at most `max_change_lines` lines.
    std::vector<std::string> lines;

    auto operator==(const config_change&) const -> bool = default;
};

/// Configuration of all instances, stored as one object under `config_key`.
struct configuration {
    std::uint64_t version = 0; ///< version of the stored object
    std::string rules_text;
    rule_set rules;
    std::vector<key_entry> keys;
    std::string token_secret;           ///< hexadecimal
    std::vector<config_change> history; ///< newest last, at most `max_history_entries`

    auto operator==(const configuration&) const -> bool = default;
};

inline constexpr const char* config_key = "config";

/// Serializes to JSON without `version`, which the store maintains.
[[nodiscard]] auto to_json(const configuration& config) -> std::string;
/// Parses the JSON text. The newest history entry gets `version`, which the store assigned only after the
/// entry was written. Fails with `bad_request` if the text is malformed.
[[nodiscard]] auto parse_configuration(const std::string& text, std::uint64_t version)
    -> result<configuration>;

/// A configuration with no rules and no keys and a new token secret.
[[nodiscard]] auto initial_configuration() -> configuration;

/// Appends a change to the history and returns its id; generates a random one if `id` is empty. `before`
/// holds the rules of the version being replaced.
auto record_change(configuration& config, const rule_set& before, std::string author, std::string summary,
                   std::int64_t time_s, std::string id = {}) -> std::string;

} // namespace citronlug
