#include <citronlug/server_pool.h>

#include <citronlug/testing.h>

#include <queue>
#include <random>

using namespace citronlug;
using namespace citronlug::testing;

namespace {

/// Cost of a new connection and of a statement at the server.
constexpr auto opening_span = duration{15ms};
constexpr auto statement_span = duration{35ms};
/// A statement without a connection by then is given up.
constexpr auto patience = duration{600ms};

/// Many instances before one server that accepts few connections, with statements of many accounts.
struct crowd {
    crowd(std::size_t instances, std::uint32_t connections, std::size_t accounts)
        : connections{connections}
        , accounts{accounts} {
        server.id = server_id{"s1"};
        server.group = group_id{"g1"};
        server.slots = 6;
        for (auto n = std::size_t{0}; n < instances; ++n) {
            auto& it = pools.emplace_back(failure_domain{"a"});
            it.set_budget(server.group, budget_of(connections, static_cast<std::uint32_t>(instances)));
            static_cast<void>(it.set_servers(now, {server}));
        }
    }

    struct statement {
        std::size_t instance = 0;
        account_id account;
        time_point received;
    };

    auto run(duration span, double statements_per_s) -> void {
        auto arrivals = std::poisson_distribution<int>{statements_per_s / 100};
        for (const auto end = now + span; now < end; now += 10ms) {
            while (!events.empty() && events.top().at <= now) {
                auto next = events.top();
                events.pop();
                next.act();
            }
            for (auto n = arrivals(random); n > 0; --n) {
                waiting.push_back(
                    {random() % pools.size(), account_id{std::to_string(random() % accounts)}, now});
            }
            for (auto& it : pools) {
                for (const auto id : it.surplus(now)) {
                    it.remove(id);
                    --open;
                }
            }
            std::erase_if(waiting, [&](const auto& it) {
                const auto late = now - it.received > patience;
                given_up += late ? 1 : 0;
                return late || start(it);
            });
        }
    }

    [[nodiscard]] auto start(const statement& it) -> bool {
        auto& pool = pools[it.instance];
        const auto idle = pool.acquire(server.id, it.account, {}, now);
        if (idle != 0) {
            run_on(it.instance, idle);
            return true;
        }
        const auto opened = pool.open(server, it.account, now);
        open -= opened.evicted != 0 ? 1 : 0;
        if (opened.connection == 0) {
            return false;
        }
        ++openings;
        if (open >= connections) {
            ++no_room;
            pool.remove(opened.connection);
            pool.on_no_room(server.id, now);
            return false;
        }
        ++open;
        later(opening_span, [this, n = it.instance, id = opened.connection] {
            pools[n].on_opened(id, now);
            run_on(n, pools[n].acquire_any(server.id, now));
        });
        return true;
    }

    auto run_on(std::size_t instance, connection_id id) -> void {
        later(statement_span, [this, instance, id] {
            pools[instance].release(id, now);
            ++served;
        });
    }

    auto later(duration span, std::function<void()> act) -> void {
        events.push({now + span, std::move(act)});
    }

    struct event {
        time_point at;
        std::function<void()> act;
        auto operator<(const event& other) const -> bool { return at > other.at; }
    };

    std::uint32_t connections;
    std::size_t accounts;
    time_point now{1h};
    backend_server server;
    std::vector<server_pool> pools;
    std::priority_queue<event> events;
    std::vector<statement> waiting;
    std::mt19937_64 random{11};
    std::uint32_t open = 0;
    int served = 0;
    int given_up = 0;
    int openings = 0;
    int no_room = 0;
};

} // namespace

TEST_GROUP_BASE(a_server_pool, citronlug::testing::test_base){};

// Guards against a fleet larger than a server's connections that keeps all of them open for accounts that do
// not come back, so that the others find no room.
TEST(a_server_pool, leaves_room_when_there_are_more_instances_than_connections) {
    auto it = crowd{83, 82, 84};
    it.run(20s, 60);
    CHECK(it.served > 1000);
    CHECK_EQUAL(0, it.given_up);
    CHECK_EQUAL(0, it.no_room);
}

// Guards against connections of large fleets that are closed sooner than their share of a server allows: each
// statement would open one.
TEST(a_server_pool, keeps_a_share_below_one_connection_for_that_part_of_a_second) {
    const auto budget = budget_of(82, 80); // half of 80 usable connections, so half of one each
    CHECK_EQUAL(1U, budget.share);
    CHECK(budget.idle_life == duration{500ms});
}

// Guards against connections that are opened for each statement although there are enough for all instances.
TEST(a_server_pool, keeps_connections_open_when_there_are_enough) {
    auto it = crowd{9, 39, 1};
    it.run(20s, 60);
    CHECK_EQUAL(0, it.given_up);
    CHECK(it.openings * 20 < it.served);
}

// Guards against statements that wait for most of their time because a server had no room for a moment: other
// instances close idle connections all the time.
TEST(a_server_pool, tries_a_server_without_room_again_soon) {
    auto it = crowd{7, 16, 8};
    auto& pool = it.pools.front();
    pool.on_no_room(it.server.id, it.now);
    CHECK(pool.open(it.server, account_id{"0"}, it.now + 5ms).connection == 0);
    // Callers expect answers within 120 ms.
    CHECK(pool.open(it.server, account_id{"0"}, it.now + 30ms).connection != 0);
}

// Guards against instances that keep idle connections above their share, for accounts that do not come back
// soon, while the others find no room.
TEST(a_server_pool, shares_few_connections_among_instances_with_many_accounts) {
    auto it = crowd{7, 16, 8};
    it.run(60s, 25);
    CHECK(it.served > 1000);
    CHECK_EQUAL(0, it.given_up);
    CHECK_COMPARE(it.no_room * 50, <, it.served);
}

// Guards against new connections that take the slots of a server which has more statements than it can run.
TEST(a_server_pool, opens_no_further_connections_to_a_full_server) {
    auto it = crowd{9, 39, 2};
    auto& pool = it.pools.front();
    const auto first = pool.open(it.server, account_id{"0"}, it.now);
    CHECK(first.connection != 0);
    pool.on_opened(first.connection, it.now);
    pool.on_full(it.server.id, it.now);
    CHECK(pool.open(it.server, account_id{"1"}, it.now + 300ms).connection == 0);
    CHECK(pool.open(it.server, account_id{"1"}, it.now + 600ms).connection != 0);
    // An instance without a connection may open one, or the full server's other callers would shut it out.
    it.pools.back().on_full(it.server.id, it.now);
    CHECK(it.pools.back().open(it.server, account_id{"1"}, it.now + 100ms).connection != 0);
}
