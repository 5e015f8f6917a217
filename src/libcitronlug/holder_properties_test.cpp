#include <citronlug/testing.h>

#include "holder_test_group.h"

using namespace citronlug;
using namespace citronlug::testing;

namespace {

/// One simulated run with concurrent clients and injected faults, which checks every answer. Each effect has
/// a token; for a single write it is also the request id.
class simulation {
public:
    explicit simulation(std::uint32_t seed)
        : group(seed) {
        group.service_time = duration{500 + pick(4000)};
        for (auto& it : group.members) {
            it.lag = duration{pick(200000)};
        }
        group.on_answer = [this](auto handle, const auto& value) {
            check(handle, value);
        };
        group.start();
        group.advance(1s);
        for (std::size_t n = 0; n < sessions.size(); ++n) {
            schedule(n);
        }
        inject_fault();
    }

    auto run() -> void {
        group.advance(20s);
        stopping = true;
        for (auto& it : group.members) {
            it.up = true;
            it.partitioned = false;
            it.lag = 5ms;
        }
        group.renew_authority = true;
        group.advance(15s);
        check_end();
    }

    fake_group group;
    std::vector<std::string> violations;
    int done = 0;
    int replica_reads = 0;

private:
    struct session {
        position reached;
        std::vector<std::string> acknowledged; ///< effects of acknowledged writes
        transaction_id open;
        std::string open_commit_id;
        std::vector<std::string> open_effects;
    };
    struct attempt {
        request work;
        std::size_t session = 0;
        time_point sent;
        std::vector<std::string> required; ///< effects that a read must observe
    };
    struct effect {
        bool acknowledged_by_replica = false;
        bool may_have_run = false; ///< at least one attempt was not answered with "not run"
        bool answered = false;
        bool rolled_back = false;
    };

    auto pick(int n) -> int { return static_cast<int>(group.random() % static_cast<unsigned>(n)); }
    auto report_violation(const std::string& message) -> void { violations.push_back(message); }

    auto schedule(std::size_t n) -> void {
        if (!stopping) {
            group.run_after(duration{1000 + pick(120000)}, [this, n] { send_next_request(n); });
        }
    }
    /// Sends the next request of a client. `check` schedules the following one.
    auto send_next_request(std::size_t n) -> void {
        auto& client = sessions[n];
        auto work = request{};
        const auto deadline = group.now + duration{50000 + pick(2500000)};
        const auto kind = pick(10);
        if (client.open.epoch != 0) {
            work = write_request(deadline, "");
            work.transaction = client.open;
            work.step = transaction_step::run;
            if (kind < 2) {
                work.step = transaction_step::rollback;
                work.body = {};
            } else if (kind < 5) {
                work.step = transaction_step::commit;
                work.id = request_id{client.open_commit_id};
                work.body = {};
            } else {
                client.open_effects.push_back(
                    fmt::format("{}-{}", client.open_commit_id, client.open_effects.size()));
                work.body.parameters = {client.open_effects.back(), client.open_commit_id};
            }
        } else if (kind < 4) {
            work = read_request(deadline, kind < 3 ? std::optional<duration>{duration{100000 + pick(3000000)}}
                                                   : std::nullopt);
        } else if (kind < 9) {
            // Some requests are retries that reuse an earlier request id.
            const auto token = used_tokens.empty() || pick(4) != 0
                                   ? fmt::format("t{}", next_token++)
                                   : used_tokens[group.random() % used_tokens.size()];
            work = write_request(deadline, token, token.back() < '3');
            work.ack = token.back() % 2 == 0 ? ack_mode::replica : ack_mode::primary;
            used_tokens.push_back(token);
            effects[token];
        } else {
            work = write_request(deadline, "");
            work.step = transaction_step::begin;
            work.body = {};
        }
        work.account = account_id{"a" + std::to_string(work.id.empty() ? n % 3 : 0)};
        if (client.open.epoch != 0 || work.step == transaction_step::begin) {
            work.account = account_id{"t" + std::to_string(n)};
        }
        work.session = client.reached;
        auto attempted = attempt{work, n, group.now, {}};
        if (work.mode == access_mode::read) {
            attempted.work.body.parameters = {fmt::format("r{}", next_token++)};
            attempted.required = client.acknowledged;
        }
        attempts[next_handle] = attempted;
        ++next_handle;
        group.send(attempted.work);
    }

    auto check(request_handle handle, const answer& value) -> void {
        const auto attempted = attempts.at(handle);
        auto& client = sessions[attempted.session];
        schedule(attempted.session);
        done += value.outcome == verdict::done ? 1 : 0;
        const auto requires_authority =
            attempted.work.step != transaction_step::rollback; // a rollback has no effect
        if (value.outcome == verdict::done && requires_authority && group.now >= group.authority) {
            report_violation("answer given without authority");
        }
        if (attempted.work.mode == access_mode::read) {
            check_read(attempted, value);
        } else if (attempted.work.step != transaction_step::none) {
            check_step(attempted, client, value);
        } else {
            check_write(attempted, value);
        }
        const auto session_lost = value.error && value.error->code == failure_code::session_lost;
        if (session_lost) {
            client.reached = {};
            client.acknowledged.clear();
        } else if (value.outcome == verdict::done) {
            client.reached = std::max(client.reached, value.reached);
        }
    }
    auto check_acknowledgement(const attempt& attempted, const answer& value, const std::string& token)
        -> void {
        const auto& primary = group.true_primary();
        if (primary.id != value.served_by) {
            report_violation("write acknowledged by a superseded primary");
        }
        if (!primary.has_effect(token)) {
            report_violation("acknowledged write missing from the log of the primary: " + token);
        }
        if (value.reached.log <
            1 + static_cast<log_position>(
                    std::find_if(
                        primary.log.begin(), primary.log.end(), [&](auto& it) { return it.token == token; }) -
                    primary.log.begin())) {
            report_violation("returned position does not cover the write");
        }
        sessions[attempted.session].acknowledged.push_back(token);
        effects[token].acknowledged_by_replica |= attempted.work.ack == ack_mode::replica;
    }
    auto check_write(const attempt& attempted, const answer& value) -> void {
        const auto& token = attempted.work.id.value;
        effects[token].answered = true;
        effects[token].may_have_run |= value.outcome != verdict::not_run;
        if (value.outcome == verdict::done) {
            check_acknowledgement(attempted, value, token);
        }
    }
    auto check_step(const attempt& attempted, session& client, const answer& value) -> void {
        const auto kind = attempted.work.step;
        if (kind == transaction_step::begin) {
            if (value.outcome == verdict::done) {
                client.open = value.transaction;
                client.open_commit_id = fmt::format("x{}", next_token++);
                client.open_effects.clear();
            }
            return;
        }
        if (kind == transaction_step::run && value.outcome == verdict::done) {
            return;
        }
        if (kind == transaction_step::commit && value.outcome == verdict::unknown) {
            uncertain_commits.insert(client.open_commit_id);
            if (pick(2) == 0) {
                return; // the session may retry the commit with its next request
            }
        }
        for (const auto& token : client.open_effects) {
            auto& it = effects[token];
            it.answered = true;
            it.may_have_run = it.may_have_run ||
                              (kind == transaction_step::commit && value.outcome != verdict::not_run) ||
                              uncertain_commits.contains(client.open_commit_id);
            if (kind == transaction_step::commit && value.outcome == verdict::done) {
                check_acknowledgement(attempted, value, token);
            }
        }
        client.open = {};
    }
    auto check_read(const attempt& attempted, const answer& value) -> void {
        if (value.outcome == verdict::unknown) {
            report_violation("read answered with an unknown outcome");
        }
        if (value.outcome != verdict::done) {
            return;
        }
        replica_reads += value.from_replica ? 1 : 0;
        const auto& row = value.rows.rows.at(0);
        if (row.at(0) != attempted.work.body.parameters.at(0)) {
            report_violation("answer of a different request");
        }
        const auto& seen = group.snapshots.at(std::stoull(row.at(1).value_or("0")));
        for (const auto& token : attempted.required) {
            if (!seen.contains(token)) {
                report_violation("session does not observe its own write " + token);
            }
        }
        const auto limit = attempted.sent - attempted.work.max_age.value_or(0ms);
        for (const auto& it : group.true_primary().log) {
            if (it.committed <= limit && !seen.contains(it.token)) {
                report_violation(fmt::format("read is older than accepted: {} is missing", it.token));
            }
        }
        if (!attempted.work.max_age && value.from_replica) {
            report_violation("read without accepted age served by a replica");
        }
    }
    auto check_end() -> void {
        const auto& primary = group.true_primary();
        auto count = std::map<std::string, int>{};
        for (const auto& it : primary.log) {
            if (!it.token.empty() && ++count[it.token] > 1) {
                report_violation("effect applied twice: " + it.token);
            }
        }
        for (const auto& [token, it] : effects) {
            if (it.acknowledged_by_replica && count[token] == 0) {
                report_violation("replica-confirmed write lost: " + token);
            }
            if (it.answered && !it.may_have_run && count[token] != 0) {
                report_violation("request answered with \"not run\" took effect: " + token);
            }
        }
        if (attempts.size() != group.answers.size()) {
            report_violation("request without an answer");
        }
    }

    /// Injects one random fault and schedules the next. At most one member is down or partitioned at a time,
    /// but the holder may be paused meanwhile.
    auto inject_fault() -> void {
        if (stopping) {
            return;
        }
        auto& it = group.members[group.random() % group.members.size()];
        const auto n = static_cast<std::size_t>(&it - group.members.data());
        const auto span = duration{100000 + pick(4000000)};
        switch (pick(6)) {
        case 0:
            group.crash(n);
            group.run_after(span, [&it] { it.up = true; });
            break;
        case 1:
            it.partitioned = true;
            group.run_after(span, [&it] { it.partitioned = false; });
            break;
        case 2:
            group.pause(span);
            break;
        case 3:
            for (auto& [number, connection] : group.connections) {
                connection.silent = connection.silent || (connection.open && pick(2) == 0);
            }
            break;
        case 4:
            for (auto& [number, connection] : group.connections) {
                if (connection.open && connection.alive && pick(2) == 0) {
                    group.run_after(duration{pick(3000)}, [this, c = number] { group.report_lost(c); });
                }
            }
            break;
        default:
            group.lose_promotion_results = !group.lose_promotion_results;
            it.lag = duration{pick(3000000)};
            break;
        }
        group.run_after(span + duration{pick(1500000)}, [this] { inject_fault(); });
    }

    std::array<session, 12> sessions;
    std::map<request_handle, attempt> attempts;
    std::map<std::string, effect> effects;
    std::set<std::string> uncertain_commits;
    std::vector<std::string> used_tokens;
    request_handle next_handle = 1;
    int next_token = 0;
    bool stopping = false;
};

} // namespace

TEST_GROUP_BASE(holder_under_faults, citronlug::testing::test_base){};

// Guards against lost or duplicated writes, stale reads, wrong outcomes, acts without authority and exceeded
// slots (requirements 2.1, numbers 1 to 3 and 8 to 10) under crashes, partitions, pauses, unresponsive and
// broken connections, lost promotion results and lagging replicas.
TEST(holder_under_faults, preserves_consistency_guarantees) {
    check_property("a holder preserves its consistency guarantees under faults", [] {
        auto run = simulation{*rc::gen::arbitrary<std::uint32_t>()};
        run.run();
        run.violations.insert(run.violations.end(), run.group.violations.begin(), run.group.violations.end());
        for (const auto& it : run.violations) {
            RC_LOG(it + "\n");
        }
        RC_ASSERT(run.violations.empty());
        RC_ASSERT(run.done > 100);
        RC_CLASSIFY(run.replica_reads > 100);
        RC_CLASSIFY(run.group.holder->status(run.group.now).promotions > 0);
    });
}
