#include <atomic>
#include <cstdlib>
#include <future>

#include <citronlug/testing.h>

#include "cell_simulation.h"

using namespace citronlug;
using namespace citronlug::testing;

namespace {

auto schedules() -> int {
    const auto* text = std::getenv("CITRONLUG_SCHEDULES");
    return text != nullptr ? std::atoi(text) : 1000;
}

/// Lets one random fault begin now; returns what ends it early where it has a length of its own.
auto inject(cell_simulation& cell, duration length) -> std::string {
    const auto n = static_cast<std::size_t>(cell.below(static_cast<int>(cell.nodes.size())));
    const auto later = [&](auto act) {
        cell.after(length, act);
    };
    switch (cell.below(9)) {
    case 0:
        cell.crash(n);
        later([&cell, n] {
            if (!cell.nodes[n]->node) {
                cell.start(n);
            }
        });
        return fmt::format("crash {}", n);
    case 1:
        cell.pause(n, length);
        return fmt::format("pause {}", n);
    case 2: {
        const auto side = static_cast<unsigned>(cell.below(1 << cell.nodes.size()));
        cell.split(side);
        later([&cell] { cell.split(0); });
        return fmt::format("split {:b}", side);
    }
    case 3: {
        const auto other = static_cast<std::size_t>(cell.below(static_cast<int>(cell.nodes.size())));
        cell.blocked[n][other] = true; // one direction only
        later([&cell, n, other] { cell.blocked[n][other] = false; });
        return fmt::format("one-way {} {}", n, other);
    }
    case 4:
        cell.store_up = false;
        later([&cell] { cell.store_up = true; });
        return "store down";
    case 5:
        cell.store_loss = 0.6;
        later([&cell] { cell.store_loss = 0; });
        return "store answers lost";
    case 6:
        cell.loss = 0.3;
        cell.duplication = 0.3;
        cell.max_delay = 600ms;
        later([&cell] {
            cell.loss = cell.duplication = 0;
            cell.max_delay = 3ms;
        });
        return "bad network";
    case 7:
        cell.leave(n);
        later([&cell, n] { cell.start(n); });
        return fmt::format("leave {}", n);
    default:
        cell.nodes[n]->reaches_store = false;
        later([&cell, n] { cell.nodes[n]->reaches_store = true; });
        return fmt::format("no store {}", n);
    }
}

/// Runs one schedule; returns what went wrong.
auto run_schedule(std::uint64_t seed) -> std::string {
    auto choice = std::mt19937_64{seed};
    const auto members = static_cast<int>(3 + choice() % 7);
    auto cell = cell_simulation{members, seed, 0.05};
    cell.roles = {database_role("a"), database_role("b"), database_role("c"), account_role("x"),
                  account_role("y")};
    cell.start_all();
    cell.run(choice() % 4 == 0 ? 500ms : 6s); // some faults hit the start
    auto trace = std::string{};
    const auto faults = 2 + choice() % 4;
    for (auto n = 0U; n < faults; ++n) {
        const auto length = duration{300'000 + static_cast<std::int64_t>(choice() % 6'000'000)};
        const auto name = inject(cell, length);
        trace += fmt::format(" [{:.1f} s: {} for {:.1f} s]", (cell.now - at(0ms)).count() / 1e6, name,
                             length.count() / 1e6);
        cell.run(duration{static_cast<std::int64_t>(choice() % 2'500'000)});
    }
    cell.run(7s);
    cell.heal();
    for (auto n = std::size_t{0}; n < cell.nodes.size(); ++n) {
        if (!cell.nodes[n]->node) {
            cell.start(n);
        }
    }
    const auto live = cell.run_until(8s, [&] { return cell.all_held(); });
    if (!cell.faults.empty()) {
        return fmt::format("seed {} with {} members: {}{}", seed, members, cell.faults.front(), trace);
    }
    return live ? std::string{}
                : fmt::format("seed {} with {} members: a role has no holder 8 s after healing{}", seed,
                              members, trace);
}

} // namespace

TEST_GROUP_BASE(random_schedules, citronlug::testing::story){};

// Guards against two instances that act on one role at the same moment, and against roles that stay without a
// holder after all faults have ended.
TEST(random_schedules, one_holder_at_most_and_all_roles_held_after_healing) {
    constexpr auto threads = 4;
    auto failed = std::atomic<int>{0};
    auto workers = std::vector<std::future<void>>{};
    for (auto first = 1; first <= threads; ++first) {
        workers.push_back(std::async(std::launch::async, [&failed, first] {
            for (auto seed = first; seed <= schedules(); seed += threads) {
                const auto fault = run_schedule(static_cast<std::uint64_t>(seed));
                if (!fault.empty() && ++failed <= 10) {
                    fmt::print("{}\n", fault);
                }
            }
        }));
    }
    for (auto& it : workers) {
        it.get();
    }
    CHECK_EQUAL(0, failed.load());
}
