#include "session_proxy_impl.h"

#include <algorithm>

namespace citronlug {

auto session_proxy::implementation::may_use_cold(time_point now, statement_work& work,
                                                 const server_id& server, std::uint32_t tokens) -> bool {
    if (!cold_.is_limited(now, server)) {
        return true;
    }
    const auto may = cold_.may_pass(now, server, work.id, work.queue_deadline);
    // Also work that may start waits until it has spent its tokens, so that less urgent work leaves them to
    // it.
    const auto is_new = cold_.wait(now, server, work.id, work.queue_deadline, tokens);
    work.cold_server = server;
    if (is_new && !may) {
        effects_.send_token_requests();
    }
    return may;
}

auto session_proxy::implementation::take_cold_token(time_point now, statement_work& work,
                                                    std::uint32_t tokens) -> bool {
    if (!cold_.is_limited(now, work.server)) {
        stop_waiting_for_cold(work);
        return true;
    }
    if (!may_use_cold(now, work, work.server, tokens) || !cold_.pass(now, work.server)) {
        return false;
    }
    stop_waiting_for_cold(work);
    return true;
}

auto session_proxy::implementation::stop_waiting_for_cold(statement_work& work) -> void {
    if (!work.cold_server.empty()) {
        cold_.stop_waiting(work.cold_server, work.id, work.queue_deadline);
        work.cold_server = {};
    }
}

auto session_proxy::implementation::drop_cold_candidates(time_point now,
                                                         std::vector<const backend_server*>& candidates)
    -> void {
    const auto is_limited = [&](const backend_server* it) {
        return cold_.is_limited(now, it->id);
    };
    if (std::none_of(candidates.begin(), candidates.end(), is_limited) ||
        std::all_of(candidates.begin(), candidates.end(), is_limited)) {
        return;
    }
    const auto* first = candidates.front();
    if (cold_.servers().is_recovering(now, first->id) &&
        !cold_.may_pass(now, first->id, 0, time_point::max())) {
        // This work goes elsewhere at once. The tokens let the next one use the server.
        static_cast<void>(cold_.wait(now, first->id, 0, time_point::max(), 2));
    }
    std::erase_if(candidates, [&](const auto* it) {
        return is_limited(it) && !(cold_.servers().is_recovering(now, it->id) &&
                                   cold_.may_pass(now, it->id, 0, time_point::max()));
    });
}

auto session_proxy::implementation::send_held(time_point now, statement_work& work) -> void {
    while (!work.held.empty() &&
           take_cold_token(now, work, static_cast<std::uint32_t>(work.held.size()) + 1)) {
        effects_.send_server(work.connection, work.held.front());
        work.held.pop_front();
    }
}

auto session_proxy::implementation::resume_cold_work(time_point now) -> void {
    auto waiting = std::vector<std::pair<time_point, std::uint64_t>>{};
    for (const auto& [id, work] : active_work_) {
        if (work.stage == work_stage::preparing && !work.cold_server.empty()) {
            waiting.emplace_back(work.queue_deadline, id);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto& [deadline, id] : waiting) {
        const auto found = active_work_.find(id);
        if (found == active_work_.end() || found->second.cold_server.empty()) {
            continue;
        }
        auto& work = found->second;
        if (work.caller == 0) {
            stop_waiting_for_cold(work);
            work_of_connection_.erase(work.connection);
            close_connection(work.connection);
            active_work_.erase(found);
        } else if (!work.held.empty()) {
            send_held(now, work);
        } else if (work.preparations_left == 0) {
            send(now, work);
        }
    }
}

auto session_proxy::implementation::refuse_if_cold(time_point now, statement_work& work) -> bool {
    if (work.caller == 0 || work.cold_server.empty() || work.stage == work_stage::running ||
        !cold_.is_limited(now, work.cold_server) ||
        (now < work.queue_deadline &&
         !cold_.is_hopeless(now, work.cold_server, work.id, work.queue_deadline))) {
        return false;
    }
    stop_waiting_for_cold(work);
    const auto has_begun = work.in_transaction && work.stage != work_stage::queued;
    const auto code = has_begun ? session_error::aborted : session_error::busy;
    if (work.connection != 0) {
        if (work.preparations_left == 0 && !work.in_transaction) {
            release_connection(now, work);
        } else {
            // Answers to preparations may be due, and a rollback would take a token.
            auto& transaction = sessions_.at(work.caller).transaction;
            if (transaction) {
                transaction->connection = 0;
            }
            work_of_connection_.erase(work.connection);
            close_connection(std::exchange(work.connection, 0));
        }
    }
    counters_.count("citronlug_cold_refusals_total");
    finish_with_error(now, work, code, "the server has just started and takes few requests; retry in 1 s");
    return true;
}

auto session_proxy::implementation::publish_cold_servers(time_point now) -> void {
    const auto changes = cold_.servers().take_changes(now);
    for (const auto& it : changes) {
        log(log_level::info, log_event::server_cold,
            {{"server", it.server.value},
             {"state", it.begins ? "begin" : "end"},
             {"remaining_ms", std::to_string(it.remaining / 1ms)}});
    }
    if (!changes.empty()) {
        counters_.set("citronlug_cold_servers", {}, static_cast<double>(cold_.servers().limited(now).size()));
    }
    const auto counts = cold_.take_counts();
    if (counts.requested + counts.granted + counts.lapsed > 0) {
        counters_.count("citronlug_cold_tokens_total", {{"step", "requested"}}, counts.requested);
        counters_.count("citronlug_cold_tokens_total", {{"step", "granted"}}, counts.granted);
        counters_.count("citronlug_cold_tokens_total", {{"step", "lapsed"}}, counts.lapsed);
    }
}

} // namespace citronlug
