#include <citronlug/cell_record.h>

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace citronlug {

namespace {

auto text(const std::string& value) -> QJsonValue {
    return QString::fromStdString(value);
}

// Qt stores JSON numbers as doubles with 53 bits of precision, so 64-bit numbers are written as decimal text.
auto number(std::uint64_t value) -> QJsonValue {
    return QString::number(value);
}

/// Reads fields of JSON objects and records whether any was missing or of the wrong type.
class reader {
public:
    auto text(const QJsonObject& from, const char* name) -> std::string {
        const auto value = from[QLatin1String{name}];
        valid_ = valid_ && value.isString();
        return value.toString().toStdString();
    }
    auto number(const QJsonObject& from, const char* name) -> std::uint64_t {
        auto ok = false;
        const auto value = from[QLatin1String{name}].toString().toULongLong(&ok);
        valid_ = valid_ && ok;
        return value;
    }
    auto kind(const QJsonObject& from, const char* name) -> role_kind {
        const auto value = value_of<role_kind>(text(from, name));
        valid_ = valid_ && value.has_value();
        return value.value_or(role_kind::database);
    }
    auto array(const QJsonObject& from, const char* name) -> QJsonArray {
        const auto value = from[QLatin1String{name}];
        valid_ = valid_ && value.isArray();
        return value.toArray();
    }
    [[nodiscard]] auto valid() const -> bool { return valid_; }

private:
    bool valid_ = true;
};

auto to_object(const cell_member& member) -> QJsonObject {
    return {{"instance", text(member.instance.value)},
            {"run", number(member.run)},
            {"peer", text(member.peer_address)},
            {"admin", text(member.admin_address)},
            {"domain", text(member.domain.value)},
            {"renewals", number(member.renewals)},
            {"leaving", member.leaving}};
}

auto to_object(const role_id& role, const role_entry& entry) -> QJsonObject {
    return {{"kind", text(std::string{name_of(role.kind)})},
            {"name", text(role.name)},
            {"holder", text(entry.holder.value)},
            {"run", number(entry.run)},
            {"epoch", number(entry.epoch)},
            {"standby", text(entry.standby.value)}};
}

} // namespace

auto to_json(const cell_record& record) -> std::string {
    auto members = QJsonArray{};
    for (const auto& [id, member] : record.members) {
        members.append(to_object(member));
    }
    auto roles = QJsonArray{};
    for (const auto& [role, entry] : record.roles) {
        roles.append(to_object(role, entry));
    }
    const auto root =
        QJsonObject{{"table_version", number(record.table_version)}, {"members", members}, {"roles", roles}};
    return QJsonDocument{root}.toJson(QJsonDocument::Compact).toStdString();
}

auto parse_cell_record(const std::string& text, std::uint64_t version) -> result<cell_record> {
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text));
    if (!document.isObject()) {
        return failure{failure_code::bad_request, "the cell record is not a JSON object", {}};
    }
    const auto root = document.object();
    auto from = reader{};
    auto record = cell_record{};
    record.version = version;
    record.table_version = from.number(root, "table_version");
    for (const auto& it : from.array(root, "members")) {
        const auto object = it.toObject();
        auto member = cell_member{};
        member.instance.value = from.text(object, "instance");
        member.run = from.number(object, "run");
        member.peer_address = from.text(object, "peer");
        member.admin_address = from.text(object, "admin");
        member.domain.value = from.text(object, "domain");
        member.renewals = from.number(object, "renewals");
        member.leaving = object["leaving"].toBool();
        record.members.emplace(member.instance.value, std::move(member));
    }
    for (const auto& it : from.array(root, "roles")) {
        const auto object = it.toObject();
        auto entry = role_entry{};
        entry.holder.value = from.text(object, "holder");
        entry.run = from.number(object, "run");
        entry.epoch = from.number(object, "epoch");
        entry.standby.value = from.text(object, "standby");
        record.roles.emplace(role_id{from.kind(object, "kind"), from.text(object, "name")}, std::move(entry));
    }
    if (!from.valid()) {
        return failure{failure_code::bad_request, "the cell record has a missing or malformed field", {}};
    }
    return record;
}

} // namespace citronlug
