#include "session_proxy_impl.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace citronlug {

namespace {

/// Longest wait of an operation for a token of its client account. Short, so that callers of an account over
/// its rate can slow down.
constexpr auto max_token_wait = duration{100ms};
/// The same while the coordinator is not reachable; a coordinator that shuts down is replaced in less time.
/// The wait is also limited to a share of the statement timeout, so that a refused caller still has time to
/// try an instance with tokens.
constexpr auto max_token_wait_without_coordinator = duration{250ms};
constexpr auto token_wait_share_without_coordinator = 0.125;
/// Share of the statement timeout that a statement may wait for a connection. The rest is for running it, or
/// for the caller to try another instance.
constexpr auto max_queue_share = 0.6;
/// Limit of attempts to run a statement that servers refused or lost. If the route has `max_attempts`, this
/// limits only the attempts that servers refused.
constexpr auto default_max_attempts = std::uint32_t{4};
/// Retry budget: each statement adds a fraction of a retry, up to a maximum, so that retries stay a bounded
/// share of all work.
constexpr auto retry_tokens_per_statement = 0.2;
constexpr auto max_retry_tokens = 50.0;
/// Reads that a replica can serve go to the primary only if all replicas are slower by this time, because the
/// primary alone serves writes.
constexpr auto primary_read_penalty = duration{25ms};
/// A statement without lasting effect is abandoned at its server after this multiple of its route's mean
/// service time, within these bounds, and retried while its caller waits. Handles lost answers and
/// unresponsive servers. The timeout doubles with each attempt, because some statements are slow on every
/// server.
constexpr auto attempt_timeout_factor = 8;
constexpr auto min_attempt_timeout = duration{300ms};
constexpr auto max_attempt_timeout_share = 0.5; ///< of the statement timeout
/// A connection that takes longer to open has failed.
constexpr auto open_timeout = duration{600ms};
/// A connection is closed if a rollback or status request takes longer than this.
constexpr auto cleanup_timeout = duration{1s};
/// A write in flight when a change of its primary begins may still be acknowledged for this time. Then the
/// permit is released and the outcome of the write is in doubt.
constexpr auto permit_release_grace = duration{300ms};
/// An instance without a permit for this time, with no change of primary in progress, reaches neither the
/// store nor the coordinator. It refuses statements at once, because callers are served sooner by another
/// instance.
constexpr auto isolated_after = duration{300ms};
/// An instance isolated from all primaries for this time is not ready for new callers. Shorter outages end
/// before the load balancer would notice.
constexpr auto not_ready_after = duration{1s};
/// Interval of the gauges of servers. Much shorter than the usual intervals of scrapes.
constexpr auto server_report_interval = duration{500ms};
/// With few instances, what an instance has in flight itself says enough about the load of a server, and the
/// drawing of learned placement costs more than it gains: with 7 instances 0.879 of a day's requests were
/// served without learning and 0.855 with it, with 4 instances p99 was higher in simulations. Large fleets
/// begin above this.
constexpr auto max_instances_without_learning = std::uint32_t{16};
/// Assumed service time of a statement before one has been measured.
constexpr auto default_service_time = duration{30ms};

auto lane_of(const statement_work& work) -> queue_lane {
    if (work.needs_primary) {
        return work.writes || work.in_transaction ? queue_lane::write : queue_lane::fresh_read;
    }
    return queue_lane::replica_read;
}

} // namespace

auto session_proxy::implementation::start_work(time_point now, caller_session& session,
                                               session_statement statement,
                                               std::shared_ptr<const session_route> route)
    -> statement_work& {
    const auto id = next_work_id_++;
    auto& work = active_work_[id];
    work.id = id;
    work.caller = session.id;
    work.route = std::move(route);
    work.account = session.account;
    work.received = now;
    work.deadline = now + work.route->statement_timeout;
    work.queue_deadline =
        now + std::chrono::duration_cast<duration>(work.route->statement_timeout * max_queue_share);
    const auto verb = statement.verb;
    const auto is_write = verb == session_verb::write ||
                          (verb == session_verb::execute && session.statements.at(statement.name).first);
    if (session.transaction) {
        auto& transaction = *session.transaction;
        work.in_transaction = true;
        work.connection = transaction.connection;
        work.generation = transaction.generation;
        work.needs_primary = !transaction.is_read_only || work.route->kind == consistency::primary;
        work.writes = verb == session_verb::commit && transaction.has_written;
        if (const auto* connection = pool_.find(work.connection)) {
            work.server = connection->server.id;
        }
    } else {
        work.writes = is_write;
        work.needs_primary = is_write || work.route->kind == consistency::primary;
    }
    limit_to_shutdown(work);
    work.statement = std::move(statement);
    session.current_work = id;
    retry_tokens_ = std::min(max_retry_tokens, retry_tokens_ + retry_tokens_per_statement);
    return work;
}

auto session_proxy::implementation::admit(time_point now, statement_work& work) -> void {
    if (is_unservable(now, work)) {
        refuse_unservable(now, work);
        return;
    }
    const auto deadline = token_deadline(now, work);
    const auto outcome =
        work.route->open_to_all ? admission::admitted : limiter_.admit(now, work.account, deadline);
    switch (outcome) {
    case admission::admitted:
        break;
    case admission::ask:
        waiting_for_tokens_.insert(work.id);
        effects_.send_token_requests();
        return;
    case admission::wait:
        waiting_for_tokens_.insert(work.id);
        return;
    case admission::refused:
        finish_with_error(now, work, session_error::busy,
                          "the client account is over its rate; retry in 1 s");
        return;
    }
    const auto verb = work.statement.verb;
    if (verb != session_verb::begin && verb != session_verb::begin_read) {
        enqueue(now, work);
        return;
    }
    auto& session = sessions_.at(work.caller);
    session.current_work = 0;
    open_transaction(now, session, verb == session_verb::begin_read, work.route);
    active_work_.erase(work.id);
    acknowledge(session);
}

auto session_proxy::implementation::token_deadline(time_point now, const statement_work& work) const
    -> time_point {
    const auto timeout_share = std::chrono::duration_cast<duration>(work.route->statement_timeout *
                                                                    token_wait_share_without_coordinator);
    const auto wait = limiter_.coordinator_reachable(now)
                          ? max_token_wait
                          : std::min(max_token_wait_without_coordinator, timeout_share);
    return std::min(work.received + wait, work.queue_deadline);
}

auto session_proxy::implementation::enqueue(time_point now, statement_work& work) -> void {
    work.connection = 0;
    work.held.clear();
    stop_waiting_for_cold(work);
    if (is_unservable(now, work)) {
        refuse_unservable(now, work);
        return;
    }
    work.stage = work_stage::queued;
    const auto group = work.route->group;
    auto& queue = group_of(group).queues[work.route->priority];
    if (!queue) {
        queue = plugin_registry<queue_policy>::make("fair");
    }
    const auto account = rules_->accounts.find(work.account);
    const auto account_priority = account == rules_->accounts.end() ? 0 : account->second.priority;
    if (!queue->push({work.id, work.account, lane_of(work), default_service_time, account_priority})) {
        finish_with_error(now, work, session_error::busy, "too many statements are queued; retry in 500 ms");
        return;
    }
    dispatch_queued(now, group);
}

auto session_proxy::implementation::remove_from_queues(statement_work& work) -> void {
    waiting_for_tokens_.erase(work.id);
    if (work.stage == work_stage::queued) {
        const auto& queue = group_of(work.route->group).queues[work.route->priority];
        if (queue) {
            queue->remove(work.id);
        }
    }
}

auto session_proxy::implementation::dispatch_queued(time_point now, const group_id& group) -> void {
    auto& state = group_of(group);
    for (auto& [priority, queue] : state.queues) {
        while (queue && queue->size() > 0) {
            // The queue may check several entries before it starts one, so the check must not take a
            // connection.
            const auto next =
                queue->take([&](std::uint64_t id) { return check_start(now, active_work_.at(id)); });
            if (!next) {
                break;
            }
            auto& work = active_work_.at(*next);
            if (assign_connection(now, work)) {
                prepare(now, work);
            }
        }
    }
}

auto session_proxy::implementation::may_use_primary(time_point now, const group_state& group) const -> bool {
    return !group.primary.primary.empty() && !group.primary.changing && now < group.primary.permitted_until;
}

auto session_proxy::implementation::is_isolated(time_point now, const group_state& group) const -> bool {
    return group.had_permit && !may_use_primary(now, group) && !group.primary.changing &&
           group.permit_missing_since != time_point{} && now - group.permit_missing_since > isolated_after;
}

auto session_proxy::implementation::is_unservable(time_point now, const statement_work& work) -> bool {
    return is_evacuated(work) || (is_isolated(now, group_of(work.route->group)) &&
                                  (work.needs_primary || !requirement_of(work).replica_allowed));
}

auto session_proxy::implementation::refuse_unservable(time_point now, statement_work& work) -> void {
    if (is_evacuated(work)) {
        counters_.count("citronlug_evacuation_refusals_total");
        finish_with_error(now, work, session_error::busy,
                          "the failure domain of the primary is being evacuated; retry in 500 ms");
        return;
    }
    const auto session = sessions_.find(work.caller);
    if (session != sessions_.end() && !can_serve(now)) {
        // When the caller reconnects, the load balancer chooses another instance.
        session->second.close_when_idle = true;
    }
    finish_with_error(
        now, work, session_error::busy,
        "this instance reaches neither the store nor the coordinator; retry now at another instance");
}

auto session_proxy::implementation::can_serve(time_point now) const -> bool {
    return groups_.empty() || std::any_of(groups_.begin(), groups_.end(), [&](const auto& it) {
               return !is_isolated(now, it.second) || now - it.second.permit_missing_since < not_ready_after;
           });
}

auto session_proxy::implementation::requirement_of(const statement_work& work) -> read_requirement {
    auto own_write = std::optional<position>{};
    const auto session = sessions_.find(work.caller);
    if (session != sessions_.end()) {
        const auto it = session->second.own_writes.find(work.route->group);
        if (it != session->second.own_writes.end()) {
            own_write = it->second;
        }
    }
    return read_requirement_for(*work.route, group_of(work.route->group).samples, own_write, work.received);
}

auto session_proxy::implementation::candidates_of(time_point now, const statement_work& work)
    -> std::vector<const backend_server*> {
    auto& group = group_of(work.route->group);
    const auto has_permit = may_use_primary(now, group);
    if (work.needs_primary) {
        const auto* primary = has_permit ? pool_.server(group.primary.primary) : nullptr;
        return primary != nullptr && evacuations_.may_use(*primary, true) &&
                       pool_.health(primary->id).queue_full_until <= now
                   ? std::vector{primary}
                   : std::vector<const backend_server*>{};
    }
    const auto by_replica = requirement_of(work).replica_allowed;
    const auto learned = learns_limits(work.route->group);
    auto options = std::vector<placement_option>{};
    auto found = std::vector<std::pair<duration, const backend_server*>>{};
    for (const auto* it : pool_.servers_of(work.route->group)) {
        const auto is_primary = has_permit && it->id == group.primary.primary;
        if (work.tried_servers.contains(it->id) || !evacuations_.may_use(*it, is_primary) ||
            (!is_primary && (!by_replica || work.lagging_servers.contains(it->id) ||
                             pool_.health(it->id).lagging_until > now))) {
            continue;
        }
        if (const auto time = pool_.estimate(*it, work.account, now)) {
            const auto penalty = is_primary ? primary_read_penalty : duration{};
            found.emplace_back(*time + penalty, it);
            if (learned) {
                options.push_back({it, pool_.busy(it->id), pool_.has_idle(it->id, work.account),
                                   penalty + pool_.distance_to(*it)});
            }
        }
    }
    if (learned) {
        auto ordered = choice_.order(work.id, kind_of(work), std::move(options), now);
        drop_cold_candidates(now, ordered);
        return ordered;
    }
    // Among equals, the recorded primary comes last, also while this instance has no permit for it.
    std::sort(found.begin(), found.end(), [&](const auto& left, const auto& right) {
        const auto key = [&](const auto& it) {
            return std::tuple{it.first, it.second->id == group.primary.primary, it.second};
        };
        return key(left) < key(right);
    });
    auto ordered = std::vector<const backend_server*>{};
    for (const auto& [time, it] : found) {
        ordered.push_back(it);
    }
    drop_cold_candidates(now, ordered);
    return ordered;
}

auto session_proxy::implementation::count_opening(const server_id& server, const server_pool::opening& opened)
    -> void {
    // An idle connection that serves no client account of the queued work was evicted or could have been.
    auto has_other = false;
    auto has_idle = opened.evicted != 0;
    for (const auto& [id, it] : pool_.connections()) {
        if (it.server.id == server && id != opened.connection) {
            has_other = true;
            has_idle = has_idle || it.phase == connection_phase::idle;
        }
    }
    const auto* why = has_idle ? "other-account" : has_other ? "all-busy" : "none-open";
    counters_.count("citronlug_server_connections_total", {{"why", why}});
}

auto session_proxy::implementation::learns_limits(const group_id& group) const -> bool {
    return server_limits_ == server_limit_mode::on ||
           (server_limits_ == server_limit_mode::automatic && instances_ > max_instances_without_learning &&
            pool_.servers_of(group).size() >= 2);
}

auto session_proxy::implementation::report_server_limits(time_point now) -> void {
    if (server_limits_ == server_limit_mode::off ||
        now - server_limits_reported_at_ < server_report_interval) {
        return;
    }
    server_limits_reported_at_ = now;
    for (const auto& it : choice_.servers(now)) {
        counters_.set("citronlug_server_limit", {{"server", it.id.value}}, it.limit);
        counters_.set("citronlug_server_latency_seconds", {{"server", it.id.value}},
                      std::chrono::duration<double>{it.latency}.count());
    }
    for (const auto& it : choice_.changed_limits(now)) {
        log(log_level::info, log_event::server_limit_changed,
            {{"server", it.id.value},
             {"limit", fmt::format("{:.1f}", it.limit)},
             {"latency_ms", std::to_string(it.latency / 1ms)}});
    }
}

auto session_proxy::implementation::check_start(time_point now, statement_work& work) -> start_check {
    if (work.needs_primary && !may_use_primary(now, group_of(work.route->group))) {
        stop_waiting_for_cold(work);
        return start_check::blocked;
    }
    const auto candidates = candidates_of(now, work);
    if (std::none_of(candidates.begin(), candidates.end(),
                     [&](const auto* server) { return server->id == work.cold_server; })) {
        stop_waiting_for_cold(work);
    }
    const auto has_idle = [&](const auto* server) {
        return pool_.has_idle(server->id, work.account) && may_use_cold(now, work, server->id, 1);
    };
    const auto any_idle = std::any_of(candidates.begin(), candidates.end(), has_idle);
    const auto* opening = pool_.find(work.opening_connection);
    const auto is_opening = opening != nullptr && opening->phase == connection_phase::opening;
    if (any_idle && !may_wait_for_better(learns_limits(work.route->group), candidates, has_idle,
                                         is_opening ? now - opening->opened_at : duration{})) {
        return start_check::start;
    }
    if (is_opening) {
        static_cast<void>(may_use_cold(now, work, opening->server.id, 1)); // asks for the statement's token
        return start_check::skip;
    }
    for (const auto* server : candidates) {
        if (any_idle && has_idle(server)) {
            return start_check::start;
        }
        if (pool_.has_idle(server->id, work.account) || !may_use_cold(now, work, server->id, 2)) {
            continue; // waits for tokens; two are for the connection and the statement
        }
        const auto opened = pool_.open(*server, work.account, now);
        if (opened.evicted != 0) {
            effects_.close_server(opened.evicted);
        }
        if (opened.connection != 0) {
            count_opening(server->id, opened);
            work.opening_connection = opened.connection;
            static_cast<void>(cold_.pass(now, server->id));
            effects_.open_server(opened.connection, *server, work.account);
            return start_check::skip;
        }
    }
    return start_check::skip;
}

auto session_proxy::implementation::assign_connection(time_point now, statement_work& work) -> bool {
    const auto& values = sessions_.at(work.caller).values;
    for (const auto* server : candidates_of(now, work)) {
        const auto connection = pool_.acquire(server->id, work.account, values, now);
        if (connection != 0) {
            work.connection = connection;
            work.server = server->id;
            work.stage = work_stage::preparing;
            work_of_connection_[connection] = work.id;
            return true;
        }
    }
    return false;
}

auto session_proxy::implementation::must_begin(const statement_work& work) -> bool {
    const auto it = sessions_.find(work.caller);
    return it != sessions_.end() && it->second.transaction && it->second.transaction->connection == 0;
}

auto session_proxy::implementation::prepare(time_point now, statement_work& work) -> void {
    auto* connection = pool_.find(work.connection);
    auto& session = sessions_.at(work.caller);
    auto& group = group_of(work.route->group);
    if (is_stopped(work.connection)) {
        finish_with_error(now, work, session_error::aborted,
                          "the failure domain of the server is being evacuated; retry in 500 ms");
        return;
    }
    work.stage = work_stage::preparing;
    work_of_connection_[work.connection] = work.id;
    work.prepare_failure.reset();
    auto requests = std::vector<server_request>{};
    const auto has_foreign_values =
        std::any_of(connection->values.begin(), connection->values.end(),
                    [&](const auto& it) { return !session.values.contains(it.first); });
    if (has_foreign_values) {
        requests.push_back({server_action::reset, {}, {}, {}, {}, 0});
        connection->values.clear();
        connection->statements.clear();
    }
    for (const auto& [name, value] : session.values) {
        const auto it = connection->values.find(name);
        if (it == connection->values.end() || it->second != value) {
            requests.push_back({server_action::set_value, {}, value, name, {}, 0});
            connection->values[name] = value;
        }
    }
    if (work.statement.verb == session_verb::execute) {
        const auto& prepared = session.statements.at(work.statement.name);
        auto& name = connection->statements[prepared];
        if (name.empty()) {
            name = fmt::format("p{}", connection->next_statement++);
            requests.push_back({prepared.first ? server_action::prepare_write : server_action::prepare_read,
                                {},
                                prepared.second,
                                name,
                                {},
                                0});
        }
    }
    if (must_begin(work)) {
        const auto& transaction = *session.transaction;
        const auto at_primary = may_use_primary(now, group) && work.server == group.primary.primary;
        const auto requirement = at_primary ? read_requirement{} : requirement_of(work);
        if (!at_primary && (work.needs_primary || !requirement.replica_allowed)) {
            release_connection(now, work);
            enqueue(now, work);
            return;
        }
        work.generation = at_primary ? group.primary.generation : 0;
        work.sent_at = now;
        requests.push_back({transaction.is_read_only ? server_action::begin_read : server_action::begin,
                            {},
                            {},
                            {},
                            requirement.after,
                            0});
    }
    work.preparations_left = requests.size();
    if (requests.empty()) {
        send(now, work);
        return;
    }
    work.held.assign(requests.begin(), requests.end());
    send_held(now, work);
}

auto session_proxy::implementation::send(time_point now, statement_work& work) -> void {
    auto& session = sessions_.at(work.caller);
    auto& group = group_of(work.route->group);
    const auto has_permit = may_use_primary(now, group);
    auto request = server_request{};
    request.id = work.statement.id;
    if (work.in_transaction && is_stopped(work.connection)) {
        finish_with_error(now, work, session_error::aborted,
                          "the failure domain of the server is being evacuated; retry in 500 ms");
        return;
    }
    if (work.in_transaction) {
        auto& transaction = *session.transaction;
        if (transaction.generation != 0 &&
            (!has_permit || transaction.generation != group.primary.generation)) {
            finish_with_error(now, work, session_error::aborted,
                              "the primary is being replaced; retry in 500 ms");
            return;
        }
        const auto writes =
            work.statement.verb == session_verb::write || (work.statement.verb == session_verb::execute &&
                                                           session.statements.at(work.statement.name).first);
        transaction.has_written = transaction.has_written || writes;
    } else {
        const auto at_primary = has_permit && work.server == group.primary.primary;
        const auto requirement = at_primary ? read_requirement{} : requirement_of(work);
        const auto allowed = evacuations_.may_use(pool_.find(work.connection)->server, at_primary);
        if (!allowed || (!at_primary && (work.needs_primary || !requirement.replica_allowed))) {
            // The permit or the known position expired, or the server's failure domain was evacuated, while
            // the connection was being prepared.
            release_connection(now, work);
            enqueue(now, work);
            return;
        }
        work.generation = at_primary ? group.primary.generation : 0;
        request.required_position = requirement.after;
    }
    if (!take_cold_token(now, work, 1)) {
        return;
    }
    if (work.statement.verb == session_verb::execute) {
        const auto* connection = pool_.find(work.connection);
        request.action = server_action::execute;
        request.name = connection->statements.at(session.statements.at(work.statement.name));
        request.text = work.statement.body;
    } else {
        request.action = server_action::forward;
        request.text = work.statement.text;
    }
    work.stage = work_stage::running;
    work.sent_at = now;
    work.permitted_until = group.primary.permitted_until;
    ++work.attempts;
    effects_.send_server(work.connection, request);
}

auto session_proxy::implementation::retry(time_point now, statement_work& work, std::string_view reason,
                                          bool uses_retry_token) -> void {
    counters_.count("citronlug_retries_total", {{"why", std::string{reason}}});
    log(log_level::info, log_event::request_retried,
        {{"request", work.statement.id},
         {"server", work.server.value},
         {"why", std::string{reason}},
         {"attempts", std::to_string(work.attempts)},
         {"waited_ms", std::to_string((now - work.received) / 1ms)}});
    const auto max_attempts = work.route->max_attempts;
    const auto exhausted = max_attempts == 0 ? work.attempts >= default_max_attempts
                                             : work.may_have_run >= max_attempts ||
                                                   work.attempts - work.may_have_run >= default_max_attempts;
    if (exhausted || now >= work.queue_deadline || (uses_retry_token && retry_tokens_ < 1)) {
        finish_with_error(now, work, session_error::busy, fmt::format("{}; retry in 300 ms", reason));
        return;
    }
    retry_tokens_ -= uses_retry_token ? 1 : 0;
    enqueue(now, work);
}

auto session_proxy::implementation::expire(time_point now, statement_work& work) -> void {
    switch (work.stage) {
    case work_stage::admission:
        if (now >= token_deadline(now, work)) {
            finish_with_error(now, work, session_error::busy,
                              limiter_.coordinator_reachable(now)
                                  ? "the client account is over its rate; retry in 1 s"
                                  : "the coordinator does not answer; retry in 500 ms");
        }
        return;
    case work_stage::queued:
        if (is_unservable(now, work)) {
            refuse_unservable(now, work);
        } else if (refuse_if_cold(now, work)) {
            return;
        } else if (now >= work.queue_deadline) {
            const auto has_permit = may_use_primary(now, group_of(work.route->group));
            const auto* reason = has_permit ? "no connection is free; retry in 300 ms"
                                 : work.needs_primary
                                     ? "no primary is available; retry in 500 ms"
                                     : "no server has data within the accepted age; retry in 500 ms";
            finish_with_error(now, work, session_error::busy, reason);
        }
        return;
    case work_stage::preparing:
    case work_stage::running: {
        if (refuse_if_cold(now, work)) {
            return;
        }
        const auto should_move = work.stage == work_stage::running && !work.writes &&
                                 now - work.sent_at > attempt_timeout(work) && retry_tokens_ >= 1;
        if (now >= work.deadline || should_move) {
            const auto id = work.connection;
            const auto was_sent = work.stage == work_stage::running;
            work_of_connection_.erase(id);
            close_connection(id);
            pool_.on_failure(work.server, now);
            on_attempt_lost(now, work, now >= work.deadline ? "timeout" : "no answer", was_sent);
        }
        return;
    }
    }
}

auto session_proxy::implementation::attempt_timeout(const statement_work& work) const -> duration {
    const auto it = mean_service_times_.find(work.route->name);
    const auto mean = it == mean_service_times_.end() ? default_service_time : it->second;
    const auto max_timeout =
        std::chrono::duration_cast<duration>(work.route->statement_timeout * max_attempt_timeout_share);
    const auto base_timeout = std::max(min_attempt_timeout, mean * attempt_timeout_factor);
    return std::min(max_timeout,
                    base_timeout * (1U << std::min(work.attempts > 0 ? work.attempts - 1 : 0U, 3U)));
}

auto session_proxy::implementation::on_tick(time_point now) -> void {
    auto ids = std::vector<std::uint64_t>{};
    for (const auto& [id, work] : active_work_) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        const auto it = active_work_.find(id);
        if (it == active_work_.end()) {
            continue;
        }
        if (it->second.stage == work_stage::admission && waiting_for_tokens_.erase(id) > 0) {
            admit(now, it->second);
        }
        const auto remaining = active_work_.find(id);
        if (remaining != active_work_.end()) {
            expire(now, remaining->second);
        }
    }
    auto expired = std::vector<connection_id>{};
    for (const auto& [id, connection] : pool_.connections()) {
        if (connection.phase == connection_phase::opening && now - connection.opened_at > open_timeout) {
            expired.push_back(id);
        }
    }
    for (const auto* table : {&rolling_back_, &probes_}) {
        for (const auto& [id, since] : *table) {
            if (now - since > cleanup_timeout) {
                expired.push_back(id);
            }
        }
    }
    for (const auto id : expired) {
        effects_.close_server(id);
        on_server_lost(now, id, connection_loss::refused, true);
    }
    for (const auto id : pool_.surplus(now)) {
        close_connection(id);
    }
    report_server_limits(now);
    for (auto& [id, work] : active_work_) {
        const auto& group = group_of(work.route->group);
        // Work that has not been sent yet will run at the new primary.
        const auto at_old_primary = work.stage == work_stage::running && work.generation != 0 &&
                                    work.generation < group.primary.generation;
        work.outlived_permit = work.outlived_permit || (group.primary.changing && at_old_primary &&
                                                        now - group.changing_since > permit_release_grace);
    }
    for (auto& [id, group] : groups_) {
        const auto has_permit = may_use_primary(now, group);
        group.had_permit = group.had_permit || has_permit;
        if (has_permit != (group.permit_missing_since == time_point{})) {
            group.permit_missing_since = has_permit ? time_point{} : now;
            log(log_level::info, has_permit ? log_event::permit_regained : log_event::permit_lost,
                {{"group", id.value},
                 {"primary", group.primary.primary.value},
                 {"generation", std::to_string(group.primary.generation)},
                 {"changing", group.primary.changing ? "yes" : "no"}});
        }
        dispatch_queued(now, id);
    }
    resume_cold_work(now);
    publish_cold_servers(now);
    probe_primaries(now);
    enforce_evacuations(now);
    close_sessions(now);
    refuse_expired_starts(now);
}

} // namespace citronlug
