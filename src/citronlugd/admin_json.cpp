#include "admin_json.h"

#include "http_status.h"

#include <QDateTime>
#include <QJsonDocument>

namespace citronlug {

namespace {

auto to_qt(std::string_view text) -> QString {
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

auto number(std::uint64_t value) -> qint64 {
    return static_cast<qint64>(value);
}

auto to_milliseconds(duration value) -> double {
    return std::chrono::duration<double, std::milli>(value).count();
}

template <class Id>
auto id_array(const std::vector<Id>& ids) -> QJsonArray {
    auto array = QJsonArray{};
    for (const auto& it : ids) {
        array.append(to_qt(it.value));
    }
    return array;
}

} // namespace

auto to_qt(const std::string& text) -> QString {
    return QString::fromStdString(text);
}

auto to_json_object(const cell_member& member) -> QJsonObject {
    return {{"instance", to_qt(member.instance.value)},
            // A string, since incarnations use all 64 bits and JSON numbers do not represent those exactly.
            {"incarnation", QString::number(member.run)},
            {"peer_address", to_qt(member.peer_address)},
            {"admin_address", to_qt(member.admin_address)},
            {"failure_domain", to_qt(member.domain.value)}};
}

auto to_json_object(const role_id& role) -> QJsonObject {
    return {{"kind", to_qt(name_of(role.kind))}, {"name", to_qt(role.name)}};
}

auto to_json_object(const holder_status& holder) -> QJsonObject {
    auto lag = QJsonObject{};
    for (const auto& [member, age] : holder.lag) {
        lag.insert(to_qt(member.value), to_milliseconds(age));
    }
    return {{"database", to_qt(holder.database.value)},
            {"primary", to_qt(holder.primary.value)},
            {"term", number(holder.term)},
            {"queued", number(holder.queued)},
            {"running", number(holder.running)},
            {"reads", number(holder.reads)},
            {"replica_reads", number(holder.replica_reads)},
            {"writes", number(holder.writes)},
            {"not_run", number(holder.not_run)},
            {"unknown", number(holder.unknown)},
            {"promotions", number(holder.promotions)},
            {"open_connections", number(holder.open_connections)},
            {"open_transactions", number(holder.open_transactions)},
            {"evidence_age_ms", lag}};
}

auto to_json_object(const instance_status& status) -> QJsonObject {
    return {{"instance", to_qt(status.instance.value)},
            {"incarnation", QString::number(status.run)},
            {"cell", to_qt(status.cell.value)},
            {"region", to_qt(status.region)},
            {"failure_domain", to_qt(status.domain.value)},
            {"uptime_s", static_cast<qint64>(status.uptime / 1s)},
            {"authority", status.authority},
            {"majority", status.majority},
            {"leaving", status.leaving},
            {"store_answers", status.store_answers},
            {"config_version", number(status.config_version)},
            {"record_version", number(status.record_version)},
            {"table", to_json_array(status.table)},
            {"live", id_array(status.live)},
            {"holders", to_json_array(status.holders)},
            {"standby_for", to_json_array(status.standby_for)},
            {"accounts", id_array(status.accounts)},
            {"caller_connections", number(status.caller_connections)}};
}

auto to_json_object(const timeline_event& event) -> QJsonObject {
    const auto time = QDateTime::fromMSecsSinceEpoch(event.at.wall_us / 1000, Qt::UTC);
    return {{"time", time.toString(Qt::ISODateWithMs)},
            {"wall_us", static_cast<qint64>(event.at.wall_us)},
            {"counter", static_cast<qint64>(event.at.counter)},
            {"instance", to_qt(event.at.instance.value)},
            {"kind", to_qt(event.kind)},
            {"detail", to_qt(event.detail)},
            {"database", to_qt(event.database.value)},
            {"account", to_qt(event.account.value)},
            {"request", to_qt(event.request.value)}};
}

auto to_json_object(const instance_version& version) -> QJsonObject {
    return {{"instance", to_qt(version.instance.value)},
            {"cell", to_qt(version.cell.value)},
            {"version", number(version.config_version)},
            {"reachable", version.reachable}};
}

auto to_json_object(const config_change& change) -> QJsonObject {
    auto lines = QJsonArray{};
    for (const auto& it : change.lines) {
        lines.append(to_qt(it));
    }
    return {{"version", number(change.version)},
            {"id", to_qt(change.id)},
            {"author", to_qt(change.author)},
            {"summary", to_qt(change.summary)},
            {"time", QDateTime::fromSecsSinceEpoch(change.time_s, Qt::UTC).toString(Qt::ISODate)},
            {"lines", lines}};
}

auto to_json_object(const key_entry& key) -> QJsonObject {
    return {{"id", to_qt(key.id.value)},
            {"account", to_qt(key.account.value)},
            {"state", to_qt(name_of(key.state))},
            {"requester", to_qt(key.requester)}};
}

auto to_json_object(const rule_error& error) -> QJsonObject {
    return {{"line", error.line},
            {"column", error.column},
            {"message", to_qt(error.message)},
            {"accepted", to_qt(error.accepted)}};
}

auto json_response(int status, const QJsonObject& body) -> admin_response {
    return {status, "application/json", QJsonDocument{body}.toJson(QJsonDocument::Compact).toStdString()};
}

auto error_response(const failure& error, QJsonObject fields) -> admin_response {
    fields.insert("error",
                  QJsonObject{{"code", to_qt(name_of(error.code))}, {"message", to_qt(error.message)}});
    return json_response(http_status(error.code), fields);
}

} // namespace citronlug
