#include "store_client.h"

#include <citronlug/json_text.h>
#include <citronlug/network_address.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkReply>
#include <QUrl>

namespace citronlug {

namespace {

constexpr auto call_timeout = duration{1s};
/// Added to the wait time of a watch, after which the store answers, to allow for network delays.
constexpr auto watch_allowance = duration{2s};

auto to_qt(const std::string& value) -> QString {
    return QString::fromStdString(value);
}

auto string_at(const QJsonObject& object, const char* name) -> std::string {
    return object[QLatin1String{name}].toString().toStdString();
}

} // namespace

store_client::store_client(const std::string& address, const instance_id& self)
    : base_{"http://" + to_qt(address)}
    , self_{QByteArray::fromStdString(self.value)} {}

auto store_client::request(const QString& path, duration limit) const -> QNetworkRequest {
    auto it = QNetworkRequest{QUrl{base_ + path}};
    it.setRawHeader("X-Instance", self_);
    it.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    it.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    it.setTransferTimeout(static_cast<int>(limit / 1ms));
    return it;
}

auto store_client::finish(QNetworkReply* reply, http_handler done) -> void {
    ++calls_;
    QObject::connect(reply, &QNetworkReply::finished, reply, [this, reply, done = std::move(done)] {
        reply->deleteLater();
        auto it = http_reply{};
        it.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
        // A response that timed out or was cut off counts as none.
        if (reply->error() == QNetworkReply::OperationCanceledError ||
            reply->error() == QNetworkReply::RemoteHostClosedError) {
            it.status = 0;
        }
        it.body = reply->readAll();
        last_call_answered_ = it.status != 0;
        done(it);
    });
}

auto store_client::get(const std::string& key, reply_handler done) -> void {
    watch(key, UINT64_MAX, duration{}, std::move(done));
}

auto store_client::watch(const std::string& key, std::uint64_t after, duration wait, reply_handler done)
    -> void {
    const auto is_get = after == UINT64_MAX;
    auto path = "/objects/" + to_qt(key);
    if (!is_get) {
        path += QStringLiteral("?watch_after=%1&wait_ms=%2").arg(after).arg(static_cast<qint64>(wait / 1ms));
    }
    auto& manager = is_get ? manager_ : watcher_;
    auto* reply = manager.get(request(path, is_get ? call_timeout : wait + watch_allowance));
    finish(reply, [is_get, after, done = std::move(done)](const http_reply& it) {
        auto found = store_reply{};
        if (it.status == 404) {
            found.status = store_status::not_found;
        } else if (it.status == 200) {
            const auto object = QJsonDocument::fromJson(it.body).object();
            if (object["version"].isDouble() && object["value"].isString()) {
                found.status = store_status::ok;
                found.version = static_cast<std::uint64_t>(object["version"].toInteger());
                found.value = object["value"].toString().toStdString();
                if (!is_get && found.version <= after) {
                    found = store_reply{store_status::not_found, 0, {}};
                }
            }
        }
        done(std::move(found));
    });
}

auto store_client::put(const std::string& key, const std::string& value, std::uint64_t expected_version,
                       reply_handler done) -> void {
    const auto body = QJsonDocument{QJsonObject{{"expected_version", static_cast<qint64>(expected_version)},
                                                {"value", to_qt(value)}}}
                          .toJson(QJsonDocument::Compact);
    finish(manager_.put(request("/objects/" + to_qt(key), call_timeout), body),
           [done = std::move(done)](const http_reply& it) {
               auto found = store_reply{};
               const auto version = QJsonDocument::fromJson(it.body).object()["version"];
               if (it.status == 200 && version.isDouble()) {
                   found.status = store_status::ok;
                   found.version = static_cast<std::uint64_t>(version.toInteger());
               } else if (it.status == 409) {
                   found.status = store_status::conflict;
                   found.version = static_cast<std::uint64_t>(version.toInteger());
               }
               done(std::move(found));
           });
}

auto store_client::instances(std::function<void(std::optional<std::vector<listed_instance>>)> done) -> void {
    finish(manager_.get(request("/instances", call_timeout)), [done = std::move(done)](const http_reply& it) {
        if (it.status != 200) {
            done(std::nullopt);
            return;
        }
        const auto entries =
            split_array(std::string_view{it.body.constData(), static_cast<std::size_t>(it.body.size())});
        if (!entries) {
            qWarning("the store's list of instances cannot be read");
            done(std::nullopt);
            return;
        }
        auto list = std::vector<listed_instance>{};
        for (const auto entry : *entries) {
            const auto object =
                QJsonDocument::fromJson({entry.data(), static_cast<qsizetype>(entry.size())}).object();
            auto listed = listed_instance{
                instance_id{string_at(object, "instance")},  cell_id{string_at(object, "cell")},
                string_at(object, "peer_address"),           string_at(object, "admin_address"),
                failure_domain{string_at(object, "domain")}, object["leaving"].toBool()};
            if (listed.instance.empty() || !is_connectable(listed.peer_address)) {
                qWarning("an entry of the store's list of instances names no instance that can be reached");
                continue;
            }
            list.push_back(std::move(listed));
        }
        done(std::move(list));
    });
}

auto store_client::announce(const listed_instance& self, std::function<void(bool)> done) -> void {
    const auto body = QJsonDocument{QJsonObject{{"cell", to_qt(self.cell.value)},
                                                {"peer_address", to_qt(self.peer_address)},
                                                {"admin_address", to_qt(self.admin_address)},
                                                {"domain", to_qt(self.domain.value)},
                                                {"leaving", self.leaving}}}
                          .toJson(QJsonDocument::Compact);
    finish(manager_.put(request("/instances/" + to_qt(self.instance.value), call_timeout), body),
           [done = std::move(done)](const http_reply& it) { done(it.status == 200); });
}

} // namespace citronlug
