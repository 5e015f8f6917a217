#pragma once

#include <citronlug/settings.h>

#include <QJsonArray>
#include <QJsonObject>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronlug {

inline constexpr auto name_syntax = "1 to 64 letters, digits, '.', '_' or '-'";
inline constexpr auto address_syntax = "numeric IP:port, for example 127.0.0.1:7001 or [::1]:7001";

[[nodiscard]] inline auto is_name(const std::string& text) -> bool {
    return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
               c == '_' || c == '-';
    });
}

/// Reads fields of a JSON object and records their names, so that the remaining ones can be rejected.
class object_reader {
public:
    object_reader(QJsonObject object, std::string path, std::vector<setting_error>& errors)
        : object_(std::move(object))
        , path_(std::move(path))
        , errors_(errors) {}

    [[nodiscard]] auto path_of(const std::string& field) const -> std::string {
        return path_.empty() ? field : path_ + "." + field;
    }

    auto fail(const std::string& field, std::string message, std::string accepted) -> void {
        errors_.push_back({path_of(field), std::move(message), std::move(accepted)});
    }

    /// Value of the field; undefined if it is absent.
    auto read_value(const std::string& field) -> QJsonValue {
        read_fields_.insert(field);
        return object_.value(QString::fromStdString(field));
    }

    /// String that satisfies `valid`. Required unless `fallback` is set.
    auto text(const std::string& field, const std::function<bool(const std::string&)>& valid,
              const std::string& accepted, const std::optional<std::string>& fallback = std::nullopt)
        -> std::string {
        const auto value = read_value(field);
        if (value.isUndefined()) {
            if (!fallback) {
                fail(field, "is missing", accepted);
            }
            return fallback.value_or("");
        }
        const auto found = value.toString().toStdString();
        if (!value.isString() || !valid(found)) {
            fail(field, "is not valid", accepted);
        }
        return found;
    }

    auto one_of(const std::string& field, const std::vector<std::string>& names, const std::string& fallback)
        -> std::string {
        const auto is_listed = [&](const std::string& it) {
            return std::find(names.begin(), names.end(), it) != names.end();
        };
        return text(field, is_listed, fmt::format("{}", fmt::join(names, ", ")), fallback);
    }

    auto number(const std::string& field, std::int64_t fallback, std::int64_t min_value,
                std::int64_t max_value) -> std::int64_t {
        const auto value = read_value(field);
        if (value.isUndefined()) {
            return fallback;
        }
        const auto found = value.toDouble(static_cast<double>(min_value) - 1);
        if (!value.isDouble() || std::floor(found) != found || found < static_cast<double>(min_value) ||
            found > static_cast<double>(max_value)) {
            fail(field, "is not valid", fmt::format("a whole number from {} to {}", min_value, max_value));
            return fallback;
        }
        return static_cast<std::int64_t>(found);
    }

    auto real(const std::string& field, double fallback, double min_value, double max_value) -> double {
        const auto value = read_value(field);
        if (value.isUndefined()) {
            return fallback;
        }
        const auto found = value.toDouble();
        if (!value.isDouble() || found < min_value || found > max_value) {
            fail(field, "is not valid", fmt::format("a number from {} to {}", min_value, max_value));
            return fallback;
        }
        return found;
    }

    auto milliseconds(const std::string& field, duration fallback, std::int64_t min_value,
                      std::int64_t max_value) -> duration {
        return std::chrono::milliseconds{number(field, fallback / 1ms, min_value, max_value)};
    }

    /// Empty if the field is absent or not valid.
    auto optional_number(const std::string& field, std::int64_t min_value, std::int64_t max_value)
        -> std::optional<std::int64_t> {
        const auto known_errors = errors_.size();
        const auto found = number(field, min_value, min_value, max_value);
        const auto is_given = object_.contains(QString::fromStdString(field));
        return is_given && errors_.size() == known_errors ? std::optional{found} : std::nullopt;
    }

    auto optional_milliseconds(const std::string& field, std::int64_t min_value, std::int64_t max_value)
        -> std::optional<duration> {
        const auto found = optional_number(field, min_value, max_value);
        return found ? std::optional<duration>{std::chrono::milliseconds{*found}} : std::nullopt;
    }

    auto object(const std::string& field) -> object_reader {
        const auto value = read_value(field);
        if (!value.isUndefined() && !value.isObject()) {
            fail(field, "is not valid", "a JSON object");
        }
        return {value.toObject(), path_of(field), errors_};
    }

    auto array(const std::string& field, bool required) -> QJsonArray {
        const auto value = read_value(field);
        if (value.isUndefined() ? required : !value.isArray()) {
            fail(field, value.isUndefined() ? "is missing" : "is not valid", "a JSON array");
        }
        return value.toArray();
    }

    [[nodiscard]] auto fields() const -> std::vector<std::string> {
        auto names = std::vector<std::string>{};
        for (const auto& it : object_.keys()) {
            names.push_back(it.toStdString());
        }
        return names;
    }

    /// Reports each field that was not read before this call.
    auto reject_unknown_fields() -> void {
        for (const auto& it : fields()) {
            if (read_fields_.count(it) == 0) {
                fail(it, "is not a known field", fmt::format("{}", fmt::join(read_fields_, ", ")));
            }
        }
    }

private:
    QJsonObject object_;
    std::string path_;
    std::vector<setting_error>& errors_;
    std::set<std::string> read_fields_;
};

} // namespace citronlug
