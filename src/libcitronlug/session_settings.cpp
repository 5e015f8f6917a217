#include <citronlug/session_settings.h>

#include "numbers.h"
#include "settings_reader.h"

#include <QJsonDocument>

namespace citronlug {

auto parse_session_settings(const std::string& text)
    -> std::variant<session_settings, std::vector<setting_error>> {
    auto problem = QJsonParseError{};
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text), &problem);
    if (!document.isObject()) {
        return std::vector<setting_error>{{"",
                                           fmt::format("is not a JSON object: {} at byte {}",
                                                       problem.errorString().toStdString(), problem.offset),
                                           "one JSON object"}};
    }
    auto errors = std::vector<setting_error>{};
    auto in = object_reader{document.object(), "", errors};
    auto found = session_settings{};
    found.instance.value = in.text("instance", is_name, name_syntax);
    found.domain.value = in.text("failure_domain", is_name, name_syntax);
    found.caller_address = in.text("caller_address", is_address, address_syntax);
    found.ready_address = in.text("ready_address", is_address, address_syntax);
    found.peer_address = in.text("peer_address", is_address, address_syntax);
    found.metrics_address = in.text("metrics_address", is_address, address_syntax);
    found.store_address = in.text("store_address", is_address, address_syntax);
    found.promotion_address = in.text("promotion_address", is_address, address_syntax);
    found.leave_time = std::chrono::seconds{in.number("leave_seconds", found.leave_time / 1s, 2, 3600)};
    found.processor_share = in.real("processor_share", found.processor_share, 0.01, 1024);
    found.limit_window =
        std::chrono::seconds{in.number("limit_window_seconds", found.limit_window / 1s, 1, 60)};
    found.callers = static_cast<int>(in.number("callers", found.callers, 1, 1'000'000));
    found.log_lines_per_s = static_cast<int>(in.number("log_lines_per_s", found.log_lines_per_s, 0, 100'000));
    in.reject_unknown_fields();
    if (!errors.empty()) {
        return errors;
    }
    return found;
}

} // namespace citronlug
