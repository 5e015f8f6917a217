#include "profile.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <cmath>
#include <regex>

namespace citronlug::bench {

namespace {

auto seconds(double value) -> duration {
    return duration{static_cast<std::int64_t>(value * 1e6)};
}

auto bad_field(std::string_view path, std::string_view accepted) -> failure {
    return failure{failure_code::bad_request, fmt::format("{}: expected {}", path, accepted), {}};
}

} // namespace

auto read_profile(const std::string& path) -> result<profile> {
    auto file = QFile{QString::fromStdString(path)};
    if (!file.open(QIODevice::ReadOnly)) {
        return failure{failure_code::bad_request, fmt::format("cannot read profile {}", path), {}};
    }
    const auto root = QJsonDocument::fromJson(file.readAll()).object();
    auto out = profile{};
    out.name = root["name"].toString().toStdString();
    if (out.name.empty()) {
        return bad_field("name", "a text");
    }
    out.databases = static_cast<std::size_t>(root["databases"].toInt(3));
    out.members = static_cast<std::size_t>(root["members"].toInt(3));
    out.slots = root["slots"].toInt(5);
    out.connections = root["connections"].toInt(35);
    out.connect_ms = root["connect_ms"].toInt(12);
    out.max_age = seconds(root["max_age_s"].toDouble(5));
    out.deadline = seconds(root["deadline_s"].toDouble(3));
    const auto mix = root["mix"].toObject();
    out.mix = operation_mix{mix["aged_reads"].toDouble(), mix["session_reads"].toDouble(),
                            mix["session_writes"].toDouble(), mix["orders"].toDouble()};
    const auto total = out.mix.aged_reads + out.mix.session_reads + out.mix.session_writes + out.mix.orders;
    if (std::abs(total - 1.0) > 1e-6) {
        return bad_field("mix", "shares that add up to 1");
    }
    for (const auto& it : root["accounts"].toArray()) {
        const auto entry = it.toObject();
        auto load = account_load{};
        load.account.value = entry["account"].toString().toStdString();
        load.limit = rate_limit{entry["rate"].toDouble(), entry["burst"].toDouble()};
        load.offered = entry["offered"].toDouble();
        if (load.account.empty() || load.limit.rate <= 0 || load.limit.burst < 1 || load.offered < 0) {
            return bad_field(fmt::format("accounts[{}]", out.accounts.size()),
                             "account, rate > 0, burst >= 1, offered >= 0");
        }
        out.accounts.push_back(load);
    }
    if (out.accounts.empty()) {
        return bad_field("accounts", "at least one client account");
    }
    return out;
}

auto parse_fault(const std::string& text) -> result<fault> {
    static const auto form = std::regex{R"(([a-z-]+)@([0-9.]+)\+([0-9.]+)(?::([0-9]+))?(?:/([0-9]+))?)"};
    auto parts = std::smatch{};
    if (!std::regex_match(text, parts, form)) {
        return bad_field(text, "kind@seconds+length[:amount][/database]");
    }
    const auto kind = value_of<fault_kind>(parts[1].str());
    if (!kind) {
        return bad_field(text, fmt::format("one of {}", fmt::join(name_table<fault_kind>::names, ", ")));
    }
    auto out = fault{*kind, seconds(std::stod(parts[2])), seconds(std::stod(parts[3])), 0, 0};
    if (parts[4].matched) {
        out.amount = std::stoi(parts[4]);
    }
    if (parts[5].matched) {
        out.database = std::stoul(parts[5]);
    }
    return out;
}

} // namespace citronlug::bench
