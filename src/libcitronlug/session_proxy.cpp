#include "session_proxy_impl.h"

#include <fmt/format.h>

#include <algorithm>

namespace citronlug {

namespace {

/// During shutdown, a session that has been idle for this time is closed.
constexpr auto shutdown_idle_time = duration{300ms};
/// Longest wait of a new session for this instance to load its first rules. Callers time out after 2 s.
constexpr auto pending_start_timeout = duration{1700ms};
/// Rules that were the newest longer ago cannot tell that a route or key does not exist.
constexpr auto max_age_for_final_refusals = duration{3s};
/// Counted for each session value and prepared statement beside its texts: a node of the map.
constexpr auto session_entry_bytes = std::size_t{128};
/// A session is not closed for another one before it has been idle for this time: a caller that has just been
/// answered may send its next statement.
constexpr auto min_idle_before_closing = duration{1s};
constexpr auto stopping_text = std::string_view{"this instance is stopping; retry now at another instance"};

auto make_answer(transaction_state state) -> session_answer {
    auto it = session_answer{};
    it.state = state;
    return it;
}

} // namespace

session_proxy::implementation::implementation(failure_domain own_domain, session_effects& effects,
                                              metrics& counters)
    : effects_{effects}
    , counters_{counters}
    , pool_{std::move(own_domain)}
    , rules_{std::make_shared<desired_state>()} {}

auto session_proxy::implementation::on_start(time_point now, caller_id caller, const std::string& database,
                                             const std::string& key) -> void {
    if (is_admission_closed(now)) {
        log(log_level::info, log_event::session_rejected, {{"why", "stopping"}, {"database", database}});
        effects_.reject_caller(caller, {session_error::busy, std::string{stopping_text}});
        return;
    }
    if (rules_->version == 0) {
        // Without rules, a missing route and a route that is not loaded yet cannot be told apart.
        pending_starts_[caller] = {database, key, now};
        return;
    }
    const auto route = rules_->route_of(database);
    if (!route) {
        log(log_level::info, log_event::session_rejected, {{"why", "no route"}, {"database", database}});
        effects_.reject_caller(
            caller, refusal_by_rules(now, {session_error::no_database, "no route has this database name"}));
        return;
    }
    const auto account = rules_->account_of(key);
    if (!account && !route->open_to_all) {
        log(log_level::info, log_event::session_rejected,
            {{"why", "unknown caller"}, {"database", database}});
        effects_.reject_caller(caller,
                               refusal_by_rules(now, {session_error::unauthorised, "the key is not valid"}));
        return;
    }
    auto& session = sessions_[caller];
    session.id = caller;
    session.database = database;
    session.key = key;
    session.account = account.value_or(account_id{});
    session.idle_since = now;
    session.close_when_idle = shutdown_.has_value();
    counters_.count("citronlug_sessions_total");
    effects_.accept_caller(caller);
}

auto session_proxy::implementation::on_caller_closed(time_point now, caller_id caller) -> void {
    pending_starts_.erase(caller);
    const auto it = sessions_.find(caller);
    if (it == sessions_.end()) {
        return;
    }
    auto& session = it->second;
    auto group = group_id{};
    if (session.current_work != 0) {
        auto& work = active_work_.at(session.current_work);
        group = work.route->group;
        if (work.stage == work_stage::admission || work.stage == work_stage::queued) {
            remove_from_queues(work);
            active_work_.erase(work.id);
        } else {
            // The statement runs to its end at the server; then its transaction, if any, is rolled back.
            work.caller = 0;
            if (session.transaction) {
                session.transaction->connection = 0;
            }
        }
    }
    if (session.transaction) {
        group = session.transaction->route->group;
        roll_back_connection(now, *session.transaction);
    }
    sessions_.erase(it);
    if (!group.empty()) {
        dispatch_queued(now, group);
    }
}

auto session_proxy::implementation::on_statement(time_point now, caller_id caller,
                                                 session_statement statement) -> void {
    const auto it = sessions_.find(caller);
    if (it == sessions_.end()) {
        return;
    }
    auto& session = it->second;
    if (session.current_work != 0) {
        // Protocol violation: a caller must wait for the answer before it sends the next statement.
        effects_.close_caller(caller);
        return;
    }
    const auto verb = statement.verb;
    const auto ends_transaction = verb == session_verb::commit || verb == session_verb::rollback;
    if (session.state == transaction_state::failed && !ends_transaction) {
        refuse(session, statement.id, {session_error::malformed, "the transaction has failed; roll it back"},
               transaction_state::failed);
        return;
    }
    switch (verb) {
    case session_verb::begin:
    case session_verb::begin_read:
        begin(now, session, statement);
        break;
    case session_verb::commit:
        commit(now, session, std::move(statement));
        break;
    case session_verb::rollback:
        rollback(now, session);
        break;
    case session_verb::read:
    case session_verb::write:
    case session_verb::execute:
        run(now, session, std::move(statement));
        break;
    case session_verb::set_value:
    case session_verb::prepare_read:
    case session_verb::prepare_write:
    case session_verb::deallocate:
        update_session_state(session, std::move(statement));
        break;
    case session_verb::malformed:
        if (session.transaction) {
            fail_transaction(now, session, {session_error::malformed, "malformed statement"});
        }
        refuse(session, statement.id, {session_error::malformed, "malformed statement"}, session.state);
        break;
    }
}

auto session_proxy::implementation::acknowledge(caller_session& session) -> void {
    effects_.answer_caller(session.id, make_answer(session.state));
}

auto session_proxy::implementation::refuse(caller_session& session, const std::string& request,
                                           session_failure reason, transaction_state next) -> void {
    counters_.count("citronlug_answers_total", {{"code", std::string{name_of(reason.code)}}});
    log(log_level::info, log_event::request_refused,
        {{"request", request},
         {"session", std::to_string(session.id)},
         {"code", std::string{name_of(reason.code)}},
         {"why", reason.text},
         {"rules", std::to_string(rules_->version)}});
    session.state = next;
    auto answer = make_answer(next);
    answer.error = std::move(reason);
    effects_.answer_caller(session.id, answer);
}

auto session_proxy::implementation::refusal_by_rules(time_point now, session_failure final) const
    -> session_failure {
    if (rules_confirmed_at_ && now - *rules_confirmed_at_ > max_age_for_final_refusals) {
        return {session_error::busy,
                "the rules of this instance may be out of date; retry now at another instance"};
    }
    return final;
}

auto session_proxy::implementation::authorise(time_point now, caller_session& session,
                                              const std::string& request)
    -> std::shared_ptr<const session_route> {
    auto route = rules_->route_of(session.database);
    const auto account = rules_->account_of(session.key);
    if (!route) {
        refuse(session, request, refusal_by_rules(now, {session_error::no_database, "the route was removed"}),
               transaction_state::idle);
        effects_.close_caller(session.id);
        return nullptr;
    }
    if (!route->open_to_all && !account) {
        refuse(session, request,
               refusal_by_rules(now, {session_error::unauthorised, "the key was withdrawn"}),
               transaction_state::idle);
        effects_.close_caller(session.id);
        return nullptr;
    }
    session.account = account.value_or(account_id{});
    return route;
}

auto session_proxy::implementation::begin(time_point now, caller_session& session,
                                          const session_statement& statement) -> void {
    if (session.state != transaction_state::idle) {
        fail_transaction(now, session, {session_error::malformed, "a transaction is open already"});
        refuse(session, statement.id, session.transaction_failure, transaction_state::failed);
        return;
    }
    auto route = authorise(now, session, statement.id);
    if (!route) {
        return;
    }
    if (is_admission_closed(now)) {
        refuse_stopping(now, session, statement.id);
        return;
    }
    // A transaction costs one token, taken before it begins.
    auto& work = start_work(now, session, statement, std::move(route));
    admit(now, work);
}

auto session_proxy::implementation::open_transaction(time_point now, caller_session& session, bool reads_only,
                                                     std::shared_ptr<const session_route> route) -> void {
    auto transaction = session_transaction{};
    transaction.route = std::move(route);
    transaction.is_read_only = reads_only;
    transaction.started_at = now;
    transaction.last_used_at = now;
    session.transaction = std::move(transaction);
    session.state = transaction_state::open;
}

auto session_proxy::implementation::commit(time_point now, caller_session& session,
                                           session_statement statement) -> void {
    if (session.state == transaction_state::idle) {
        refuse(session, statement.id, {session_error::malformed, "no transaction is open"},
               transaction_state::idle);
        return;
    }
    if (session.state == transaction_state::failed) {
        refuse(session, statement.id,
               {session_error::aborted, "rolled back: " + session.transaction_failure.text},
               transaction_state::idle);
        after_answer(now, session);
        return;
    }
    run(now, session, std::move(statement));
}

auto session_proxy::implementation::rollback(time_point now, caller_session& session) -> void {
    auto group = group_id{};
    if (session.transaction) {
        group = session.transaction->route->group;
        roll_back_connection(now, *session.transaction);
        session.transaction.reset();
    }
    session.state = transaction_state::idle;
    acknowledge(session);
    after_answer(now, session);
    if (!group.empty()) {
        dispatch_queued(now, group);
    }
}

auto session_proxy::implementation::roll_back_connection(time_point now, session_transaction& transaction)
    -> void {
    const auto id = std::exchange(transaction.connection, 0);
    if (id != 0 && is_stopped(id)) {
        close_connection(id); // the server rolls back when its connection closes
    } else if (id != 0 && pool_.find(id) != nullptr) {
        // The connection returns to the pool when the server has answered the rollback.
        if (!cold_.pass(now, pool_.find(id)->server.id)) {
            close_connection(id); // the server rolls back
            return;
        }
        rolling_back_[id] = now;
        effects_.send_server(id, {server_action::rollback, {}, {}, {}, {}, 0});
    }
}

auto session_proxy::implementation::update_session_state(caller_session& session, session_statement statement)
    -> void {
    const auto size_of = [&](const std::string& body) {
        return statement.name.size() + body.size() + session_entry_bytes;
    };
    if (statement.verb == session_verb::set_value) {
        const auto [it, is_new] = session.values.try_emplace(statement.name);
        session.state_bytes += size_of(statement.body) - (is_new ? 0 : size_of(it->second));
        it->second = std::move(statement.body);
    } else {
        const auto it = session.statements.find(statement.name);
        if (it != session.statements.end()) {
            session.state_bytes -= size_of(it->second.second);
            session.statements.erase(it);
        }
        if (statement.verb != session_verb::deallocate) {
            session.state_bytes += size_of(statement.body);
            session.statements[statement.name] = {statement.verb == session_verb::prepare_write,
                                                  std::move(statement.body)};
        }
    }
    acknowledge(session);
}

auto session_proxy::implementation::run(time_point now, caller_session& session, session_statement statement)
    -> void {
    if (statement.verb == session_verb::execute && !session.statements.contains(statement.name)) {
        if (session.transaction) {
            fail_transaction(now, session, {session_error::no_statement, "no such prepared statement"});
        }
        refuse(session, statement.id, {session_error::no_statement, "no such prepared statement"},
               session.state);
        return;
    }
    if (!session.transaction) {
        auto route = authorise(now, session, statement.id);
        if (route && is_admission_closed(now)) {
            refuse_stopping(now, session, statement.id);
        } else if (route) {
            admit(now, start_work(now, session, std::move(statement), std::move(route)));
        }
        return;
    }
    // An open transaction keeps its route even if the rules change, but ends if its key was withdrawn.
    const auto& route = session.transaction->route;
    const auto account = rules_->account_of(session.key);
    if (!route->open_to_all && (!account || *account != session.account)) {
        const auto next =
            statement.verb == session_verb::commit ? transaction_state::idle : transaction_state::failed;
        fail_transaction(now, session,
                         refusal_by_rules(now, {session_error::unauthorised, "the key was withdrawn"}));
        refuse(session, statement.id, session.transaction_failure, next);
        return;
    }
    auto& work = start_work(now, session, std::move(statement), route);
    if (work.connection == 0) {
        enqueue(now, work);
    } else {
        prepare(now, work);
    }
}

auto session_proxy::implementation::fail_transaction(time_point now, caller_session& session,
                                                     session_failure reason) -> void {
    auto group = group_id{};
    if (session.transaction) {
        group = session.transaction->route->group;
        roll_back_connection(now, *session.transaction);
        session.transaction.reset();
    }
    log(log_level::info, log_event::transaction_ended,
        {{"session", std::to_string(session.id)},
         {"code", std::string{name_of(reason.code)}},
         {"why", reason.text}});
    session.transaction_failure = std::move(reason);
    session.state = transaction_state::failed;
    if (!group.empty()) {
        dispatch_queued(now, group);
    }
}

auto session_proxy::implementation::after_answer(time_point now, caller_session& session) -> void {
    session.idle_since = now;
    if (session.close_when_idle && session.state == transaction_state::idle) {
        effects_.close_caller(session.id);
    }
}

auto session_proxy::implementation::begin_shutdown(const shutdown_schedule& schedule) -> void {
    shutdown_ = schedule;
    for (auto& [id, session] : sessions_) {
        session.close_when_idle = true;
    }
    for (auto& [id, work] : active_work_) {
        limit_to_shutdown(work);
    }
}

auto session_proxy::implementation::is_admission_closed(time_point now) const -> bool {
    return shutdown_ && now >= shutdown_->admission_end;
}

auto session_proxy::implementation::refuse_stopping(time_point now, caller_session& session,
                                                    const std::string& request) -> void {
    refuse(session, request, {session_error::busy, std::string{stopping_text}}, transaction_state::idle);
    after_answer(now, session);
}

auto session_proxy::implementation::limit_to_shutdown(statement_work& work) const -> void {
    if (shutdown_) {
        work.deadline = std::min(work.deadline, shutdown_->answers_due);
        work.queue_deadline = std::min(work.queue_deadline, shutdown_->answers_due);
    }
}

auto session_proxy::implementation::refuse_expired_starts(time_point now) -> void {
    auto expired = std::vector<caller_id>{};
    for (const auto& [caller, it] : pending_starts_) {
        if (now - it.since >= pending_start_timeout) {
            expired.push_back(caller);
        }
    }
    for (const auto caller : expired) {
        pending_starts_.erase(caller);
        log(log_level::info, log_event::session_rejected, {{"why", "no rules yet"}});
        effects_.reject_caller(
            caller, {session_error::busy, "the instance has not loaded its rules yet; retry in 500 ms"});
    }
}

auto session_proxy::implementation::close_sessions(time_point now) -> void {
    auto idle = std::vector<caller_id>{};
    for (auto& [id, session] : sessions_) {
        const auto& transaction = session.transaction;
        if (transaction && session.current_work == 0 &&
            (now - transaction->last_used_at > rules_->transaction_idle ||
             (shutdown_ && now > shutdown_->transactions_end))) {
            fail_transaction(now, session,
                             {session_error::aborted, shutdown_ ? "the instance is shutting down"
                                                                : "the transaction was idle for too long"});
        }
        if (session.close_when_idle && session.current_work == 0 &&
            session.state == transaction_state::idle &&
            now - std::max(session.idle_since, shutdown_ ? shutdown_->begun : time_point{}) >=
                shutdown_idle_time) {
            idle.push_back(id);
        }
    }
    for (const auto id : idle) {
        effects_.close_caller(id);
    }
}

// Public interface.

session_proxy::session_proxy(failure_domain own_domain, session_effects& effects, metrics& counters)
    : impl_{std::make_unique<implementation>(std::move(own_domain), effects, counters)} {}

session_proxy::~session_proxy() = default;

auto session_proxy::set_rules(time_point now, std::shared_ptr<const desired_state> rules) -> void {
    impl_->set_rules(now, std::move(rules));
}

auto session_proxy::set_servers(time_point now, const std::vector<backend_server>& servers) -> void {
    impl_->set_servers(now, servers);
}

auto session_proxy::set_primary(time_point now, const primary_view& view) -> void {
    impl_->set_primary(now, view);
}

auto session_proxy::set_rules_evidence(time_point confirmed_at) -> void {
    impl_->set_rules_evidence(confirmed_at);
}

auto session_proxy::set_instances(time_point now, std::uint32_t live) -> void {
    impl_->set_instances(now, live);
}

auto session_proxy::set_server_limits(server_limit_mode mode, std::uint64_t seed) -> void {
    impl_->server_limits_ = mode;
    impl_->choice_ = server_choice{seed};
}

auto session_proxy::set_evacuations(time_point now, const evacuation_view& view) -> void {
    impl_->set_evacuations(now, view);
}

auto session_proxy::set_final_position(time_point now, const group_id& group, position at) -> void {
    impl_->group_of(group).samples.seal(at);
    impl_->dispatch_queued(now, group);
}

auto session_proxy::add_position(time_point now, const group_id& group, time_point asked_at, position at)
    -> void {
    impl_->group_of(group).samples.add(asked_at, at);
    impl_->dispatch_queued(now, group);
}

auto session_proxy::on_start(time_point now, caller_id caller, const std::string& database,
                             const std::string& key) -> void {
    impl_->on_start(now, caller, database, key);
}

auto session_proxy::on_statement(time_point now, caller_id caller, session_statement statement) -> void {
    impl_->on_statement(now, caller, std::move(statement));
}

auto session_proxy::on_caller_closed(time_point now, caller_id caller) -> void {
    impl_->on_caller_closed(now, caller);
}

auto session_proxy::on_server_opened(time_point now, connection_id connection) -> void {
    impl_->on_server_opened(now, connection);
}

auto session_proxy::on_server_lost(time_point now, connection_id connection, connection_loss reason) -> void {
    impl_->on_server_lost(now, connection, reason);
}

auto session_proxy::on_server_answer(time_point now, connection_id connection, const session_answer& answer)
    -> void {
    impl_->on_server_answer(now, connection, answer);
}

auto session_proxy::limiter() -> account_limiter& {
    return impl_->limiter_;
}

auto session_proxy::cold_start() -> cold_start_gate& {
    return impl_->cold_;
}

auto session_proxy::on_cold_grants(time_point now, time_point asked_at, const std::vector<cold_grant>& grants)
    -> void {
    if (grants.empty()) {
        return;
    }
    impl_->cold_.on_grants(now, asked_at, grants);
    impl_->resume_cold_work(now);
    for (auto& [id, group] : impl_->groups_) {
        impl_->dispatch_queued(now, id);
    }
}

auto session_proxy::retry_admission(time_point now) -> void {
    const auto waiting = std::exchange(impl_->waiting_for_tokens_, {});
    for (const auto id : waiting) {
        const auto it = impl_->active_work_.find(id);
        if (it != impl_->active_work_.end()) {
            impl_->admit(now, it->second);
        }
    }
}

auto session_proxy::on_tick(time_point now) -> void {
    impl_->on_tick(now);
}

auto session_proxy::begin_shutdown(const shutdown_schedule& schedule) -> void {
    impl_->begin_shutdown(schedule);
}

auto session_proxy::has_statements_in_progress() const -> bool {
    return std::any_of(impl_->sessions_.begin(), impl_->sessions_.end(),
                       [](const auto& it) { return it.second.current_work != 0; });
}

auto session_proxy::open_sessions() const -> std::size_t {
    return impl_->sessions_.size();
}

auto session_proxy::session_bytes(caller_id caller) const -> std::size_t {
    const auto it = impl_->sessions_.find(caller);
    return it == impl_->sessions_.end() ? 0 : it->second.state_bytes;
}

auto session_proxy::longest_idle_session(time_point now) const -> std::optional<caller_id> {
    const caller_session* longest = nullptr;
    for (const auto& [id, it] : impl_->sessions_) {
        if (it.state == transaction_state::idle && it.current_work == 0 && !it.transaction &&
            now - it.idle_since >= min_idle_before_closing &&
            (longest == nullptr || it.idle_since < longest->idle_since)) {
            longest = &it;
        }
    }
    return longest == nullptr ? std::nullopt : std::optional{longest->id};
}

auto session_proxy::can_serve(time_point now) const -> bool {
    return impl_->can_serve(now);
}

auto session_proxy::has_released(const group_id& group, std::uint64_t generation) const -> bool {
    return std::none_of(impl_->active_work_.begin(), impl_->active_work_.end(), [&](const auto& it) {
        const auto& work = it.second;
        return work.stage == work_stage::running && work.writes && !work.outlived_permit &&
               work.route->group == group && work.generation != 0 && work.generation < generation;
    });
}

auto session_proxy::newest_acknowledged(const group_id& group) const -> std::optional<position> {
    return impl_->group_of(group).newest_acknowledged;
}

auto session_proxy::observations_of(const group_id& group) const -> primary_observations {
    return impl_->group_of(group).observations;
}

auto session_proxy::newest_sample(const group_id& group) const
    -> std::optional<std::pair<time_point, position>> {
    const auto& samples = impl_->group_of(group).samples;
    const auto at = samples.newest_at();
    const auto newest = samples.newest();
    return at && newest ? std::optional{std::pair{*at, *newest}} : std::nullopt;
}

} // namespace citronlug
