#include <citronlug/coordination.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace citronlug {

namespace {

constexpr auto group_prefix = std::string_view{"group-"};
/// Share of a core that suffices, with a margin, to coordinate a fleet at several hundred operations per
/// second; at 1,200 the coordinator uses 0.08 of a core (docs/CAPACITY.md).
constexpr auto sufficient_share = 0.25;
/// Delay of an instance with almost no processor time, so that a larger one acquires the lease first.
constexpr auto max_acquisition_delay = duration{1s};

/// A reading confirms the lease for 2 s, so the longest interval has to be shorter.
constexpr auto min_lease_read_interval = duration{500ms};
constexpr auto max_lease_read_interval = duration{1500ms};
/// Size of a fleet in which each instance reads at the shortest interval.
constexpr auto small_fleet = 64.0;

auto to_qstring(const std::string& value) -> QString {
    return QString::fromStdString(value);
}

auto to_compact_json(const QJsonObject& object) -> std::string {
    return QJsonDocument{object}.toJson(QJsonDocument::Compact).toStdString();
}

/// 64-bit numbers are stored as strings because JSON numbers lose precision.
auto read_uint64(const QJsonObject& object, const char* name) -> std::uint64_t {
    return object[QLatin1String{name}].toString().toULongLong();
}

/// Records of a store without eras stay as they were.
auto add_era(QJsonObject& object, std::uint64_t era) -> void {
    if (era != 0) {
        object["era"] = QString::number(era);
    }
}

auto parse_object(const std::string& text) -> std::optional<QJsonObject> {
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text));
    return document.isObject() ? std::optional{document.object()} : std::nullopt;
}

} // namespace

auto lease_acquisition_delay(double processor_share) -> duration {
    const auto lacking = std::max(0.0, 1 - processor_share / sufficient_share);
    return std::chrono::duration_cast<duration>(max_acquisition_delay * lacking);
}

auto lease_read_interval(std::uint32_t instances) -> duration {
    return std::clamp(
        std::chrono::duration_cast<duration>(min_lease_read_interval * (instances / small_fleet)),
        min_lease_read_interval, max_lease_read_interval);
}

auto newest_generations(const std::map<group_id, primary_record>& stored,
                        const std::map<group_id, primary_record>& reported)
    -> std::map<group_id, std::uint64_t> {
    auto newest = std::map<group_id, std::uint64_t>{};
    for (const auto* records : {&stored, &reported}) {
        for (const auto& [id, record] : *records) {
            newest[id] = std::max(newest[id], record.generation);
        }
    }
    return newest;
}

auto to_text(const coordinator_lease& record) -> std::string {
    auto object = QJsonObject{
        {"holder", to_qstring(record.holder.value)},       {"run", QString::number(record.run)},
        {"token", QString::number(record.fencing_token)},  {"renewals", QString::number(record.renewals)},
        {"peer_address", to_qstring(record.peer_address)}, {"peer_secret", to_qstring(record.peer_secret)}};
    add_era(object, record.era);
    return to_compact_json(object);
}

auto to_text(const primary_record& record) -> std::string {
    auto object = QJsonObject{{"primary", to_qstring(record.primary.value)},
                              {"term", QString::number(record.term)},
                              {"generation", QString::number(record.generation)},
                              {"changing", record.changing},
                              {"candidate", to_qstring(record.candidate.value)}};
    add_era(object, record.era);
    if (!record.history.terms().empty()) {
        object["history"] = to_qstring(to_text(record.history));
    }
    if (!record.confirming.empty()) {
        auto servers = QJsonArray{};
        for (const auto& it : record.confirming) {
            servers.append(to_qstring(it.value));
        }
        object["confirming"] = servers;
    }
    return to_compact_json(object);
}

auto parse_coordinator_lease(const std::string& from) -> std::optional<coordinator_lease> {
    const auto object = parse_object(from);
    if (!object || read_uint64(*object, "token") == 0) {
        return std::nullopt;
    }
    return coordinator_lease{instance_id{(*object)["holder"].toString().toStdString()},
                             read_uint64(*object, "run"),
                             read_uint64(*object, "token"),
                             read_uint64(*object, "renewals"),
                             (*object)["peer_address"].toString().toStdString(),
                             (*object)["peer_secret"].toString().toStdString(),
                             read_uint64(*object, "era")};
}

auto parse_primary(const std::string& from) -> std::optional<primary_record> {
    const auto object = parse_object(from);
    if (!object || read_uint64(*object, "generation") == 0) {
        return std::nullopt;
    }
    const auto history = parse_log_history((*object)["history"].toString().toStdString());
    if (!history) {
        return std::nullopt;
    }
    auto confirming = std::vector<server_id>{};
    for (const auto it : (*object)["confirming"].toArray()) {
        confirming.push_back(server_id{it.toString().toStdString()});
    }
    return primary_record{server_id{(*object)["primary"].toString().toStdString()},
                          read_uint64(*object, "term"),
                          read_uint64(*object, "generation"),
                          (*object)["changing"].toBool(),
                          server_id{(*object)["candidate"].toString().toStdString()},
                          read_uint64(*object, "era"),
                          *history,
                          std::move(confirming)};
}

auto primary_record_name(const group_id& group) -> std::string {
    return std::string{group_prefix} + group.value;
}

auto group_of_record(const std::string& name) -> std::optional<group_id> {
    return name.starts_with(group_prefix) ? std::optional{group_id{name.substr(group_prefix.size())}}
                                          : std::nullopt;
}

} // namespace citronlug
