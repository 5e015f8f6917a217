#include "history.h"

#include "ground_truth.h"
#include "http_client.h"

#include <fmt/format.h>

#include <iterator>

namespace citronlug::bench {

namespace {

constexpr duration log_timeout = 20s;

auto is_read(operation_kind kind) -> bool {
    return kind == operation_kind::aged_read || kind == operation_kind::session_read;
}

/// "ck_<id>_<secret>" -> id
auto key_id_of(const std::string& key) -> key_id {
    const auto first = key.find('_');
    const auto second = key.find('_', first + 1);
    return key_id{key.substr(first + 1, second - first - 1)};
}

auto sent_record(const profile& plan, const cluster& fleet, const operation_record& it, time_point start,
                 std::uint64_t attempt) -> request_sent {
    auto out = request_sent{};
    out.at = start + it.sent;
    out.attempt = attempt;
    out.id.value = it.request_id;
    out.account = it.account;
    out.key = key_id_of(fleet.keys.at(it.account));
    out.instance = fleet.instances[it.instance].id;
    out.database = fleet.databases[it.database].id;
    out.mode = is_read(it.kind) ? access_mode::read : access_mode::write;
    out.idempotent = is_read(it.kind) || it.kind == operation_kind::ticker;
    out.ack = it.kind == operation_kind::ticker ? ack_mode::primary : ack_mode::replica;
    if (is_read(it.kind)) {
        out.max_age = plan.max_age;
    }
    out.session = it.session;
    out.row = it.row;
    if (!is_read(it.kind) && it.value) {
        out.value = std::to_string(*it.value);
    }
    return out;
}

auto received_record(const operation_record& it, time_point start, std::uint64_t attempt) -> answer_received {
    auto out = answer_received{};
    out.at = start + it.answered;
    out.attempt = attempt;
    out.outcome = it.outcome;
    out.from_replica = it.from_replica;
    if (is_read(it.kind) && it.outcome == verdict::done) {
        out.data_age = it.data_age;
        out.rows.columns = {"value"};
        if (it.value) {
            out.rows.rows = {{std::to_string(*it.value)}};
        }
    }
    return out;
}

/// Entries before the start belong to the preparation of the rows.
auto drop_before(time_point start, std::vector<history_record>& records) -> void {
    for (auto& it : records) {
        if (auto* log = std::get_if<member_log>(&it)) {
            const auto early = [start](const log_item& item) {
                return item.committed < start;
            };
            std::erase_if(log->entries, early);
            std::erase_if(log->truncated, early);
        }
    }
}

} // namespace

auto collect_history(const profile& plan, const cluster& fleet, const load_outcome& outcome)
    -> result<std::vector<history_record>> {
    auto history = std::vector<history_record>{};
    auto attempt = std::uint64_t{0};
    for (const auto& it : outcome.records) {
        ++attempt;
        history.emplace_back(sent_record(plan, fleet, it, outcome.started, attempt));
        if (it.code != "transport") {
            history.emplace_back(received_record(it, outcome.started, attempt));
        }
    }
    for (const auto& it : plan.accounts) {
        history.emplace_back(account_limit{outcome.started - 1h, it.account, it.limit.rate, it.limit.burst});
    }
    auto http = http_client{};
    for (const auto& target : fleet.databases) {
        const auto answer = http.call("GET", target.control_url + "/log", {}, "", log_timeout);
        if (answer.status != 200) {
            return failure{failure_code::connection_lost, fmt::format("no log of {}", target.id.value), {}};
        }
        auto truth = read_ground_truth(target.id, answer.body);
        if (!succeeded(truth)) {
            return std::get<failure>(truth);
        }
        auto& records = std::get<std::vector<history_record>>(truth);
        drop_before(outcome.started, records);
        std::move(records.begin(), records.end(), std::back_inserter(history));
    }
    return history;
}

} // namespace citronlug::bench
