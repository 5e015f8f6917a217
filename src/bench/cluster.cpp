#include "cluster.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace citronlug::bench {

auto read_cluster(const std::string& path) -> result<cluster> {
    auto file = QFile{QString::fromStdString(path)};
    if (!file.open(QIODevice::ReadOnly)) {
        return failure{failure_code::bad_request, "cannot read cluster file " + path, {}};
    }
    const auto root = QJsonDocument::fromJson(file.readAll()).object();
    const auto text = [](const QJsonValue& value) {
        return value.toString().toStdString();
    };
    auto out = cluster{};
    for (const auto& it : root["instances"].toArray()) {
        const auto entry = it.toObject();
        out.instances.push_back({instance_id{text(entry["id"])}, "http://" + text(entry["caller"]),
                                 "http://" + text(entry["admin"]), entry["pid"].toInt()});
    }
    for (const auto& it : root["databases"].toArray()) {
        const auto entry = it.toObject();
        auto target = database_target{database_id{text(entry["id"])}, "http://" + text(entry["control"]), {}};
        for (const auto& member : entry["members"].toArray()) {
            target.members.push_back(text(member));
        }
        out.databases.push_back(std::move(target));
    }
    out.store_url = "http://" + text(root["store"]);
    out.admin_token = text(root["admin_token"]);
    const auto keys = root["keys"].toObject();
    for (auto it = keys.begin(); it != keys.end(); ++it) {
        out.keys.emplace(account_id{it.key().toStdString()}, text(it.value()));
    }
    if (out.instances.empty() || out.databases.empty()) {
        return failure{failure_code::bad_request, "cluster file names no instances or no databases", {}};
    }
    return out;
}

} // namespace citronlug::bench
