#include "request_gateway.h"

#include "account_groups.h"

#include <citronlug/plugin.h>
#include <citronlug/session_token.h>

#include <fmt/format.h>
#include <sodium.h>

namespace citronlug {

namespace {

constexpr auto timer_interval_ms = 25;
constexpr auto session_token_lifetime_s = std::int64_t{24} * 3600;
constexpr auto transaction_token_lifetime_s = std::int64_t{3600};
/// Time allowed after the deadline for the holder's answer to arrive, as the holder may answer just then.
constexpr auto answer_grace = 150ms;
/// Interval at which a request without a reachable holder is dispatched again, unless a new view triggers it
/// earlier.
constexpr auto retry_interval = 100ms;
/// Client account of keyless requests on open routes, so that a limit rule can refer to it.
constexpr auto public_account = "public";
constexpr auto max_waiting_per_account = std::size_t{5000};

/// Secret for transaction tokens. It differs from that of session tokens, so that neither is accepted as the
/// other.
auto transaction_secret(const std::string& secret) -> std::string {
    return secret + "/transaction";
}

/// True if the addressed instance does not act for the database, so that another one does or soon will.
auto is_holder_unavailable(failure_code code) -> bool {
    return code == failure_code::not_holder || code == failure_code::shutting_down ||
           code == failure_code::no_authority;
}

auto database_role(const database_id& database) -> role_id {
    return {role_kind::database, database.value};
}

} // namespace

struct request_gateway::call {
    request work;
    std::shared_ptr<http_exchange> exchange;
    std::string session; ///< session token as sent by the caller
    std::string token_secret;
    bool has_key = false;
    bool sent = false; ///< dispatched to a holder and not yet answered
    bool finished = false;
    std::string sent_to; ///< peer address of the holder; empty if it is this instance
    time_point received_at;
    time_point attempted_at;
    epoch_number attempted_epoch = 0;
};

request_gateway::request_gateway(const process_settings& settings, control_plane& control,
                                 std::vector<std::unique_ptr<holder_shard>>& shards, peer_rpc& peers,
                                 metrics& counters, event_sink events)
    : self_{settings.instance}
    , domain_{settings.domain}
    , limit_policy_{settings.limit_policy}
    , control_{control}
    , shards_{shards}
    , peers_{peers}
    , counters_{counters}
    , events_{std::move(events)}
    , view_{control.view()} {
    QObject::connect(&timer_, &QTimer::timeout, &queue_, [this] { on_timer(); });
    timer_.setInterval(timer_interval_ms);
}

request_gateway::~request_gateway() = default;

auto request_gateway::has_valid_key(const QByteArray& authorization) const -> bool {
    return view_->config && succeeded(view_->config->keys.check(bearer_key(authorization)));
}

auto request_gateway::health(http_exchange& exchange) -> void {
    const auto now = clock_now();
    const auto serving =
        view_->serving && !view_->leaving && !refusing_ && control_.config_current_until() > now;
    const auto* text = view_->leaving || refusing_ ? "leaving"
                       : serving                   ? "serving"
                                                   : "no current configuration";
    exchange.reply(serving ? 200 : 503, QByteArray{"{\"status\":\""} + text + "\"}");
}

auto request_gateway::handle(const http_request& incoming, std::shared_ptr<http_exchange> exchange) -> void {
    if (incoming.method == "GET" && incoming.path == "/healthz") {
        health(*exchange);
        return;
    }
    auto it = std::make_shared<call>();
    it->exchange = std::move(exchange);
    it->received_at = clock_now();
    calls_.emplace(it.get(), it);
    if (!timer_.isActive()) {
        timer_.start(); // runs only while requests are in flight
    }
    if (auto error = prepare(incoming, *it)) {
        refuse(it, std::move(*error));
        return;
    }
    admit(it);
}

auto request_gateway::prepare(const http_request& incoming, call& it) -> std::optional<failure> {
    if (refusing_) {
        return failure{failure_code::shutting_down, "this instance is leaving; use another one", {}};
    }
    if (incoming.method != "POST") {
        return failure{failure_code::bad_request, "only POST is accepted here", {}};
    }
    auto parsed_target = parse_target(incoming.path);
    if (auto* error = std::get_if<failure>(&parsed_target)) {
        return *error;
    }
    auto& target = std::get<caller_target>(parsed_target);
    if (!view_->serving || !view_->config) {
        return failure{failure_code::no_authority, "this instance has no configuration yet", 500ms};
    }
    const auto& config = view_->config->config;
    it.token_secret = config.token_secret;
    if (!incoming.authorization.isEmpty()) {
        auto key = view_->config->keys.check(bearer_key(incoming.authorization));
        if (auto* error = std::get_if<failure>(&key)) {
            return *error;
        }
        it.has_key = true;
        it.work.account = std::get<key_entry>(key).account;
        it.work.key = std::get<key_entry>(key).id;
    } else {
        it.work.account = account_id{public_account};
    }
    auto& work = it.work;
    work.step = target.step;
    if (!target.transaction.empty()) {
        const auto opened = verify_token(target.transaction, transaction_secret(it.token_secret),
                                         work.account, wall_seconds());
        if (!succeeded(opened)) {
            return failure{it.has_key ? failure_code::no_route : failure_code::unauthorised,
                           "there is no such transaction of this client account",
                           {}};
        }
        const auto& token = std::get<session_token>(opened);
        target.route = route_id{token.database.value};
        work.transaction = transaction_id{token.at.term, token.at.log};
    }
    const auto route = config.rules.routes.find(target.route);
    if (route == config.rules.routes.end()) {
        return failure{it.has_key ? failure_code::no_route : failure_code::unauthorised,
                       it.has_key ? "there is no such route" : "this path needs a key",
                       {}};
    }
    if (!it.has_key && !route->second.open) {
        return failure{failure_code::unauthorised, "this route needs a key in the header Authorization", {}};
    }
    if (it.has_key && control_.config_current_until() <= it.received_at) {
        return failure{failure_code::no_authority, "this instance cannot verify that keys are still valid",
                       500ms};
    }
    auto parsed = parse_body(incoming.body, target.step);
    if (auto* error = std::get_if<failure>(&parsed)) {
        return *error;
    }
    auto& body = std::get<caller_body>(parsed);
    work.route = target.route;
    work.database = route->second.database;
    work.mode = route->second.mode;
    work.idempotent = route->second.idempotent;
    work.ack = route->second.ack;
    work.deadline = it.received_at + body.deadline;
    work.body = std::move(body.body);
    work.entry_domain = domain_;
    if (work.mode == access_mode::read && route->second.max_age) {
        work.max_age = body.max_age ? std::min(*body.max_age, *route->second.max_age) : route->second.max_age;
    }
    if (body.request.empty()) {
        if (work.mode == access_mode::write && work.step == transaction_step::none) {
            return failure{failure_code::bad_request, "request_id is missing; a write needs one", {}};
        }
        // The id of a commit is derived from its transaction, so that a repeated commit finds the record of
        // the first one, even through another instance.
        body.request = work.step == transaction_step::commit
                           ? fmt::format("commit-{}-{}-{}", work.database.value, work.transaction.epoch,
                                         work.transaction.number)
                           : fmt::format("{}-{:x}-{}", self_.value, randombytes_random(), ++generated_ids_);
    }
    work.id = request_id{std::move(body.request)};
    if (!body.session.empty()) {
        const auto opened = verify_token(body.session, it.token_secret, work.account, wall_seconds());
        if (const auto* error = std::get_if<failure>(&opened)) {
            return *error;
        }
        const auto& token = std::get<session_token>(opened);
        if (token.database != work.database) {
            return failure{failure_code::invalid_token, "the session belongs to another database", {}};
        }
        work.session = token.at;
        it.session = std::move(body.session);
    }
    return std::nullopt;
}

auto request_gateway::update_account_state(const account_id& account) -> account_state* {
    const auto& limits = view_->config->config.rules.limits;
    const auto rule = limits.find(account);
    if (rule == limits.end()) {
        return nullptr;
    }
    auto& state = accounts_[account];
    if (!state.policy) {
        state.policy = plugin_registry<limit_policy>::make(limit_policy_);
    }
    if (state.limit != rule->second.limit || state.instances != view_->live_instances) {
        state.limit = rule->second.limit;
        state.instances = view_->live_instances;
        state.policy->set_limit(clock_now(), state.limit, state.instances);
    }
    return &state;
}

auto request_gateway::admit(const call_pointer& it) -> void {
    // Ending a transaction needs no rate limit token, since it releases resources.
    const auto ends =
        it->work.step == transaction_step::commit || it->work.step == transaction_step::rollback;
    auto* state = ends ? nullptr : update_account_state(it->work.account);
    if (state == nullptr) {
        dispatch(it);
        return;
    }
    if (state->waiting.size() >= max_waiting_per_account) {
        refuse(it, failure{failure_code::rate_limited, "too many requests of the client account are waiting",
                           1s});
        return;
    }
    const auto account = it->work.account;
    if (!try_admit(it, *state)) {
        state->waiting.push_back(it);
    }
    request_tokens_if_needed(account, *state);
}

auto request_gateway::try_admit(const call_pointer& it, account_state& state) -> bool {
    const auto now = clock_now();
    if (it->finished) {
        return true;
    }
    if (now >= it->work.deadline) {
        refuse(it, failure{failure_code::rate_limited,
                           "no rate limit token became available within the deadline", 500ms});
        return true;
    }
    switch (state.policy->admit(now, it->work.deadline)) {
    case admission::admitted:
        dispatch(it);
        return true;
    case admission::refused:
        refuse(it, failure{failure_code::rate_limited, "the client account is over its rate", 1s});
        return true;
    case admission::ask:
        state.tokens_needed = true;
        return false;
    case admission::wait:
        return false;
    }
    return false;
}

auto request_gateway::retry_waiting(const account_id& account, account_state& state) -> void {
    auto waiting = std::deque<call_pointer>{};
    waiting.swap(state.waiting);
    for (auto& it : waiting) {
        if (!try_admit(it, state)) {
            state.waiting.push_back(std::move(it));
        }
    }
    request_tokens_if_needed(account, state);
}

auto request_gateway::request_tokens_if_needed(const account_id& account, account_state& state) -> void {
    if (state.tokens_needed) {
        state.tokens_needed = false;
        request_tokens(account, state);
    }
}

auto request_gateway::request_tokens(const account_id& account, account_state& state) -> void {
    const auto now = clock_now();
    const auto wanted = state.policy->request_size(now);
    const auto role = accountant_role(account, view_->config->config.rules);
    const auto location = role ? control_.locate(*role) : std::nullopt;
    if (!location) {
        if (role) {
            control_.resolve_remote_role(*role);
        }
        state.policy->on_grant_failed(now);
        return;
    }
    if (location->holder == self_) {
        control_.take_grant(account, wanted, [this, account, now](grant_reply reply) {
            queue_.post([this, account, now, reply] { on_grant(account, now, reply); });
        });
        return;
    }
    peers_.take_grant(location->peer_address, account, wanted, now + max_grant_lifetime,
                      [this, account, now](std::optional<grant_reply> reply) {
                          queue_.post([this, account, now, reply] { on_grant(account, now, reply); });
                      });
}

auto request_gateway::on_grant(const account_id& account, time_point requested_at,
                               std::optional<grant_reply> reply) -> void {
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        return;
    }
    auto& state = found->second;
    const auto now = clock_now();
    if (reply && reply->held) {
        state.policy->on_grant(now, requested_at, reply->tokens, reply->wait);
    } else {
        if (const auto role = accountant_role(account, view_->config->config.rules)) {
            control_.resolve_remote_role(*role);
        }
        state.policy->on_grant_failed(now);
    }
    retry_waiting(account, state);
}

auto request_gateway::dispatch(const call_pointer& it) -> void {
    const auto now = clock_now();
    auto& work = it->work;
    if (it->has_key) {
        if (control_.config_current_until() <= now) {
            refuse(it, failure{failure_code::no_authority,
                               "this instance cannot verify that keys are still valid", 500ms});
            return;
        }
        if (!view_->config->keys.is_valid(work.key)) {
            refuse(it, failure{failure_code::unauthorised, "the key is not valid", {}});
            return;
        }
    }
    const auto location = control_.locate(database_role(work.database));
    if (!location) {
        retry_later(it);
        return;
    }
    it->attempted_at = now;
    it->attempted_epoch = location->epoch;
    it->sent = true;
    if (location->holder == self_) {
        it->sent_to.clear();
        shards_[shard_index(work.database, shards_.size())]->execute(
            work, [this, it](answer value, epoch_number epoch) {
                auto shared_reply = std::make_shared<answer>(std::move(value));
                queue_.post([this, it, shared_reply, epoch] {
                    on_reply(it, std::pair{std::move(*shared_reply), epoch});
                });
            });
        return;
    }
    it->sent_to = location->peer_address;
    peers_.execute(location->peer_address, work, [this, it](execute_reply reply) {
        auto shared_reply = std::make_shared<execute_reply>(std::move(reply));
        queue_.post([this, it, shared_reply] { on_reply(it, std::move(*shared_reply)); });
    });
}

auto request_gateway::on_reply(const call_pointer& it, execute_reply reply) -> void {
    if (it->finished) {
        return;
    }
    it->sent = false;
    const auto& work = it->work;
    const auto outside_transaction =
        work.step == transaction_step::none || work.step == transaction_step::begin;
    const auto safe_to_repeat =
        outside_transaction && (work.mode == access_mode::read || work.step == transaction_step::begin);
    if (const auto* reason = std::get_if<call_failure>(&reply)) {
        if (*reason == call_failure::not_sent ? outside_transaction : safe_to_repeat) {
            retry_later(it);
        } else if (*reason == call_failure::not_sent) {
            refuse(it,
                   failure{failure_code::no_authority, "the holder of the transaction is not reachable", {}});
        } else {
            refuse(it,
                   failure{failure_code::connection_lost,
                           "the connection to the holder failed; retry with the same request id", 500ms},
                   verdict::unknown);
        }
        return;
    }
    auto& [value, epoch] = std::get<std::pair<answer, epoch_number>>(reply);
    if (value.outcome == verdict::not_run && value.error && is_holder_unavailable(value.error->code)) {
        if (outside_transaction) {
            retry_later(it);
            return;
        }
        if (value.error->code == failure_code::not_holder) {
            value.error =
                failure{failure_code::transaction_ended, "the holder of the transaction has changed", {}};
        }
    }
    if (value.outcome == verdict::done && work.mode == access_mode::write) {
        const auto location = control_.locate(database_role(work.database));
        if (location && location->epoch > epoch) {
            refuse(it,
                   failure{failure_code::no_authority,
                           "the holder changed while the request ran; retry with the same request id", 500ms},
                   verdict::unknown);
            return;
        }
    }
    finish(it, std::move(value));
}

auto request_gateway::retry_later(const call_pointer& it) -> void {
    it->sent = false;
    it->attempted_at = clock_now();
    if (it->attempted_at >= it->work.deadline) {
        refuse(it,
               failure{failure_code::no_authority, "the database has no reachable holder at present", 1s});
        return;
    }
    control_.resolve_remote_role(database_role(it->work.database));
    retrying_.push_back(it);
}

auto request_gateway::refuse(const call_pointer& it, failure reason, verdict outcome) -> void {
    auto value = answer{};
    value.outcome = outcome;
    value.error = std::move(reason);
    finish(it, std::move(value));
}

auto request_gateway::finish(const call_pointer& it, answer value) -> void {
    if (it->finished) {
        return;
    }
    it->finished = true;
    calls_.erase(it.get());
    auto session = it->session;
    if (value.reached != position{} && !it->token_secret.empty()) {
        auto at = value.reached;
        if (it->work.session && value.outcome != verdict::done) {
            at = std::max(at, *it->work.session);
        }
        session = sign_token(
            session_token{it->work.account, it->work.database, at, wall_seconds() + session_token_lifetime_s},
            it->token_secret);
    }
    auto transaction = std::string{};
    if (value.outcome == verdict::done && it->work.step == transaction_step::begin) {
        // In a transaction token, the database field contains the route, and the position field contains the
        // transaction id. Account and expiry have their usual meaning.
        transaction = sign_token(session_token{it->work.account, database_id{it->work.route.value},
                                               position{value.transaction.epoch, value.transaction.number},
                                               wall_seconds() + transaction_token_lifetime_s},
                                 transaction_secret(it->token_secret));
    }
    const auto retry = value.error ? value.error->retry_after : duration{};
    it->exchange->reply(http_status(value), format_answer(value, session, transaction), "application/json",
                        retry);
    counters_.count("citronlug_requests_total", {{"outcome", std::string{name_of(value.outcome)}}});
    counters_.observe("citronlug_request_seconds", {}, clock_now() - it->received_at);
    if (value.outcome == verdict::unknown) {
        events_({.kind = "outcome-unknown",
                 .detail = value.error ? value.error->message : std::string{},
                 .database = it->work.database,
                 .account = it->work.account,
                 .request = it->work.id});
    }
}

auto request_gateway::on_view_change() -> void {
    queue_.post([this] {
        view_ = control_.view();
        for (auto& [account, state] : accounts_) {
            update_account_state(account);
            if (state.policy) {
                retry_waiting(account, state);
            }
        }
        auto waiting = std::vector<call_pointer>{};
        waiting.swap(retrying_);
        for (const auto& it : waiting) {
            if (!it->finished) {
                dispatch(it);
            }
        }
    });
}

auto request_gateway::on_timer() -> void {
    const auto now = clock_now();
    if (calls_.empty()) {
        timer_.stop();
        return;
    }
    for (auto& [account, state] : accounts_) {
        if (!state.waiting.empty() && now >= state.policy->retry_at(now)) {
            retry_waiting(account, state);
        }
    }
    auto waiting = std::vector<call_pointer>{};
    waiting.swap(retrying_);
    for (const auto& it : waiting) {
        if (it->finished) {
            continue;
        }
        if (now - it->attempted_at >= retry_interval || now >= it->work.deadline) {
            if (now >= it->work.deadline) {
                refuse(it, failure{failure_code::no_authority,
                                   "the database has no reachable holder at present", 1s});
            } else {
                dispatch(it);
            }
        } else {
            retrying_.push_back(it);
        }
    }
    auto ended = std::vector<call_pointer>{};
    for (const auto& [key, it] : calls_) {
        if (!it->exchange->connected() || now > it->work.deadline + answer_grace) {
            ended.push_back(it);
        }
    }
    for (const auto& it : ended) {
        const auto sent = it->sent;
        if (sent && it->sent_to.empty()) {
            shards_[shard_index(it->work.database, shards_.size())]->cancel(it->work.database,
                                                                            it->work.account, it->work.id);
        } else if (sent) {
            peers_.cancel(it->sent_to, it->work.database, it->work.account, it->work.id);
        }
        const auto has_no_effect =
            !sent || (it->work.mode == access_mode::read && it->work.step == transaction_step::none);
        refuse(it, failure{failure_code::deadline_exceeded, "no answer within the deadline", 500ms},
               has_no_effect ? verdict::not_run : verdict::unknown);
    }
}

} // namespace citronlug
