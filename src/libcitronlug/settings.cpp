#include <citronlug/settings.h>

#include "numbers.h"
#include "settings_reader.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>

namespace citronlug {

namespace {

constexpr auto hash_syntax = "SHA-256 of the token as 64 lower-case hexadecimal digits";
constexpr std::size_t min_secret_bytes = 16;

auto is_hash(const std::string& text) -> bool {
    return text.size() == 64 && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

auto read_admin_tokens(object_reader& in, std::vector<setting_error>& errors)
    -> std::vector<admin_credential> {
    auto credentials = std::vector<admin_credential>{};
    auto names = std::set<std::string>{};
    for (const auto& value : in.array("admin_tokens", true)) {
        const auto path = fmt::format("admin_tokens[{}]", credentials.size());
        if (!value.isObject()) {
            errors.push_back({path, "is not valid", "{\"name\": NAME, \"sha256\": HASH}"});
            credentials.emplace_back();
            continue;
        }
        auto entry = object_reader{value.toObject(), path, errors};
        auto it = admin_credential{};
        it.name = entry.text("name", is_name, name_syntax);
        it.token_hash = entry.text("sha256", is_hash, hash_syntax);
        entry.reject_unknown_fields();
        if (!it.name.empty() && !names.insert(it.name).second) {
            entry.fail("name", "is not unique", "a different name for each token");
        }
        credentials.push_back(it);
    }
    return credentials;
}

auto read_limits(object_reader in) -> caller_limits {
    auto limits = caller_limits{};
    limits.connections = static_cast<int>(in.number("connections", limits.connections, 1, 100'000));
    limits.body_bytes = static_cast<int>(in.number("body_bytes", limits.body_bytes, 1024, 64'000'000));
    limits.header_bytes = static_cast<int>(in.number("header_bytes", limits.header_bytes, 1024, 1'000'000));
    limits.idle = std::chrono::seconds{in.number("idle_seconds", limits.idle / 1s, 1, 3600)};
    in.reject_unknown_fields();
    return limits;
}

auto read_lease(object_reader in) -> lease_settings {
    auto lease = lease_settings{};
    lease.heartbeat_interval = in.milliseconds("heartbeat_ms", lease.heartbeat_interval, 10, 10'000);
    lease.lease = in.milliseconds("lease_ms", lease.lease, 100, 60'000);
    lease.drift_allowance = in.milliseconds("drift_ms", lease.lease / 10, 1, 60'000);
    lease.store_renewal_interval =
        in.milliseconds("store_renewal_ms", lease.store_renewal_interval, 10, 30'000);
    lease.member_removal_delay =
        in.milliseconds("member_removal_ms", lease.member_removal_delay, 1000, 3'600'000);
    // The lease must survive the loss of two consecutive heartbeats.
    if (lease.heartbeat_interval * 3 > lease.lease) {
        in.fail("heartbeat_ms", "is too long for the lease", "at most a third of lease_ms");
    }
    if (lease.store_renewal_interval * 2 > lease.lease) {
        in.fail("store_renewal_ms", "is too long for the lease", "at most half of lease_ms");
    }
    // Rate grants of the previous accountant must have expired before its successor starts.
    if (lease.lease <= max_grant_lifetime) {
        in.fail("lease_ms", "is too short for rate grants",
                fmt::format("more than {} ms", max_grant_lifetime / 1ms));
    }
    if (lease.drift_allowance * 20 < lease.lease || lease.drift_allowance > lease.lease) {
        in.fail("drift_ms", "does not fit the lease", "from a twentieth of lease_ms to lease_ms");
    }
    in.reject_unknown_fields();
    return lease;
}

auto read_cells(object_reader in, const cell_id& own_cell) -> std::map<cell_id, std::vector<std::string>> {
    auto cells = std::map<cell_id, std::vector<std::string>>{};
    for (const auto& cell : in.fields()) {
        if (!is_name(cell)) {
            in.fail(cell, "is not a cell name", name_syntax);
        }
        if (cell == own_cell.value) {
            in.fail(cell, "is this instance's own cell", "other cells");
        }
        auto& seeds = cells[cell_id{cell}];
        const auto addresses = in.array(cell, true);
        for (const auto& it : addresses) {
            const auto address = it.toString().toStdString();
            if (!is_address(address)) {
                in.fail(fmt::format("{}[{}]", cell, seeds.size()), "is not valid", address_syntax);
            }
            seeds.push_back(address);
        }
        if (addresses.isEmpty()) {
            in.fail(cell, "has no address", "at least one peer address");
        }
    }
    in.reject_unknown_fields();
    return cells;
}

auto locate_syntax_error(const std::string& text, const QJsonParseError& error) -> setting_error {
    const auto offset = std::min(text.size(), static_cast<std::size_t>(std::max(error.offset, 0)));
    const auto before = std::string_view{text}.substr(0, offset);
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const auto start = before.rfind('\n');
    const auto column = offset - (start == std::string_view::npos ? 0 : start + 1) + 1;
    return {fmt::format("line {}, column {}", line, column), error.errorString().toStdString(),
            "a JSON object"};
}

} // namespace

auto parse_settings(const std::string& text, const policy_names& policies)
    -> std::variant<process_settings, std::vector<setting_error>> {
    auto parse_error = QJsonParseError{};
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text), &parse_error);
    if (parse_error.error != QJsonParseError::NoError) {
        return std::vector{locate_syntax_error(text, parse_error)};
    }
    if (!document.isObject()) {
        return std::vector{
            setting_error{"line 1, column 1", "the settings are not a JSON object", "a JSON object"}};
    }
    auto errors = std::vector<setting_error>{};
    auto in = object_reader{document.object(), "", errors};
    auto settings = process_settings{};
    settings.instance = instance_id{in.text("instance", is_name, name_syntax)};
    settings.cell = cell_id{in.text("cell", is_name, name_syntax)};
    settings.region = in.text("region", is_name, name_syntax);
    settings.domain = failure_domain{in.text("failure_domain", is_name, name_syntax)};
    settings.caller_address = in.text("caller_address", is_address, address_syntax);
    settings.peer_address = in.text("peer_address", is_address, address_syntax);
    settings.admin_address = in.text("admin_address", is_address, address_syntax);
    settings.store_address = in.text("store_address", is_address, address_syntax);
    settings.admin_tokens = read_admin_tokens(in, errors);
    settings.peer_secret = in.text(
        "peer_secret", [](const std::string& it) { return it.size() >= min_secret_bytes; },
        fmt::format("at least {} characters", min_secret_bytes));
    settings.shards = static_cast<int>(in.number("shards", settings.shards, 1, 64));
    settings.limits = read_limits(in.object("limits"));
    settings.lease = read_lease(in.object("lease"));
    settings.read_policy = in.one_of("read_policy", policies.read, settings.read_policy);
    settings.queue_policy = in.one_of("queue_policy", policies.queue, settings.queue_policy);
    settings.limit_policy = in.one_of("limit_policy", policies.limit, settings.limit_policy);
    settings.promotion_policy = in.one_of("promotion_policy", policies.promotion, settings.promotion_policy);
    settings.other_cells = read_cells(in.object("other_cells"), settings.cell);
    in.reject_unknown_fields();
    auto used_addresses = std::set<std::string>{};
    for (const auto& [field, address] : {std::pair{"caller_address", settings.caller_address},
                                         std::pair{"peer_address", settings.peer_address},
                                         std::pair{"admin_address", settings.admin_address}}) {
        if (is_address(address) && !used_addresses.insert(address).second) {
            in.fail(field, "is not unique", "different addresses for callers, peers and administration");
        }
    }
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

auto format_error(const setting_error& error) -> std::string {
    return fmt::format("{}: {}; accepted: {}", error.path, error.message, error.accepted);
}

} // namespace citronlug
