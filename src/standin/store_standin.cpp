#include "store_standin.h"

#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrlQuery>

#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>

namespace citronlug::standin {

namespace {

using method = QHttpServerRequest::Method;

constexpr std::size_t largest_value = 1U << 20U;
constexpr auto longest_wait = 60s;

auto text(const std::string& value) -> QString {
    return QString::fromStdString(value);
}

auto number(std::uint64_t value) -> QJsonValue {
    return QJsonValue{static_cast<qint64>(value)};
}

auto to_json(const announced_instance& it) -> QJsonObject {
    return {{"instance", text(it.instance)},
            {"cell", text(it.cell)},
            {"peer_address", text(it.peer_address)},
            {"admin_address", text(it.admin_address)},
            {"domain", text(it.domain)},
            {"leaving", it.leaving}};
}

auto error_body(const std::string& message) -> QJsonObject {
    return {{"error", text(message)}};
}

constexpr std::array fault_kinds{"outage", "slow", "lose-answers", "stale-reads", "isolate"};

} // namespace

store_standin::store_standin(store_standin_settings settings)
    : settings_(settings)
    , instances_(settings.list_lag, settings.list_expiry)
    , writes_(settings.writes_per_s)
    , reads_(settings.reads_per_s) {}

store_standin::~store_standin() = default;

auto store_standin::start() -> std::uint16_t {
    return listen(QHostAddress::LocalHost, settings_.port);
}

auto store_standin::handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) -> bool {
    auto from = call{std::make_shared<QHttpServerResponder>(makeResponder(request, socket)), socket,
                     request.value("X-Instance").toStdString(), false};
    const auto path = request.url().path();
    if (path == "/fault" && request.method() == method::Post) {
        handle_fault(request, from);
    } else if (path == "/counters" && request.method() == method::Get) {
        from.responder->write(QJsonDocument{counters_json()});
    } else if (active("outage", from.client) != nullptr) {
        count(from, "outage");
        socket->abort();
    } else if (active("isolate", from.client) != nullptr) {
        count(from, "isolated"); // no answer; the client's timeout ends the call
    } else {
        handle_platform(request, path, std::move(from));
    }
    return true;
}

auto store_standin::missingHandler(const QHttpServerRequest& /*request*/, QTcpSocket* socket) -> void {
    socket->abort();
}

auto store_standin::handle_platform(const QHttpServerRequest& request, const QString& path, call from)
    -> void {
    static const auto objects = QString{"/objects/"};
    if (path.startsWith(objects) && path.size() > objects.size()) {
        handle_object(request, path.mid(objects.size()).toStdString(), std::move(from));
    } else if (path == "/instances" || path.startsWith("/instances/")) {
        handle_instances(request, path, from);
    } else {
        answer(from, 404, error_body("no such path"));
    }
}

auto store_standin::handle_object(const QHttpServerRequest& request, const std::string& key, call from)
    -> void {
    const auto now = now_on_machine();
    const auto is_write = request.method() == method::Put;
    if (!is_write && request.method() != method::Get) {
        return answer(from, 405, error_body("objects accept GET and PUT"));
    }
    count(from, is_write ? "put" : request.query().hasQueryItem("watch_after") ? "watch" : "get");
    if (!(is_write ? writes_ : reads_).take(now)) {
        ++counters_[from.client].rejected;
        return answer(from, 429, error_body("too many calls"));
    }
    if (is_write) {
        put_object(request, key, std::move(from));
    } else {
        get_object(request, key, std::move(from));
    }
}

auto store_standin::put_object(const QHttpServerRequest& request, const std::string& key, call from) -> void {
    const auto body = QJsonDocument::fromJson(request.body()).object();
    if (!body["expected_version"].isDouble() || !body["value"].isString()) {
        return answer(from, 400, error_body("the body needs expected_version and value"));
    }
    auto value = body["value"].toString().toStdString();
    if (value.size() > largest_value) {
        return answer(from, 413, error_body("the value is over 1 MB"));
    }
    const auto expected = static_cast<std::uint64_t>(body["expected_version"].toInteger());
    const auto outcome = objects_.put(key, expected, std::move(value));
    conflicts_ += outcome.written ? 0 : 1;
    if (outcome.written) {
        if (auto* lost = active("lose-answers", from.client); lost != nullptr) {
            from.lost = true;
            ++lost_answers_;
            if (--lost->left == 0) {
                faults_.erase("lose-answers");
            }
        }
    }
    answer(from, outcome.written ? 200 : 409, {{"version", number(outcome.version)}});
    if (outcome.written) {
        answer_watches(key);
    }
}

auto store_standin::get_object(const QHttpServerRequest& request, const std::string& key, call from) -> void {
    const auto query = request.query();
    const auto present = objects_.get(key, active("stale-reads", from.client) != nullptr);
    const auto after = query.queryItemValue("watch_after").toULongLong();
    if (!query.hasQueryItem("watch_after") || (present && present->version > after)) {
        return answer_object(from, key);
    }
    // A pending watch counts as a call of its own.
    count(from, "watch-wait");
    if (!reads_.take(now_on_machine())) {
        ++counters_[from.client].rejected;
        return answer(from, 429, error_body("too many calls"));
    }
    const auto wait =
        std::min<duration>(std::chrono::milliseconds{query.queryItemValue("wait_ms").toUInt()}, longest_wait);
    const auto id = next_watch_++;
    watches_.emplace(id, watch{key, after, std::move(from)});
    events_.at(now_on_machine() + wait, [this, id] {
        if (const auto node = watches_.extract(id)) {
            answer_object(node.mapped().from, node.mapped().key);
        }
    });
}

auto store_standin::answer_object(const call& to, const std::string& key) -> void {
    const auto found = objects_.get(key, active("stale-reads", to.client) != nullptr);
    if (!found) {
        return answer(to, 404, error_body("no such object"));
    }
    answer(to, 200, {{"version", number(found->version)}, {"value", text(found->value)}});
}

auto store_standin::answer_watches(const std::string& key) -> void {
    auto ready = std::vector<watch>{};
    for (auto it = watches_.begin(); it != watches_.end();) {
        const auto present = objects_.get(key, active("stale-reads", it->second.from.client) != nullptr);
        if (it->second.key == key && present && present->version > it->second.after) {
            ready.push_back(std::move(it->second));
            it = watches_.erase(it);
        } else {
            ++it;
        }
    }
    for (const auto& it : ready) {
        answer_object(it.from, it.key);
    }
}

auto store_standin::handle_instances(const QHttpServerRequest& request, const QString& path, const call& from)
    -> void {
    const auto now = now_on_machine();
    const auto id = path.mid(QString{"/instances/"}.size());
    if (id.isEmpty() && request.method() == method::Get) {
        count(from, "list");
        auto entries = QJsonArray{};
        for (const auto& it : instances_.list(now)) {
            entries.push_back(to_json(it));
        }
        return answer_document(from, 200, QJsonDocument{entries});
    }
    if (id.isEmpty()) {
        return answer(from, 405, error_body("the list accepts GET"));
    }
    if (request.method() == method::Delete) {
        count(from, "remove");
        instances_.remove(now, id.toStdString());
        return answer(from, 200, QJsonObject{});
    }
    if (request.method() != method::Put) {
        return answer(from, 405, error_body("an instance accepts PUT and DELETE"));
    }
    count(from, "announce");
    const auto body = QJsonDocument::fromJson(request.body()).object();
    const auto field = [&](const char* name) {
        return body[QLatin1String{name}].toString().toStdString();
    };
    instances_.announce(now, {id.toStdString(), field("cell"), field("peer_address"), field("admin_address"),
                              field("domain"), body["leaving"].toBool()});
    answer(from, 200, QJsonObject{});
}

auto store_standin::handle_fault(const QHttpServerRequest& request, const call& from) -> void {
    const auto body = QJsonDocument::fromJson(request.body()).object();
    const auto kind = body["kind"].toString().toStdString();
    const auto reply = [&](QHttpServerResponder::StatusCode status, const QJsonObject& content) {
        from.responder->write(QJsonDocument{content}, status);
    };
    if (kind == "heal") {
        faults_.clear();
        return reply(QHttpServerResponder::StatusCode::Ok, {{"ok", true}});
    }
    if (std::find(fault_kinds.begin(), fault_kinds.end(), kind) == fault_kinds.end()) {
        return reply(QHttpServerResponder::StatusCode::BadRequest,
                     error_body("unknown fault kind \"" + kind + "\""));
    }
    auto added = fault{};
    for (const auto& it : body["clients"].toArray()) {
        added.clients.insert(it.toString().toStdString());
    }
    const auto time = duration{static_cast<std::int64_t>(body["ms"].toDouble(0) * 1000)};
    if (kind == "slow") {
        added.delay = time;
    } else if (time > duration{}) {
        added.until = now_on_machine() + time;
    }
    added.left = static_cast<std::uint64_t>(std::max<qint64>(1, body["n"].toInteger(1)));
    faults_[kind] = std::move(added);
    if (kind == "outage" || kind == "isolate") {
        for (auto it = watches_.begin(); it != watches_.end();) {
            if (active(kind, it->second.from.client) == nullptr) {
                ++it;
                continue;
            }
            if (kind == "outage" && it->second.from.socket) {
                it->second.from.socket->abort();
            }
            it = watches_.erase(it);
        }
    }
    reply(QHttpServerResponder::StatusCode::Ok, {{"ok", true}});
}

auto store_standin::active(const std::string& kind, const std::string& client) -> fault* {
    const auto it = faults_.find(kind);
    if (it == faults_.end()) {
        return nullptr;
    }
    if (it->second.until <= now_on_machine()) {
        faults_.erase(it);
        return nullptr;
    }
    const auto affected = it->second.clients.empty() || it->second.clients.contains(client);
    return affected ? &it->second : nullptr;
}

auto store_standin::answer(const call& to, int status, const QJsonObject& body) -> void {
    answer_document(to, status, QJsonDocument{body});
}

auto store_standin::answer_document(const call& to, int status, const QJsonDocument& body) -> void {
    const auto send = [to, status, bytes = body.toJson(QJsonDocument::Compact)] {
        if (!to.socket) {
            return; // the client has gone
        }
        if (to.lost) {
            to.socket->abort();
        } else {
            to.responder->write(bytes, "application/json", QHttpServerResponder::StatusCode{status});
        }
    };
    if (const auto* slow = active("slow", to.client); slow != nullptr) {
        events_.at(now_on_machine() + slow->delay, send);
    } else {
        send();
    }
}

auto store_standin::count(const call& from, const std::string& kind) -> void {
    ++counters_[from.client].calls[kind];
}

auto store_standin::counters_json() const -> QJsonObject {
    auto total = std::map<std::string, std::uint64_t>{};
    auto rejected = std::uint64_t{0};
    auto by_instance = QJsonObject{};
    for (const auto& [client, it] : counters_) {
        auto calls = QJsonObject{{"rejected", number(it.rejected)}};
        for (const auto& [kind, n] : it.calls) {
            calls[text(kind)] = number(n);
            total[kind] += n;
        }
        rejected += it.rejected;
        by_instance[text(client)] = calls;
    }
    auto by_kind = QJsonObject{};
    for (const auto& [kind, n] : total) {
        by_kind[text(kind)] = number(n);
    }
    return {{"calls", by_kind},
            {"instances", by_instance},
            {"rejected", number(rejected)},
            {"conflicts", number(conflicts_)},
            {"lost_answers", number(lost_answers_)},
            {"waiting_watches", number(watches_.size())}};
}

} // namespace citronlug::standin
