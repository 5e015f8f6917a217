#include "session_proxy_impl.h"

#include <fmt/format.h>

#include <algorithm>

namespace citronlug {

namespace {

/// A request that takes longer than this multiple of its route's latency target is logged as slow.
constexpr auto slow_request_factor = 1.0;
/// Weight of a new sample in the moving average of a route's service time.
constexpr auto service_time_weight = 0.05;
/// Time for which a primary is not used after it rejected a statement as read-only.
constexpr auto demoted_primary_pause = duration{200ms};
/// The primary's log position is requested when the newest known one is older than this part of the smallest
/// age that a route of the group accepts; replicas need it to serve reads. The coordinator's positions arrive
/// within 750 ms, so that instances rarely ask for their own: each request takes a slot of the primary.
constexpr auto position_probe_age_share = 0.6;
/// Lower bound of that time, for routes that accept almost no age.
constexpr auto min_position_probe_interval = duration{400ms};
/// No position is requested if no session that may read from the group's replicas was active for this time.
constexpr auto position_probe_idle = duration{3s};

} // namespace

auto session_proxy::implementation::close_connection(connection_id id) -> void {
    pool_.remove(id);
    rolling_back_.erase(id);
    probes_.erase(id);
    effects_.close_server(id);
}

auto session_proxy::implementation::release_connection(time_point now, statement_work& work) -> void {
    const auto id = std::exchange(work.connection, 0);
    work_of_connection_.erase(id);
    pool_.release(id, now);
}

auto session_proxy::implementation::on_server_opened(time_point now, connection_id id) -> void {
    const auto* connection = pool_.find(id);
    if (connection == nullptr) {
        effects_.close_server(id);
        return;
    }
    pool_.on_opened(id, now);
    dispatch_queued(now, connection->server.group);
}

auto session_proxy::implementation::on_server_lost(time_point now, connection_id id, connection_loss reason,
                                                   bool timed_out) -> void {
    const auto* connection = pool_.find(id);
    if (connection == nullptr) {
        return;
    }
    const auto server = connection->server;
    const auto was_idle = connection->phase == connection_phase::idle;
    const auto was_opening = connection->phase == connection_phase::opening;
    pool_.remove(id);
    rolling_back_.erase(id);
    probes_.erase(id);
    auto& group = group_of(server.group);
    const auto* listed = pool_.server(server.id);
    if (!timed_out && (reason == connection_loss::refused || reason == connection_loss::closed) &&
        listed != nullptr && listed->started_ms == server.started_ms && listed->address == server.address) {
        cold_.servers().on_connection_lost(now, server.id);
    }
    if (reason == connection_loss::no_room) {
        pool_.on_connection_limit(server.id, now);
    } else if (!was_idle) {
        if (pool_.health(server.id).failures == 0) {
            log(log_level::warning, log_event::server_unusable,
                {{"server", server.id.value},
                 {"group", server.group.value},
                 {"why", std::string{name_of(reason)}}});
        }
        pool_.on_failure(server.id, now);
        if (was_opening) {
            pool_.on_opening_failed(server.id, now);
        }
        if (server.id == group.primary.primary) {
            group.observations.failed_at = now;
        }
    }
    const auto owner = work_of_connection_.find(id);
    if (owner != work_of_connection_.end()) {
        auto& work = active_work_.at(owner->second);
        work_of_connection_.erase(owner);
        on_attempt_lost(now, work, name_of(reason), work.stage == work_stage::running);
    } else {
        // No statement was running: the server rolled back the connection's transaction, if it had one.
        for (auto& [caller, session] : sessions_) {
            if (session.transaction && session.transaction->connection == id) {
                session.transaction->connection = 0;
                fail_transaction(now, session,
                                 {session_error::aborted, "the connection to the server was lost"});
                break;
            }
        }
    }
    dispatch_queued(now, server.group);
}

auto session_proxy::implementation::on_server_answer(time_point now, connection_id id,
                                                     const session_answer& answer) -> void {
    auto* connection = pool_.find(id);
    if (connection == nullptr) {
        return;
    }
    const auto server = connection->server;
    pool_.health(server.id).answered_at = now;
    auto& group = group_of(server.group);
    if (server.id == group.primary.primary) {
        group.observations.answered_at = now;
    }
    if (rolling_back_.erase(id) > 0) {
        if (answer.error || answer.state != transaction_state::idle) {
            close_connection(id);
        } else {
            pool_.release(id, now);
        }
        dispatch_queued(now, server.group);
        return;
    }
    const auto probe = probes_.find(id);
    if (probe != probes_.end()) {
        if (answer.reached && server.id == group.primary.primary && may_use_primary(now, group)) {
            group.samples.add(probe->second, *answer.reached);
        }
        probes_.erase(probe);
        pool_.release(id, now);
        dispatch_queued(now, server.group);
        return;
    }
    const auto owner = work_of_connection_.find(id);
    if (owner == work_of_connection_.end()) {
        close_connection(id); // unexpected answer
        return;
    }
    auto& work = active_work_.at(owner->second);
    if (work.stage == work_stage::preparing) {
        on_prepared(now, work, answer);
    } else {
        on_result(now, work, answer);
    }
    dispatch_queued(now, server.group);
}

auto session_proxy::implementation::on_prepared(time_point now, statement_work& work,
                                                const session_answer& answer) -> void {
    if (answer.error && !work.prepare_failure) {
        work.prepare_failure = answer.error;
    }
    if (--work.preparations_left > 0) {
        return;
    }
    const auto session = sessions_.find(work.caller);
    if (session == sessions_.end()) {
        // The caller has disconnected; its statement was not sent.
        const auto id = work.connection;
        work_of_connection_.erase(id);
        active_work_.erase(work.id);
        close_connection(id);
        return;
    }
    if (!work.prepare_failure) {
        if (must_begin(work)) {
            session->second.transaction->connection = work.connection;
            session->second.transaction->generation = work.generation;
            if (work.generation != 0) {
                record_position(now, work, answer);
            }
        }
        send(now, work);
        return;
    }
    const auto code = work.prepare_failure->code;
    const auto id = work.connection;
    const auto had_begun = work.in_transaction && !must_begin(work);
    work_of_connection_.erase(id);
    if (answer.state == transaction_state::idle && was_not_run(code)) {
        work.connection = 0;
        pool_.release(id, now);
    } else {
        work.connection = 0;
        close_connection(id);
    }
    if (code == session_error::lagging) {
        work.lagging_servers.insert(work.server);
        pool_.on_lagging(work.server, now);
    } else if (code == session_error::read_only) {
        group_of(work.route->group).observations.lost_lead = true;
        pool_.health(work.server).unusable_until = now + demoted_primary_pause;
    } else if (code == session_error::busy) {
        pool_.on_queue_full(work.server, now);
        choice_.on_rejected(work.server);
    }
    if (had_begun) {
        sessions_.at(work.caller).transaction->connection = 0;
        finish_with_error(now, work, session_error::aborted,
                          "the server refused to continue the transaction");
        return;
    }
    retry(now, work, name_of(code), code != session_error::lagging);
}

auto session_proxy::implementation::record_position(time_point /*now*/, const statement_work& work,
                                                    const session_answer& answer) -> void {
    auto& group = group_of(work.route->group);
    if (work.generation != 0 && work.generation == group.primary.generation && answer.reached &&
        !group.primary.changing) {
        group.samples.add(work.sent_at, *answer.reached);
    }
}

auto session_proxy::implementation::on_result(time_point now, statement_work& work,
                                              const session_answer& answer) -> void {
    record_position(now, work, answer);
    // Immediate refusals, such as by a full server, must not distort the service time.
    if (!answer.error || !was_not_run(answer.error->code)) {
        const auto failed = answer.error && (answer.error->code == session_error::failed ||
                                             answer.error->code == session_error::timed_out);
        if (failed) {
            choice_.on_failure(work.server, now);
        } else if (server_limits_ != server_limit_mode::off && !answer.error) {
            choice_.on_answer(work.server, kind_of(work), now - work.sent_at, pool_.busy(work.server), now);
        }
        pool_.on_answer(work.server, now - work.sent_at, now);
        auto& mean = mean_service_times_.try_emplace(work.route->name, now - work.sent_at).first->second;
        mean = std::chrono::duration_cast<duration>(mean * (1 - service_time_weight) +
                                                    (now - work.sent_at) * service_time_weight);
    }
    if (answer.error) {
        on_error_answer(now, work, answer);
        return;
    }
    auto& group = group_of(work.route->group);
    const auto session = sessions_.find(work.caller);
    const auto is_commit = work.statement.verb == session_verb::commit;
    if (work.writes) {
        // The primary may have been replaced before the commit, so its success must not be passed on.
        const auto permitted_until = work.generation == group.primary.generation
                                         ? group.primary.permitted_until
                                         : work.permitted_until;
        if (work.outlived_permit || now >= permitted_until) {
            finish_with_error(now, work, session_error::in_doubt,
                              "the primary may have been replaced before it committed");
            return;
        }
        if (answer.reached) {
            group.newest_acknowledged =
                std::max(group.newest_acknowledged.value_or(position{}), *answer.reached);
            if (session != sessions_.end()) {
                session->second.own_writes[work.route->group] = *answer.reached;
            }
        }
    }
    if (!work.in_transaction || is_commit) {
        if (session != sessions_.end()) {
            session->second.transaction.reset();
        }
        if (answer.state == transaction_state::idle) {
            release_connection(now, work);
        } else {
            work_of_connection_.erase(work.connection);
            close_connection(std::exchange(work.connection, 0));
        }
    } else {
        work_of_connection_.erase(work.connection);
        if (session == sessions_.end()) {
            auto abandoned = session_transaction{};
            abandoned.connection = std::exchange(work.connection, 0);
            roll_back_connection(now, abandoned);
        } else {
            session->second.transaction->last_used_at = now;
        }
    }
    finish(now, work, answer);
}

auto session_proxy::implementation::on_error_answer(time_point now, statement_work& work,
                                                    const session_answer& answer) -> void {
    const auto code = answer.error->code;
    auto& group = group_of(work.route->group);
    if (code == session_error::lagging) {
        work.lagging_servers.insert(work.server);
        pool_.on_lagging(work.server, now);
    } else if (code == session_error::read_only && work.generation != 0) {
        group.observations.lost_lead = true;
        pool_.health(work.server).unusable_until = now + demoted_primary_pause;
    } else if (code == session_error::busy) {
        pool_.on_queue_full(work.server, now);
        choice_.on_rejected(work.server);
    }
    if (work.in_transaction) {
        const auto is_commit = work.statement.verb == session_verb::commit;
        if (is_commit && work.writes && !was_not_run(code)) {
            finish_with_error(now, work, session_error::in_doubt, answer.error->text);
            return;
        }
        // The transaction cannot continue after an error.
        finish_with_error(now, work, guarantees_no_effect(code) ? session_error::aborted : code,
                          answer.error->text);
        return;
    }
    if (answer.state == transaction_state::idle) {
        release_connection(now, work);
    } else {
        work_of_connection_.erase(work.connection);
        close_connection(std::exchange(work.connection, 0));
    }
    if (work.caller == 0) {
        active_work_.erase(work.id);
        return;
    }
    if (was_not_run(code)) {
        if (code == session_error::no_statement) {
            finish_with_error(now, work, session_error::busy,
                              "the prepared statement is no longer known to the backend server; retry now");
            return;
        }
        retry(now, work, name_of(code), code != session_error::lagging);
    } else if (++work.may_have_run;
               !work.writes && (code == session_error::failed || code == session_error::timed_out) &&
               (work.route->max_attempts == 0 ? work.attempts < 2
                                              : work.may_have_run < work.route->max_attempts)) {
        work.tried_servers.insert(work.server);
        retry(now, work, name_of(code));
    } else {
        finish_with_error(now, work, code, answer.error->text);
    }
}

auto session_proxy::implementation::on_attempt_lost(time_point now, statement_work& work,
                                                    std::string_view reason, bool was_sent) -> void {
    work.connection = 0;
    work.may_have_run += was_sent ? 1 : 0;
    if (was_sent) {
        choice_.on_failure(work.server, now);
    }
    if (work.caller == 0) {
        active_work_.erase(work.id);
        return;
    }
    auto& session = sessions_.at(work.caller);
    const auto timed_out = now >= work.deadline;
    if (work.in_transaction && session.transaction && session.transaction->connection != 0) {
        // The server rolls back an uncommitted transaction when its connection closes.
        session.transaction->connection = 0;
        const auto in_doubt = was_sent && work.writes;
        finish_with_error(now, work, in_doubt ? session_error::in_doubt : session_error::aborted,
                          fmt::format("connection to the server lost: {}", reason));
        return;
    }
    if (was_sent && work.writes) {
        finish_with_error(now, work, session_error::in_doubt,
                          fmt::format("connection to the server lost: {}", reason));
        return;
    }
    if (timed_out) {
        finish_with_error(now, work, was_sent ? session_error::timed_out : session_error::busy,
                          shutdown_ && now >= shutdown_->answers_due
                              ? "this instance is stopping; retry now at another instance"
                              : "the statement timeout has passed; retry now");
        return;
    }
    work.tried_servers.insert(work.server);
    const auto servers = pool_.servers_of(work.route->group);
    if (std::all_of(servers.begin(), servers.end(),
                    [&](const auto* it) { return work.tried_servers.contains(it->id); })) {
        work.tried_servers.clear();
    }
    retry(now, work, reason);
}

auto session_proxy::implementation::finish_with_error(time_point now, statement_work& work,
                                                      session_error code, std::string text) -> void {
    auto answer = session_answer{};
    answer.error = session_failure{code, std::move(text)};
    finish(now, work, std::move(answer));
}

auto session_proxy::implementation::finish(time_point now, statement_work& work, session_answer answer)
    -> void {
    const auto it = sessions_.find(work.caller);
    remove_from_queues(work);
    if (it == sessions_.end()) {
        if (work.connection != 0) {
            work_of_connection_.erase(work.connection);
            close_connection(work.connection);
        }
        active_work_.erase(work.id);
        return;
    }
    auto& session = it->second;
    session.current_work = 0;
    log_outcome(now, work, answer);
    counters_.count("citronlug_answers_total",
                    {{"code", answer.error ? std::string{name_of(answer.error->code)} : std::string{"ok"}},
                     {"kind", std::string{name_of(work.route->kind)}}});
    counters_.observe("citronlug_statement_seconds", {{"kind", std::string{name_of(work.route->kind)}}},
                      now - work.received);
    const auto ends_transaction = work.statement.verb == session_verb::commit;
    if (answer.error && (work.in_transaction || session.transaction)) {
        if (work.connection != 0) {
            work_of_connection_.erase(work.connection);
        }
        if (session.transaction && session.transaction->connection == 0) {
            session.transaction->connection = work.connection;
        }
        fail_transaction(now, session, *answer.error);
    } else if (work.connection != 0 && answer.error) {
        work_of_connection_.erase(work.connection);
        close_connection(work.connection);
    }
    if (ends_transaction) {
        session.state = transaction_state::idle;
    }
    answer.state = session.state;
    const auto id = work.id;
    active_work_.erase(id);
    effects_.answer_caller(session.id, answer);
    after_answer(now, session);
}

auto session_proxy::implementation::log_outcome(time_point now, const statement_work& work,
                                                const session_answer& answer) -> void {
    const auto took = now - work.received;
    const auto& group = group_of(work.route->group);
    auto event = log_event::request_served;
    auto level = log_level::debug;
    if (answer.error) {
        level = log_level::info;
        event = answer.error->code == session_error::in_doubt ? log_event::request_in_doubt
                : guarantees_no_effect(answer.error->code)    ? log_event::request_refused
                                                              : log_event::request_failed;
    } else if (took > work.route->latency_target * slow_request_factor) {
        level = log_level::info;
        event = log_event::request_slow;
    }
    const auto sample = group.samples.newest_at();
    log(level, event,
        {{"request", work.statement.id},
         {"session", std::to_string(work.caller)},
         {"route", work.route->name},
         {"account", work.account.value},
         {"verb", std::string{name_of(work.statement.verb)}},
         {"code", answer.error ? std::string{name_of(answer.error->code)} : std::string{"ok"}},
         {"why", answer.error ? answer.error->text : std::string{}},
         {"stage", std::string{name_of(work.stage)}},
         {"server", work.server.value},
         {"attempts", std::to_string(work.attempts)},
         {"took_ms", std::to_string(took / 1ms)},
         {"at_server_ms", std::to_string(work.sent_at == time_point{} ? 0 : (now - work.sent_at) / 1ms)},
         {"primary", group.primary.primary.value},
         {"generation", std::to_string(group.primary.generation)},
         {"permit_left_ms",
          std::to_string(std::max<std::int64_t>(0, (group.primary.permitted_until - now) / 1ms))},
         {"position_age_ms", sample ? std::to_string((now - *sample) / 1ms) : std::string{"none"}},
         {"rules", std::to_string(rules_->version)}});
}

auto session_proxy::implementation::set_rules(time_point now, std::shared_ptr<const desired_state> rules)
    -> void {
    if (rules->version <= rules_->version) {
        return; // stale
    }
    rules_ = std::move(rules);
    log(log_level::info, log_event::rules_applied,
        {{"version", std::to_string(rules_->version)},
         {"routes", std::to_string(rules_->routes.size())},
         {"accounts", std::to_string(rules_->accounts.size())}});
    limiter_.set_limits(now, *rules_);
    cold_.servers().set_rules(*rules_);
    update_connection_budgets();
    for (const auto& [caller, it] : std::exchange(pending_starts_, {})) {
        on_start(now, caller, it.database, it.key);
    }
    // Work that has not run is refused if its route or key is no longer valid.
    auto obsolete = std::vector<std::uint64_t>{};
    for (const auto& [id, work] : active_work_) {
        const auto session = sessions_.find(work.caller);
        if (work.in_transaction || session == sessions_.end() ||
            (work.stage != work_stage::queued && work.stage != work_stage::admission)) {
            continue;
        }
        const auto route = rules_->route_of(session->second.database);
        const auto account = rules_->account_of(session->second.key);
        if (!route || route->group != work.route->group ||
            (!route->open_to_all && (!account || *account != work.account))) {
            obsolete.push_back(id);
        }
    }
    for (const auto id : obsolete) {
        finish_with_error(now, active_work_.at(id), session_error::busy, "the rules have changed; retry now");
    }
}

auto session_proxy::implementation::set_servers(time_point now, const std::vector<backend_server>& servers)
    -> void {
    cold_.servers().set_servers(now, servers);
    for (const auto id : pool_.set_servers(now, servers)) {
        effects_.close_server(id);
        on_server_lost(now, id, connection_loss::closed);
    }
    choice_.set_servers(servers);
    for (auto& [id, group] : groups_) {
        dispatch_queued(now, id);
    }
}

auto session_proxy::implementation::set_instances(time_point /*now*/, std::uint32_t live) -> void {
    instances_ = std::max(1U, live);
    limiter_.set_instances(instances_);
    update_connection_budgets();
}

auto session_proxy::implementation::update_connection_budgets() -> void {
    for (const auto& [id, group] : rules_->groups) {
        pool_.set_budget(id, connection_budget_for(group.server_connections, instances_));
    }
}

auto session_proxy::implementation::set_primary(time_point now, const primary_view& view) -> void {
    auto& group = group_of(view.group);
    auto& current = group.primary;
    if (view.generation < current.generation) {
        return;
    }
    const auto is_new = view.generation > current.generation;
    if (is_new || (view.changing && !current.changing)) {
        log(log_level::info, log_event::primary_recorded,
            {{"group", view.group.value},
             {"primary", view.primary.value},
             {"generation", std::to_string(view.generation)},
             {"changing", view.changing ? "yes" : "no"}});
        group.changing_since = now;
        abort_primary_transactions(now, view.group);
    }
    const auto change_ended = current.changing && !view.changing;
    if (is_new && view.primary != current.primary) {
        group.observations = {};
    }
    if (change_ended) {
        // The new primary's log may lack positions of the old one.
        group.samples.clear();
        group.observations = {};
        if (group.permit_missing_since != time_point{}) {
            group.permit_missing_since = now; // the time before is due to the change
        }
    }
    current = view;
    dispatch_queued(now, view.group);
}

auto session_proxy::implementation::abort_primary_transactions(time_point now, const group_id& group)
    -> void {
    auto open = std::vector<caller_id>{};
    for (const auto& [id, session] : sessions_) {
        const auto& transaction = session.transaction;
        if (transaction && transaction->route->group == group && transaction->generation != 0 &&
            session.current_work == 0) {
            open.push_back(id);
        }
    }
    for (const auto id : open) {
        fail_transaction(now, sessions_.at(id), {session_error::aborted, "the primary is being replaced"});
    }
}

auto session_proxy::implementation::position_probe_interval(const group_id& group) const -> duration {
    auto smallest_age = std::optional<duration>{};
    for (const auto& [name, route] : rules_->routes) {
        if (route->group == group && route->kind != consistency::primary && route->max_age > duration{}) {
            smallest_age = std::min(smallest_age.value_or(route->max_age), route->max_age);
        }
    }
    return std::max(
        min_position_probe_interval,
        std::chrono::duration_cast<duration>(smallest_age.value_or(duration{}) * position_probe_age_share));
}

auto session_proxy::implementation::probe_primaries(time_point now) -> void {
    for (auto& entry : groups_) {
        const auto& id = entry.first;
        auto& group = entry.second;
        const auto newest = group.samples.newest_at();
        const auto known_at = std::max(newest.value_or(time_point{}), group.probed_at);
        if (!may_use_primary(now, group) || now - known_at < min_position_probe_interval ||
            now - known_at < position_probe_interval(id)) {
            continue;
        }
        const auto has_recent_reads = std::any_of(sessions_.begin(), sessions_.end(), [&](const auto& it) {
            const auto route = rules_->route_of(it.second.database);
            return route && route->group == id && route->kind != consistency::primary &&
                   (it.second.current_work != 0 || now - it.second.idle_since < position_probe_idle);
        });
        const auto* primary = pool_.server(group.primary.primary);
        if (!has_recent_reads || primary == nullptr || !evacuations_.may_use(*primary, true)) {
            continue;
        }
        if (!cold_.may_pass(now, primary->id, 0, time_point::max())) {
            if (cold_.wait(now, primary->id, 0, time_point::max(), 1)) {
                effects_.send_token_requests();
            }
            continue;
        }
        const auto connection = pool_.acquire_any(primary->id, now);
        if (connection == 0) {
            continue;
        }
        static_cast<void>(cold_.pass(now, primary->id));
        cold_.stop_waiting(primary->id, 0, time_point::max());
        group.probed_at = now;
        probes_[connection] = now;
        effects_.send_server(connection, {server_action::status, {}, {}, {}, {}, 0});
    }
}

} // namespace citronlug
