#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace citronlug {

/// One field of a JSON object, as views into its text.
struct json_field {
    std::string_view name;  ///< without quotes; escape sequences are not decoded
    std::string_view value; ///< the unparsed value
};

/// Splits a JSON object into its fields without parsing their values: a value may nest to any depth, hold a
/// number of any size and bytes that are no valid text. Only quotes and brackets must match, so one value
/// that a parser rejects leaves the others readable. Empty if `text` is not one complete object.
[[nodiscard]] auto split_object(std::string_view text) -> std::optional<std::vector<json_field>>;

/// Splits a JSON array into its unparsed elements, as `split_object` does.
[[nodiscard]] auto split_array(std::string_view text) -> std::optional<std::vector<std::string_view>>;

/// Value of the last field with this name; empty if there is none.
[[nodiscard]] auto value_of_field(const std::vector<json_field>& fields, std::string_view name)
    -> std::string_view;

} // namespace citronlug
