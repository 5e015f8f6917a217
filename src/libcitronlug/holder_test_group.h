#pragma once

// Simulated database group for tests of the holder. It performs the holder's actions in simulated time.

#include <citronlug/testing.h>

#include <citronlug/database_holder.h>

namespace citronlug::testing {

struct log_entry {
    term_number term = 0;
    std::string id;    ///< "account/request id"; empty if no request id was recorded
    std::string token; ///< identifies the effect of the write
    time_point committed;
    std::string outcome;
};

struct fake_member {
    member_id id;
    bool up = true;
    bool partitioned = false; ///< network partition from the holder; pending messages arrive when it ends
    bool primary = false;
    term_number known_term = 1;
    std::vector<term_start> history{{1, 0}};
    std::optional<std::size_t> following;
    duration lag = 5ms;
    std::vector<log_entry> log;
    int outstanding = 0; ///< pipelines without a result on open connections

    [[nodiscard]] auto has_effect(const std::string& token) const -> bool {
        return std::any_of(log.begin(), log.end(), [&](const auto& it) { return it.token == token; });
    }
};

struct fake_connection {
    std::size_t member = 0;
    bool open = true;          ///< from the view of the holder
    bool alive = true;         ///< from the view of the member
    bool silent = false;       ///< messages in both directions are held back
    std::uint64_t running = 0; ///< sequence of the running pipeline; 0 if none
    std::deque<run_pipeline> inbox;
    std::optional<std::vector<log_entry>> transaction;
    term_number transaction_term = 0;
    std::string owner; ///< writer of the open transaction
};

/// Members, network and one holder. `advance` runs simulated time; faults are injected through the public
/// fields and functions.
class fake_group {
public:
    explicit fake_group(std::uint32_t seed, std::size_t n = 3)
        : random(seed) {
        for (std::size_t i = 0; i < n; ++i) {
            auto it = fake_member{member_id{fmt::format("m{}:1", i)}};
            it.primary = i == 0;
            it.following = i == 0 ? std::nullopt : std::optional<std::size_t>{0};
            members.push_back(it);
            settings.members.push_back(it.id);
        }
        settings.database = database_id{"orders-1"};
    }

    auto start() -> void {
        holder = std::make_unique<database_holder>(settings, 7, now);
        extend_authority();
        tick();
    }
    /// Runs the simulation for this span of time.
    auto advance(duration span) -> void {
        const auto end = now + span;
        while (!events.empty() && events.begin()->first <= end) {
            auto it = events.begin();
            now = std::max(now, it->first);
            auto action = std::move(it->second);
            events.erase(it);
            action();
            perform_actions();
        }
        now = end;
    }
    auto run_after(duration delay, std::function<void()> action) -> void {
        events.emplace(now + delay, std::move(action));
    }
    auto send(request work) -> request_handle {
        work.account = work.account.empty() ? account_id{"school-shop"} : work.account;
        work.key = work.key.empty() ? key_id{"k1"} : work.key;
        work.database = settings.database;
        const auto handle = next_handle++;
        deliver_to_holder([=, this, body = std::move(work)] { holder->on_request(now, handle, body); });
        perform_actions();
        return handle;
    }
    auto perform_actions() -> void {
        if (!holder) {
            return;
        }
        for (auto& action : holder->take_actions()) {
            std::visit([&](auto& it) { apply_action(it); }, action);
        }
    }
    /// Suspends the holder's process for this span. Its input is queued.
    auto pause(duration span) -> void { paused_until = now + span; }
    auto crash(std::size_t n) -> void {
        members[n].up = false;
        for (auto& [number, it] : connections) {
            if (it.member == n && it.alive) {
                it.alive = false;
                it.transaction.reset();
                if (!members[n].partitioned) {
                    run_after(random_delay(), [this, c = number] { report_lost(c); });
                }
            }
        }
    }
    auto report_lost(connection_number number) -> void {
        auto& it = connections[number];
        it.alive = false;
        it.transaction.reset();
        if (it.open) {
            finish_pipeline(it);
            it.open = false;
            deliver_to_holder([=, this] { holder->on_connection_lost(now, number); });
        }
    }
    /// The primary of the highest term.
    [[nodiscard]] auto true_primary() const -> const fake_member& {
        const auto* best = &members[0];
        for (const auto& it : members) {
            if (it.primary && (!best->primary || it.history.back().term > best->history.back().term)) {
                best = &it;
            }
        }
        return *best;
    }
    [[nodiscard]] auto answer_to(request_handle handle) const -> const answer* {
        const auto it = answers.find(handle);
        return it == answers.end() ? nullptr : &it->second;
    }
    [[nodiscard]] auto event_count(const std::string& kind) const -> std::ptrdiff_t {
        return std::count_if(holder_events.begin(), holder_events.end(),
                             [&](const auto& it) { return it.kind == kind; });
    }
    [[nodiscard]] auto has_event(const std::string& kind) const -> bool { return event_count(kind) > 0; }

    std::mt19937 random;
    std::size_t probe_count = 0; ///< probes sent by the holder
    time_point now = at(0s);
    std::vector<fake_member> members;
    database_settings settings;
    std::unique_ptr<database_holder> holder;
    std::map<request_handle, answer> answers;
    std::function<void(request_handle, const answer&)> on_answer;
    std::map<std::uint64_t, std::set<std::string>> snapshots; ///< effects that each read observed
    std::map<connection_number, fake_connection> connections;
    std::vector<holder_event> holder_events;
    std::vector<std::string> violations; ///< violated invariants
    std::vector<run_pipeline> sent_pipelines;
    bool renew_authority = true;
    time_point authority;
    duration service_time = 1ms;
    std::uint32_t slow_every = 50;       ///< on average every n-th statement takes 40 times as long; 0: none
    bool lose_promotion_results = false; ///< promotions take effect, but their results are lost

private:
    auto random_delay() -> duration { return duration{200 + static_cast<int>(random() % 800)}; }
    /// Queues the input while the holder is suspended.
    auto deliver_to_holder(std::function<void()> action) -> void {
        if (now < paused_until) {
            events.emplace(paused_until, std::move(action));
        } else {
            action();
        }
    }
    auto extend_authority() -> void {
        if (renew_authority) {
            authority = now + 2s;
            holder->set_authority(authority);
        }
    }
    auto tick() -> void {
        replicate();
        if (now >= paused_until && (now.time_since_epoch() / 5ms) % 10 == 0) {
            extend_authority();
            holder->on_timer(now);
        }
        run_after(5ms, [this] { tick(); });
    }
    auto index_of(const member_id& id) const -> std::size_t {
        for (std::size_t n = 0; n < members.size(); ++n) {
            if (members[n].id == id) {
                return n;
            }
        }
        return 0;
    }
    auto replicate() -> void {
        for (auto& it : members) {
            if (it.primary || !it.up || !it.following || !members[*it.following].up) {
                continue;
            }
            const auto& source = members[*it.following];
            if (!source.primary || source.history.back().term < it.known_term) {
                continue;
            }
            if (it.history != source.history) {
                auto common = it.log.size();
                for (const auto& start : source.history) {
                    if (start.term > it.history.back().term) {
                        common = std::min<std::size_t>(common, start.start);
                        break;
                    }
                }
                it.log.resize(std::min(common, source.log.size()));
                it.history = source.history;
                it.known_term = source.known_term;
            }
            while (it.log.size() < source.log.size() && source.log[it.log.size()].committed + it.lag <= now) {
                it.log.push_back(source.log[it.log.size()]);
            }
        }
    }
    auto finish_pipeline(fake_connection& it) -> void {
        members[it.member].outstanding -= it.running != 0 ? 1 : 0;
        it.running = 0;
    }

    auto apply_action(const open_connection& it) -> void {
        const auto n = index_of(it.member);
        connections[it.connection] = {n};
        run_after(random_delay() * 10, [this, c = it.connection, n] {
            if (!members[n].partitioned && connections[c].open) {
                const auto up = members[n].up;
                connections[c].open = connections[c].alive = up;
                deliver_to_holder([=, this] { holder->on_connected(now, c, up); });
            }
        });
    }
    auto apply_action(const close_connection& it) -> void {
        auto& connection = connections[it.connection];
        finish_pipeline(connection);
        connection.open = false;
        connection.inbox.push_back({});
        run_after(random_delay(), [this, c = it.connection] { deliver_message(c); });
    }
    auto apply_action(const run_pipeline& it) -> void {
        auto& connection = connections[it.connection];
        auto& member = members[connection.member];
        if (!connection.open || connection.running != 0) {
            violations.emplace_back("pipeline sent on a closed or busy connection");
        }
        if (++member.outstanding > settings.slots) {
            violations.emplace_back("more concurrent statements than slots");
        }
        connection.running = it.sequence;
        connection.inbox.push_back(it);
        sent_pipelines.push_back(it);
        run_after(random_delay(), [this, c = it.connection] { deliver_message(c); });
    }
    /// Delivers the next message of a connection to the member; retries later during a partition.
    auto deliver_message(connection_number number) -> void {
        auto& it = connections[number];
        if (members[it.member].partitioned || it.silent) {
            run_after(20ms, [this, number] { deliver_message(number); });
            return;
        }
        if (it.inbox.empty()) {
            return;
        }
        const auto next = it.inbox.front();
        it.inbox.pop_front();
        if (!it.alive || !members[it.member].up) {
            return;
        }
        if (next.statements.empty()) {
            it.alive = false;
            it.transaction.reset();
            return;
        }
        run_after(slow_every != 0 && random() % slow_every == 0 ? service_time * 40 : service_time,
                  [this, number, next] {
                      auto& connection = connections[number];
                      if (!connection.alive || !members[connection.member].up) {
                          return;
                      }
                      auto outcome = execute_pipeline(connection, next.statements);
                      run_after(random_delay(), [this, number, next, outcome = std::move(outcome)] {
                          reply(number, next.sequence, outcome);
                      });
                  });
    }
    auto reply(connection_number number, std::uint64_t sequence, const pipeline_result& outcome) -> void {
        auto& it = connections[number];
        if (members[it.member].partitioned || it.silent) {
            run_after(20ms, [=, this] { reply(number, sequence, outcome); });
            return;
        }
        if (it.open && it.running == sequence) {
            finish_pipeline(it);
        }
        // Late results are delivered too; the holder has to discard them.
        deliver_to_holder([=, this] { holder->on_pipeline(now, number, sequence, outcome); });
    }
    auto execute_pipeline(fake_connection& it, const std::vector<statement>& statements) -> pipeline_result {
        auto outcome = pipeline_result{pipeline_status::finished, {}, {}, {}};
        for (const auto& stmt : statements) {
            auto rows = row_set{};
            const auto error = execute_statement(it, stmt, rows);
            if (!error.empty()) {
                it.transaction.reset();
                outcome.status = pipeline_status::refused;
                outcome.sqlstate = error;
                break;
            }
            outcome.results.push_back(rows);
        }
        return outcome;
    }
    auto execute_statement(fake_connection& it, const statement& stmt, row_set& rows) -> std::string {
        auto& member = members[it.member];
        const auto parameter = [&](std::size_t n) {
            return stmt.parameters.at(n).value_or("");
        };
        if (stmt.text == "BEGIN") {
            if (it.transaction) {
                violations.emplace_back("BEGIN inside an open transaction");
            }
            it.transaction.emplace();
            it.transaction_term = member.history.back().term;
            it.owner.clear();
        } else if (stmt.text == "COMMIT") {
            if (!member.primary || it.transaction_term != member.history.back().term) {
                return "25006";
            }
            for (auto& entry : it.transaction.value_or(std::vector<log_entry>{})) {
                entry.term = it.transaction_term;
                entry.committed = now;
                member.log.push_back(entry);
            }
            it.transaction.reset();
        } else if (stmt.text == "ROLLBACK") {
            it.transaction.reset();
        } else if (stmt.text == "SELECT citronlug_position()") {
            rows = {{"position", "term"},
                    {{std::to_string(member.log.size()), std::to_string(member.history.back().term)}}};
        } else if (stmt.text.starts_with("INSERT INTO citronlug_requests")) {
            return insert_request_row(it, parameter(0) + "/" + parameter(1), parameter(2));
        } else if (stmt.text.starts_with("SELECT outcome")) {
            for (const auto& entry : member.log) {
                if (entry.id == parameter(0) + "/" + parameter(1)) {
                    rows = {{"outcome"}, {{entry.outcome}}};
                }
            }
        } else if (stmt.text.starts_with("INSERT INTO effects")) { // parameters: effect, owner
            if (!member.primary) {
                return "25006";
            }
            if (!it.owner.empty() && it.owner != parameter(1)) {
                violations.emplace_back("statements of two transactions mixed on one connection");
            }
            it.owner = parameter(1);
            if (it.transaction) {
                it.transaction->push_back({0, "", parameter(0), now, ""});
            } else {
                violations.emplace_back("write outside a transaction");
            }
            rows.affected = 1;
        } else if (stmt.text == "INSERT INTO nowhere") {
            return "42P01";
        } else if (stmt.text == "SELECT effects") { // parameter: echoed
            auto& seen = snapshots[++next_snapshot];
            for (const auto& entry : member.log) {
                seen.insert(entry.token);
            }
            rows = {{"echo", "snapshot"}, {{parameter(0), std::to_string(next_snapshot)}}};
        }
        return {};
    }
    auto insert_request_row(fake_connection& it, const std::string& id, const std::string& outcome)
        -> std::string {
        auto& member = members[it.member];
        const auto same = [&](const auto& entry) {
            return entry.id == id;
        };
        if (!member.primary) {
            return "25006";
        }
        if (std::any_of(member.log.begin(), member.log.end(), same)) {
            return "23505";
        }
        for (const auto& [number, other] : connections) {
            if (&other != &it && other.transaction && other.member == it.member &&
                std::any_of(other.transaction->begin(), other.transaction->end(), same)) {
                return "55P03"; // a real server would wait for the other transaction
            }
        }
        it.transaction->push_back({0, id, "", now, outcome});
        return {};
    }
    auto apply_action(const probe_member& it) -> void {
        ++probe_count;
        const auto n = index_of(it.member);
        run_after(random_delay(), [this, n, it, partitioned_when_sent = members[n].partitioned] {
            const auto& member = members[n];
            if (member.partitioned || partitioned_when_sent) {
                return;
            }
            auto status = std::optional<member_status>{};
            if (member.up) {
                status = member_status{member.primary ? member_role::primary : member_role::replica,
                                       {member.known_term, member.log.size()},
                                       member.history};
            }
            run_after(random_delay(), [=, this] {
                if (!members[n].partitioned) {
                    deliver_to_holder(
                        [=, this] { holder->on_member_status(now, it.member, it.sequence, status); });
                }
            });
        });
    }
    auto apply_action(const promote_member& it) -> void {
        const auto n = index_of(it.member);
        run_after(random_delay(), [this, n, it] {
            auto& member = members[n];
            if (member.partitioned || !member.up) {
                return;
            }
            const auto success =
                member.known_term == it.expected_term && member.history.back().term == it.expected_term;
            if (success) {
                member.primary = true;
                member.following.reset();
                member.known_term = it.expected_term + 1;
                member.history.push_back({member.known_term, member.log.size()});
            }
            const auto term = member.known_term;
            if (!lose_promotion_results) {
                run_after(random_delay(), [=, this] {
                    deliver_to_holder([=, this] { holder->on_promoted(now, it.member, success, term); });
                });
            }
        });
    }
    auto apply_action(const follow_primary& it) -> void {
        const auto n = index_of(it.member);
        run_after(random_delay(), [this, n, it] {
            auto& member = members[n];
            if (!member.partitioned && member.up && it.term >= member.known_term &&
                !(member.primary && it.term == member.known_term)) {
                member.primary = false;
                member.known_term = it.term;
                member.following = index_of(it.primary);
            }
        });
    }
    auto apply_action(deliver_answer& it) -> void {
        if (answers.contains(it.handle)) {
            violations.emplace_back("request answered twice");
        }
        answers[it.handle] = it.value;
        if (on_answer) {
            on_answer(it.handle, it.value);
        }
    }
    auto apply_action(const holder_event& it) -> void { holder_events.push_back(it); }

    std::multimap<time_point, std::function<void()>> events;
    time_point paused_until{};
    request_handle next_handle = 1;
    std::uint64_t next_snapshot = 0;
};

inline auto read_request(time_point deadline, std::optional<duration> max_age = std::nullopt) -> request {
    auto work = request{};
    work.route = route_id{"catalogue"};
    work.deadline = deadline;
    work.max_age = max_age;
    work.body = {"SELECT effects", {"echo"}};
    return work;
}

inline auto write_request(time_point deadline, const std::string& id, bool idempotent = false) -> request {
    auto work = request{};
    work.id = request_id{id};
    work.route = route_id{"print-order"};
    work.mode = access_mode::write;
    work.idempotent = idempotent;
    work.deadline = deadline;
    work.body = {"INSERT INTO effects VALUES ($1, $2)", {id, id}};
    return work;
}

} // namespace citronlug::testing
