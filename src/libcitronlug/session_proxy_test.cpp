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

/// Records the effects and plays the backend servers' part.
class recorded_effects final : public session_effects {
public:
    struct sent {
        connection_id connection = 0;
        server_request request;
    };

    auto accept_caller(caller_id caller) -> void override { accepted.push_back(caller); }
    auto reject_caller(caller_id /*caller*/, const session_failure& reason) -> void override {
        rejected.push_back(reason);
    }
    auto answer_caller(caller_id caller, const session_answer& answer) -> void override {
        answers[caller].push_back(answer);
    }
    auto close_caller(caller_id caller) -> void override { closed.push_back(caller); }
    auto open_server(connection_id connection, const backend_server& server, const account_id& who)
        -> void override {
        opened[connection] = server.id;
        opened_for[connection] = who;
        opening.push_back(connection);
    }
    auto send_server(connection_id connection, const server_request& request) -> void override {
        requests.push_back({connection, request});
    }
    auto close_server(connection_id connection) -> void override { closed_servers.push_back(connection); }
    auto send_token_requests() -> void override { asked = true; }
    auto log(log_level /*level*/, log_event event, const std::vector<log_field>& /*fields*/)
        -> void override {
        events.push_back(event);
    }

    std::vector<caller_id> accepted;
    std::vector<session_failure> rejected;
    std::map<caller_id, std::vector<session_answer>> answers;
    std::vector<caller_id> closed;
    std::map<connection_id, server_id> opened;
    std::map<connection_id, account_id> opened_for;
    std::deque<connection_id> opening;
    std::deque<sent> requests;
    std::vector<connection_id> closed_servers;
    std::vector<log_event> events;
    bool asked = false;
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

auto query(session_verb verb, const std::string& id, const std::string& text) -> session_statement {
    return {id, verb, text, {}, {}};
}

auto ok(transaction_state state, std::optional<position> at = std::nullopt) -> session_answer {
    auto it = session_answer{};
    it.signature = "signed";
    it.state = state;
    it.reached = at;
    return it;
}

auto refused(session_error code, transaction_state state) -> session_answer {
    auto it = session_answer{};
    it.error = session_failure{code, "x"};
    it.state = state;
    return it;
}

} // namespace

// Scenario: one instance in front of a primary and a replica; callers "1" and "2" hold sessions.
struct session_proxy_base : Utest {
    time_point now{1h};
    recorded_effects effects;
    metrics counters;
    session_proxy proxy{failure_domain{"a"}, effects, counters};

    auto view(std::uint64_t generation, const server_id& leader, bool changing = false) -> primary_view {
        return {group, leader, generation, changing, changing ? time_point{} : now + 2s};
    }

    void setup() override {
        proxy.set_rules(now, make_rules(1));
        proxy.set_servers(now, {make_server(primary), make_server(replica)});
        proxy.set_primary(now, view(1, primary));
        proxy.add_position(now, group, now - 500ms, {3, 100});
    }

    auto start(caller_id caller, const std::string& database) -> void {
        proxy.on_start(now, caller, database, "k1");
    }

    /// Opens all connections that are being opened.
    auto open_all() -> void {
        while (!effects.opening.empty()) {
            const auto id = effects.opening.front();
            effects.opening.pop_front();
            proxy.on_server_opened(now, id);
        }
    }

    /// The next request to a server; a request that was not expected fails the test.
    auto next_request() -> recorded_effects::sent {
        CHECK_FALSE(effects.requests.empty());
        if (effects.requests.empty()) {
            return {};
        }
        auto it = effects.requests.front();
        effects.requests.pop_front();
        return it;
    }

    auto reply(connection_id id, const session_answer& answer) -> void {
        proxy.on_server_answer(now, id, answer);
    }

    auto last_answer(caller_id caller) -> session_answer {
        CHECK_FALSE(effects.answers[caller].empty());
        return effects.answers[caller].empty() ? session_answer{} : effects.answers[caller].back();
    }

    auto last_code(caller_id caller) -> std::string {
        const auto it = last_answer(caller);
        return it.error ? std::string{name_of(it.error->code)} : std::string{"ok"};
    }

    /// Begins a transaction on "place" with one write, which has succeeded. Returns its connection.
    auto transaction_with_write() -> connection_id {
        start(1, "place");
        proxy.on_statement(now, 1, query(session_verb::begin, "q1", "BEGIN"));
        proxy.on_statement(now, 1, query(session_verb::write, "q2", "WRITE a b"));
        open_all();
        const auto begin = next_request();
        reply(begin.connection, ok(transaction_state::open, position{3, 100}));
        reply(next_request().connection, ok(transaction_state::open, position{3, 100}));
        return begin.connection;
    }
};

TEST_GROUP_BASE(session_start, session_proxy_base){};

// Guards against sessions for callers whose key is not valid.
TEST(session_start, refuses_an_unknown_key_and_an_unknown_database) {
    proxy.on_start(now, 1, "place", "wrong");
    proxy.on_start(now, 2, "nothing", "k1");
    CHECK_EQUAL(0U, effects.accepted.size());
    CHECK_EQUAL(2U, effects.rejected.size());
    CHECK(effects.rejected.at(0).code == session_error::unauthorised);
    CHECK(effects.rejected.at(1).code == session_error::no_database);
}

// Guards against "no such database" from an instance that has not read the rules yet: it cannot know.
TEST(session_start, waits_for_the_first_rules) {
    auto fresh = session_proxy{failure_domain{"a"}, effects, counters};
    fresh.on_start(now, 1, "place", "k1");
    fresh.on_start(now, 2, "nothing", "k1");
    CHECK_EQUAL(0U, effects.accepted.size() + effects.rejected.size());
    fresh.set_rules(now, make_rules(1));
    CHECK_EQUAL(1U, effects.accepted.size());
    CHECK(effects.rejected.at(0).code == session_error::no_database);

    auto without = session_proxy{failure_domain{"a"}, effects, counters};
    without.on_start(now, 3, "place", "k1");
    now += 1800ms;
    without.on_tick(now);
    CHECK(effects.rejected.back().code == session_error::busy);
}

// Guards against work for a key that was withdrawn while its session was open.
TEST(session_start, refuses_the_next_statement_after_the_key_was_withdrawn) {
    start(1, "place");
    auto rules = make_rules(2);
    rules->keys.clear();
    proxy.set_rules(now, rules);
    proxy.on_statement(now, 1, query(session_verb::read, "q1", "READ a"));
    CHECK_EQUAL(std::string{"unauthorised"}, last_code(1));
    CHECK_EQUAL(1U, effects.closed.size());
    CHECK_EQUAL(0U, effects.opened.size());
}

// Guards against going back to older rules after a stale answer of the store.
TEST(session_start, keeps_newer_rules_when_older_ones_arrive_late) {
    proxy.set_rules(now, make_rules(5));
    auto old = make_rules(4);
    old->routes.clear();
    proxy.set_rules(now, old);
    start(1, "place");
    CHECK_EQUAL(1U, effects.accepted.size());
}

TEST_GROUP_BASE(session_writes, session_proxy_base){};

// Guards against a second run of a write whose first run may have happened.
TEST(session_writes, end_in_doubt_and_are_not_repeated_when_the_connection_is_lost) {
    start(1, "place");
    proxy.on_statement(now, 1, query(session_verb::write, "q1", "WRITE a b"));
    open_all();
    const auto sent = next_request();
    CHECK_EQUAL(std::string{"WRITE a b"}, sent.request.text);
    proxy.on_server_lost(now, sent.connection, connection_loss::closed);
    CHECK_EQUAL(std::string{"in-doubt"}, last_code(1));
    now += 3s;
    proxy.on_tick(now);
    CHECK_EQUAL(0U, effects.requests.size());
}

// Guards against a refusal to the caller although the server certainly did not run the write and can take it
// soon.
TEST(session_writes, are_placed_again_after_the_server_was_full) {
    start(1, "place");
    proxy.on_statement(now, 1, query(session_verb::write, "q1", "WRITE a b"));
    open_all();
    reply(next_request().connection, refused(session_error::busy, transaction_state::idle));
    now += 30ms;
    proxy.on_tick(now);
    reply(next_request().connection, ok(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"ok"}, last_code(1));
}

// Guards against a refusal while a server is full for a moment, and against a full server that is offered the
// same statement without a pause.
TEST(session_writes, are_offered_to_a_full_server_with_growing_pauses) {
    start(1, "place");
    proxy.on_statement(now, 1, query(session_verb::write, "q1", "WRITE a b"));
    open_all();
    auto tries = 0;
    for (const auto full_until = now + 100ms; now < full_until; now += 10ms) {
        while (!effects.requests.empty()) {
            ++tries;
            reply(next_request().connection, refused(session_error::busy, transaction_state::idle));
        }
        proxy.on_tick(now);
    }
    CHECK_EQUAL(0U, effects.answers[1].size());
    CHECK_EQUAL(3, tries); // after 0, 20 and 60 ms
    now += 80ms;
    proxy.on_tick(now);
    reply(next_request().connection, ok(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"ok"}, last_code(1));
}

// Guards against acknowledging a write of a primary that may have been replaced before it committed.
TEST(session_writes, are_in_doubt_when_the_permission_ran_out_before_the_answer) {
    start(1, "place");
    proxy.on_statement(now, 1, query(session_verb::write, "q1", "WRITE a b"));
    open_all();
    const auto sent = next_request();
    now += 2s;
    reply(sent.connection, ok(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"in-doubt"}, last_code(1));
}

// Guards against two mistakes in a change of primary: success after the permission was given back, and giving
// it back while the outcome of a write is still open.
TEST(session_writes, delay_giving_back_the_permission_and_then_end_in_doubt) {
    start(1, "place");
    proxy.on_statement(now, 1, query(session_verb::write, "q1", "WRITE a b"));
    open_all();
    const auto sent = next_request();
    proxy.set_primary(now, view(2, primary, true));
    CHECK_FALSE(proxy.has_released(group, 2));
    now += 400ms;
    proxy.on_tick(now);
    CHECK_TRUE(proxy.has_released(group, 2));
    reply(sent.connection, ok(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"in-doubt"}, last_code(1));
}

// Guards against losing a success that is still covered by the permission.
TEST(session_writes, succeed_while_the_permission_is_not_given_back_yet) {
    start(1, "place");
    proxy.on_statement(now, 1, query(session_verb::write, "q1", "WRITE a b"));
    open_all();
    const auto sent = next_request();
    proxy.set_primary(now, view(2, primary, true));
    now += 100ms;
    reply(sent.connection, ok(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"ok"}, last_code(1));
    CHECK_TRUE(proxy.has_released(group, 2));
}

// Guards against writes at a server that this instance may not take for the primary.
TEST(session_writes, wait_without_a_permission_and_are_refused_as_not_run) {
    proxy.set_primary(now, view(2, primary, true));
    start(1, "place");
    proxy.on_statement(now, 1, query(session_verb::write, "q1", "WRITE a b"));
    open_all();
    CHECK_EQUAL(0U, effects.requests.size());
    now += 700ms;
    proxy.on_tick(now);
    CHECK_EQUAL(std::string{"busy"}, last_code(1));
}

// Scenario: the permission runs out while no change of primary is under way: this instance has lost the store
// and the coordinator.
TEST_GROUP_BASE(session_cut_off, session_proxy_base){auto lose_permission()->void{proxy.on_tick(now);
now += 2100ms;
proxy.on_tick(now);
}
}
;

// Guards against callers that are held here although other instances can serve them.
TEST(session_cut_off, refuses_at_once_what_needs_the_primary) {
    start(1, "place");
    start(2, "place");
    lose_permission();
    proxy.on_statement(now, 1, query(session_verb::write, "q1", "WRITE a b"));
    CHECK_EQUAL(0U, effects.answers[1].size()); // the permission may come back at any moment
    now += 350ms;
    proxy.on_tick(now);
    CHECK_EQUAL(std::string{"busy"}, last_code(1));
    proxy.on_statement(now, 2, query(session_verb::write, "q2", "WRITE a b"));
    CHECK_EQUAL(std::string{"busy"}, last_code(2));
    CHECK_EQUAL(0U, effects.requests.size());
}

// Guards against callers that wait for a token of their account first, only to be told that their account is
// over its rate: an instance that is cut off does not reach the coordinator of the rates either.
TEST(session_cut_off, refuses_before_it_looks_at_the_rate) {
    const auto limited = make_rules(2);
    limited->accounts[account] = {account, {0.1, 1}};
    proxy.set_rules(now, limited);
    start(1, "place");
    lose_permission();
    now += 350ms;
    proxy.on_tick(now);
    proxy.on_statement(now, 1, query(session_verb::write, "q1", "WRITE a b"));
    CHECK_EQUAL(std::string{"busy"}, last_code(1));
    CHECK(last_answer(1).error->text.find("cut off") != std::string::npos);
}

// Guards against callers with little time that are held for a token, while the coordinator of the rates is
// away, until an instance that has one could not answer in time any more.
TEST(session_cut_off, holds_callers_for_a_token_only_a_part_of_their_time) {
    const auto limited = make_rules(2);
    limited->accounts[account] = {account, {0.1, 1}};
    proxy.set_rules(now, limited);
    start(1, "place"); // a second for a statement
    proxy.on_statement(now, 1, query(session_verb::write, "q1", "WRITE a b"));
    CHECK_EQUAL(0U, effects.answers[1].size());
    now += 130ms;
    proxy.on_tick(now);
    CHECK_EQUAL(std::string{"busy"}, last_code(1));
}

// Guards against refusals of reads that a replica can serve with the evidence that is left.
TEST(session_cut_off, goes_on_with_reads_while_there_is_evidence) {
    start(1, "approve");
    lose_permission();
    now += 350ms;
    proxy.add_position(now, group, now - 1s, {3, 110});
    proxy.on_statement(now, 1, query(session_verb::read, "q1", "READ a"));
    open_all();
    CHECK(effects.opened.at(next_request().connection) == replica);
}

// Guards against an instance that takes callers although it can serve none, and against one that stays away
// after it can.
TEST(session_cut_off, takes_no_callers_until_the_permission_is_back) {
    start(1, "place");
    lose_permission();
    CHECK_TRUE(proxy.can_serve(now));
    now += 1100ms;
    proxy.on_tick(now);
    CHECK_FALSE(proxy.can_serve(now));
    proxy.on_statement(now, 1, query(session_verb::write, "q1", "WRITE a b"));
    CHECK_EQUAL(1U, effects.closed.size());
    proxy.set_primary(now, view(1, primary));
    proxy.on_tick(now);
    CHECK_TRUE(proxy.can_serve(now));
}

// Guards against refusals of what has waited for a change of primary, at the moment in which the change ends.
TEST(session_cut_off, does_not_follow_from_a_change_of_primary_that_ends) {
    proxy.on_tick(now);
    proxy.set_primary(now, view(2, primary, true));
    proxy.on_tick(now);
    start(1, "place");
    start(2, "place");
    proxy.on_statement(now, 1, query(session_verb::write, "q1", "WRITE a b"));
    now += 500ms;
    proxy.on_tick(now);
    proxy.set_primary(now, view(2, replica));
    proxy.on_tick(now);
    CHECK_EQUAL(0U, effects.answers[1].size());
    // The same without a permission yet: it is missing from now on.
    proxy.set_primary(now, view(3, primary, true));
    proxy.on_tick(now);
    now += 500ms;
    proxy.on_statement(now, 2, query(session_verb::write, "q2", "WRITE a b"));
    proxy.set_primary(now, {group, primary, 3, false, {}});
    proxy.on_tick(now);
    CHECK_EQUAL(0U, effects.answers[2].size());
}

// Guards against "in doubt" for a write that waited for the change and ran at the new primary only.
TEST(session_writes, that_waited_for_a_change_of_primary_succeed_at_the_new_one) {
    proxy.set_primary(now, view(2, primary, true));
    start(1, "place");
    proxy.on_statement(now, 1, query(session_verb::write, "q1", "WRITE a b"));
    now += 500ms;
    proxy.on_tick(now);
    proxy.set_primary(now, view(2, replica));
    open_all();
    reply(next_request().connection, ok(transaction_state::idle, position{4, 101}));
    CHECK_EQUAL(std::string{"ok"}, last_code(1));
}

// Guards against an instance that is taken away during a change of primary, which meets all instances alike.
TEST(session_cut_off, is_not_a_change_of_primary) {
    proxy.on_tick(now);
    proxy.set_primary(now, view(2, primary, true));
    proxy.on_tick(now);
    now += 5s;
    proxy.on_tick(now);
    CHECK_TRUE(proxy.can_serve(now));
}

TEST_GROUP_BASE(session_transactions, session_proxy_base){};

// Guards against statements of one transaction on several connections, and against work that is begun for
// nothing.
TEST(session_transactions, begin_at_the_server_with_their_first_statement_and_stay_on_its_connection) {
    start(1, "place");
    proxy.on_statement(now, 1, query(session_verb::begin, "q1", "BEGIN"));
    CHECK(last_answer(1).state == transaction_state::open);
    CHECK_EQUAL(0U, effects.opened.size());
    proxy.on_statement(now, 1, query(session_verb::write, "q2", "WRITE a b"));
    open_all();
    const auto begin = next_request();
    CHECK(begin.request.action == server_action::begin);
    CHECK_TRUE(effects.requests.empty()); // the write waits until the transaction has begun
    reply(begin.connection, ok(transaction_state::open, position{3, 100}));
    const auto write = next_request();
    CHECK_EQUAL(begin.connection, write.connection);
    reply(write.connection, ok(transaction_state::open, position{3, 100}));
    start(2, "place");
    proxy.on_statement(now, 2, query(session_verb::read, "q3", "READ a"));
    open_all();
    CHECK(next_request().connection != begin.connection);
    proxy.on_statement(now, 1, query(session_verb::commit, "q4", "COMMIT"));
    const auto commit = next_request();
    CHECK_EQUAL(begin.connection, commit.connection);
    CHECK_EQUAL(std::string{"COMMIT"}, commit.request.text);
    reply(commit.connection, ok(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"ok"}, last_code(1));
    CHECK(last_answer(1).state == transaction_state::idle);
}

// Guards against "not run" after a commit was sent, and "in doubt" before.
TEST(session_transactions, are_aborted_before_the_commit_and_in_doubt_after_it) {
    auto connection = transaction_with_write();
    proxy.on_statement(now, 1, query(session_verb::read, "q3", "READ a"));
    proxy.on_server_lost(now, connection, connection_loss::closed);
    CHECK_EQUAL(std::string{"aborted"}, last_code(1));
    CHECK(last_answer(1).state == transaction_state::failed);
    proxy.on_statement(now, 1, query(session_verb::rollback, "q4", "ROLLBACK"));
    CHECK(last_answer(1).state == transaction_state::idle);

    effects.requests.clear();
    proxy.on_caller_closed(now, 1);
    now += 2s;
    proxy.set_primary(now, view(1, primary));
    connection = transaction_with_write();
    proxy.on_statement(now, 1, query(session_verb::commit, "q5", "COMMIT"));
    proxy.on_server_lost(now, connection, connection_loss::closed);
    CHECK_EQUAL(std::string{"in-doubt"}, last_code(1));
    CHECK(last_answer(1).state == transaction_state::idle);
}

// Guards against a commit at a primary that is being replaced.
TEST(session_transactions, are_aborted_when_their_primary_is_being_replaced) {
    const auto connection = transaction_with_write();
    proxy.set_primary(now, view(2, primary, true));
    CHECK(next_request().request.action == server_action::rollback);
    proxy.on_statement(now, 1, query(session_verb::commit, "q3", "COMMIT"));
    CHECK_EQUAL(std::string{"aborted"}, last_code(1));
    CHECK_TRUE(effects.requests.empty());
    CHECK(connection != 0);
}

// Guards against a transaction that keeps its connection, and its locks, after its caller left.
TEST(session_transactions, are_rolled_back_when_the_caller_leaves) {
    const auto connection = transaction_with_write();
    proxy.on_caller_closed(now, 1);
    const auto sent = next_request();
    CHECK_EQUAL(connection, sent.connection);
    CHECK(sent.request.action == server_action::rollback);
    reply(connection, ok(transaction_state::idle));
    CHECK_EQUAL(0U, effects.closed_servers.size());
}

// Guards against a crash and a lost connection when the caller leaves while its statement runs and the server
// then refuses it.
TEST(session_transactions, give_the_connection_up_when_a_statement_fails_after_the_caller_left) {
    const auto connection = transaction_with_write();
    proxy.on_statement(now, 1, query(session_verb::read, "q3", "READ a"));
    next_request();
    proxy.on_caller_closed(now, 1);
    reply(connection, refused(session_error::failed, transaction_state::failed));
    CHECK_EQUAL(1U, effects.closed_servers.size());
    CHECK_EQUAL(connection, effects.closed_servers.front());
}

// Guards against transactions that hold a connection while their caller does nothing.
TEST(session_transactions, are_ended_after_their_idle_time) {
    const auto connection = transaction_with_write();
    now += 4s;
    proxy.set_primary(now, view(1, primary));
    proxy.on_tick(now);
    CHECK_EQUAL(connection, next_request().connection);
    proxy.on_statement(now, 1, query(session_verb::commit, "q3", "COMMIT"));
    CHECK_EQUAL(std::string{"aborted"}, last_code(1));
}

TEST_GROUP_BASE(session_reads, session_proxy_base){};

// Guards against reads at a replica without evidence of their age.
TEST(session_reads, carry_a_position_to_the_replica) {
    start(1, "browse");
    proxy.on_statement(now, 1, query(session_verb::read, "q1", "READ a"));
    open_all();
    const auto sent = next_request();
    CHECK(effects.opened.at(sent.connection) == replica);
    CHECK_TRUE(sent.request.required_position.has_value());
    CHECK_EQUAL(100U, sent.request.required_position->log);
}

// Guards against reads that are staler than the route allows when no primary has stated a position lately.
TEST(session_reads, use_the_primary_alone_when_the_evidence_is_too_old) {
    now += 1900ms;
    start(1, "browse");
    proxy.on_statement(now, 1, query(session_verb::read, "q1", "READ a"));
    open_all();
    const auto sent = next_request();
    CHECK(effects.opened.at(sent.connection) == primary);
    CHECK_FALSE(sent.request.required_position.has_value());
}

// Guards against a read that does not see the session's own write.
TEST(session_reads, ask_the_replica_for_the_sessions_own_write) {
    start(1, "approve");
    proxy.on_statement(now, 1, query(session_verb::write, "q1", "WRITE a b"));
    open_all();
    reply(next_request().connection, ok(transaction_state::idle, position{3, 140}));
    effects.requests.clear();
    proxy.on_statement(now, 1, query(session_verb::read, "q2", "READ a"));
    open_all();
    const auto sent = next_request();
    if (effects.opened.at(sent.connection) == replica) {
        CHECK_EQUAL(140U, sent.request.required_position->log);
    }
    // A replica that lacks it is not asked again; the primary has it.
    reply(sent.connection, refused(session_error::lagging, transaction_state::idle));
    open_all();
    const auto again = next_request();
    CHECK(effects.opened.at(again.connection) == primary);
}

// Guards against reads that wait for a dead server although another one can serve them.
TEST(session_reads, move_to_another_server_when_theirs_is_lost) {
    start(1, "browse");
    proxy.on_statement(now, 1, query(session_verb::read, "q1", "READ a"));
    open_all();
    const auto sent = next_request();
    proxy.on_server_lost(now, sent.connection, connection_loss::closed);
    open_all();
    const auto again = next_request();
    CHECK(effects.opened.at(again.connection) != effects.opened.at(sent.connection));
    reply(again.connection, ok(transaction_state::idle));
    CHECK_EQUAL(std::string{"ok"}, last_code(1));
}

// Guards against connections that are set aside for statements that the queue does not start, and a crash
// when their answers arrive: the queue looks at one statement of each client account before it starts one.
TEST(session_reads, of_several_accounts_take_one_connection_each) {
    auto rules = make_rules(2);
    for (const auto* name : {"a", "b", "c"}) {
        rules->accounts[account_id{name}] = {account_id{name}, {0, 0}};
        rules->keys[name] = account_id{name};
    }
    proxy.set_rules(now, rules);
    proxy.set_servers(now, {make_server(primary)});
    auto caller = caller_id{1};
    auto answered = 0;
    const auto ask_all = [&] {
        for (const auto* name : {"a", "b", "c"}) {
            proxy.on_start(now, caller, "place", name);
            proxy.on_statement(now, caller,
                               query(session_verb::read, "q" + std::to_string(caller), "READ a"));
            ++caller;
        }
    };
    const auto answer_all = [&] {
        open_all();
        while (!effects.requests.empty()) {
            reply(next_request().connection, ok(transaction_state::idle, position{4, 100}));
            ++answered;
            open_all(); // a statement may have had another account's idle connection closed for one of its
                        // own
        }
    };
    ask_all();
    answer_all();
    // Statements queue while the primary is being replaced; then all accounts have idle connections at once.
    proxy.set_primary(now, view(2, primary, true));
    ask_all();
    ask_all();
    proxy.set_primary(now, view(2, primary));
    CHECK_EQUAL(3U, effects.requests.size());
    answer_all();
    CHECK_EQUAL(9, answered);
    for (const auto& [id, server] : effects.opened) {
        proxy.on_server_lost(now, id, connection_loss::closed);
    }
    CHECK_EQUAL(0, std::count(effects.events.begin(), effects.events.end(), log_event::server_unusable));
}

TEST_GROUP_BASE(session_state, session_proxy_base){};

// Guards against statements that run under another session's values or prepared statements.
TEST(session_state, is_given_to_the_connection_before_the_statement) {
    start(1, "place");
    proxy.on_statement(now, 1, {"q1", session_verb::set_value, "SET zone a", "zone", "a"});
    proxy.on_statement(now, 1, {"q2", session_verb::prepare_read, "PREPARE x READ shape", "x", "shape"});
    proxy.on_statement(now, 1, {"q3", session_verb::execute, "EXECUTE x 1", "x", "1"});
    open_all();
    const auto set = next_request();
    const auto prepare = next_request();
    CHECK(set.request.action == server_action::set_value);
    CHECK(prepare.request.action == server_action::prepare_read);
    CHECK_TRUE(effects.requests.empty());
    reply(set.connection, ok(transaction_state::idle));
    reply(set.connection, ok(transaction_state::idle));
    const auto execute = next_request();
    CHECK_EQUAL(prepare.request.name, execute.request.name);
    CHECK_EQUAL(std::string{"1"}, execute.request.text);
    reply(set.connection, ok(transaction_state::idle, position{3, 100}));

    // Another session has no values: the connection is reset before it is used.
    start(2, "place");
    proxy.on_statement(now, 2, query(session_verb::read, "q4", "READ a"));
    const auto reset = next_request();
    CHECK_EQUAL(set.connection, reset.connection);
    CHECK(reset.request.action == server_action::reset);
}

// Guards against a statement that is sent although the session's state could not be set.
TEST(session_state, keeps_the_statement_back_when_it_cannot_be_given) {
    start(1, "place");
    proxy.on_statement(now, 1, {"q1", session_verb::set_value, "SET zone a", "zone", "a"});
    proxy.on_statement(now, 1, query(session_verb::write, "q2", "WRITE a b"));
    open_all();
    const auto set = next_request();
    reply(set.connection, refused(session_error::failed, transaction_state::idle));
    CHECK_EQUAL(1U, effects.closed_servers.size());
    open_all();
    CHECK(next_request().request.action == server_action::set_value);
}

// Guards against work of one client account on a connection that was opened for another.
TEST(session_state, is_not_shared_between_client_accounts) {
    auto rules = make_rules(2);
    rules->accounts[account_id{"shop"}] = {account_id{"shop"}, {0, 0}};
    rules->keys["k2"] = account_id{"shop"};
    proxy.set_rules(now, rules);
    start(1, "place");
    proxy.on_statement(now, 1, query(session_verb::read, "q1", "READ a"));
    open_all();
    const auto first = next_request();
    reply(first.connection, ok(transaction_state::idle, position{3, 100}));
    proxy.on_start(now, 2, "place", "k2");
    proxy.on_statement(now, 2, query(session_verb::read, "q2", "READ a"));
    open_all();
    const auto second = next_request();
    CHECK(first.connection != second.connection);
    CHECK(effects.opened_for.at(second.connection) == account_id{"shop"});
}

TEST_GROUP_BASE(session_leaving, session_proxy_base){};

// Guards against a graceful end that cuts a statement or an open transaction.
TEST(session_leaving, closes_sessions_when_they_are_idle_and_lets_transactions_end) {
    transaction_with_write();
    start(2, "browse");
    proxy.begin_shutdown(now, 3s);
    now += 500ms;
    proxy.on_tick(now);
    CHECK_EQUAL(1U, effects.closed.size());
    CHECK_EQUAL(2U, effects.closed.front());
    proxy.on_statement(now, 1, query(session_verb::commit, "q3", "COMMIT"));
    reply(next_request().connection, ok(transaction_state::idle, position{3, 101}));
    CHECK_EQUAL(std::string{"ok"}, last_code(1));
    CHECK_EQUAL(2U, effects.closed.size());
}
