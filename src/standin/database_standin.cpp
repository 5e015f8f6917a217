#include "database_standin.h"

#include <QHostAddress>
#include <QHttpServerResponse>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrlQuery>

#include <utility>

#include <fmt/format.h>

namespace citronlug::standin {

namespace {

auto text(const std::string& value) -> QString {
    return QString::fromStdString(value);
}

auto number(std::uint64_t value) -> QJsonValue {
    return QJsonValue{static_cast<qint64>(value)};
}

auto entry_json(log_position position, const log_entry& entry) -> QJsonObject {
    auto rows = QJsonArray{};
    for (const auto& it : entry.changes) {
        // Parts of a key are separated by zero bytes, which JSON readers handle badly.
        auto key = it.key;
        while (!key.empty() && key.back() == '\0') {
            key.pop_back();
        }
        for (auto& c : key) {
            c = c == '\0' ? '/' : c;
        }
        rows.push_back(text(it.table + "/" + key));
    }
    return {{"position", number(position)},
            {"term", number(entry.term)},
            {"committed_us", static_cast<qint64>(entry.committed.time_since_epoch().count())},
            {"account", text(entry.account)},
            {"id", text(entry.id)},
            {"rows", rows}};
}

auto failure_response(const std::string& message) -> QHttpServerResponse {
    return {QJsonObject{{"error", text(message)}}, QHttpServerResponse::StatusCode::BadRequest};
}

} // namespace

database_standin::database_standin(database_standin_settings settings)
    : settings_(std::move(settings))
    , shared_{replication_group{settings_.members}, {}, {}, std::mt19937_64{settings_.seed}, {}} {
    shared_.replicate = [this] {
        plan_replication(now_on_machine());
    };
    for (const auto& it : settings_.schema) {
        shared_.group.create_table(it);
    }
    for (auto n = std::size_t{0}; n < settings_.members; ++n) {
        shared_.group.member(n).lag = settings_.lag;
        members_.push_back(std::make_unique<member_server>(shared_, n, settings_.each));
    }
}

database_standin::~database_standin() = default;

auto database_standin::start() -> std::optional<std::string> {
    for (auto n = std::size_t{0}; n < members_.size(); ++n) {
        const auto port = n < settings_.ports.size() ? settings_.ports[n] : std::uint16_t{0};
        if (!members_[n]->listen(port)) {
            return fmt::format("member {} cannot listen on port {}", n, port);
        }
    }
    http_ = std::make_unique<QHttpServer>();
    add_routes();
    control_port_ = http_->listen(QHostAddress::LocalHost, settings_.control_port);
    if (control_port_ == 0) {
        return fmt::format("cannot listen on control port {}", settings_.control_port);
    }
    return std::nullopt;
}

auto database_standin::plan_replication(time_point due) -> void {
    if (due >= planned_) {
        return;
    }
    planned_ = due;
    shared_.events.at(due, [this, due] {
        if (planned_ != due) {
            return; // an earlier run took over
        }
        planned_ = time_point::max();
        if (const auto next = shared_.group.replicate(now_on_machine())) {
            plan_replication(*next);
        }
    });
}

auto database_standin::add_routes() -> void {
    using method = QHttpServerRequest::Method;
    http_->route("/state", method::Get, [this] { return QHttpServerResponse{state_json()}; });
    http_->route("/log", method::Get, [this](const QHttpServerRequest& request) {
        return QHttpServerResponse{log_json(request)};
    });
    http_->route("/startups", method::Get, [this](const QHttpServerRequest& request) {
        return QHttpServerResponse{startups_json(request)};
    });
    http_->route("/fault", method::Post, [this](const QHttpServerRequest& request) {
        const auto body = QJsonDocument::fromJson(request.body());
        if (!body.isObject()) {
            return failure_response("the body is no JSON object");
        }
        if (const auto error = apply_fault(body.object())) {
            return failure_response(*error);
        }
        return QHttpServerResponse{QJsonObject{{"ok", true}}};
    });
}

auto database_standin::apply_fault(const QJsonObject& fault) -> std::optional<std::string> {
    const auto n = fault["member"].toInt(-1);
    if (n < 0 || n >= static_cast<int>(members_.size())) {
        return fmt::format("\"member\" must be 0 to {}", members_.size() - 1);
    }
    auto& target = *members_[static_cast<std::size_t>(n)];
    const auto kind = fault["kind"].toString().toStdString();
    const auto time = duration{static_cast<std::int64_t>(fault["ms"].toDouble(0) * 1000)};
    const auto count = static_cast<std::uint64_t>(fault["n"].toInteger(1));
    if (kind == "crash") {
        target.crash();
    } else if (kind == "restart") {
        if (!target.restart()) {
            return "the port is taken";
        }
    } else if (kind == "silent") {
        target.silence();
    } else if (kind == "freeze") {
        target.freeze();
    } else if (kind == "thaw") {
        target.thaw();
    } else if (kind == "partition") {
        target.partition(true);
    } else if (kind == "isolate") {
        auto clients = std::set<std::string>{};
        for (const auto& it : fault["clients"].toArray()) {
            clients.insert(it.toString().toStdString());
        }
        target.isolate(!fault.contains("clients"), std::move(clients));
        if (fault["members"].toBool(false)) {
            target.partition(true);
        }
    } else if (kind == "heal") {
        target.heal();
    } else if (kind == "lag") {
        target.set_lag(time);
    } else if (kind == "delay") {
        target.set_delay(time);
    } else if (kind == "lose-answers") {
        target.lose_answers(count);
    } else if (kind == "late-answers") {
        target.late_answers(count, time);
    } else {
        return "unknown fault kind \"" + kind + "\"";
    }
    return std::nullopt;
}

auto database_standin::state_json() const -> QJsonObject {
    auto list = QJsonArray{};
    for (auto n = std::size_t{0}; n < members_.size(); ++n) {
        const auto& it = shared_.group.member(n);
        const auto& counters = members_[n]->counters();
        auto faults = QJsonArray{};
        for (const auto& name : members_[n]->faults()) {
            faults.push_back(text(name));
        }
        list.push_back(QJsonObject{{"member", static_cast<int>(n)},
                                   {"address", text(it.address)},
                                   {"up", it.up},
                                   {"role", it.primary ? "primary" : "replica"},
                                   {"term", number(it.term())},
                                   {"known_term", number(it.known_term)},
                                   {"position", number(it.position())},
                                   {"history", text(it.history_text())},
                                   {"following", it.following ? static_cast<int>(*it.following) : -1},
                                   {"lag_ms", static_cast<double>(it.lag.count()) / 1000},
                                   {"connections", number(members_[n]->open_connections())},
                                   {"accepted", number(counters.connections)},
                                   {"refused", number(counters.refused)},
                                   {"statements", number(counters.statements)},
                                   {"commits", number(counters.commits)},
                                   {"lost_answers", number(counters.lost_answers)},
                                   {"truncated", number(it.truncated.size())},
                                   {"faults", faults}});
    }
    return {{"members", list}};
}

auto database_standin::log_json(const QHttpServerRequest& request) const -> QJsonObject {
    const auto query = request.query();
    const auto only = query.hasQueryItem("member") ? query.queryItemValue("member").toInt() : -1;
    const auto after = query.queryItemValue("after").toULongLong();
    auto list = QJsonArray{};
    for (auto n = std::size_t{0}; n < members_.size(); ++n) {
        if (only >= 0 && only != static_cast<int>(n)) {
            continue;
        }
        const auto& it = shared_.group.member(n);
        auto entries = QJsonArray{};
        for (auto place = static_cast<std::size_t>(after); place < it.log.size(); ++place) {
            entries.push_back(entry_json(place + 1, *it.log[place]));
        }
        auto truncated = QJsonArray{};
        for (const auto& gone : it.truncated) {
            truncated.push_back(entry_json(gone.position, *gone.entry));
        }
        list.push_back(QJsonObject{{"member", static_cast<int>(n)},
                                   {"role", it.primary ? "primary" : "replica"},
                                   {"term", number(it.term())},
                                   {"position", number(it.position())},
                                   {"history", text(it.history_text())},
                                   {"commits", number(members_[n]->counters().commits)},
                                   {"statements", number(members_[n]->counters().statements)},
                                   {"entries", entries},
                                   {"truncated", truncated}});
    }
    auto promotions = QJsonArray{};
    for (const auto& it : shared_.group.promotions()) {
        promotions.push_back(QJsonObject{{"term", number(it.term)},
                                         {"member", static_cast<int>(it.member)},
                                         {"at_us", static_cast<qint64>(it.at.time_since_epoch().count())}});
    }
    return {{"members", list}, {"promotions", promotions}};
}

auto database_standin::startups_json(const QHttpServerRequest& request) const -> QJsonObject {
    constexpr std::size_t most = 100;
    auto startups = QJsonArray{};
    for (const auto& it : shared_.received.startups()) {
        auto parameters = QJsonObject{};
        for (const auto& [name, value] : it.parameters) {
            parameters[text(name)] = text(value);
        }
        startups.push_back(QJsonObject{{"member", static_cast<int>(it.member)}, {"parameters", parameters}});
    }
    auto answer = QJsonObject{{"startups", startups},
                              {"texts", number(shared_.received.texts())},
                              {"key_like", number(shared_.received.key_like())}};
    const auto word = request.query().queryItemValue("contains", QUrl::FullyDecoded).toStdString();
    if (!word.empty()) {
        auto found = QJsonArray{};
        for (const auto& it : shared_.received.search(word, most)) {
            found.push_back(text(it));
        }
        answer["found"] = found;
    }
    return answer;
}

auto parse_schema(const std::string& text) -> std::variant<std::vector<sql_statement>, std::string> {
    auto result = std::vector<sql_statement>{};
    for (const auto& part : split_statements(text)) {
        auto outcome = parse_sql(part);
        if (const auto* error = std::get_if<sql_error>(&outcome)) {
            return error->message;
        }
        auto& statement = std::get<sql_statement>(outcome);
        if (statement.kind == sql_kind::create_table) {
            result.push_back(std::move(statement));
        } else if (statement.kind != sql_kind::empty) {
            return std::string{"a schema may only contain CREATE TABLE"};
        }
    }
    return result;
}

} // namespace citronlug::standin
