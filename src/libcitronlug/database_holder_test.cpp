#include <citronlug/testing.h>

#include "holder_test_group.h"

using namespace citronlug;
using namespace citronlug::testing;

/// A group of three members and a holder that has discovered them.
TEST_GROUP_BASE(held_database, citronlug::testing::test_base) {
    fake_group group{1};

    auto setup()->void override {
        group.start();
        group.advance(1s);
    }
    auto teardown()->void override {
        CHECK_TEXT(group.violations.empty(), (group.violations.empty() ? "" : group.violations[0].c_str()));
    }

    auto send_and_wait(request work, duration wait = 500ms)->answer {
        const auto handle = group.send(std::move(work));
        group.advance(wait);
        const auto* const found = group.answer_to(handle);
        return found != nullptr ? *found
                                : answer{verdict::unknown, failure{failure_code::bad_request, "no answer"}};
    }
    auto deadline(duration span = 400ms) const->time_point {
        return group.now + span;
    }
    static auto failed_with(const answer& value, verdict outcome, failure_code code)->bool {
        return value.outcome == outcome && value.error && value.error->code == code;
    }
};

// Guards against a holder that does not discover the primary or does not deliver answers.
TEST(held_database, runs_a_write_and_reads_it_back) {
    const auto written = send_and_wait(write_request(deadline(), "w1"));
    CHECK(written.outcome == verdict::done);
    CHECK_EQUAL(1U, written.rows.affected);
    auto work = read_request(deadline());
    work.session = written.reached;
    const auto read = send_and_wait(work);
    CHECK(read.outcome == verdict::done);
    CHECK(group.snapshots[group.snapshots.size()].contains("w1"));
    CHECK(read.reached >= written.reached);
}

// Guards against reads that load the primary although a replica could serve them.
TEST(held_database, serves_stale_tolerant_reads_from_replicas_and_states_their_age) {
    const auto read = send_and_wait(read_request(deadline(), 2s));
    CHECK(read.outcome == verdict::done);
    CHECK(read.from_replica);
    CHECK(read.data_age > 0s);
    CHECK(read.data_age <= 2s);
}

// Guards against a refused read that the primary could have served.
TEST(held_database, falls_back_to_the_primary_when_replicas_are_too_old) {
    group.members[1].lag = group.members[2].lag = 10s;
    CHECK(send_and_wait(write_request(deadline(), "w1")).outcome == verdict::done);
    group.advance(1s);
    const auto read = send_and_wait(read_request(deadline(), 300ms));
    CHECK(read.outcome == verdict::done);
    CHECK(!read.from_replica);
}

// Guards against a second execution of a request whose first answer was lost.
TEST(held_database, answers_a_repeated_request_id_from_its_row) {
    const auto first = send_and_wait(write_request(deadline(), "w1"));
    const auto second = send_and_wait(write_request(deadline(), "w1"));
    CHECK(second.outcome == verdict::done);
    CHECK(second.replayed);
    CHECK(second.reached >= first.reached);
    auto other = write_request(deadline(), "w1");
    other.body.parameters = {"w2", "w2"};
    CHECK(failed_with(send_and_wait(other), verdict::not_run, failure_code::bad_request));
}

// Guards against concurrent execution of two requests with the same id.
TEST(held_database, refuses_a_second_request_while_the_first_runs) {
    group.service_time = 50ms;
    const auto first = group.send(write_request(deadline(), "w1"));
    const auto second = group.send(write_request(deadline(), "w1"));
    CHECK(group.answer_to(second) != nullptr &&
          failed_with(*group.answer_to(second), verdict::unknown, failure_code::duplicate_running));
    group.advance(300ms);
    CHECK(group.answer_to(first)->outcome == verdict::done);
}

// Guards against callers that end the surrounding transaction or forge rows of the request table.
TEST(held_database, refuses_transaction_control_and_reserved_names) {
    for (const auto* text : {"COMMIT", " /* a */ rollback", "-- x\nSET a = 1", "END", "SELECT 1; COMMIT", "",
                             "DELETE FROM Citronlug_Requests", "SELECT citronlug_promote('1')",
                             "SELECT set_config('a', 'b', false)", "CREATE TEMP TABLE a (b int)"}) {
        auto work = write_request(deadline(), "w1");
        work.body.text = text;
        CHECK(failed_with(send_and_wait(work, 0ms), verdict::not_run, failure_code::bad_request));
    }
    auto read = read_request(deadline());
    read.body.text = "WITH x AS (DELETE FROM a RETURNING *) SELECT * FROM x";
    CHECK(failed_with(send_and_wait(read, 0ms), verdict::not_run, failure_code::bad_request));
    read.body.text = "SELECT 'COMMIT; citron' AS \"end\"";
    CHECK(send_and_wait(read).outcome == verdict::done);
}

// Guards against reuse of a connection after a statement error.
TEST(held_database, reports_a_refused_statement_as_not_run_and_closes_its_connection) {
    auto work = write_request(deadline(), "w1");
    work.body = {"INSERT INTO nowhere", {}};
    CHECK(failed_with(send_and_wait(work), verdict::not_run, failure_code::statement_failed));
    for (const auto& it : group.sent_pipelines) {
        for (const auto& stmt : it.statements) {
            if (stmt.text == "INSERT INTO nowhere") {
                CHECK(!group.connections[it.connection].open);
            }
        }
    }
}

// Guards against "not run" for a write whose connection failed after it was sent, and against a second
// execution.
TEST(held_database, looks_up_a_write_whose_connection_was_lost) {
    group.service_time = 20ms;
    const auto handle = group.send(write_request(deadline(1s), "w1"));
    group.advance(21ms); // committed, but the result is in transit
    const auto connection = group.sent_pipelines.back().connection;
    group.advance(300us);
    group.report_lost(connection);
    group.advance(600ms);
    const auto* const found = group.answer_to(handle);
    CHECK(found->outcome == verdict::done || found->outcome == verdict::unknown);
    CHECK_EQUAL(group.members[0].has_effect("w1"), found->outcome == verdict::done);
}

// Guards against "not run" for a retried write that is queued when its deadline passes.
TEST(held_database, reports_a_queued_retry_as_unknown_at_its_deadline) {
    group.service_time = 20ms;
    const auto handle = group.send(write_request(deadline(), "w1", true));
    while (!group.members[0].has_effect("w1")) {
        group.advance(100us);
    }
    group.connections[group.sent_pipelines.back().connection].silent = true;
    group.crash(0); // the result is lost, and there is no primary until the deadline
    group.advance(1s);
    CHECK(group.answer_to(handle)->outcome == verdict::unknown);
}

// Guards against a late result that is mistaken for the result of the next statement on the connection.
TEST(held_database, discards_a_result_of_an_earlier_statement) {
    CHECK(send_and_wait(read_request(deadline())).outcome == verdict::done);
    const auto earlier = group.sent_pipelines.back();
    auto work = read_request(deadline());
    work.body.parameters = {"mine"};
    const auto handle = group.send(work);
    const auto now_running = group.sent_pipelines.back();
    CHECK_EQUAL(earlier.connection, now_running.connection);
    group.holder->on_pipeline(group.now, earlier.connection, earlier.sequence,
                              {pipeline_status::finished, {{{"echo"}, {{"other"}}}}, "", ""});
    group.advance(100ms);
    CHECK(group.answer_to(handle)->rows.rows[0][0] == "mine");
}

// Guards against work that starts between expiry of the lease and the next timer.
TEST(held_database, starts_nothing_after_the_lease_has_ended) {
    group.service_time = 20ms;
    group.renew_authority = false;
    group.holder->set_authority(group.now + 10ms);
    auto handle = request_handle{0};
    for (auto n = 0; n <= group.settings.slots; ++n) {
        handle = group.send(write_request(deadline(), fmt::format("w{}", n)));
    }
    group.advance(1s);
    CHECK(failed_with(*group.answer_to(handle), verdict::not_run, failure_code::no_authority));
    CHECK(!group.members[0].has_effect(fmt::format("w{}", group.settings.slots)));
}

// Guards against reuse of a slot while the statement of a closed connection may still run.
TEST(held_database, keeps_the_slot_of_a_timed_out_statement) {
    group.settings.slots = 2;
    group.holder->update_settings(group.now, group.settings);
    for (auto& [number, it] : group.connections) {
        it.silent = it.member == 0;
    }
    for (auto n = 0; n < group.settings.slots; ++n) {
        group.send(read_request(deadline(50ms)));
    }
    group.advance(200ms); // all timed out, connections closed
    const auto before = group.sent_pipelines.size();
    group.send(read_request(deadline(100ms)));
    group.advance(50ms);
    CHECK_EQUAL(before, group.sent_pipelines.size());
    group.advance(2s);
    CHECK(send_and_wait(read_request(deadline())).outcome == verdict::done);
}

// Guards against a request that waits until its deadline on an unresponsive connection while new connections
// work.
TEST(held_database, closes_an_unresponsive_connection) {
    for (auto& [number, it] : group.connections) {
        it.silent = it.member == 0;
    }
    const auto handle = group.send(write_request(deadline(3s), "w1"));
    const auto read = group.send(read_request(deadline(3s)));
    group.advance(3200ms);
    CHECK(group.answer_to(handle)->outcome == verdict::unknown);
    CHECK(group.answer_to(read)->outcome == verdict::done);
    CHECK(!group.has_event("primary-suspected"));
}

// Guards against work that starts, or is acknowledged, after the lease has expired.
TEST(held_database, acts_only_with_authority) {
    group.service_time = 100ms;
    group.renew_authority = false;
    group.holder->set_authority(group.now + 50ms);
    const auto running = group.send(write_request(deadline(1s), "w1"));
    group.advance(60ms);
    CHECK(failed_with(send_and_wait(write_request(deadline(), "w2")), verdict::not_run,
                      failure_code::no_authority));
    CHECK(failed_with(*group.answer_to(running), verdict::unknown, failure_code::no_authority));
}

// Guards against an acknowledgement before a replica has the write.
TEST(held_database, waits_for_replica_confirmation_when_requested) {
    auto work = write_request(deadline(1s), "w1");
    work.ack = ack_mode::replica;
    CHECK(send_and_wait(work, 100ms).outcome == verdict::done);
    CHECK(group.members[1].has_effect("w1") || group.members[2].has_effect("w1"));
    group.members[1].lag = group.members[2].lag = 10s;
    work.id = request_id{"w2"};
    work.deadline = deadline(300ms);
    CHECK(failed_with(send_and_wait(work), verdict::unknown, failure_code::deadline_exceeded));
}

// Guards against silent loss of a session's write together with the old primary.
TEST(held_database, reports_a_lost_session) {
    group.members[1].lag = group.members[2].lag = 1h;
    const auto written = send_and_wait(write_request(deadline(), "w1"));
    CHECK(written.outcome == verdict::done);
    group.crash(0);
    group.advance(4s);
    CHECK(group.true_primary().id != group.members[0].id);
    for (auto work :
         {read_request(deadline()), read_request(deadline(), 5s), write_request(deadline(), "w2")}) {
        work.session = written.reached;
        work.deadline = deadline();
        CHECK(failed_with(send_and_wait(work), verdict::not_run, failure_code::session_lost));
    }
}

// Guards against a newer session position that hides the loss of an earlier write of the session.
TEST(held_database, keeps_a_lost_position_when_a_later_write_survives_failover) {
    auto confirmed = write_request(deadline(), "w1");
    confirmed.ack = ack_mode::replica;
    CHECK(send_and_wait(confirmed).outcome == verdict::done);
    group.members[1].lag = group.members[2].lag = 1h;
    const auto lost = send_and_wait(write_request(deadline(), "w2"));
    auto again = write_request(deadline(4s), "w1"); // a retry during the failover
    again.session = lost.reached;
    group.members[0].partitioned = true;
    const auto value = send_and_wait(again, 4s);
    CHECK(value.outcome == verdict::done && value.replayed);
    auto read = read_request(deadline());
    read.session = value.reached;
    CHECK(failed_with(send_and_wait(read), verdict::not_run, failure_code::session_lost));
}

// Guards against requests that wait in an overloaded queue until their deadline, and against one account that
// delays another.
TEST(held_database, rejects_overload_early_and_isolates_accounts) {
    group.service_time = 50ms;
    const auto flood = [&](int n, duration span) {
        for (; n > 0; --n) {
            auto work = read_request(deadline(span));
            work.account = account_id{"flood"};
            group.send(std::move(work));
        }
    };
    flood(100, 5s); // lets the holder measure the service time
    group.advance(3s);
    group.answers.clear();
    flood(200, 600ms); // fewer than the queue limit
    auto refused = 0;
    for (const auto& [handle, value] : group.answers) {
        refused +=
            failed_with(value, verdict::not_run, failure_code::overloaded) && value.error->retry_after > 0s
                ? 1
                : 0;
    }
    CHECK(refused > 100);
    const auto before = group.now;
    const auto handle = group.send(write_request(deadline(600ms), "w1"));
    while (group.answer_to(handle) == nullptr && group.now < before + 1s) {
        group.advance(1ms);
    }
    CHECK(group.answer_to(handle)->outcome == verdict::done);
    CHECK(group.now - before < 250ms);
}

// Guards against requests that are interrupted by a graceful shutdown.
TEST(held_database, finishes_running_work_before_it_is_drained) {
    group.service_time = 50ms;
    const auto handle = group.send(write_request(deadline(), "w1"));
    group.holder->start_drain(group.now);
    CHECK(!group.holder->drained());
    CHECK(failed_with(send_and_wait(write_request(deadline(), "w2"), 0ms), verdict::not_run,
                      failure_code::shutting_down));
    group.advance(300ms);
    CHECK(group.answer_to(handle)->outcome == verdict::done);
    CHECK(group.holder->drained());
}

TEST_GROUP_BASE(open_transactions, TEST_GROUP_CppUTestGroupheld_database) {
    transaction_id open;

    auto setup()->void override {
        TEST_GROUP_CppUTestGroupheld_database::setup();
        open = send_and_wait(step(transaction_step::begin)).transaction;
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

// Guards against a retried commit that is reported as failed although the first attempt succeeded.
TEST(open_transactions, commits_once_and_answers_a_repeated_commit) {
    CHECK(send_and_wait(step(transaction_step::run, "a")).outcome == verdict::done);
    CHECK(send_and_wait(step(transaction_step::run, "b")).outcome == verdict::done);
    CHECK(!group.members[0].has_effect("a"));
    auto commit = step(transaction_step::commit);
    commit.id = request_id{"c1"};
    CHECK(send_and_wait(commit).outcome == verdict::done);
    CHECK(group.members[0].has_effect("a") && group.members[0].has_effect("b"));
    CHECK(!group.connections[group.sent_pipelines.back().connection]
               .open); // session settings of the caller must not persist
    commit.deadline = deadline();
    const auto again = send_and_wait(commit);
    CHECK(again.outcome == verdict::done && again.replayed);
    // No outcome is recorded under another id; "not run" would make the caller repeat the transaction.
    commit.id = request_id{"c2"};
    commit.deadline = deadline();
    CHECK(send_and_wait(commit).outcome == verdict::unknown);
}

// Guards against an unknown outcome for a transaction that the holder itself rolled back.
TEST(open_transactions, a_commit_after_a_rollback_is_not_run) {
    CHECK(send_and_wait(step(transaction_step::run, "a")).outcome == verdict::done);
    CHECK(send_and_wait(step(transaction_step::rollback)).outcome == verdict::done);
    auto commit = step(transaction_step::commit);
    commit.id = request_id{"c1"};
    commit.deadline = deadline();
    CHECK(failed_with(send_and_wait(commit), verdict::not_run, failure_code::transaction_ended));
}

// Guards against use of a transaction by another account or key.
TEST(open_transactions, are_bound_to_their_account_and_key) {
    auto work = step(transaction_step::run, "a");
    work.account = account_id{"other"};
    CHECK(failed_with(send_and_wait(work), verdict::not_run, failure_code::no_route));
    work = step(transaction_step::run, "a");
    work.key = key_id{"k2"};
    CHECK(failed_with(send_and_wait(work), verdict::not_run, failure_code::no_route));
}

// Guards against abandoned transactions that hold locks and connections indefinitely.
TEST(open_transactions, are_rolled_back_when_idle_revoked_cancelled_or_without_authority) {
    CHECK(send_and_wait(step(transaction_step::run, "a")).outcome == verdict::done);
    group.advance(5200ms);
    CHECK_EQUAL(0U, group.holder->status(group.now).open_transactions);
    CHECK(failed_with(send_and_wait(step(transaction_step::run, "b")), verdict::not_run,
                      failure_code::transaction_ended));

    open = send_and_wait(step(transaction_step::begin)).transaction;
    group.holder->on_key_revoked(group.now, key_id{"k1"});
    CHECK_EQUAL(0U, group.holder->status(group.now).open_transactions);

    open = send_and_wait(step(transaction_step::begin)).transaction;
    const auto handle = group.send(step(transaction_step::run, "c"));
    group.holder->on_cancel(group.now, handle);
    CHECK_EQUAL(0U, group.holder->status(group.now).open_transactions);

    open = send_and_wait(step(transaction_step::begin)).transaction;
    CHECK_EQUAL(1U, group.holder->status(group.now).open_transactions);
    group.renew_authority = false;
    group.holder->set_authority(group.now);
    group.advance(100ms);
    CHECK_EQUAL(0U, group.holder->status(group.now).open_transactions);
    group.advance(1s);
    for (const auto* effect : {"a", "b", "c"}) {
        CHECK(!group.members[0].has_effect(effect));
    }
}

// Guards against commit of a partial transaction after a statement error.
TEST(open_transactions, end_with_a_refused_statement) {
    CHECK(send_and_wait(step(transaction_step::run, "a")).outcome == verdict::done);
    auto work = step(transaction_step::run, "b");
    work.body = {"INSERT INTO nowhere", {}};
    CHECK(failed_with(send_and_wait(work), verdict::not_run, failure_code::statement_failed));
    CHECK(failed_with(send_and_wait(step(transaction_step::commit)), verdict::not_run,
                      failure_code::transaction_ended));
    CHECK(!group.members[0].has_effect("a"));
}

TEST_GROUP_BASE(change_of_primary, TEST_GROUP_CppUTestGroupheld_database){
    auto time_until_write()->duration{const auto start = group.now;
for (auto n = 0; group.now < start + 10s; ++n) {
    const auto value = send_and_wait(write_request(deadline(100ms), fmt::format("gap{}", n)), 100ms);
    if (value.outcome == verdict::done && value.served_by != group.members[0].id) {
        break;
    }
}
return group.now - start;
}
}
;

// Guards against a failover that takes 4 s or longer, and against promotion of a replica without confirmed
// writes.
TEST(change_of_primary, promotes_the_most_advanced_replica) {
    group.members[1].lag = 1h;
    auto work = write_request(deadline(), "w1");
    work.ack = ack_mode::replica;
    CHECK(send_and_wait(work).outcome == verdict::done);
    group.crash(0);
    CHECK(time_until_write() < 4s);
    CHECK(group.members[2].primary && group.members[2].has_effect("w1"));
    group.members[0].up = true;
    group.members[1].lag = 5ms;
    group.advance(4s);
    CHECK(!group.members[0].primary);
    CHECK_EQUAL(group.members[2].log.size(), group.members[0].log.size());
}

// Guards against probing an idle database as often as a busy one: 15 probes per second caused 7 KB/s of
// traffic per held database.
TEST(change_of_primary, probes_an_idle_database_less_often) {
    group.advance(3s);
    group.probe_count = 0;
    group.advance(8s);
    CHECK(group.probe_count <= 33); // three members, 800 ms
    const auto start = group.now;
    group.probe_count = 0;
    while (group.now < start + 4s) {
        (void)send_and_wait(write_request(deadline(100ms), fmt::format("busy{}", group.probe_count)), 50ms);
    }
    CHECK(group.probe_count >= 34); // primary 200 ms, two replicas 400 ms
}

// Guards against a failover of an idle database that exceeds the limit of 8 s because of the longer probe
// interval.
TEST(change_of_primary, completes_within_four_seconds_on_an_idle_database) {
    group.advance(10s);
    group.crash(0);
    CHECK(time_until_write() < 4s);
}

// Guards against a promotion by a holder that is itself partitioned and reaches only a minority.
TEST(change_of_primary, requires_a_majority_of_members) {
    group.members[0].partitioned = group.members[1].partitioned = true;
    group.advance(6s);
    CHECK_EQUAL(1, group.event_count("change-impossible")); // logged only when the state changes
    CHECK(!group.has_event("promotion-ordered"));
    group.members[1].partitioned = false;
    group.advance(3s);
    CHECK(group.has_event("promotion-ordered"));
}

// Guards against a promotion after a pause of the holder process, which only delays its input.
TEST(change_of_primary, is_not_triggered_by_a_pause_of_the_holder) {
    group.pause(1900ms);
    group.advance(4s);
    CHECK(!group.has_event("promotion-ordered"));
}

// Guards against a promotion after a pause if timers run before the queued probe results are processed.
TEST(change_of_primary, ignores_silence_while_the_holder_is_paused) {
    group.renew_authority = false;
    group.holder->set_authority(group.now + 1h);
    group.pause(5s);
    for (const duration wait : {1000ms, 1500ms, 1500ms}) {
        group.advance(wait);
        group.holder->on_timer(group.now);
        group.perform_actions();
    }
    group.advance(2s);
    CHECK(!group.has_event("change-impossible")); // not even suspected
    CHECK(!group.has_event("promotion-ordered"));
}

// Guards against further use of a superseded primary because the promotion result was lost.
TEST(change_of_primary, tolerates_a_lost_promotion_result) {
    group.lose_promotion_results = true;
    group.members[0].partitioned = true;
    group.advance(2s);
    group.members[0].partitioned = false;
    group.advance(3s);
    const auto value = send_and_wait(write_request(deadline(), "w1"));
    CHECK(value.outcome == verdict::done);
    CHECK(value.served_by == group.true_primary().id);
    CHECK(value.reached.term >= 2);
}

// Guards against two primaries in the same term, and against a return to the old primary.
TEST(change_of_primary, skips_a_term_that_another_member_may_have_taken) {
    group.lose_promotion_results = true;
    group.members[0].partitioned = true;
    while (!group.has_event("promotion-ordered")) {
        group.advance(5ms);
    }
    group.advance(2ms);
    auto& lost = group.members[1].primary ? group.members[1] : group.members[2];
    CHECK(lost.primary);
    lost.partitioned = true;
    group.members[0].partitioned = false;
    group.lose_promotion_results = false;
    CHECK(failed_with(send_and_wait(write_request(deadline(), "w1")), verdict::not_run,
                      failure_code::no_primary));
    group.advance(5s);
    const auto value = send_and_wait(write_request(deadline(), "w2"));
    CHECK(value.outcome == verdict::done);
    CHECK(value.reached.term >= 3);
    lost.partitioned = false;
    group.advance(3s);
    CHECK(group.true_primary().has_effect("w2") && !lost.primary);
}

// Guards against a second failover within seconds when the new primary is only slow.
TEST(change_of_primary, enforces_an_interval_between_failovers) {
    group.members[0].partitioned = true;
    CHECK(time_until_write() < 4s);
    const auto term = group.holder->status(group.now).term;
    group.members[0].partitioned = false;
    group.advance(500ms);
    for (auto& it : group.members) {
        it.partitioned = it.primary && it.known_term == term;
    }
    group.advance(3s);
    CHECK_EQUAL(term, group.holder->status(group.now).term);
    group.advance(4s);
    CHECK(group.holder->status(group.now).term > term);
}

// Guards against requests that are interrupted when an operator takes the primary out of service.
TEST(change_of_primary, hands_over_from_a_leaving_primary) {
    group.service_time = 20ms;
    const auto running = group.send(write_request(deadline(), "w1"));
    group.settings.leaving = {group.members[0].id};
    group.holder->update_settings(group.now, group.settings);
    const auto waiting = group.send(write_request(deadline(2s), "w2"));
    group.advance(1s);
    CHECK(group.answer_to(running)->outcome == verdict::done);
    CHECK(group.answer_to(waiting)->outcome == verdict::done);
    CHECK(group.answer_to(waiting)->served_by != group.members[0].id);
    CHECK(group.true_primary().has_effect("w1") && group.true_primary().has_effect("w2"));
    group.sent_pipelines.clear();
    for (auto n = 0; n < 20; ++n) {
        group.send(read_request(deadline(), 2s));
    }
    group.advance(5s);
    for (const auto& it : group.sent_pipelines) {
        CHECK(group.connections[it.connection].member != 0);
    }
}

// Guards against loss of acknowledged writes by a hand-over to a lagging replica.
TEST(change_of_primary, hands_over_only_to_a_caught_up_replica) {
    group.members[1].lag = group.members[2].lag = 500ms;
    CHECK(send_and_wait(write_request(deadline(), "w1"), 100ms).outcome == verdict::done);
    group.settings.leaving = {group.members[0].id};
    group.holder->update_settings(group.now, group.settings);
    group.advance(2s);
    CHECK(group.true_primary().id != group.members[0].id);
    CHECK(group.true_primary().has_effect("w1"));
}

// Guards against connections and work that remain on a member that was removed from the rules.
TEST(change_of_primary, applies_updated_settings) {
    group.settings.members.pop_back();
    group.holder->update_settings(group.now, group.settings);
    group.advance(100ms);
    for (const auto& [number, it] : group.connections) {
        CHECK(it.member != 2 || !it.open);
    }
    CHECK(send_and_wait(write_request(deadline(), "w1")).outcome == verdict::done);
}
