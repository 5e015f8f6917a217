#include <citronlug/cold_start.h>

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

namespace {

const auto group = group_id{"g1"};
const auto server = server_id{"s1"};

auto make_rules(double per_s, duration cold_start = 5s) -> desired_state {
    auto rules = desired_state{};
    rules.groups[group] = {group, 56, 0, cold_start, per_s};
    return rules;
}

auto make_entry(std::int64_t started_ms, duration remaining) -> backend_server {
    auto it = backend_server{};
    it.id = server;
    it.group = group;
    it.started_ms = started_ms;
    it.cold_remaining = remaining;
    return it;
}

/// Many instances, each with work that waits all the time, one coordinator at a time, and the server that
/// counts what arrives. Each report and each answer takes 1 to 30 ms; some are lost.
struct fleet {
    fleet(std::size_t size, double per_s)
        : gates(size)
        , busy_until(size) {
        for (auto& it : gates) {
            it.servers().set_rules(make_rules(per_s));
        }
        coordinator_servers.set_rules(make_rules(per_s));
        allocator.begin_term(now, 1);
    }

    auto read_entry(const backend_server& entry) -> void {
        coordinator_servers.set_servers(now, {entry});
        for (auto& it : gates) {
            it.servers().set_servers(now, {entry});
        }
    }

    auto replace_coordinator(std::uint64_t fencing_token, const backend_server& entry) -> void {
        allocator = {};
        allocator.begin_term(now, fencing_token);
        coordinator_servers.set_servers(now, {});
        coordinator_servers.set_servers(now, {entry});
    }

    auto run(duration span) -> void {
        for (const auto end = now + span; now < end; now += 5ms) {
            for (std::size_t n = 0; n < gates.size(); ++n) {
                step(n);
            }
            if (has_coordinator && allocator.take_own(now, server, 1, coordinator_servers)) {
                arrivals.push_back(now);
            }
            while (!answers.empty() && answers.begin()->first <= now) {
                const auto answer = answers.extract(answers.begin()).mapped();
                gates[answer.to].on_grants(now, answer.asked_at, answer.grants);
            }
        }
    }

    [[nodiscard]] auto max_in_any_second(time_point from) const -> std::size_t {
        auto most = std::size_t{0};
        for (auto it = std::lower_bound(arrivals.begin(), arrivals.end(), from); it != arrivals.end(); ++it) {
            const auto end = std::lower_bound(it, arrivals.end(), *it + 1s);
            most = std::max(most, static_cast<std::size_t>(end - it));
        }
        return most;
    }

    [[nodiscard]] auto arrived_since(time_point from) const -> std::size_t {
        return static_cast<std::size_t>(arrivals.end() -
                                        std::lower_bound(arrivals.begin(), arrivals.end(), from));
    }

    struct pending_answer {
        std::size_t to = 0;
        time_point asked_at;
        std::vector<cold_grant> grants;
    };
    time_point now{1h};
    std::vector<cold_start_gate> gates;
    std::vector<time_point> busy_until; ///< until the next report of each instance
    cold_servers coordinator_servers;
    cold_token_allocator allocator;
    bool has_coordinator = true;
    unsigned lost_percent = 0;
    bool is_idle = false; ///< no work waits
    std::vector<time_point> arrivals;
    std::multimap<time_point, pending_answer> answers;
    std::mt19937 random{7}; // NOLINT(cert-msc32-c,cert-msc51-cpp): the test is to be repeatable

private:
    auto step(std::size_t n) -> void {
        auto& gate = gates[n];
        const auto is_limited = gate.is_limited(now, server);
        // Only the mechanism's limit is of interest, so an instance sends nothing to a server without one.
        if (!is_idle && is_limited) {
            static_cast<void>(gate.wait(now, server, n + 1, now + 1s, 1));
            while (gate.pass(now, server)) {
                arrivals.push_back(now);
            }
        }
        if (now < busy_until[n]) {
            return;
        }
        busy_until[n] = now + duration{200ms} + duration{1ms} * (random() % 50);
        const auto requests = gate.take_requests(now);
        if (!has_coordinator || random() % 100 < lost_percent) {
            return;
        }
        const auto instance = instance_id{std::to_string(n)};
        auto grants = allocator.take(now, instance, requests, coordinator_servers);
        if (random() % 100 >= lost_percent) {
            answers.emplace(now + duration{1ms} * (2 + random() % 59),
                            pending_answer{n, now, std::move(grants)});
        }
    }
};

} // namespace

TEST_GROUP(cold_start){};

// Guards against more than `ColdPerS` requests to a cold server in any second, and against a server that gets
// nothing although there are tokens.
TEST(cold_start, fleet_keeps_the_limit_and_uses_it) {
    for (const auto per_s : {1.0, 8.0, 30.0}) {
        auto it = fleet{90, per_s};
        it.read_entry(make_entry(1, 20s));
        it.run(20s);
        CHECK_TRUE(it.max_in_any_second(time_point{}) <= static_cast<std::size_t>(per_s));
        // The first period belongs to the predecessor; afterwards at least half of the limit is used.
        CHECK_TRUE(static_cast<double>(it.arrived_since(time_point{1h} + 2s)) >= 0.5 * per_s * 18);
    }
}

// Guards against tokens that are handed out twice when reports and answers are lost, or that are used after
// they have lapsed.
TEST(cold_start, fleet_keeps_the_limit_while_reports_are_lost) {
    auto it = fleet{63, 12};
    it.lost_percent = 30;
    it.read_entry(make_entry(1, 20s));
    it.run(20s);
    CHECK_TRUE(it.max_in_any_second(time_point{}) <= 12);
    CHECK_TRUE(it.arrivals.size() > 40);
}

// Guards against two coordinators whose tokens are used in the same second, and against requests without one.
TEST(cold_start, fleet_keeps_the_limit_across_coordinators) {
    const auto entry = make_entry(1, 60s);
    auto it = fleet{90, 20};
    it.read_entry(entry);
    it.run(5s);
    it.replace_coordinator(2, entry); // handed over
    it.run(5s);
    it.has_coordinator = false; // lost
    it.run(500ms);
    const auto without = it.now;
    it.run(3s);
    CHECK_EQUAL(0U, it.arrived_since(without));
    it.has_coordinator = true;
    it.replace_coordinator(3, entry);
    it.run(5s);
    CHECK_TRUE(it.arrived_since(without) > 30);
    CHECK_TRUE(it.max_in_any_second(time_point{}) <= 20);
}

// Guards against a server that is cold for ever because instances and the coordinator confirm each other, and
// against a restart under the same id that is taken for the same run.
TEST(cold_start, limit_ends_gradually_and_starts_anew_with_a_restart) {
    auto it = fleet{20, 8};
    it.read_entry(make_entry(1, 3s));
    it.run(2900ms);
    it.read_entry(make_entry(1, 3s)); // the same entry again does not start anew
    it.run(200ms);
    CHECK_TRUE(it.gates[0].servers().is_recovering(it.now, server));
    it.run(1s);
    DOUBLES_EQUAL(16, it.coordinator_servers.own_limit_of(it.now, server).value_or(0), 1e-9);
    it.run(4600ms);
    CHECK_FALSE(it.gates[0].is_limited(it.now, server));
    CHECK_FALSE(it.coordinator_servers.own_limit_of(it.now, server).has_value());

    it.read_entry(make_entry(2, 3s));
    const auto restarted = it.now;
    it.run(2900ms);
    CHECK_TRUE(it.arrived_since(restarted) > 0);
    CHECK_TRUE(it.max_in_any_second(restarted) <= 8);
}

// Guards against instances that overload a server whose restart only some of them have noticed, against one
// instance with a broken network that slows a server down for all, and against a suspicion that never ends.
TEST(cold_start, lost_connections_of_many_make_the_server_suspect_everywhere) {
    auto it = fleet{20, 8};
    it.read_entry(make_entry(1, {}));
    it.run(2s);
    it.gates[3].servers().on_connection_lost(it.now, server);
    it.run(700ms);
    CHECK_EQUAL(1, std::count_if(it.gates.begin(), it.gates.end(),
                                 [&](const auto& gate) { return gate.is_limited(it.now, server); }));
    CHECK_TRUE(it.arrivals.size() > 0);
    for (std::size_t n = 0; n < 10; ++n) {
        it.gates[n].servers().on_connection_lost(it.now, server);
    }
    it.run(700ms);
    CHECK_TRUE(std::all_of(it.gates.begin(), it.gates.end(),
                           [&](const auto& gate) { return gate.is_limited(it.now, server); }));
    it.run(4s);
    CHECK_TRUE(std::none_of(it.gates.begin(), it.gates.end(),
                            [&](const auto& gate) { return gate.is_limited(it.now, server); }));
    it.gates[3].servers().on_connection_lost(it.now, server);
    it.read_entry(make_entry(2, {})); // its entry says that it is not cold
    CHECK_FALSE(it.gates[3].is_limited(it.now, server));
}

// Guards against any effect where the rules state no limit.
TEST(cold_start, does_nothing_without_a_limit) {
    for (const auto& rules : {make_rules(0), make_rules(8, 0s)}) {
        auto gate = cold_start_gate{};
        gate.servers().set_rules(rules);
        gate.servers().set_servers(time_point{1h}, {make_entry(1, 5s)});
        gate.servers().on_connection_lost(time_point{1h}, server);
        CHECK_TRUE(gate.pass(time_point{1h}, server));
        CHECK_TRUE(gate.take_requests(time_point{1h}).empty());
        CHECK_TRUE(gate.servers().limited(time_point{1h}).empty());
    }
}

// Guards against urgent work that waits behind work with more time, and against waiting without hope.
TEST(cold_start, most_urgent_work_goes_first) {
    const auto now = time_point{1h};
    auto gate = cold_start_gate{};
    gate.servers().set_rules(make_rules(2));
    gate.servers().set_servers(now, {make_entry(1, 5s)});
    CHECK_TRUE(gate.wait(now, server, 1, now + 900ms, 2));
    CHECK_TRUE(gate.wait(now, server, 2, now + 300ms, 1));
    CHECK_FALSE(gate.wait(now, server, 2, now + 300ms, 1));
    CHECK_EQUAL(3U, gate.take_requests(now).at(0).wanted);
    gate.on_grants(now, now, {{server, 1}});
    CHECK_FALSE(gate.may_pass(now, server, 1, now + 900ms));
    CHECK_TRUE(gate.may_pass(now, server, 2, now + 300ms));
    CHECK_FALSE(gate.pass(now + 250ms, server)); // lapsed, and the work no longer waits
    CHECK_EQUAL(1U, gate.take_counts().lapsed);
    static_cast<void>(gate.wait(now, server, 1, now + 900ms, 2));
    static_cast<void>(gate.wait(now, server, 2, now + 300ms, 1));
    CHECK_FALSE(gate.is_hopeless(now, server, 2, now + 300ms));
    // Three tokens before it take 1.5 s of a limit of 2 per second.
    CHECK_TRUE(gate.is_hopeless(now, server, 3, now + 1s));
}
