#include <citronlug/config.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>
#include <sodium.h>

#include <array>

namespace citronlug {

namespace {

constexpr std::size_t secret_bytes = 32;
constexpr std::size_t change_id_bytes = 8;

template <std::size_t Bytes>
auto random_hex() -> std::string {
    auto bytes = std::array<unsigned char, Bytes>{};
    auto text = std::array<char, Bytes * 2 + 1>{};
    randombytes_buf(bytes.data(), bytes.size());
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    return {text.data()};
}

auto to_qt(const std::string& text) -> QString {
    return QString::fromStdString(text);
}

auto string_field(const QJsonObject& object, const char* field) -> std::string {
    return object.value(QLatin1String(field)).toString().toStdString();
}

auto malformed(const std::string& detail) -> failure {
    return {failure_code::bad_request, "the configuration object is malformed: " + detail, {}};
}

auto key_to_json(const key_entry& it) -> QJsonObject {
    return {{"id", to_qt(it.id.value)},
            {"account", to_qt(it.account.value)},
            {"secret_hash", to_qt(it.secret_hash)},
            {"state", to_qt(std::string{name_of(it.state)})},
            {"requester", to_qt(it.requester)}};
}

auto change_to_json(const config_change& it) -> QJsonObject {
    auto lines = QJsonArray{};
    for (const auto& line : it.lines) {
        lines.append(to_qt(line));
    }
    // Versions are strings because JSON numbers lose precision above 2^53.
    return {{"version", QString::number(it.version)},
            {"id", to_qt(it.id)},
            {"author", to_qt(it.author)},
            {"summary", to_qt(it.summary)},
            {"time_s", static_cast<qint64>(it.time_s)},
            {"lines", lines}};
}

auto change_from_json(const QJsonObject& object) -> config_change {
    auto change = config_change{};
    change.version = object.value("version").toString().toULongLong();
    change.id = string_field(object, "id");
    change.author = string_field(object, "author");
    change.summary = string_field(object, "summary");
    change.time_s = object.value("time_s").toInteger();
    for (const auto& line : object.value("lines").toArray()) {
        change.lines.push_back(line.toString().toStdString());
    }
    return change;
}

} // namespace

auto to_json(const configuration& config) -> std::string {
    auto keys = QJsonArray{};
    for (const auto& it : config.keys) {
        keys.append(key_to_json(it));
    }
    auto history = QJsonArray{};
    for (const auto& it : config.history) {
        history.append(change_to_json(it));
    }
    const auto object = QJsonObject{{"rules_text", to_qt(config.rules_text)},
                                    {"keys", keys},
                                    {"token_secret", to_qt(config.token_secret)},
                                    {"history", history}};
    return QJsonDocument{object}.toJson(QJsonDocument::Compact).toStdString();
}

auto parse_configuration(const std::string& text, std::uint64_t version) -> result<configuration> {
    auto error = QJsonParseError{};
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text), &error);
    if (!document.isObject()) {
        return malformed(error.errorString().toStdString());
    }
    const auto object = document.object();
    if (!object.value("rules_text").isString() || !object.value("keys").isArray() ||
        !object.value("history").isArray() || string_field(object, "token_secret").empty()) {
        return malformed("rules_text, keys, history or token_secret is missing");
    }
    auto config = configuration{};
    config.version = version;
    config.rules_text = string_field(object, "rules_text");
    config.token_secret = string_field(object, "token_secret");
    auto rules = parse_rules(config.rules_text);
    if (const auto* errors = std::get_if<std::vector<rule_error>>(&rules); errors != nullptr) {
        return malformed("rules, " + format_error(errors->front()));
    }
    config.rules = std::get<rule_set>(std::move(rules));
    for (const auto& it : object.value("keys").toArray()) {
        const auto entry = it.toObject();
        const auto state = value_of<key_state>(string_field(entry, "state"));
        if (!state || string_field(entry, "id").empty() || string_field(entry, "secret_hash").empty()) {
            return malformed("a key lacks its id or hash, or has no valid state");
        }
        config.keys.push_back({key_id{string_field(entry, "id")}, account_id{string_field(entry, "account")},
                               string_field(entry, "secret_hash"), *state, string_field(entry, "requester")});
    }
    for (const auto& it : object.value("history").toArray()) {
        config.history.push_back(change_from_json(it.toObject()));
    }
    if (!config.history.empty()) {
        config.history.back().version = version;
    }
    return config;
}

auto initial_configuration() -> configuration {
    auto config = configuration{};
    config.token_secret = random_hex<secret_bytes>();
    return config;
}

auto record_change(configuration& config, const rule_set& before, std::string author, std::string summary,
                   std::int64_t time_s, std::string id) -> std::string {
    auto change = config_change{};
    change.id = id.empty() ? random_hex<change_id_bytes>() : std::move(id);
    change.author = std::move(author);
    change.summary = std::move(summary);
    change.time_s = time_s;
    change.lines = difference(before, config.rules);
    if (change.lines.size() > max_change_lines) {
        const auto omitted = change.lines.size() - (max_change_lines - 1);
        change.lines.resize(max_change_lines - 1);
        change.lines.push_back(fmt::format("... and {} more", omitted));
    }
    config.history.push_back(change);
    if (config.history.size() > max_history_entries) {
        config.history.erase(config.history.begin());
    }
    return change.id;
}

} // namespace citronlug
