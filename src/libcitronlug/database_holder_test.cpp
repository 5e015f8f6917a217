#include <citronlug/testing.h>

#include "holder_test_group.h"

using namespace citronlug;
using namespace citronlug::testing;

/// A group of three members and a holder that knows them.
TEST_GROUP_BASE(held_database, citronlug::testing::test_base) {
    fake_group group{1};

    auto setup()->void override {
        group.start();
        group.step(1s);
    }
    auto teardown()->void override {
        CHECK_TEXT(group.faults.empty(), (group.faults.empty() ? "" : group.faults[0].c_str()));
    }

    auto ask(request work, duration wait = 500ms)->answer {
        const auto handle = group.send(std::move(work));
        group.step(wait);
        const auto* const found = group.answer_to(handle);
        return found != nullptr ? *found
                                : answer{verdict::unknown, failure{failure_code::bad_request, "no answer"}};
    }
    auto deadline(duration span = 400ms) const->time_point {
        return group.now + span;
    }
    static auto is(const answer& value, verdict outcome, failure_code code)->bool {
        return value.outcome == outcome && value.error && value.error->code == code;
    }
};

// Guards against a holder that does not find the primary or deliver answers.
TEST(held_database, runs_a_write_and_reads_it_back) {
    const auto written = ask(write_request(deadline(), "w1"));
    CHECK(written.outcome == verdict::done);
    CHECK_EQUAL(1U, written.rows.affected);
    auto work = read_request(deadline());
    work.session = written.reached;
    const auto read = ask(work);
    CHECK(read.outcome == verdict::done);
    CHECK(group.snapshots[group.snapshots.size()].contains("w1"));
    CHECK(read.reached >= written.reached);
}

// Guards against reads that put load on the primary although a replica would do.
TEST(held_database, serves_stale_tolerant_reads_from_replicas_and_states_their_age) {
    const auto read = ask(read_request(deadline(), 2s));
    CHECK(read.outcome == verdict::done);
    CHECK(read.from_replica);
    CHECK(read.data_age > 0s);
    CHECK(read.data_age <= 2s);
}

// Guards against a refusal where a wait for the replica or the primary would do.
TEST(held_database, falls_back_to_the_primary_when_replicas_are_too_old) {
    group.members[1].lag = group.members[2].lag = 10s;
    CHECK(ask(write_request(deadline(), "w1")).outcome == verdict::done);
    group.step(1s);
    const auto read = ask(read_request(deadline(), 300ms));
    CHECK(read.outcome == verdict::done);
    CHECK(!read.from_replica);
}

// Guards against a second run of a request whose first answer was lost.
TEST(held_database, answers_a_repeated_request_id_from_its_row) {
    const auto first = ask(write_request(deadline(), "w1"));
    const auto second = ask(write_request(deadline(), "w1"));
    CHECK(second.outcome == verdict::done);
    CHECK(second.replayed);
    CHECK(second.reached >= first.reached);
    auto other = write_request(deadline(), "w1");
    other.body.parameters = {"w2", "w2"};
    CHECK(is(ask(other), verdict::not_run, failure_code::bad_request));
}

// Guards against two requests with one id that run side by side.
TEST(held_database, refuses_a_second_request_while_the_first_runs) {
    group.service = 50ms;
    const auto first = group.send(write_request(deadline(), "w1"));
    const auto second = group.send(write_request(deadline(), "w1"));
    CHECK(group.answer_to(second) != nullptr &&
          is(*group.answer_to(second), verdict::unknown, failure_code::duplicate_running));
    group.step(300ms);
    CHECK(group.answer_to(first)->outcome == verdict::done);
}

// Guards against a caller that breaks out of its transaction or forges request rows.
TEST(held_database, refuses_transaction_control_and_reserved_names) {
    for (const auto* text : {"COMMIT", " /* a */ rollback", "-- x\nSET a = 1", "END", "SELECT 1; COMMIT", "",
                             "DELETE FROM Citronlug_Requests", "SELECT citronlug_promote('1')",
                             "SELECT set_config('a', 'b', false)", "CREATE TEMP TABLE a (b int)"}) {
        auto work = write_request(deadline(), "w1");
        work.body.text = text;
        CHECK(is(ask(work, 0ms), verdict::not_run, failure_code::bad_request));
    }
    auto read = read_request(deadline());
    read.body.text = "WITH x AS (DELETE FROM a RETURNING *) SELECT * FROM x";
    CHECK(is(ask(read, 0ms), verdict::not_run, failure_code::bad_request));
    read.body.text = "SELECT 'COMMIT; citron' AS \"end\"";
    CHECK(ask(read).outcome == verdict::done);
}

// Guards against reuse of a connection that had an error.
TEST(held_database, reports_a_refused_statement_as_not_run_and_closes_its_connection) {
    auto work = write_request(deadline(), "w1");
    work.body = {"INSERT INTO nowhere", {}};
    CHECK(is(ask(work), verdict::not_run, failure_code::statement_failed));
    for (const auto& it : group.sent) {
        for (const auto& text : it.statements) {
            if (text.text == "INSERT INTO nowhere") {
                CHECK(!group.connections[it.connection].open);
            }
        }
    }
}

// Guards against "not run" for a write whose connection failed after it was sent, and against a second run.
TEST(held_database, looks_up_a_write_whose_connection_was_lost) {
    group.service = 20ms;
    const auto handle = group.send(write_request(deadline(1s), "w1"));
    group.step(21ms); // committed, but the result is under way
    const auto connection = group.sent.back().connection;
    group.step(300us);
    group.report_lost(connection);
    group.step(600ms);
    const auto* const found = group.answer_to(handle);
    CHECK(found->outcome == verdict::done || found->outcome == verdict::unknown);
    CHECK_EQUAL(group.members[0].has("w1"), found->outcome == verdict::done);
}

// Guards against "not run" for a retried write that waits in the queue when its deadline passes.
TEST(held_database, does_not_call_a_retried_write_not_run) {
    group.service = 20ms;
    const auto handle = group.send(write_request(deadline(), "w1", true));
    while (!group.members[0].has("w1")) {
        group.step(100us);
    }
    group.connections[group.sent.back().connection].silent = true;
    group.crash(0); // the answer is lost, and there is no primary until the deadline
    group.step(1s);
    CHECK(group.answer_to(handle)->outcome == verdict::unknown);
}

// Guards against a late result that is taken for the result of the next statement on its connection.
TEST(held_database, discards_a_result_of_an_earlier_statement) {
    CHECK(ask(read_request(deadline())).outcome == verdict::done);
    const auto earlier = group.sent.back();
    auto work = read_request(deadline());
    work.body.parameters = {"mine"};
    const auto handle = group.send(work);
    const auto now_running = group.sent.back();
    CHECK_EQUAL(earlier.connection, now_running.connection);
    group.holder->on_pipeline(group.now, earlier.connection, earlier.sequence,
                              {pipeline_status::finished, {{{"echo"}, {{"other"}}}}, "", ""});
    group.step(100ms);
    CHECK(group.answer_to(handle)->rows.rows[0][0] == "mine");
}

// Guards against work that starts between the end of the lease and the next timer.
TEST(held_database, starts_nothing_after_the_lease_has_ended) {
    group.service = 20ms;
    group.renew_authority = false;
    group.holder->set_authority(group.now + 10ms);
    auto handle = request_handle{0};
    for (auto n = 0; n <= group.settings.slots; ++n) {
        handle = group.send(write_request(deadline(), fmt::format("w{}", n)));
    }
    group.step(1s);
    CHECK(is(*group.answer_to(handle), verdict::not_run, failure_code::no_authority));
    CHECK(!group.members[0].has(fmt::format("w{}", group.settings.slots)));
}

// Guards against a slot that is used again while the statement of a closed connection may still run.
TEST(held_database, keeps_the_slot_of_a_statement_that_was_given_up) {
    group.settings.slots = 2;
    group.holder->update_settings(group.now, group.settings);
    for (auto& [number, it] : group.connections) {
        it.silent = it.member == 0;
    }
    for (auto n = 0; n < group.settings.slots; ++n) {
        group.send(read_request(deadline(50ms)));
    }
    group.step(200ms); // all given up, their connections closed
    const auto before = group.sent.size();
    group.send(read_request(deadline(100ms)));
    group.step(50ms);
    CHECK_EQUAL(before, group.sent.size());
    group.step(2s);
    CHECK(ask(read_request(deadline())).outcome == verdict::done);
}

// Guards against a caller that hangs on a connection that went silent while new ones work.
TEST(held_database, gives_up_a_silent_connection) {
    for (auto& [number, it] : group.connections) {
        it.silent = it.member == 0;
    }
    const auto handle = group.send(write_request(deadline(3s), "w1"));
    const auto read = group.send(read_request(deadline(3s)));
    group.step(3200ms);
    CHECK(group.answer_to(handle)->outcome == verdict::unknown);
    CHECK(group.answer_to(read)->outcome == verdict::done);
    CHECK(!group.saw("primary-suspected"));
}

// Guards against work that starts, or is acknowledged, after the lease has expired.
TEST(held_database, acts_only_with_authority) {
    group.service = 100ms;
    group.renew_authority = false;
    group.holder->set_authority(group.now + 50ms);
    const auto running = group.send(write_request(deadline(1s), "w1"));
    group.step(60ms);
    CHECK(is(ask(write_request(deadline(), "w2")), verdict::not_run, failure_code::no_authority));
    CHECK(is(*group.answer_to(running), verdict::unknown, failure_code::no_authority));
}

// Guards against an acknowledgement before a replica has the write.
TEST(held_database, waits_for_a_replica_when_the_route_asks_for_it) {
    auto work = write_request(deadline(1s), "w1");
    work.ack = ack_mode::replica;
    CHECK(ask(work, 100ms).outcome == verdict::done);
    CHECK(group.members[1].has("w1") || group.members[2].has("w1"));
    group.members[1].lag = group.members[2].lag = 10s;
    work.id = request_id{"w2"};
    work.deadline = deadline(300ms);
    CHECK(is(ask(work), verdict::unknown, failure_code::deadline_exceeded));
}

// Guards against a stale read for a session whose write was lost with the old primary.
TEST(held_database, reports_a_lost_session) {
    group.members[1].lag = group.members[2].lag = 1h;
    const auto written = ask(write_request(deadline(), "w1"));
    CHECK(written.outcome == verdict::done);
    group.crash(0);
    group.step(4s);
    CHECK(group.true_primary().id != group.members[0].id);
    for (auto work :
         {read_request(deadline()), read_request(deadline(), 5s), write_request(deadline(), "w2")}) {
        work.session = written.reached;
        work.deadline = deadline();
        CHECK(is(ask(work), verdict::not_run, failure_code::session_lost));
    }
}

// Guards against a new position that hides the loss of the session's earlier write.
TEST(held_database, keeps_a_lost_position_when_a_later_write_outlives_the_change) {
    auto confirmed = write_request(deadline(), "w1");
    confirmed.ack = ack_mode::replica;
    CHECK(ask(confirmed).outcome == verdict::done);
    group.members[1].lag = group.members[2].lag = 1h;
    const auto lost = ask(write_request(deadline(), "w2"));
    auto again = write_request(deadline(4s), "w1"); // a retry that runs into the change of primary
    again.session = lost.reached;
    group.members[0].cut = true;
    const auto value = ask(again, 4s);
    CHECK(value.outcome == verdict::done && value.replayed);
    auto read = read_request(deadline());
    read.session = value.reached;
    CHECK(is(ask(read), verdict::not_run, failure_code::session_lost));
}

// Guards against a full queue that lets callers hang, and against one account that blocks another.
TEST(held_database, refuses_early_and_keeps_accounts_apart) {
    group.service = 50ms;
    const auto flood = [&](int n, duration span) {
        for (; n > 0; --n) {
            auto work = read_request(deadline(span));
            work.account = account_id{"flood"};
            group.send(std::move(work));
        }
    };
    flood(100, 5s); // the holder learns the service time
    group.step(3s);
    group.answers.clear();
    flood(200, 600ms); // fewer than the bound of the queue
    auto refused = 0;
    for (const auto& [handle, value] : group.answers) {
        refused +=
            is(value, verdict::not_run, failure_code::overloaded) && value.error->retry_after > 0s ? 1 : 0;
    }
    CHECK(refused > 100);
    const auto before = group.now;
    const auto handle = group.send(write_request(deadline(600ms), "w1"));
    while (group.answer_to(handle) == nullptr && group.now < before + 1s) {
        group.step(1ms);
    }
    CHECK(group.answer_to(handle)->outcome == verdict::done);
    CHECK(group.now - before < 250ms);
}

// Guards against requests that a graceful shutdown interrupts.
TEST(held_database, drains) {
    group.service = 50ms;
    const auto handle = group.send(write_request(deadline(), "w1"));
    group.holder->start_drain(group.now);
    CHECK(!group.holder->drained());
    CHECK(is(ask(write_request(deadline(), "w2"), 0ms), verdict::not_run, failure_code::shutting_down));
    group.step(300ms);
    CHECK(group.answer_to(handle)->outcome == verdict::done);
    CHECK(group.holder->drained());
}

TEST_GROUP_BASE(open_transactions, TEST_GROUP_CppUTestGroupheld_database) {
    transaction_id open;

    auto setup()->void override {
        TEST_GROUP_CppUTestGroupheld_database::setup();
        open = ask(step(transaction_step::begin)).transaction;
    }
    auto step(transaction_step kind, const std::string& effect = "") const->request {
        auto work = write_request(deadline(), "");
        work.step = kind;
        work.transaction = open;
        work.body =
            effect.empty() ? statement{} : statement{"INSERT INTO effects VALUES ($1, $2)", {effect, "t"}};
        return work;
    }
};

// Guards against a repeated commit that reports failure although the first one succeeded.
TEST(open_transactions, commits_once_and_answers_a_repeated_commit) {
    CHECK(ask(step(transaction_step::run, "a")).outcome == verdict::done);
    CHECK(ask(step(transaction_step::run, "b")).outcome == verdict::done);
    CHECK(!group.members[0].has("a"));
    auto commit = step(transaction_step::commit);
    commit.id = request_id{"c1"};
    CHECK(ask(commit).outcome == verdict::done);
    CHECK(group.members[0].has("a") && group.members[0].has("b"));
    CHECK(!group.connections[group.sent.back().connection].open); // settings of the caller must not stay
    commit.deadline = deadline();
    const auto again = ask(commit);
    CHECK(again.outcome == verdict::done && again.replayed);
    // Under another id there is no row that tells, so "not run" would make the caller run the transaction
    // again.
    commit.id = request_id{"c2"};
    commit.deadline = deadline();
    CHECK(ask(commit).outcome == verdict::unknown);
}

// Guards against an unknown outcome where the holder knows that it rolled the transaction back.
TEST(open_transactions, a_commit_after_a_rollback_is_not_run) {
    CHECK(ask(step(transaction_step::run, "a")).outcome == verdict::done);
    CHECK(ask(step(transaction_step::rollback)).outcome == verdict::done);
    auto commit = step(transaction_step::commit);
    commit.id = request_id{"c1"};
    commit.deadline = deadline();
    CHECK(is(ask(commit), verdict::not_run, failure_code::transaction_ended));
}

// Guards against use of a transaction by another account or key.
TEST(open_transactions, belong_to_the_key_that_began_them) {
    auto work = step(transaction_step::run, "a");
    work.account = account_id{"other"};
    CHECK(is(ask(work), verdict::not_run, failure_code::no_route));
    work = step(transaction_step::run, "a");
    work.key = key_id{"k2"};
    CHECK(is(ask(work), verdict::not_run, failure_code::no_route));
}

// Guards against locks and connections that an abandoned transaction holds for ever.
TEST(open_transactions, are_rolled_back_when_idle_revoked_cancelled_or_without_authority) {
    CHECK(ask(step(transaction_step::run, "a")).outcome == verdict::done);
    group.step(5200ms);
    CHECK_EQUAL(0U, group.holder->status(group.now).open_transactions);
    CHECK(is(ask(step(transaction_step::run, "b")), verdict::not_run, failure_code::transaction_ended));

    open = ask(step(transaction_step::begin)).transaction;
    group.holder->on_key_revoked(group.now, key_id{"k1"});
    CHECK_EQUAL(0U, group.holder->status(group.now).open_transactions);

    open = ask(step(transaction_step::begin)).transaction;
    const auto handle = group.send(step(transaction_step::run, "c"));
    group.holder->on_cancel(group.now, handle);
    CHECK_EQUAL(0U, group.holder->status(group.now).open_transactions);

    open = ask(step(transaction_step::begin)).transaction;
    CHECK_EQUAL(1U, group.holder->status(group.now).open_transactions);
    group.renew_authority = false;
    group.holder->set_authority(group.now);
    group.step(100ms);
    CHECK_EQUAL(0U, group.holder->status(group.now).open_transactions);
    group.step(1s);
    for (const auto* effect : {"a", "b", "c"}) {
        CHECK(!group.members[0].has(effect));
    }
}

// Guards against a statement error that leaves half of a transaction to be committed.
TEST(open_transactions, end_with_a_refused_statement) {
    CHECK(ask(step(transaction_step::run, "a")).outcome == verdict::done);
    auto work = step(transaction_step::run, "b");
    work.body = {"INSERT INTO nowhere", {}};
    CHECK(is(ask(work), verdict::not_run, failure_code::statement_failed));
    CHECK(is(ask(step(transaction_step::commit)), verdict::not_run, failure_code::transaction_ended));
    CHECK(!group.members[0].has("a"));
}

TEST_GROUP_BASE(change_of_primary, TEST_GROUP_CppUTestGroupheld_database){
    auto gap_until_write()->duration{const auto start = group.now;
for (auto n = 0; group.now < start + 10s; ++n) {
    const auto value = ask(write_request(deadline(100ms), fmt::format("gap{}", n)), 100ms);
    if (value.outcome == verdict::done && value.served_by != group.members[0].id) {
        break;
    }
}
return group.now - start;
}
}
;

// Guards against a failover gap above its bound, and against a choice that loses confirmed writes.
TEST(change_of_primary, promotes_the_most_advanced_replica) {
    group.members[1].lag = 1h;
    auto work = write_request(deadline(), "w1");
    work.ack = ack_mode::replica;
    CHECK(ask(work).outcome == verdict::done);
    group.crash(0);
    CHECK(gap_until_write() < 4s);
    CHECK(group.members[2].primary && group.members[2].has("w1"));
    group.members[0].up = true;
    group.members[1].lag = 5ms;
    group.step(4s);
    CHECK(!group.members[0].primary);
    CHECK_EQUAL(group.members[2].log.size(), group.members[0].log.size());
}

// Guards against probes of a quiet database that cost as much as those of a busy one: at 15 a second they
// were 7 KB/s for each held database.
TEST(change_of_primary, a_quiet_database_is_probed_rarely_and_a_busy_one_often) {
    group.step(3s);
    group.probes = 0;
    group.step(8s);
    CHECK(group.probes <= 33); // three members, 800 ms
    const auto start = group.now;
    group.probes = 0;
    while (group.now < start + 4s) {
        (void)ask(write_request(deadline(100ms), fmt::format("busy{}", group.probes)), 50ms);
    }
    CHECK(group.probes >= 34); // primary 200 ms, two replicas 400 ms
}

// Guards against a change of primary that a quiet database needs longer for than the bound of 8 s.
TEST(change_of_primary, of_a_quiet_database_is_over_soon_after_the_first_request) {
    group.step(10s);
    group.crash(0);
    CHECK(gap_until_write() < 4s);
}

// Guards against a holder that is itself cut off and promotes a replica that it happens to reach.
TEST(change_of_primary, needs_most_members) {
    group.members[0].cut = group.members[1].cut = true;
    group.step(6s);
    CHECK_EQUAL(1, group.count("change-impossible")); // a line only when the state changes
    CHECK(!group.saw("promotion-ordered"));
    group.members[1].cut = false;
    group.step(3s);
    CHECK(group.saw("promotion-ordered"));
}

// Guards against a promotion after a pause of this process, whose input is only late.
TEST(change_of_primary, is_not_caused_by_a_pause_of_the_holder) {
    group.pause(1900ms);
    group.step(4s);
    CHECK(!group.saw("promotion-ordered"));
}

// Guards against the same when timers run before the waiting answers are read.
TEST(change_of_primary, needs_silence_while_the_holder_runs) {
    group.renew_authority = false;
    group.holder->set_authority(group.now + 1h);
    group.pause(5s);
    for (const duration wait : {1000ms, 1500ms, 1500ms}) {
        group.step(wait);
        group.holder->on_timer(group.now);
        group.perform();
    }
    group.step(2s);
    CHECK(!group.saw("change-impossible")); // not even suspected
    CHECK(!group.saw("promotion-ordered"));
}

// Guards against a superseded primary that is used again because the answer to the promotion was lost.
TEST(change_of_primary, survives_a_lost_answer_to_the_order) {
    group.lose_promotions = true;
    group.members[0].cut = true;
    group.step(2s);
    group.members[0].cut = false;
    group.step(3s);
    const auto value = ask(write_request(deadline(), "w1"));
    CHECK(value.outcome == verdict::done);
    CHECK(value.served_by == group.true_primary().id);
    CHECK(value.reached.term >= 2);
}

// Guards against two members that are primary in the same term, and against the return to the old one.
TEST(change_of_primary, passes_over_a_term_that_another_member_may_have_taken) {
    group.lose_promotions = true;
    group.members[0].cut = true;
    while (!group.saw("promotion-ordered")) {
        group.step(5ms);
    }
    group.step(2ms);
    auto& lost = group.members[1].primary ? group.members[1] : group.members[2];
    CHECK(lost.primary);
    lost.cut = true;
    group.members[0].cut = false;
    group.lose_promotions = false;
    CHECK(is(ask(write_request(deadline(), "w1")), verdict::not_run, failure_code::no_primary));
    group.step(5s);
    const auto value = ask(write_request(deadline(), "w2"));
    CHECK(value.outcome == verdict::done);
    CHECK(value.reached.term >= 3);
    lost.cut = false;
    group.step(3s);
    CHECK(group.true_primary().has("w2") && !lost.primary);
}

// Guards against two changes within seconds when the new primary is only slow.
TEST(change_of_primary, waits_between_changes) {
    group.members[0].cut = true;
    CHECK(gap_until_write() < 4s);
    const auto term = group.holder->status(group.now).term;
    group.members[0].cut = false;
    group.step(500ms);
    for (auto& it : group.members) {
        it.cut = it.primary && it.known_term == term;
    }
    group.step(3s);
    CHECK_EQUAL(term, group.holder->status(group.now).term);
    group.step(4s);
    CHECK(group.holder->status(group.now).term > term);
}

// Guards against interrupted work when an operator lets a primary leave.
TEST(change_of_primary, hands_over_from_a_leaving_primary) {
    group.service = 20ms;
    const auto running = group.send(write_request(deadline(), "w1"));
    group.settings.leaving = {group.members[0].id};
    group.holder->update_settings(group.now, group.settings);
    const auto waiting = group.send(write_request(deadline(2s), "w2"));
    group.step(1s);
    CHECK(group.answer_to(running)->outcome == verdict::done);
    CHECK(group.answer_to(waiting)->outcome == verdict::done);
    CHECK(group.answer_to(waiting)->served_by != group.members[0].id);
    CHECK(group.true_primary().has("w1") && group.true_primary().has("w2"));
    group.sent.clear();
    for (auto n = 0; n < 20; ++n) {
        group.send(read_request(deadline(), 2s));
    }
    group.step(5s);
    for (const auto& it : group.sent) {
        CHECK(group.connections[it.connection].member != 0);
    }
}

// Guards against acknowledged writes that a hand-over to a lagging replica would lose.
TEST(change_of_primary, hands_over_only_to_a_replica_that_has_everything) {
    group.members[1].lag = group.members[2].lag = 500ms;
    CHECK(ask(write_request(deadline(), "w1"), 100ms).outcome == verdict::done);
    group.settings.leaving = {group.members[0].id};
    group.holder->update_settings(group.now, group.settings);
    group.step(2s);
    CHECK(group.true_primary().id != group.members[0].id);
    CHECK(group.true_primary().has("w1"));
}

// Guards against connections and work that remain with a member that left the rules.
TEST(change_of_primary, follows_new_settings) {
    group.settings.members.pop_back();
    group.holder->update_settings(group.now, group.settings);
    group.step(100ms);
    for (const auto& [number, it] : group.connections) {
        CHECK(it.member != 2 || !it.open);
    }
    CHECK(ask(write_request(deadline(), "w1")).outcome == verdict::done);
}
