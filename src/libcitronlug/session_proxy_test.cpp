#include <citronlug/session_proxy.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

namespace {

const auto group = group_id{"orders"};
const auto primary = server_id{"s1"};
const auto replica = server_id{"s2"};
const auto account = account_id{"school"};

/// Records the effects, so that tests can inspect and answer them.
class recording_effects final : public session_effects {
public:
    struct sent_request {
        connection_id connection = 0;
        server_request request;
    };

    auto accept_caller(caller_id caller) -> void override { accepted.push_back(caller); }
    auto reject_caller(caller_id /*caller*/, const session_failure& reason) -> void override {
        rejected.push_back(reason);
    }
    auto answer_caller(caller_id caller, const session_answer& answer) -> void override {
        answers_to[caller].push_back(answer);
    }
    auto close_caller(caller_id caller) -> void override { closed.push_back(caller); }
    auto open_server(connection_id connection, const backend_server& server, const account_id& owner)
        -> void override {
        opened[connection] = server.id;
        connection_account[connection] = owner;
        opening.push_back(connection);
    }
    auto send_server(connection_id connection, const server_request& request) -> void override {
        requests.push_back({connection, request});
    }
    auto close_server(connection_id connection) -> void override { closed_servers.push_back(connection); }
    auto send_token_requests() -> void override { token_requests_sent = true; }
    auto log(log_level /*level*/, log_event event, const std::vector<log_field>& /*fields*/)
        -> void override {
        events.push_back(event);
    }

    std::vector<caller_id> accepted;
    std::vector<session_failure> rejected;
    std::map<caller_id, std::vector<session_answer>> answers_to;
    std::vector<caller_id> closed;
    std::map<connection_id, server_id> opened;
    std::map<connection_id, account_id> connection_account;
    std::deque<connection_id> opening;
    std::deque<sent_request> requests;
    std::vector<connection_id> closed_servers;
    std::vector<log_event> events;
    bool token_requests_sent = false;
};

auto make_route(const std::string& database, consistency kind, duration max_age) {
    auto it = session_route{};
    it.name = "route-" + database;
    it.database = database_id{database};
    it.group = group;
    it.kind = kind;
    it.max_age = max_age;
    it.statement_timeout = 1s;
    it.latency_target = 200ms;
    return std::make_shared<const session_route>(it);
}

auto make_rules(std::uint64_t version) -> std::shared_ptr<desired_state> {
    auto it = std::make_shared<desired_state>();
    it->version = version;
    it->routes["place"] = make_route("place", consistency::primary, 0ms);
    it->routes["browse"] = make_route("browse", consistency::bounded_staleness, 1500ms);
    it->routes["approve"] = make_route("approve", consistency::read_your_writes, 2500ms);
    it->groups[group] = {group, 34, 0};
    it->accounts[account] = {account, {0, 0}};
    it->keys["k1"] = account;
    return it;
}

auto make_server(const server_id& id) -> backend_server {
    auto it = backend_server{};
    it.id = id;
    it.group = group;
    it.address = "127.0.0.1:1";
    it.domain = failure_domain{"a"};
    it.slots = 5;
    return it;
}

auto make_statement(session_verb verb, const std::string& id, const std::string& text) -> session_statement {
    return {id, verb, text, {}, {}};
}

auto make_answer(transaction_state state, std::optional<position> at = std::nullopt) -> session_answer {
    auto it = session_answer{};
    it.signature = "signed";
    it.state = state;
    it.reached = at;
    return it;
}

auto make_error(session_error code, transaction_state state) -> session_answer {
    auto it = session_answer{};
    it.error = session_failure{code, "x"};
    it.state = state;
    return it;
}

} // namespace

// Scenario: one instance, with a permit for the primary, in front of a primary and a replica.
struct session_proxy_base : Utest {
    time_point now{1h};
    recording_effects effects;
    metrics counters;
    session_proxy proxy{failure_domain{"a"}, effects, counters};

    auto make_view(std::uint64_t generation, const server_id& leader, bool changing = false) -> primary_view {
        return {group, leader, generation, changing, changing ? time_point{} : now + 2s};
    }

    void setup() override {
        proxy.set_rules(now, make_rules(1));
        proxy.set_servers(now, {make_server(primary), make_server(replica)});
        proxy.set_primary(now, make_view(1, primary));
        proxy.add_position(now, group, now - 500ms, {3, 100});
    }

    auto start_session(caller_id caller, const std::string& database) -> void {
        proxy.on_start(now, caller, database, "k1");
    }

    /// Completes the opening of all requested connections.
    auto open_pending_connections() -> void {
        while (!effects.opening.empty()) {
            const auto id = effects.opening.front();
            effects.opening.pop_front();
            proxy.on_server_opened(now, id);
        }
    }

    /// Removes and returns the oldest request to a server; fails the test if there is none.
    auto next_request() -> recording_effects::sent_request {
        CHECK_FALSE(effects.requests.empty());
        if (effects.requests.empty()) {
            return {};
        }
        auto it = effects.requests.front();
        effects.requests.pop_front();
        return it;
    }

    auto answer_request(connection_id id, const session_answer& answer) -> void {
        proxy.on_server_answer(now, id, answer);
    }

    auto last_answer(caller_id caller) -> session_answer {
        CHECK_FALSE(effects.answers_to[caller].empty());
        return effects.answers_to[caller].empty() ? session_answer{} : effects.answers_to[caller].back();
    }

    auto last_result(caller_id caller) -> std::string {
        const auto it = last_answer(caller);
        return it.error ? std::string{name_of(it.error->code)} : std::string{"ok"};
    }

    /// Begins a transaction on "place" with one successful write. Returns its connection.
    auto begin_transaction_with_write() -> connection_id {
        start_session(1, "place");
        proxy.on_statement(now, 1, make_statement(session_verb::begin, "q1", "BEGIN"));
        proxy.on_statement(now, 1, make_statement(session_verb::write, "q2", "WRITE a b"));
        open_pending_connections();
        const auto begin = next_request();
        answer_request(begin.connection, make_answer(transaction_state::open, position{3, 100}));
        answer_request(next_request().connection, make_answer(transaction_state::open, position{3, 100}));
        return begin.connection;
    }
};

TEST_GROUP_BASE(session_start, session_proxy_base){};

// Guards against sessions for callers with an invalid key or an unknown database.
TEST(session_start, rejects_unknown_key_and_unknown_database) {
    proxy.on_start(now, 1, "place", "wrong");
    proxy.on_start(now, 2, "nothing", "k1");
    CHECK_EQUAL(0U, effects.accepted.size());
    CHECK_EQUAL(2U, effects.rejected.size());
    CHECK(effects.rejected.at(0).code == session_error::unauthorised);
    CHECK(effects.rejected.at(1).code == session_error::no_database);
}

// Guards against "no such database" from an instance that has not loaded the rules yet, and against callers
// that wait for the rules until they time out.
TEST(session_start, is_delayed_until_rules_are_loaded) {
    auto starting = session_proxy{failure_domain{"a"}, effects, counters};
    starting.on_start(now, 1, "place", "k1");
    starting.on_start(now, 2, "nothing", "k1");
    CHECK_EQUAL(0U, effects.accepted.size() + effects.rejected.size());
    starting.set_rules(now, make_rules(1));
    CHECK_EQUAL(1U, effects.accepted.size());
    CHECK(effects.rejected.at(0).code == session_error::no_database);

    auto never_configured = session_proxy{failure_domain{"a"}, effects, counters};
    never_configured.on_start(now, 3, "place", "k1");
    now += 1800ms;
    never_configured.on_tick(now);
    CHECK(effects.rejected.back().code == session_error::busy);
}

// Guards against running statements for a key that was withdrawn while its session was open.
TEST(session_start, refuses_statements_after_key_withdrawal) {
    start_session(1, "place");
    auto rules = make_rules(2);
    rules->keys.clear();
    proxy.set_rules(now, rules);
    proxy.on_statement(now, 1, make_statement(session_verb::read, "q1", "READ a"));
    CHECK_EQUAL(std::string{"unauthorised"}, last_result(1));
    CHECK_EQUAL(1U, effects.closed.size());
    CHECK_EQUAL(0U, effects.opened.size());
}

// Guards against refusing an open session whose key is valid, because the operators gave it to another
// account.
TEST(session_start, goes_on_as_the_account_that_holds_its_key_now) {
    start_session(1, "place");
    auto rules = make_rules(2);
    const auto next_account = account_id{"press"};
    rules->accounts[next_account] = {next_account, {0, 0}};
    rules->keys["k1"] = next_account;
    proxy.set_rules(now, rules);
    proxy.on_statement(now, 1, make_statement(session_verb::read, "q1", "READ a"));
    CHECK_EQUAL(0U, effects.closed.size());
    CHECK_EQUAL(1U, effects.opening.size());
    CHECK(effects.connection_account.at(effects.opening.back()) == next_account);
}

// Guards against a final refusal for a route or key that newer rules hold, which this instance has not got in
// time.
TEST(session_start, is_not_judged_by_rules_that_may_be_old) {
    start_session(1, "place");
    auto rules = make_rules(2);
    rules->routes.erase("place");
    proxy.set_rules(now, rules);
    proxy.set_rules_evidence(now);
    now += 3100ms;
    proxy.on_start(now, 2, "place", "k1");
    proxy.on_start(now, 3, "browse", "new-key");
    proxy.on_statement(now, 1, make_statement(session_verb::read, "q1", "READ a"));
    CHECK_EQUAL(2U, effects.rejected.size());
    CHECK(effects.rejected.at(0).code == session_error::busy);
    CHECK(effects.rejected.at(1).code == session_error::busy);
    CHECK_EQUAL(std::string{"busy"}, last_result(1));
    CHECK_EQUAL(1U, effects.closed.size());

    proxy.set_rules_evidence(now);
    proxy.on_start(now, 4, "place", "k1");
    CHECK(effects.rejected.at(2).code == session_error::no_database);
}

// Guards against reverting to older rules after a stale answer from the store.
TEST(session_start, ignores_older_rules) {
    proxy.set_rules(now, make_rules(5));
    auto old = make_rules(4);
    old->routes.clear();
    proxy.set_rules(now, old);
    start_session(1, "place");
    CHECK_EQUAL(1U, effects.accepted.size());
}

// Guards against callers that are kept out because others hold all connections with sessions that they do not
// use, and against an end of a session that is in use.
TEST(session_start, names_the_session_that_was_idle_for_longest) {
    start_session(1, "place");
    now += 500ms;
    start_session(2, "place");
    CHECK_FALSE(proxy.longest_idle_session(now).has_value());
    now += 700ms;
    CHECK_EQUAL(1U, proxy.longest_idle_session(now).value_or(0));
    proxy.on_statement(now, 1, make_statement(session_verb::begin, "q1", "BEGIN"));
    now += 2s;
    CHECK_EQUAL(2U, proxy.longest_idle_session(now).value_or(0));
    proxy.on_statement(now, 2, make_statement(session_verb::write, "q2", "WRITE a b"));
    CHECK_FALSE(proxy.longest_idle_session(now).has_value());
}

TEST_GROUP_BASE(session_writes, session_proxy_base){};

// Guards against running a write again that may already have been committed.
TEST(session_writes, are_in_doubt_and_not_retried_after_connection_loss) {
    start_session(1, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    open_pending_connections();
    const auto sent = next_request();
    CHECK_EQUAL(std::string{"WRITE a b"}, sent.request.text);
    proxy.on_server_lost(now, sent.connection, connection_loss::closed);
    CHECK_EQUAL(std::string{"in-doubt"}, last_result(1));
    now += 3s;
    proxy.on_tick(now);
    CHECK_EQUAL(0U, effects.requests.size());
}

// Guards against refusing a write that the server certainly did not run and will accept soon.
TEST(session_writes, are_retried_after_server_was_full) {
    start_session(1, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    open_pending_connections();
    answer_request(next_request().connection, make_error(session_error::busy, transaction_state::idle));
    now += 30ms;
    proxy.on_tick(now);
    answer_request(next_request().connection, make_answer(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"ok"}, last_result(1));
}

// Guards against refusing a write because its server is full for a moment, and against retries at a full
// server without a delay.
TEST(session_writes, are_retried_at_full_server_with_increasing_delay) {
    start_session(1, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    open_pending_connections();
    auto attempts = 0;
    for (const auto full_until = now + 100ms; now < full_until; now += 10ms) {
        while (!effects.requests.empty()) {
            ++attempts;
            answer_request(next_request().connection,
                           make_error(session_error::busy, transaction_state::idle));
        }
        proxy.on_tick(now);
    }
    CHECK_EQUAL(0U, effects.answers_to[1].size());
    CHECK_EQUAL(3, attempts); // after 0, 20 and 60 ms
    now += 80ms;
    proxy.on_tick(now);
    answer_request(next_request().connection, make_answer(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"ok"}, last_result(1));
}

// Guards against acknowledging a write to a primary that may have been replaced before the commit.
TEST(session_writes, are_in_doubt_when_permit_expires_before_answer) {
    start_session(1, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    open_pending_connections();
    const auto sent = next_request();
    now += 2s;
    answer_request(sent.connection, make_answer(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"in-doubt"}, last_result(1));
}

// Guards against two errors during a change of primary: acknowledging a write after the permit was released,
// and releasing the permit while a write may still be acknowledged.
TEST(session_writes, delay_permit_release_and_then_are_in_doubt) {
    start_session(1, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    open_pending_connections();
    const auto sent = next_request();
    proxy.set_primary(now, make_view(2, primary, true));
    CHECK_FALSE(proxy.has_released(group, 2));
    now += 400ms;
    proxy.on_tick(now);
    CHECK_TRUE(proxy.has_released(group, 2));
    answer_request(sent.connection, make_answer(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"in-doubt"}, last_result(1));
}

// Guards against reporting "in doubt" for a write that succeeded before the permit was released.
TEST(session_writes, succeed_before_permit_release) {
    start_session(1, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    open_pending_connections();
    const auto sent = next_request();
    proxy.set_primary(now, make_view(2, primary, true));
    now += 100ms;
    answer_request(sent.connection, make_answer(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"ok"}, last_result(1));
    CHECK_TRUE(proxy.has_released(group, 2));
}

// Guards against writes to a server for which this instance has no permit.
TEST(session_writes, wait_for_permit_and_are_refused_as_not_run) {
    proxy.set_primary(now, make_view(2, primary, true));
    start_session(1, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    open_pending_connections();
    CHECK_EQUAL(0U, effects.requests.size());
    now += 700ms;
    proxy.on_tick(now);
    CHECK_EQUAL(std::string{"busy"}, last_result(1));
}

// Scenario: the permit expires with no change of primary in progress, because this instance reaches neither
// the store nor the coordinator.
TEST_GROUP_BASE(session_isolation, session_proxy_base){auto expire_permit()->void{proxy.on_tick(now);
now += 2100ms;
proxy.on_tick(now);
}
}
;

// Guards against holding callers at an isolated instance although other instances can serve them.
TEST(session_isolation, refuses_statements_that_need_the_primary_at_once) {
    start_session(1, "place");
    start_session(2, "place");
    expire_permit();
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    CHECK_EQUAL(0U, effects.answers_to[1].size()); // the permit may be renewed at any moment
    now += 350ms;
    proxy.on_tick(now);
    CHECK_EQUAL(std::string{"busy"}, last_result(1));
    proxy.on_statement(now, 2, make_statement(session_verb::write, "q2", "WRITE a b"));
    CHECK_EQUAL(std::string{"busy"}, last_result(2));
    CHECK_EQUAL(0U, effects.requests.size());
}

// Guards against a misleading "over its rate" after a wait for a token: an isolated instance does not reach
// the coordinator, which grants tokens, either.
TEST(session_isolation, is_checked_before_the_rate_limit) {
    const auto limited_rules = make_rules(2);
    limited_rules->accounts[account] = {account, {0.1, 1}};
    proxy.set_rules(now, limited_rules);
    start_session(1, "place");
    expire_permit();
    now += 350ms;
    proxy.on_tick(now);
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    CHECK_EQUAL(std::string{"busy"}, last_result(1));
    CHECK(last_answer(1).error->text.find("neither the store nor the coordinator") != std::string::npos);
}

// Guards against a wait for a token, while the coordinator is not reachable, that leaves a caller with a
// short statement timeout too little time to try an instance that has tokens.
TEST(session_isolation, limits_token_wait_to_share_of_statement_timeout) {
    const auto limited_rules = make_rules(2);
    limited_rules->accounts[account] = {account, {0.1, 1}};
    proxy.set_rules(now, limited_rules);
    start_session(1, "place"); // statement timeout: 1 s
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    CHECK_EQUAL(0U, effects.answers_to[1].size());
    now += 130ms;
    proxy.on_tick(now);
    CHECK_EQUAL(std::string{"busy"}, last_result(1));
}

// Guards against refusing reads that a replica can still serve because a recent position of the primary is
// known.
TEST(session_isolation, allows_replica_reads_while_position_is_recent) {
    start_session(1, "approve");
    expire_permit();
    now += 350ms;
    proxy.add_position(now, group, now - 1s, {3, 110});
    proxy.on_statement(now, 1, make_statement(session_verb::read, "q1", "READ a"));
    open_pending_connections();
    CHECK(effects.opened.at(next_request().connection) == replica);
}

// Guards against an isolated instance that reports ready, and against one that stays unready after its permit
// was renewed.
TEST(session_isolation, stops_readiness_until_permit_is_renewed) {
    start_session(1, "place");
    expire_permit();
    CHECK_TRUE(proxy.can_serve(now));
    now += 1100ms;
    proxy.on_tick(now);
    CHECK_FALSE(proxy.can_serve(now));
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    CHECK_EQUAL(1U, effects.closed.size());
    proxy.set_primary(now, make_view(1, primary));
    proxy.on_tick(now);
    CHECK_TRUE(proxy.can_serve(now));
}

// Guards against refusing, at the end of a change of primary, the statements that waited for it.
TEST(session_isolation, does_not_start_at_end_of_primary_change) {
    proxy.on_tick(now);
    proxy.set_primary(now, make_view(2, primary, true));
    proxy.on_tick(now);
    start_session(1, "place");
    start_session(2, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    now += 500ms;
    proxy.on_tick(now);
    proxy.set_primary(now, make_view(2, replica));
    proxy.on_tick(now);
    CHECK_EQUAL(0U, effects.answers_to[1].size());
    // The same if the change ends without a permit: it counts as missing only from then on.
    proxy.set_primary(now, make_view(3, primary, true));
    proxy.on_tick(now);
    now += 500ms;
    proxy.on_statement(now, 2, make_statement(session_verb::write, "q2", "WRITE a b"));
    proxy.set_primary(now, {group, primary, 3, false, {}});
    proxy.on_tick(now);
    CHECK_EQUAL(0U, effects.answers_to[2].size());
}

// Guards against "in doubt" for a write that waited for the change and ran only at the new primary.
TEST(session_writes, queued_during_primary_change_succeed_at_new_primary) {
    proxy.set_primary(now, make_view(2, primary, true));
    start_session(1, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    now += 500ms;
    proxy.on_tick(now);
    proxy.set_primary(now, make_view(2, replica));
    open_pending_connections();
    answer_request(next_request().connection, make_answer(transaction_state::idle, position{4, 101}));
    CHECK_EQUAL(std::string{"ok"}, last_result(1));
}

// Guards against reporting unready during a change of primary, which affects all instances alike.
TEST(session_isolation, is_not_caused_by_primary_change) {
    proxy.on_tick(now);
    proxy.set_primary(now, make_view(2, primary, true));
    proxy.on_tick(now);
    now += 5s;
    proxy.on_tick(now);
    CHECK_TRUE(proxy.can_serve(now));
}

TEST_GROUP_BASE(session_transactions, session_proxy_base){};

// Guards against running statements of one transaction on several connections, and against a connection for a
// transaction without statements.
TEST(session_transactions, begin_lazily_and_keep_their_connection) {
    start_session(1, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::begin, "q1", "BEGIN"));
    CHECK(last_answer(1).state == transaction_state::open);
    CHECK_EQUAL(0U, effects.opened.size());
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q2", "WRITE a b"));
    open_pending_connections();
    const auto begin = next_request();
    CHECK(begin.request.action == server_action::begin);
    CHECK_TRUE(effects.requests.empty()); // the write waits until the transaction has begun
    answer_request(begin.connection, make_answer(transaction_state::open, position{3, 100}));
    const auto write = next_request();
    CHECK_EQUAL(begin.connection, write.connection);
    answer_request(write.connection, make_answer(transaction_state::open, position{3, 100}));
    start_session(2, "place");
    proxy.on_statement(now, 2, make_statement(session_verb::read, "q3", "READ a"));
    open_pending_connections();
    CHECK(next_request().connection != begin.connection);
    proxy.on_statement(now, 1, make_statement(session_verb::commit, "q4", "COMMIT"));
    const auto commit = next_request();
    CHECK_EQUAL(begin.connection, commit.connection);
    CHECK_EQUAL(std::string{"COMMIT"}, commit.request.text);
    answer_request(commit.connection, make_answer(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"ok"}, last_result(1));
    CHECK(last_answer(1).state == transaction_state::idle);
}

TEST_GROUP_BASE(session_connections, session_proxy_base){};

// Guards against thousands of connections per second to a primary that refuses them, until it is replaced.
TEST(session_connections, are_opened_with_pauses_to_a_server_that_refuses_them) {
    for (const auto caller : {1U, 2U, 3U}) {
        start_session(caller, "place");
        proxy.on_statement(now, caller, make_statement(session_verb::write, "q", "WRITE a b"));
    }
    auto attempts = 0;
    const auto refuse_all = [&] {
        while (!effects.opening.empty() && attempts < 1000) {
            const auto id = effects.opening.front();
            effects.opening.pop_front();
            ++attempts;
            proxy.on_server_lost(now, id, connection_loss::refused);
        }
    };
    for (const auto end = now + 200ms; now < end; now += 5ms) {
        refuse_all();
        proxy.on_tick(now);
    }
    CHECK_TRUE(attempts >= 5); // a server that is back is noticed soon
    CHECK_TRUE(attempts <= 11);
    now += 30ms;
    proxy.on_tick(now);
    open_pending_connections();
    CHECK_EQUAL(std::string{"WRITE a b"}, next_request().request.text);
}

// Guards against "aborted" after a commit was sent, and against "in doubt" before.
TEST(session_transactions, are_aborted_before_commit_and_in_doubt_after_it) {
    auto connection = begin_transaction_with_write();
    proxy.on_statement(now, 1, make_statement(session_verb::read, "q3", "READ a"));
    proxy.on_server_lost(now, connection, connection_loss::closed);
    CHECK_EQUAL(std::string{"aborted"}, last_result(1));
    CHECK(last_answer(1).state == transaction_state::failed);
    proxy.on_statement(now, 1, make_statement(session_verb::rollback, "q4", "ROLLBACK"));
    CHECK(last_answer(1).state == transaction_state::idle);

    effects.requests.clear();
    proxy.on_caller_closed(now, 1);
    now += 2s;
    proxy.set_primary(now, make_view(1, primary));
    connection = begin_transaction_with_write();
    proxy.on_statement(now, 1, make_statement(session_verb::commit, "q5", "COMMIT"));
    proxy.on_server_lost(now, connection, connection_loss::closed);
    CHECK_EQUAL(std::string{"in-doubt"}, last_result(1));
    CHECK(last_answer(1).state == transaction_state::idle);
}

// Guards against committing at a primary that is being replaced.
TEST(session_transactions, are_aborted_when_primary_change_begins) {
    const auto connection = begin_transaction_with_write();
    proxy.set_primary(now, make_view(2, primary, true));
    CHECK(next_request().request.action == server_action::rollback);
    proxy.on_statement(now, 1, make_statement(session_verb::commit, "q3", "COMMIT"));
    CHECK_EQUAL(std::string{"aborted"}, last_result(1));
    CHECK_TRUE(effects.requests.empty());
    CHECK(connection != 0);
}

// Guards against a transaction that keeps its connection and its locks after its caller has disconnected.
TEST(session_transactions, are_rolled_back_when_caller_disconnects) {
    const auto connection = begin_transaction_with_write();
    proxy.on_caller_closed(now, 1);
    const auto sent = next_request();
    CHECK_EQUAL(connection, sent.connection);
    CHECK(sent.request.action == server_action::rollback);
    answer_request(connection, make_answer(transaction_state::idle));
    CHECK_EQUAL(0U, effects.closed_servers.size());
}

// Guards against a crash and a leaked connection when the caller disconnects while a statement runs and the
// statement then fails.
TEST(session_transactions, close_connection_when_statement_fails_after_caller_disconnects) {
    const auto connection = begin_transaction_with_write();
    proxy.on_statement(now, 1, make_statement(session_verb::read, "q3", "READ a"));
    next_request();
    proxy.on_caller_closed(now, 1);
    answer_request(connection, make_error(session_error::failed, transaction_state::failed));
    CHECK_EQUAL(1U, effects.closed_servers.size());
    CHECK_EQUAL(connection, effects.closed_servers.front());
}

// Guards against idle transactions that occupy a connection.
TEST(session_transactions, are_aborted_after_idle_timeout) {
    const auto connection = begin_transaction_with_write();
    now += 4s;
    proxy.set_primary(now, make_view(1, primary));
    proxy.on_tick(now);
    CHECK_EQUAL(connection, next_request().connection);
    proxy.on_statement(now, 1, make_statement(session_verb::commit, "q3", "COMMIT"));
    CHECK_EQUAL(std::string{"aborted"}, last_result(1));
}

TEST_GROUP_BASE(session_reads, session_proxy_base){};

// Guards against reads from a replica without a bound on their staleness.
TEST(session_reads, send_required_position_to_replica) {
    start_session(1, "browse");
    proxy.on_statement(now, 1, make_statement(session_verb::read, "q1", "READ a"));
    open_pending_connections();
    const auto sent = next_request();
    CHECK(effects.opened.at(sent.connection) == replica);
    CHECK_TRUE(sent.request.required_position.has_value());
    CHECK_EQUAL(100U, sent.request.required_position->log);
}

// Guards against reads that are staler than the route allows when no recent position of the primary is known.
TEST(session_reads, use_only_the_primary_when_known_position_is_too_old) {
    now += 1900ms;
    start_session(1, "browse");
    proxy.on_statement(now, 1, make_statement(session_verb::read, "q1", "READ a"));
    open_pending_connections();
    const auto sent = next_request();
    CHECK(effects.opened.at(sent.connection) == primary);
    CHECK_FALSE(sent.request.required_position.has_value());
}

// Guards against status requests of each instance, each of which takes a slot of the primary, although the
// positions that the coordinator passes on are young enough for all routes.
TEST(session_reads, request_a_position_only_when_the_known_one_becomes_old) {
    start_session(1, "browse");
    start_session(2, "place");
    proxy.on_statement(now, 2, make_statement(session_verb::read, "q1", "READ a"));
    open_pending_connections();
    answer_request(next_request().connection, make_answer(transaction_state::idle));
    proxy.on_statement(now, 1, make_statement(session_verb::read, "q2", "READ a"));
    open_pending_connections();
    answer_request(next_request().connection, make_answer(transaction_state::idle));
    proxy.add_position(now, group, now, {3, 101});
    now += 800ms;
    proxy.set_primary(now, make_view(1, primary));
    proxy.on_tick(now);
    CHECK_TRUE(effects.requests.empty());
    now += 150ms;
    proxy.on_tick(now);
    CHECK_TRUE(next_request().request.action == server_action::status);
}

// Guards against reads that keep going to a server that fails them, and against limits that no operator sees.
TEST(session_reads, avoid_a_failing_server_with_learned_limits_only) {
    const auto sent_to_failing_replica = [&](server_limit_mode mode) {
        proxy.set_server_limits(mode, 7);
        proxy.set_servers(now, {make_server(primary), make_server(replica)});
        auto count = 0;
        for (auto n = 0; n < 40; ++n) {
            now += 20ms;
            proxy.add_position(now, group, now - 100ms, {3, 100});
            proxy.set_primary(now, make_view(1, primary));
            proxy.on_statement(now, 1, make_statement(session_verb::read, "q1", "READ a"));
            open_pending_connections();
            while (!effects.requests.empty()) {
                const auto at = next_request().connection;
                now += 10ms;
                const auto fails = effects.opened.at(at) == replica;
                count += fails ? 1 : 0;
                answer_request(at, fails ? make_error(session_error::failed, transaction_state::idle)
                                         : make_answer(transaction_state::idle));
                open_pending_connections();
            }
        }
        proxy.on_tick(now);
        return count;
    };
    start_session(1, "browse");
    CHECK(sent_to_failing_replica(server_limit_mode::off) >= 35);
    CHECK_FALSE(counters.text().find("citronlug_server_limit") != std::string::npos);
    CHECK(sent_to_failing_replica(server_limit_mode::automatic) >= 35); // few instances
    CHECK(sent_to_failing_replica(server_limit_mode::on) <= 15);
    proxy.set_instances(now, 60);
    CHECK(sent_to_failing_replica(server_limit_mode::automatic) <= 15);
    CHECK(counters.text().find("citronlug_server_limit{server=\"" + replica.value) != std::string::npos);
}

// Guards against a read that does not see the session's own write.
TEST(session_reads, require_position_of_own_write_at_replica) {
    start_session(1, "approve");
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    open_pending_connections();
    answer_request(next_request().connection, make_answer(transaction_state::idle, position{3, 140}));
    effects.requests.clear();
    proxy.on_statement(now, 1, make_statement(session_verb::read, "q2", "READ a"));
    open_pending_connections();
    const auto sent = next_request();
    if (effects.opened.at(sent.connection) == replica) {
        CHECK_EQUAL(140U, sent.request.required_position->log);
    }
    // A replica whose log lacks the position is not retried; the primary has it.
    answer_request(sent.connection, make_error(session_error::lagging, transaction_state::idle));
    open_pending_connections();
    const auto retried = next_request();
    CHECK(effects.opened.at(retried.connection) == primary);
}

// Guards against reads that fail with their server although another one can serve them.
TEST(session_reads, are_retried_at_another_server_after_connection_loss) {
    start_session(1, "browse");
    proxy.on_statement(now, 1, make_statement(session_verb::read, "q1", "READ a"));
    open_pending_connections();
    const auto sent = next_request();
    proxy.on_server_lost(now, sent.connection, connection_loss::closed);
    open_pending_connections();
    const auto retried = next_request();
    CHECK(effects.opened.at(retried.connection) != effects.opened.at(sent.connection));
    answer_request(retried.connection, make_answer(transaction_state::idle));
    CHECK_EQUAL(std::string{"ok"}, last_result(1));
}

// Guards against reserving connections for statements that the queue does not start, and a crash when their
// answers arrive. The queue checks one statement of each client account before it starts one.
TEST(session_reads, of_several_accounts_use_one_connection_each) {
    auto rules = make_rules(2);
    for (const auto* name : {"a", "b", "c"}) {
        rules->accounts[account_id{name}] = {account_id{name}, {0, 0}};
        rules->keys[name] = account_id{name};
    }
    proxy.set_rules(now, rules);
    proxy.set_servers(now, {make_server(primary)});
    auto caller = caller_id{1};
    auto answered = 0;
    const auto send_all = [&] {
        for (const auto* name : {"a", "b", "c"}) {
            proxy.on_start(now, caller, "place", name);
            proxy.on_statement(now, caller,
                               make_statement(session_verb::read, "q" + std::to_string(caller), "READ a"));
            ++caller;
        }
    };
    const auto answer_all_requests = [&] {
        open_pending_connections();
        while (!effects.requests.empty()) {
            answer_request(next_request().connection, make_answer(transaction_state::idle, position{4, 100}));
            ++answered;
            open_pending_connections(); // may have evicted another account's idle connection
        }
    };
    send_all();
    answer_all_requests();
    // Statements are queued during a change of primary; afterwards all accounts have an idle connection.
    proxy.set_primary(now, make_view(2, primary, true));
    send_all();
    send_all();
    proxy.set_primary(now, make_view(2, primary));
    CHECK_EQUAL(3U, effects.requests.size());
    answer_all_requests();
    CHECK_EQUAL(9, answered);
    for (const auto& [id, server] : effects.opened) {
        proxy.on_server_lost(now, id, connection_loss::closed);
    }
    CHECK_EQUAL(0, std::count(effects.events.begin(), effects.events.end(), log_event::server_unusable));
}

TEST_GROUP_BASE(session_state, session_proxy_base){};

// Guards against statements that run with another session's values or prepared statements.
TEST(session_state, is_set_on_connection_before_statement) {
    start_session(1, "place");
    proxy.on_statement(now, 1, {"q1", session_verb::set_value, "SET zone a", "zone", "a"});
    proxy.on_statement(now, 1, {"q2", session_verb::prepare_read, "PREPARE x READ shape", "x", "shape"});
    proxy.on_statement(now, 1, {"q3", session_verb::execute, "EXECUTE x 1", "x", "1"});
    open_pending_connections();
    const auto set = next_request();
    const auto prepare = next_request();
    CHECK(set.request.action == server_action::set_value);
    CHECK(prepare.request.action == server_action::prepare_read);
    CHECK_TRUE(effects.requests.empty());
    answer_request(set.connection, make_answer(transaction_state::idle));
    answer_request(set.connection, make_answer(transaction_state::idle));
    const auto execute = next_request();
    CHECK_EQUAL(prepare.request.name, execute.request.name);
    CHECK_EQUAL(std::string{"1"}, execute.request.text);
    answer_request(set.connection, make_answer(transaction_state::idle, position{3, 100}));

    // Another session has no values: the connection is reset before it is used.
    start_session(2, "place");
    proxy.on_statement(now, 2, make_statement(session_verb::read, "q4", "READ a"));
    const auto reset = next_request();
    CHECK_EQUAL(set.connection, reset.connection);
    CHECK(reset.request.action == server_action::reset);
}

// Guards against sending a statement after setting the session's state has failed.
TEST(session_state, blocks_statement_when_it_cannot_be_set) {
    start_session(1, "place");
    proxy.on_statement(now, 1, {"q1", session_verb::set_value, "SET zone a", "zone", "a"});
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q2", "WRITE a b"));
    open_pending_connections();
    const auto set = next_request();
    answer_request(set.connection, make_error(session_error::failed, transaction_state::idle));
    CHECK_EQUAL(1U, effects.closed_servers.size());
    open_pending_connections();
    CHECK(next_request().request.action == server_action::set_value);
}

// Guards against running statements of one client account on a connection opened for another.
TEST(session_state, is_not_shared_between_accounts) {
    auto rules = make_rules(2);
    rules->accounts[account_id{"shop"}] = {account_id{"shop"}, {0, 0}};
    rules->keys["k2"] = account_id{"shop"};
    proxy.set_rules(now, rules);
    start_session(1, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::read, "q1", "READ a"));
    open_pending_connections();
    const auto first = next_request();
    answer_request(first.connection, make_answer(transaction_state::idle, position{3, 100}));
    proxy.on_start(now, 2, "place", "k2");
    proxy.on_statement(now, 2, make_statement(session_verb::read, "q2", "READ a"));
    open_pending_connections();
    const auto second = next_request();
    CHECK(first.connection != second.connection);
    CHECK(effects.connection_account.at(second.connection) == account_id{"shop"});
}

TEST_GROUP_BASE(session_shutdown, session_proxy_base){};

// Guards against a graceful shutdown that interrupts a statement or an open transaction.
TEST(session_shutdown, closes_idle_sessions_and_lets_transactions_finish) {
    begin_transaction_with_write();
    start_session(2, "browse");
    proxy.begin_shutdown(make_shutdown_schedule(now, 6s));
    now += 500ms;
    proxy.on_tick(now);
    CHECK_EQUAL(1U, effects.closed.size());
    CHECK_EQUAL(2U, effects.closed.front());
    proxy.on_statement(now, 1, make_statement(session_verb::commit, "q3", "COMMIT"));
    answer_request(next_request().connection, make_answer(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"ok"}, last_result(1));
    CHECK_EQUAL(2U, effects.closed.size());
}

// Guards against statements that a stopping instance takes on although it exits before they end, and against
// statements that it still runs when it exits: their callers would get no answer.
TEST(session_shutdown, answers_each_statement_before_the_exit) {
    const auto schedule = make_shutdown_schedule(now, 6s);
    start_session(1, "place");
    start_session(2, "place");
    start_session(3, "browse");
    proxy.begin_shutdown(schedule);

    // While there is time, operations are served.
    now = schedule.admission_end - 20ms;
    proxy.set_primary(now, make_view(1, primary));
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    open_pending_connections();
    CHECK_EQUAL(std::string{"q1"}, next_request().request.id);

    // Later, each operation and session is refused at once as not run.
    now = schedule.admission_end;
    proxy.on_statement(now, 2, make_statement(session_verb::begin, "q2", "BEGIN"));
    CHECK_EQUAL(std::string{"busy"}, last_result(2));
    proxy.on_statement(now, 3, make_statement(session_verb::read, "q3", "READ a"));
    CHECK_EQUAL(std::string{"busy"}, last_result(3));
    CHECK_TRUE(effects.requests.empty());
    CHECK_EQUAL(2U, effects.closed.size());
    proxy.on_start(now, 4, "place", "k1");
    CHECK_EQUAL(1U, effects.rejected.size());
    CHECK(effects.rejected.at(0).code == session_error::busy);

    // The server has not answered the write by the time that answers are due.
    CHECK_TRUE(proxy.has_statements_in_progress());
    now = schedule.answers_due;
    proxy.on_tick(now);
    CHECK_FALSE(proxy.has_statements_in_progress());
    CHECK_EQUAL(std::string{"in-doubt"}, last_result(1));
    CHECK_TRUE(now < schedule.exit_at);
}

// Guards against a statement that began before the shutdown, with a long timeout, and has no answer when the
// process exits.
TEST(session_shutdown, answers_statements_that_began_before) {
    start_session(1, "browse");
    now += 900ms;
    proxy.set_primary(now, make_view(1, primary));
    proxy.on_statement(now, 1, make_statement(session_verb::read, "q1", "READ a"));
    const auto schedule = make_shutdown_schedule(now, 1s);
    proxy.begin_shutdown(schedule);
    now = schedule.answers_due;
    proxy.on_tick(now);
    CHECK_EQUAL(1U, effects.answers_to[1].size());
    CHECK_TRUE(last_answer(1).error.has_value());
}

TEST_GROUP(shutdown_times){};

// Guards against a shutdown whose steps overlap, for short and for long times.
TEST(shutdown_times, are_in_order_within_the_time_for_leaving) {
    for (const auto leave_time : {duration{2s}, duration{4s}, duration{6s}, duration{1h}}) {
        const auto begun = time_point{1h};
        const auto it = make_shutdown_schedule(begun, leave_time);
        CHECK_TRUE(it.begun < it.transactions_end);
        CHECK_TRUE(it.transactions_end <= it.admission_end);
        CHECK_TRUE(it.admission_end < it.answers_due);
        CHECK_TRUE(it.answers_due < it.exit_at);
        CHECK_TRUE(it.exit_at < it.last_exit);
        CHECK_TRUE(it.last_exit < begun + leave_time);
    }
}

// Scenario: the primary has just started; all instances together may send it 8 requests per second.
struct session_cold_base : session_proxy_base {
    void setup() override {
        auto rules = make_rules(1);
        rules->groups[group] = {group, 34, 0, 5s, 8};
        auto cold = make_server(primary);
        cold.cold_remaining = 5s;
        proxy.set_rules(now, rules);
        proxy.set_servers(now, {cold, make_server(replica)});
        proxy.set_primary(now, make_view(1, primary));
        proxy.add_position(now, group, now - 500ms, {3, 100});
    }

    auto grant(std::uint32_t tokens) -> void {
        static_cast<void>(proxy.cold_start().take_requests(now));
        proxy.on_cold_grants(now, now, {{primary, tokens}});
    }
};

TEST_GROUP_BASE(session_cold_server, session_cold_base){};

// Guards against a message to a cold server without a token: opening, beginning, statement, commit, rollback.
TEST(session_cold_server, takes_one_token_for_each_message) {
    start_session(1, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::begin, "q1", "BEGIN"));
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q2", "WRITE a b"));
    CHECK_EQUAL(0U, effects.opening.size());
    CHECK_TRUE(effects.token_requests_sent);
    grant(1);
    CHECK_EQUAL(1U, effects.opening.size());
    open_pending_connections();
    CHECK_EQUAL(0U, effects.requests.size());
    grant(1);
    const auto begin = next_request();
    answer_request(begin.connection, make_answer(transaction_state::open, position{3, 100}));
    CHECK_EQUAL(0U, effects.requests.size());
    grant(1);
    answer_request(next_request().connection, make_answer(transaction_state::open, position{3, 100}));
    CHECK_EQUAL(std::string{"ok"}, last_result(1));
    proxy.on_statement(now, 1, make_statement(session_verb::commit, "q3", "COMMIT"));
    CHECK_EQUAL(0U, effects.requests.size());
    grant(1);
    answer_request(next_request().connection, make_answer(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"ok"}, last_result(1));
    CHECK_EQUAL(4U, proxy.cold_start().take_counts().granted);
}

// Guards against a write that is reported in doubt, or waits for its whole timeout, although it was not sent.
TEST(session_cold_server, refuses_work_without_tokens_as_not_run) {
    start_session(1, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    grant(1);
    open_pending_connections();
    for (const auto end = now + 620ms; now < end; now += 20ms) {
        proxy.on_tick(now);
    }
    CHECK_EQUAL(std::string{"busy"}, last_result(1));
    CHECK_EQUAL(0U, effects.requests.size());

    // A transaction that has begun ends, and its connection closes without a rollback.
    proxy.set_primary(now, make_view(1, primary));
    proxy.on_statement(now, 1, make_statement(session_verb::begin, "q2", "BEGIN"));
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q3", "WRITE a b"));
    grant(1);
    answer_request(next_request().connection, make_answer(transaction_state::open, position{3, 100}));
    for (const auto end = now + 620ms; now < end; now += 20ms) {
        proxy.on_tick(now);
    }
    CHECK_EQUAL(std::string{"aborted"}, last_result(1));
    CHECK_EQUAL(0U, effects.requests.size());
    CHECK_EQUAL(1U, effects.closed_servers.size());
}

// Guards against work that stays with a caller that has left, and against a connection that stays busy.
TEST(session_cold_server, drops_held_work_of_a_caller_that_left) {
    start_session(1, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::begin, "q1", "BEGIN"));
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q2", "WRITE a b"));
    grant(1);
    open_pending_connections();
    grant(1);
    answer_request(next_request().connection, make_answer(transaction_state::open, position{3, 100}));
    proxy.on_caller_closed(now, 1);
    proxy.on_tick(now);
    CHECK_EQUAL(1U, effects.closed_servers.size());
    grant(8);
    CHECK_EQUAL(0U, effects.requests.size());
}

// Guards against reads that wait for a cold server although another server can run them, and against an end
// of the cold period that is not noticed.
TEST(session_cold_server, reads_go_to_another_server_at_once) {
    proxy.on_tick(now);
    start_session(1, "browse");
    proxy.on_statement(now, 1, make_statement(session_verb::read, "q1", "READ a"));
    CHECK_EQUAL(replica.value, effects.opened.at(effects.opening.front()).value);
    open_pending_connections();
    answer_request(next_request().connection, make_answer(transaction_state::idle));
    CHECK_EQUAL(std::string{"ok"}, last_result(1));
    now += 10s;
    proxy.on_tick(now);
    proxy.set_primary(now, make_view(1, primary));
    start_session(2, "place");
    proxy.on_statement(now, 2, make_statement(session_verb::write, "q2", "WRITE a b"));
    open_pending_connections();
    answer_request(next_request().connection, make_answer(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"ok"}, last_result(2));
    CHECK_EQUAL(2, std::count(effects.events.begin(), effects.events.end(), log_event::server_cold));
}

TEST_GROUP_BASE(session_attempts, session_proxy_base){};

// Guards against statements that are sent more often than their route permits, and against refusals as not
// run that count as attempts.
TEST(session_attempts, are_limited_by_the_route) {
    for (const auto max_attempts : {1U, 6U}) { // together less than the retry budget of a new instance
        auto rules = make_rules(100 + max_attempts);
        auto route = *rules->routes["place"];
        route.max_attempts = max_attempts;
        route.statement_timeout = 60s;
        rules->routes["place"] = std::make_shared<const session_route>(route);
        proxy.set_rules(now, rules);
        const auto caller = caller_id{max_attempts};
        start_session(caller, "place");
        proxy.on_statement(now, caller, make_statement(session_verb::read, "q1", "READ a"));
        auto sent = 0U;
        for (auto n = 0; n < 100 && effects.answers_to[caller].empty(); ++n) {
            open_pending_connections();
            if (!effects.requests.empty()) {
                const auto request = next_request();
                const auto is_refused = n < 2;
                sent += is_refused ? 0 : 1;
                answer_request(request.connection,
                               make_error(is_refused ? session_error::busy : session_error::failed,
                                          transaction_state::idle));
            }
            now += 200ms;
            proxy.set_primary(now, make_view(1, primary));
            proxy.on_tick(now);
        }
        CHECK_EQUAL(max_attempts, sent);
        CHECK_EQUAL(std::string{"failed"}, last_result(caller));
    }
}

// Scenario: the primary is in domain "a", the replica in domain "b".
struct session_evacuation_base : session_proxy_base {
    const std::set<failure_domain> zone_a{failure_domain{"a"}};
    const std::set<failure_domain> zone_b{failure_domain{"b"}};

    void setup() override {
        session_proxy_base::setup();
        auto other = make_server(replica);
        other.domain = failure_domain{"b"};
        proxy.set_servers(now, {make_server(primary), other});
    }

    auto evacuate(const std::set<failure_domain>& domains, const std::set<failure_domain>& stopped = {})
        -> void {
        proxy.set_evacuations(now, {true, domains, stopped});
    }

    /// Reads on "browse", which the replica serves, up to the request to the server.
    auto read(caller_id caller) -> recording_effects::sent_request {
        proxy.on_statement(now, caller, make_statement(session_verb::read, "q", "READ a"));
        open_pending_connections();
        return next_request();
    }

    auto is_closed(connection_id id) -> bool {
        const auto& closed = effects.closed_servers;
        return std::find(closed.begin(), closed.end(), id) != closed.end();
    }
};

TEST_GROUP_BASE(session_evacuation, session_evacuation_base){};

// Guards against new work and warm connections at an evacuated replica, and against running statements that
// are cut off.
TEST(session_evacuation, of_a_replica_lets_running_statements_end) {
    start_session(1, "browse");
    const auto first = read(1);
    CHECK(effects.opened.at(first.connection) == replica);
    evacuate(zone_b);
    CHECK_FALSE(is_closed(first.connection));
    answer_request(first.connection, make_answer(transaction_state::idle));
    CHECK_EQUAL(std::string{"ok"}, last_result(1));
    proxy.on_tick(now);
    CHECK_TRUE(is_closed(first.connection));
    const auto second = read(1);
    CHECK(effects.opened.at(second.connection) == primary);
    // Guards against a server that stays unused after the withdrawal.
    evacuate({});
    start_session(2, "browse");
    CHECK(effects.opened.at(read(2).connection) == replica);
}

// Guards against a connection to an evacuated replica that is used because it was being opened.
TEST(session_evacuation, closes_connections_that_are_being_opened) {
    start_session(1, "browse");
    proxy.on_statement(now, 1, make_statement(session_verb::read, "q", "READ a"));
    const auto opening = effects.opening.front();
    evacuate(zone_b);
    CHECK_TRUE(is_closed(opening));
    open_pending_connections();
    CHECK(effects.opened.at(next_request().connection) == primary);
}

// Guards against callers that wait for a primary in an evacuated domain, and against statements to it.
TEST(session_evacuation, of_a_primary_serves_until_the_stop) {
    const auto connection = begin_transaction_with_write();
    evacuate(zone_a);
    start_session(2, "place");
    proxy.on_statement(now, 2, make_statement(session_verb::write, "q1", "WRITE a c"));
    open_pending_connections();
    const auto running = next_request();
    evacuate(zone_a, zone_a);
    // The open transaction has not run; the write that was sent is answered as the server says.
    CHECK_TRUE(is_closed(connection));
    proxy.on_statement(now, 1, make_statement(session_verb::commit, "q3", "COMMIT"));
    CHECK_EQUAL(std::string{"aborted"}, last_result(1));
    answer_request(running.connection, make_answer(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"ok"}, last_result(2));
    proxy.on_statement(now, 2, make_statement(session_verb::write, "q2", "WRITE a d"));
    CHECK_EQUAL(std::string{"busy"}, last_result(2));
    CHECK_EQUAL(1U, counters.counter("citronlug_evacuation_refusals_total"));
    proxy.on_tick(now);
    CHECK_TRUE(is_closed(running.connection));
    CHECK_TRUE(effects.requests.empty());
}

// Guards against a commit that is sent after the stop because its preparation began before.
TEST(session_evacuation, ends_a_statement_in_preparation) {
    start_session(1, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::begin, "q1", "BEGIN"));
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q2", "WRITE a b"));
    open_pending_connections();
    const auto begin = next_request();
    evacuate(zone_a, zone_a);
    answer_request(begin.connection, make_answer(transaction_state::open, position{3, 100}));
    CHECK_EQUAL(std::string{"aborted"}, last_result(1));
    CHECK_TRUE(effects.requests.empty());
    CHECK_TRUE(is_closed(begin.connection));
}

// Guards against an instance that sends to servers before it knows the evacuations.
TEST(session_evacuation, is_unknown_at_first) {
    proxy.set_evacuations(now, {false, {}, {}});
    start_session(1, "place");
    proxy.on_statement(now, 1, make_statement(session_verb::write, "q1", "WRITE a b"));
    CHECK_TRUE(effects.opened.empty());
    evacuate({});
    open_pending_connections();
    CHECK_EQUAL(1U, effects.requests.size());
}
