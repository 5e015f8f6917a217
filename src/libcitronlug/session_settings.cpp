#include <citronlug/session_settings.h>

#include "numbers.h"
#include "settings_reader.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace citronlug {

auto parse_session_settings(const std::string& text, const std::map<std::string, std::string>& overrides)
    -> std::variant<session_settings, std::vector<setting_error>> {
    auto parse_error = QJsonParseError{};
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text), &parse_error);
    if (!document.isObject()) {
        return std::vector<setting_error>{
            {"",
             fmt::format("is not a JSON object: {} at byte {}", parse_error.errorString().toStdString(),
                         parse_error.offset),
             "one JSON object"}};
    }
    auto errors = std::vector<setting_error>{};
    auto object = document.object();
    for (const auto& [field, value] : overrides) {
        if (!value.empty()) {
            const auto number = QJsonDocument::fromJson('[' + QByteArray::fromStdString(value) + ']')[0];
            object[QString::fromStdString(field)] =
                number.isDouble() ? number : QJsonValue{QString::fromStdString(value)};
        }
    }
    auto reader = object_reader{object, "", errors};
    auto settings = session_settings{};
    settings.instance.value = reader.text("instance", is_name, name_syntax);
    settings.domain.value = reader.text("failure_domain", is_name, name_syntax);
    settings.caller_address = reader.text("caller_address", is_address, address_syntax);
    settings.ready_address = reader.text("ready_address", is_address, address_syntax);
    settings.peer_address = reader.text("peer_address", is_address, address_syntax);
    settings.metrics_address = reader.text("metrics_address", is_address, address_syntax);
    settings.store_address = reader.text("store_address", is_address, address_syntax);
    settings.promotion_address = reader.text("promotion_address", is_address, address_syntax);
    settings.leave_time =
        std::chrono::seconds{reader.number("leave_seconds", settings.leave_time / 1s, 2, 3600)};
    settings.processor_share = reader.real("processor_share", settings.processor_share, 0.01, 1024);
    settings.limit_window =
        std::chrono::seconds{reader.number("limit_window_seconds", settings.limit_window / 1s, 1, 60)};
    settings.max_callers = static_cast<int>(reader.number("callers", settings.max_callers, 1, 1'000'000));
    settings.log_lines_per_s =
        static_cast<int>(reader.number("log_lines_per_s", settings.log_lines_per_s, 0, 100'000));
    settings.evacuation_limit = reader.optional_milliseconds("evacuation_limit_ms", 500, 600'000);
    if (const auto it = reader.optional_number("memory_mb", 16, 1'048'576)) {
        settings.memory_mb = static_cast<std::uint64_t>(*it);
    }
    if (const auto it = reader.optional_number("descriptors", 128, 10'000'000)) {
        settings.descriptors = static_cast<int>(*it);
    }
    settings.server_limits =
        value_of<server_limit_mode>(reader.one_of("server_limits", {"auto", "on", "off"}, "auto"))
            .value_or(server_limit_mode::automatic);
    reader.reject_unknown_fields();
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

} // namespace citronlug
