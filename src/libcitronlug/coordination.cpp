#include <citronlug/coordination.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace citronlug {

namespace {

constexpr auto group_prefix = std::string_view{"group-"};
/// Part of a core that the coordinator of some hundred operations per second needs with a margin: with 1,200
/// it uses 0.08 (docs/CAPACITY.md).
constexpr auto sufficient_share = 0.25;
/// Time that an instance with next to no processor time waits for a larger one.
constexpr auto longest_reluctance = duration{1s};

auto text(const std::string& value) -> QString {
    return QString::fromStdString(value);
}

auto compact(const QJsonObject& object) -> std::string {
    return QJsonDocument{object}.toJson(QJsonDocument::Compact).toStdString();
}

/// 64-bit numbers are written as text, because JSON numbers lose digits.
auto number(const QJsonObject& object, const char* name) -> std::uint64_t {
    return object[QLatin1String{name}].toString().toULongLong();
}

auto parse(const std::string& text) -> std::optional<QJsonObject> {
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text));
    return document.isObject() ? std::optional{document.object()} : std::nullopt;
}

} // namespace

auto duty_reluctance(double processor_share) -> duration {
    const auto lacking = std::max(0.0, 1 - processor_share / sufficient_share);
    return std::chrono::duration_cast<duration>(longest_reluctance * lacking);
}

auto newest_generations(const std::map<group_id, primary_record>& stored,
                        const std::map<group_id, primary_record>& stated)
    -> std::map<group_id, std::uint64_t> {
    auto newest = std::map<group_id, std::uint64_t>{};
    for (const auto* records : {&stored, &stated}) {
        for (const auto& [id, record] : *records) {
            newest[id] = std::max(newest[id], record.generation);
        }
    }
    return newest;
}

auto to_text(const duty_record& record) -> std::string {
    return compact({{"holder", text(record.holder.value)},
                    {"run", QString::number(record.run)},
                    {"token", QString::number(record.token)},
                    {"renewals", QString::number(record.renewals)},
                    {"peer_address", text(record.peer_address)},
                    {"peer_secret", text(record.peer_secret)}});
}

auto to_text(const primary_record& record) -> std::string {
    return compact({{"primary", text(record.primary.value)},
                    {"term", QString::number(record.term)},
                    {"generation", QString::number(record.generation)},
                    {"changing", record.changing},
                    {"candidate", text(record.candidate.value)}});
}

auto parse_duty(const std::string& from) -> std::optional<duty_record> {
    const auto object = parse(from);
    if (!object || number(*object, "token") == 0) {
        return std::nullopt;
    }
    return duty_record{instance_id{(*object)["holder"].toString().toStdString()},
                       number(*object, "run"),
                       number(*object, "token"),
                       number(*object, "renewals"),
                       (*object)["peer_address"].toString().toStdString(),
                       (*object)["peer_secret"].toString().toStdString()};
}

auto parse_primary(const std::string& from) -> std::optional<primary_record> {
    const auto object = parse(from);
    if (!object || number(*object, "generation") == 0) {
        return std::nullopt;
    }
    return primary_record{server_id{(*object)["primary"].toString().toStdString()}, number(*object, "term"),
                          number(*object, "generation"), (*object)["changing"].toBool(),
                          server_id{(*object)["candidate"].toString().toStdString()}};
}

auto record_name(const group_id& group) -> std::string {
    return std::string{group_prefix} + group.value;
}

auto group_of_record(const std::string& name) -> std::optional<group_id> {
    return name.starts_with(group_prefix) ? std::optional{group_id{name.substr(group_prefix.size())}}
                                          : std::nullopt;
}

} // namespace citronlug
