#include <citronlug/testing.h>

#include "cell_simulation.h"

#include <ctime>

using namespace citronlug;
using namespace citronlug::testing;

// Measures the cost of cell nodes and prints it for docs/leases.md: messages, bytes and processor time when
// idle, and store calls by phase.
TEST_GROUP_BASE(cell_cost, citronlug::testing::test_base) {
    static constexpr auto message_bytes = 120 + 66; ///< approximate encoded size plus TCP and IP headers

    static auto start_cell(int members, std::uint64_t seed)->std::unique_ptr<cell_simulation> {
        auto cell = std::make_unique<cell_simulation>(members, seed);
        for (auto n = 0; n < 2 * members; ++n) {
            cell->roles.push_back(database_role(fmt::format("db{}", n)));
        }
        cell->start_all();
        cell->run(45s);
        return cell;
    }
    static auto store_calls(const cell_simulation& cell)->int {
        auto sum = 0;
        for (const auto& it : cell.nodes) {
            sum += it->store_calls;
        }
        return sum;
    }
};

// Guards against heartbeat traffic that grows with the fleet and against store calls of a healthy cell.
TEST(cell_cost, idle_cells) {
    for (const auto& [cells, members] :
         {std::pair{1, 3}, std::pair{1, 9}, std::pair{3, 9}, std::pair{9, 9}}) {
        auto fleet = std::vector<std::unique_ptr<cell_simulation>>{};
        for (auto n = 0; n < cells; ++n) {
            fleet.push_back(start_cell(members, static_cast<std::uint64_t>(n) + 1));
        }
        constexpr auto span = 10s;
        auto messages = std::size_t{0};
        auto calls = 0;
        const auto begin = std::clock();
        for (auto& it : fleet) {
            messages -= it->messages;
            calls -= store_calls(*it);
            it->run(span);
            messages += it->messages;
            calls += store_calls(*it);
        }
        const auto cpu_ms = 1000.0 * static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
        const auto instances = cells * members;
        const auto per_node = static_cast<double>(messages) / instances / (span / 1s);
        fmt::print(
            "{:2} instances in cells of {}: {:.1f} messages/s sent by a node, {:.0f} bytes/s, {:.3f} ms of "
            "processor time per simulated second and node, {} store calls\n",
            instances, members, per_node, per_node * message_bytes, cpu_ms / instances / (span / 1s), calls);
        // Each node sends each peer one heartbeat and one answer in two heartbeat intervals.
        constexpr auto rounds_per_s = 1.25;
        CHECK(per_node <= 2 * rounds_per_s * (members - 1) + 0.1);
        CHECK_EQUAL(0, calls);
    }
}

// Guards against excessive store calls in each phase of a cell's life and against any in the idle state.
TEST(cell_cost, store_calls_by_phase) {
    auto cell = start_cell(9, 3);
    const auto phase = [&](const char* name, duration span) {
        const auto before = store_calls(*cell);
        const auto version = cell->stored.version;
        cell->run(span);
        const auto calls = store_calls(*cell) - before;
        fmt::print("{:<36} {:3} store calls ({} writes) in {} s\n", name, calls,
                   cell->stored.version - version, span / 1s);
        return calls;
    };
    cell->run(45s);
    CHECK_EQUAL(0, phase("idle", 30s));
    cell->leave(1);
    CHECK(phase("one leaves", 2s) <= 8);
    cell->start(1);
    CHECK(phase("it restarts", 10s) <= 40);
    CHECK(phase("afterwards", 60s) <= 30);
    for (const auto n : {0U, 3U, 6U}) {
        cell->crash(n);
    }
    CHECK(phase("loss of a failure domain (3 of 9)", 6s) <= 40);
    CHECK(phase("afterwards", 60s) <= 80);
    for (const auto n : {0U, 3U, 6U}) {
        cell->start(n);
    }
    CHECK(phase("failure domain restarts", 10s) <= 100);
    cell->store_up = false;
    CHECK(phase("store down", 30s) <= 60);
}
