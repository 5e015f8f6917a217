#include <citronlug/server_pool.h>

#include <citronlug/testing.h>

#include <queue>
#include <random>

using namespace citronlug;
using namespace citronlug::testing;

namespace {

/// Time that the server takes for a new connection and for a statement.
constexpr auto connect_time = duration{15ms};
constexpr auto statement_time = duration{35ms};
/// A statement fails if it has no connection within this time.
constexpr auto statement_timeout = duration{600ms};

/// Many instances that share a server with few connections and run statements of many accounts.
struct contended_server {
    contended_server(std::size_t instances, std::uint32_t connections, std::size_t accounts)
        : connections{connections}
        , accounts{accounts} {
        server.id = server_id{"s1"};
        server.group = group_id{"g1"};
        server.slots = 6;
        for (auto n = std::size_t{0}; n < instances; ++n) {
            auto& it = pools.emplace_back(failure_domain{"a"});
            it.set_budget(server.group,
                          connection_budget_for(connections, static_cast<std::uint32_t>(instances)));
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
                next.action();
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
                const auto late = now - it.received > statement_timeout;
                timed_out += late ? 1 : 0;
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
            ++limit_exceeded;
            pool.remove(opened.connection);
            pool.on_connection_limit(server.id, now);
            return false;
        }
        ++open;
        schedule(connect_time, [this, n = it.instance, id = opened.connection] {
            pools[n].on_opened(id, now);
            run_on(n, pools[n].acquire_any(server.id, now));
        });
        return true;
    }

    auto run_on(std::size_t instance, connection_id id) -> void {
        schedule(statement_time, [this, instance, id] {
            pools[instance].release(id, now);
            ++served;
        });
    }

    auto schedule(duration span, std::function<void()> action) -> void {
        events.push({now + span, std::move(action)});
    }

    struct event {
        time_point at;
        std::function<void()> action;
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
    int timed_out = 0;
    int openings = 0;
    int limit_exceeded = 0;
};

} // namespace

TEST_GROUP_BASE(connections_of_a_server, citronlug::testing::test_base){};

// Guards against a fleet, larger than a server's number of connections, that keeps all of them open for
// accounts that do not return, so that other accounts cannot connect.
TEST(connections_of_a_server, leaves_free_connections_when_instances_outnumber_them) {
    auto it = contended_server{83, 82, 84};
    it.run(20s, 60);
    CHECK(it.served > 1000);
    CHECK_EQUAL(0, it.timed_out);
    CHECK_EQUAL(0, it.limit_exceeded);
}

// Guards against large fleets that close connections sooner than their share of a server requires: each
// statement would open a connection.
TEST(connections_of_a_server, keeps_a_share_below_one_connection_for_that_part_of_a_second) {
    const auto budget = connection_budget_for(82, 80); // half of 80 usable connections, so half of one each
    CHECK_EQUAL(1U, budget.share);
    CHECK(budget.idle_timeout == duration{500ms});
}

// Guards against opening a connection for each statement although there are enough for all instances.
TEST(connections_of_a_server, keeps_connections_open_when_there_are_enough) {
    auto it = contended_server{9, 39, 1};
    it.run(20s, 60);
    CHECK_EQUAL(0, it.timed_out);
    CHECK(it.openings * 20 < it.served);
}

// Guards against statements that spend most of their time waiting because a server was briefly at its
// connection limit: other instances close idle connections all the time.
TEST(connections_of_a_server, retries_soon_after_a_server_reached_its_connection_limit) {
    auto it = contended_server{7, 16, 8};
    auto& pool = it.pools.front();
    pool.on_connection_limit(it.server.id, it.now);
    CHECK(pool.open(it.server, account_id{"0"}, it.now + 5ms).connection == 0);
    // Callers expect answers within 120 ms.
    CHECK(pool.open(it.server, account_id{"0"}, it.now + 30ms).connection != 0);
}

// Guards against instances that keep idle connections above their share, for accounts that do not return
// soon, while others cannot connect.
TEST(connections_of_a_server, shares_few_connections_among_instances_with_many_accounts) {
    auto it = contended_server{7, 16, 8};
    it.run(60s, 25);
    CHECK(it.served > 1000);
    CHECK_EQUAL(0, it.timed_out);
    CHECK_COMPARE(it.limit_exceeded * 50, <, it.served);
}

// Guards against new connections that take slots of a server which already has more statements than it can
// run.
TEST(connections_of_a_server, opens_no_further_connections_while_the_server_queue_is_full) {
    auto it = contended_server{9, 39, 2};
    auto& pool = it.pools.front();
    const auto first = pool.open(it.server, account_id{"0"}, it.now);
    CHECK(first.connection != 0);
    pool.on_opened(first.connection, it.now);
    pool.on_queue_full(it.server.id, it.now);
    CHECK(pool.open(it.server, account_id{"1"}, it.now + 300ms).connection == 0);
    CHECK(pool.open(it.server, account_id{"1"}, it.now + 600ms).connection != 0);
    // An instance without a connection may open one; otherwise the server's other callers would shut it out.
    it.pools.back().on_queue_full(it.server.id, it.now);
    CHECK(it.pools.back().open(it.server, account_id{"1"}, it.now + 100ms).connection != 0);
}
