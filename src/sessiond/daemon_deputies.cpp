#include "session_daemon.h"

#include <algorithm>

namespace citronlug {

namespace {

/// In smaller fleets a share for each instance holds whole tokens.
constexpr auto max_instances_without_deputies = std::size_t{16};

} // namespace

auto session_daemon::update_deputies(time_point now) -> void {
    auto chosen = std::vector<token_deputy>{};
    if (instances_.size() > max_instances_without_deputies) {
        chosen = choose_deputies(settings_.instance, coordinator_.recent_reports(now));
    }
    auto names = std::set<instance_id>{};
    deputy_addresses_.clear();
    for (const auto& it : chosen) {
        names.insert(it.instance);
        deputy_addresses_.push_back(it.address);
    }
    token_allocator_.set_deputies(std::move(names));
}

auto session_daemon::request_from_deputy(time_point now) -> void {
    if (proxy_.limiter().coordinator_reachable(now)) {
        return;
    }
    auto report = instance_report{};
    report.instance = settings_.instance;
    report.run = run_;
    report.requests_tokens_only = true;
    report.token_requests = proxy_.limiter().take_deputy_requests(now);
    if (report.token_requests.empty()) {
        return;
    }
    const auto address = deputy_requests_.begin(now);
    if (address.empty() || address == settings_.peer_address) {
        deputy_requests_.on_answer(deputy_requests_.number(), false);
        return;
    }
    metrics_.count("citronlug_deputy_requests_total");
    auto wanted = std::uint32_t{0};
    for (const auto& it : report.token_requests) {
        wanted += it.wanted;
    }
    fleet_.report(
        address, report,
        [this, now, wanted, number = deputy_requests_.number()](const std::optional<report_answer>& answer) {
            auto lent = std::uint32_t{0};
            if (answer) {
                for (const auto& it : answer->tokens) {
                    lent += it.tokens;
                }
                metrics_.count("citronlug_deputy_tokens_total", {}, lent);
                proxy_.limiter().on_lent(clock_now(), now, answer->tokens);
            }
            deputy_requests_.on_answer(number, lent >= wanted);
            if (lent > 0) {
                proxy_.retry_admission(clock_now());
            }
        });
}

auto session_daemon::lend_tokens(const instance_report& request) -> report_answer {
    const auto now = clock_now();
    auto answer = report_answer{};
    for (const auto& it : request.token_requests) {
        if (const auto lent = proxy_.limiter().lend(now, it.account, it.wanted); lent > 0) {
            answer.tokens.push_back({it.account, lent, {}, 0});
        }
    }
    return answer;
}

} // namespace citronlug
