#include "ground_truth.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace citronlug::bench {

namespace {

auto number(const QJsonValue& value) -> std::uint64_t {
    return static_cast<std::uint64_t>(value.toInteger());
}

auto time_of(const QJsonValue& microseconds) -> time_point {
    return time_point{duration{microseconds.toInteger()}};
}

auto read_items(const QJsonArray& entries) -> std::vector<log_item> {
    auto items = std::vector<log_item>{};
    items.reserve(static_cast<std::size_t>(entries.size()));
    for (const auto& entry : entries) {
        const auto it = entry.toObject();
        auto item = log_item{};
        item.at = {number(it["term"]), number(it["position"])};
        item.committed = time_of(it["committed_us"]);
        item.account.value = it["account"].toString().toStdString();
        item.id.value = it["id"].toString().toStdString();
        for (const auto& row : it["rows"].toArray()) {
            item.rows.push_back(row.toString().toStdString());
        }
        items.push_back(std::move(item));
    }
    return items;
}

} // namespace

auto read_ground_truth(const database_id& database, const std::string& json)
    -> result<std::vector<history_record>> {
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(json)).object();
    const auto members = document["members"].toArray();
    if (members.isEmpty() || !document["promotions"].isArray()) {
        return failure{failure_code::bad_request, "the log of " + database.value + " is malformed", {}};
    }
    auto records = std::vector<history_record>{};
    for (const auto& member : members) {
        const auto it = member.toObject();
        auto log = member_log{};
        log.database = database;
        log.member = std::to_string(it["member"].toInt());
        log.term = number(it["term"]);
        log.entries = read_items(it["entries"].toArray());
        log.truncated = read_items(it["truncated"].toArray());
        records.emplace_back(std::move(log));
    }
    for (const auto& promotion : document["promotions"].toArray()) {
        const auto it = promotion.toObject();
        records.emplace_back(term_superseded{time_of(it["at_us"]), database, number(it["term"]) - 1});
    }
    return records;
}

} // namespace citronlug::bench
