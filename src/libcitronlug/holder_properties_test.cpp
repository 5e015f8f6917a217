#include <citronlug/testing.h>

#include "holder_test_group.h"

using namespace citronlug;
using namespace citronlug::testing;

namespace {

/// Clients, faults and the checks of one simulated run. Each effect has a token, which is also its request
/// id.
class simulation {
public:
    explicit simulation(std::uint32_t seed)
        : group(seed) {
        group.service = duration{500 + pick(4000)};
        for (auto& it : group.members) {
            it.lag = duration{pick(200000)};
        }
        group.on_answer = [this](auto handle, const auto& value) {
            check(handle, value);
        };
        group.start();
        group.step(1s);
        for (std::size_t n = 0; n < sessions.size(); ++n) {
            schedule(n);
        }
        fault();
    }

    auto run() -> void {
        group.step(20s);
        stopping = true;
        for (auto& it : group.members) {
            it.up = true;
            it.cut = false;
            it.lag = 5ms;
        }
        group.renew_authority = true;
        group.step(15s);
        check_end();
    }

    fake_group group;
    std::vector<std::string> faults;
    int done = 0;
    int replica_reads = 0;

private:
    struct session {
        position at;
        std::vector<std::string> written; ///< acknowledged in this session
        transaction_id open;
        std::string open_name;
        std::vector<std::string> open_effects;
    };
    struct attempt {
        request work;
        std::size_t session = 0;
        time_point sent;
        std::vector<std::string> required; ///< effects that a read must show
    };
    struct effect {
        bool acknowledged_by_replica = false;
        bool maybe_ran = false; ///< an attempt ended otherwise than "not run"
        bool answered = false;
        bool rolled_back = false;
    };

    auto pick(int n) -> int { return static_cast<int>(group.random() % static_cast<unsigned>(n)); }
    auto fail(const std::string& what) -> void { faults.push_back(what); }

    auto schedule(std::size_t n) -> void {
        if (!stopping) {
            group.later(duration{1000 + pick(120000)}, [this, n] { act(n); });
        }
    }
    /// A client sends its next request; `check` schedules the one after that.
    auto act(std::size_t n) -> void {
        auto& mine = sessions[n];
        auto work = request{};
        const auto deadline = group.now + duration{50000 + pick(2500000)};
        const auto kind = pick(10);
        if (mine.open.epoch != 0) {
            work = write_request(deadline, "");
            work.transaction = mine.open;
            work.step = transaction_step::run;
            if (kind < 2) {
                work.step = transaction_step::rollback;
                work.body = {};
            } else if (kind < 5) {
                work.step = transaction_step::commit;
                work.id = request_id{mine.open_name};
                work.body = {};
            } else {
                mine.open_effects.push_back(fmt::format("{}-{}", mine.open_name, mine.open_effects.size()));
                work.body.parameters = {mine.open_effects.back(), mine.open_name};
            }
        } else if (kind < 4) {
            work = read_request(deadline, kind < 3 ? std::optional<duration>{duration{100000 + pick(3000000)}}
                                                   : std::nullopt);
        } else if (kind < 9) {
            // Some requests are repeated attempts with an id that was used before.
            const auto token = used.empty() || pick(4) != 0 ? fmt::format("t{}", next++)
                                                            : used[group.random() % used.size()];
            work = write_request(deadline, token, token.back() < '3');
            work.ack = token.back() % 2 == 0 ? ack_mode::replica : ack_mode::primary;
            used.push_back(token);
            effects[token];
        } else {
            work = write_request(deadline, "");
            work.step = transaction_step::begin;
            work.body = {};
        }
        work.account = account_id{"a" + std::to_string(work.id.empty() ? n % 3 : 0)};
        if (mine.open.epoch != 0 || work.step == transaction_step::begin) {
            work.account = account_id{"t" + std::to_string(n)};
        }
        work.session = mine.at;
        auto tried = attempt{work, n, group.now, {}};
        if (work.mode == access_mode::read) {
            tried.work.body.parameters = {fmt::format("r{}", next++)};
            tried.required = mine.written;
        }
        attempts[next_handle] = tried;
        ++next_handle;
        group.send(tried.work);
    }

    auto check(request_handle handle, const answer& value) -> void {
        const auto tried = attempts.at(handle);
        auto& mine = sessions[tried.session];
        schedule(tried.session);
        done += value.outcome == verdict::done ? 1 : 0;
        const auto acts = tried.work.step != transaction_step::rollback; // a rollback has no effect
        if (value.outcome == verdict::done && acts && group.now >= group.authority) {
            fail("an answer without authority");
        }
        if (tried.work.mode == access_mode::read) {
            check_read(tried, value);
        } else if (tried.work.step != transaction_step::none) {
            check_step(tried, mine, value);
        } else {
            check_write(tried, value);
        }
        const auto session_lost = value.error && value.error->code == failure_code::session_lost;
        if (session_lost) {
            mine.at = {};
            mine.written.clear();
        } else if (value.outcome == verdict::done) {
            mine.at = std::max(mine.at, value.reached);
        }
    }
    auto check_acknowledgement(const attempt& tried, const answer& value, const std::string& token) -> void {
        const auto& primary = group.true_primary();
        if (primary.id != value.served_by) {
            fail("an acknowledgement by a superseded primary");
        }
        if (!primary.has(token)) {
            fail("an acknowledged write is not in the log of the primary: " + token);
        }
        if (value.reached.log <
            1 + static_cast<log_position>(
                    std::find_if(
                        primary.log.begin(), primary.log.end(), [&](auto& it) { return it.token == token; }) -
                    primary.log.begin())) {
            fail("a returned position does not cover the write");
        }
        sessions[tried.session].written.push_back(token);
        effects[token].acknowledged_by_replica |= tried.work.ack == ack_mode::replica;
    }
    auto check_write(const attempt& tried, const answer& value) -> void {
        const auto& token = tried.work.id.value;
        effects[token].answered = true;
        effects[token].maybe_ran |= value.outcome != verdict::not_run;
        if (value.outcome == verdict::done) {
            check_acknowledgement(tried, value, token);
        }
    }
    auto check_step(const attempt& tried, session& mine, const answer& value) -> void {
        const auto kind = tried.work.step;
        if (kind == transaction_step::begin) {
            if (value.outcome == verdict::done) {
                mine.open = value.transaction;
                mine.open_name = fmt::format("x{}", next++);
                mine.open_effects.clear();
            }
            return;
        }
        if (kind == transaction_step::run && value.outcome == verdict::done) {
            return;
        }
        if (kind == transaction_step::commit && value.outcome == verdict::unknown) {
            unclear.insert(mine.open_name);
            if (pick(2) == 0) {
                return; // the next commit of this session repeats this one, unless it does something else
            }
        }
        for (const auto& token : mine.open_effects) {
            auto& it = effects[token];
            it.answered = true;
            it.maybe_ran = it.maybe_ran ||
                           (kind == transaction_step::commit && value.outcome != verdict::not_run) ||
                           unclear.contains(mine.open_name);
            if (kind == transaction_step::commit && value.outcome == verdict::done) {
                check_acknowledgement(tried, value, token);
            }
        }
        mine.open = {};
    }
    auto check_read(const attempt& tried, const answer& value) -> void {
        if (value.outcome == verdict::unknown) {
            fail("a read with an unknown outcome");
        }
        if (value.outcome != verdict::done) {
            return;
        }
        replica_reads += value.from_replica ? 1 : 0;
        const auto& row = value.rows.rows.at(0);
        if (row.at(0) != tried.work.body.parameters.at(0)) {
            fail("the answer of another request");
        }
        const auto& seen = group.snapshots.at(std::stoull(row.at(1).value_or("0")));
        for (const auto& token : tried.required) {
            if (!seen.contains(token)) {
                fail("a session does not see its own write " + token);
            }
        }
        const auto limit = tried.sent - tried.work.max_age.value_or(0ms);
        for (const auto& it : group.true_primary().log) {
            if (it.committed <= limit && !seen.contains(it.token)) {
                fail(fmt::format("a read older than accepted misses {}", it.token));
            }
        }
        if (!tried.work.max_age && value.from_replica) {
            fail("a fresh read from a replica");
        }
    }
    auto check_end() -> void {
        const auto& primary = group.true_primary();
        auto count = std::map<std::string, int>{};
        for (const auto& it : primary.log) {
            if (!it.token.empty() && ++count[it.token] > 1) {
                fail("an effect that was applied twice: " + it.token);
            }
        }
        for (const auto& [token, it] : effects) {
            if (it.acknowledged_by_replica && count[token] == 0) {
                fail("a write that a replica confirmed is lost: " + token);
            }
            if (it.answered && !it.maybe_ran && count[token] != 0) {
                fail("\"not run\" was untrue: " + token);
            }
        }
        if (attempts.size() != group.answers.size()) {
            fail("a request without an answer");
        }
    }

    /// One fault after another; at most one member is away, but the holder may be paused at the same time.
    auto fault() -> void {
        if (stopping) {
            return;
        }
        auto& it = group.members[group.random() % group.members.size()];
        const auto n = static_cast<std::size_t>(&it - group.members.data());
        const auto span = duration{100000 + pick(4000000)};
        switch (pick(6)) {
        case 0:
            group.crash(n);
            group.later(span, [&it] { it.up = true; });
            break;
        case 1:
            it.cut = true;
            group.later(span, [&it] { it.cut = false; });
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
                    group.later(duration{pick(3000)}, [this, c = number] { group.report_lost(c); });
                }
            }
            break;
        default:
            group.lose_promotions = !group.lose_promotions;
            it.lag = duration{pick(3000000)};
            break;
        }
        group.later(span + duration{pick(1500000)}, [this] { fault(); });
    }

    std::array<session, 12> sessions;
    std::map<request_handle, attempt> attempts;
    std::map<std::string, effect> effects;
    std::set<std::string> unclear;
    std::vector<std::string> used;
    request_handle next_handle = 1;
    int next = 0;
    bool stopping = false;
};

} // namespace

TEST_GROUP_BASE(holder_under_faults, citronlug::testing::test_base){};

// Guards requirements 2.1, numbers 1 to 3 and 8 to 10, and the slot limit, under crashes, partitions, pauses,
// silent and broken connections, lost orders and replicas that lag.
TEST(holder_under_faults, keeps_every_promise) {
    check_property("a holder keeps its promises", [] {
        auto run = simulation{*rc::gen::arbitrary<std::uint32_t>()};
        run.run();
        run.faults.insert(run.faults.end(), run.group.faults.begin(), run.group.faults.end());
        for (const auto& it : run.faults) {
            RC_LOG(it + "\n");
        }
        RC_ASSERT(run.faults.empty());
        RC_ASSERT(run.done > 100);
        RC_CLASSIFY(run.replica_reads > 100);
        RC_CLASSIFY(run.group.holder->status(run.group.now).promotions > 0);
    });
}
