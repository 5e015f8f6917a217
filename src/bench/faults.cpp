#include "faults.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <csignal>

namespace citronlug::bench {

namespace {

constexpr duration control_timeout = 2s;

auto parse_object(const std::string& body) -> QJsonObject {
    return QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
}

} // namespace

auto fault_injector::post_fault(const std::string& url, const std::string& body) -> bool {
    return http_.call("POST", url + "/fault", {"Content-Type: application/json"}, body, control_timeout)
               .status == 200;
}

auto fault_injector::primary_of(std::size_t database) -> std::optional<std::size_t> {
    const auto answer =
        http_.call("GET", fleet_.databases.at(database).control_url + "/state", {}, "", control_timeout);
    const auto members = parse_object(answer.body)["members"].toArray();
    auto best = std::optional<std::size_t>{};
    auto best_term = std::int64_t{-1};
    for (qsizetype n = 0; n < members.size(); ++n) {
        const auto member = members[n].toObject();
        const auto term = member["term"].toInteger();
        if (member["role"].toString() == "primary" && term > best_term) {
            best = static_cast<std::size_t>(n);
            best_term = term;
        }
    }
    return best;
}

auto fault_injector::holder_of(std::size_t database) -> const instance_target* {
    const auto& name = fleet_.databases.at(database).id.value;
    for (const auto& it : fleet_.instances) {
        const auto answer = http_.call("GET", it.admin_url + "/admin/v1/status",
                                       {"Authorization: Bearer " + fleet_.admin_token}, "", control_timeout);
        for (const auto& entry : parse_object(answer.body)["holders"].toArray()) {
            if (entry.toObject()["database"].toString().toStdString() == name) {
                return &it;
            }
        }
    }
    return nullptr;
}

auto fault_injector::inject(const fault& what, duration now) -> fault_note {
    auto note = fault_note{what, now, {}, false, ""};
    const auto& group = fleet_.databases.at(what.database);
    const auto member = primary_of(what.database).value_or(0);
    if (member < group.members.size()) {
        note.primary_before = group.members[member];
    }
    faulty_member_[what.database] = member;
    const auto member_fault = [&](std::string_view kind, std::string_view more = "") {
        return post_fault(group.control_url,
                          fmt::format(R"({{"member":{},"kind":"{}"{}}})", member, kind, more));
    };
    switch (what.kind) {
    case fault_kind::primary_crash:
        note.succeeded = member_fault("crash");
        break;
    case fault_kind::primary_partition:
        note.succeeded = member_fault("partition") && member_fault("isolate");
        break;
    case fault_kind::primary_silent:
        note.succeeded = member_fault("freeze");
        break;
    case fault_kind::silent_connections:
        note.succeeded = member_fault("silent");
        break;
    case fault_kind::lose_answers:
        note.succeeded = member_fault("lose-answers", fmt::format(R"(,"n":{})", what.amount));
        break;
    case fault_kind::replica_lag:
        note.succeeded = true;
        for (std::size_t n = 0; n < group.members.size(); ++n) {
            note.succeeded =
                post_fault(group.control_url,
                           fmt::format(R"({{"member":{},"kind":"lag","ms":{}}})", n, what.amount)) &&
                note.succeeded;
        }
        break;
    case fault_kind::store_outage:
        note.succeeded = post_fault(fleet_.store_url, R"({"kind":"outage","ms":3600000})");
        break;
    case fault_kind::instance_kill:
    case fault_kind::instance_pause:
        if (const auto* holder = holder_of(what.database); holder != nullptr && holder->pid > 0) {
            faulty_pid_[what.database] = holder->pid;
            note.primary_before = holder->id.value;
            const auto signal_number = what.kind == fault_kind::instance_kill ? SIGKILL : SIGSTOP;
            note.succeeded = kill(holder->pid, signal_number) == 0;
        }
        break;
    }
    return note;
}

auto fault_injector::heal(fault_note& note, duration now) -> void {
    note.healed = now;
    const auto& what = note.what;
    const auto& group = fleet_.databases.at(what.database);
    const auto member_fault = [&](std::string_view kind) {
        post_fault(group.control_url,
                   fmt::format(R"({{"member":{},"kind":"{}"}})", faulty_member_[what.database], kind));
    };
    switch (what.kind) {
    case fault_kind::primary_crash:
        member_fault("restart");
        break;
    case fault_kind::primary_silent:
        member_fault("thaw");
        break;
    case fault_kind::primary_partition:
    case fault_kind::silent_connections:
    case fault_kind::lose_answers:
        member_fault("heal");
        break;
    case fault_kind::replica_lag:
        for (std::size_t n = 0; n < group.members.size(); ++n) {
            post_fault(group.control_url, fmt::format(R"({{"member":{},"kind":"lag","ms":5}})", n));
        }
        break;
    case fault_kind::store_outage:
        post_fault(fleet_.store_url, R"({"kind":"heal"})");
        break;
    case fault_kind::instance_pause:
        if (const auto it = faulty_pid_.find(what.database); it != faulty_pid_.end()) {
            kill(it->second, SIGCONT);
        }
        break;
    case fault_kind::instance_kill:
        break; // The start script replaces the process.
    }
}

} // namespace citronlug::bench
