#pragma once

#include "admin_api.h"
#include "administration.h"

#include <citronlug/config.h>
#include <citronlug/rules.h>

#include <QJsonArray>
#include <QJsonObject>

namespace citronlug {

/// JSON representations in the administration API. None contains a key, a hash or a secret.
[[nodiscard]] auto to_json_object(const cell_member& member) -> QJsonObject;
[[nodiscard]] auto to_json_object(const role_id& role) -> QJsonObject;
[[nodiscard]] auto to_json_object(const holder_status& holder) -> QJsonObject;
[[nodiscard]] auto to_json_object(const instance_status& status) -> QJsonObject;
[[nodiscard]] auto to_json_object(const timeline_event& event) -> QJsonObject;
[[nodiscard]] auto to_json_object(const instance_version& version) -> QJsonObject;
[[nodiscard]] auto to_json_object(const config_change& change) -> QJsonObject;
[[nodiscard]] auto to_json_object(const key_entry& key) -> QJsonObject;
[[nodiscard]] auto to_json_object(const rule_error& error) -> QJsonObject;

template <class Item>
[[nodiscard]] auto to_json_array(const std::vector<Item>& items) -> QJsonArray {
    auto array = QJsonArray{};
    for (const auto& it : items) {
        array.append(to_json_object(it));
    }
    return array;
}

[[nodiscard]] auto to_qt(const std::string& text) -> QString;
[[nodiscard]] auto json_response(int status, const QJsonObject& body) -> admin_response;
/// Body {"error": {"code", "message"}} with the members of `fields` added.
[[nodiscard]] auto error_response(const failure& error, QJsonObject fields = {}) -> admin_response;

} // namespace citronlug
