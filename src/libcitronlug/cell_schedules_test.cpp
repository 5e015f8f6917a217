#include <atomic>
#include <cstdlib>
#include <future>

#include <citronlug/testing.h>

#include "account_traffic.h"

#include <citronlug/config_propagation.h>

using namespace citronlug;
using namespace citronlug::testing;

namespace {

auto schedule_count() -> int {
    const auto* text = std::getenv("CITRONLUG_SCHEDULES");
    return text != nullptr ? std::atoi(text) : 1000;
}

/// Starts one random fault that ends after `length`; returns its description.
auto inject(cell_simulation& cell, duration length) -> std::string {
    const auto n = static_cast<std::size_t>(cell.random_below(static_cast<int>(cell.nodes.size())));
    const auto later = [&](auto act) {
        cell.after(length, act);
    };
    switch (cell.random_below(9)) {
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
        const auto side = static_cast<unsigned>(cell.random_below(1 << cell.nodes.size()));
        cell.partition(side);
        later([&cell] { cell.partition(0); });
        return fmt::format("split {:b}", side);
    }
    case 3: {
        const auto other = static_cast<std::size_t>(cell.random_below(static_cast<int>(cell.nodes.size())));
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

/// Configuration whose version increases at the store and propagates to the members; store reads may be
/// stale.
class config_traffic {
public:
    explicit config_traffic(cell_simulation& cell)
        : cell_{cell}
        , members_(cell.nodes.size()) {
        cell_.on_message = [this](std::size_t n, const peer_message& it) {
            members_[n].propagation->on_peer_message(cell_.local_time(n), it);
        };
        tick();
    }
    std::vector<std::string> violations;

    [[nodiscard]] auto held_by_all() const -> bool {
        return std::all_of(members_.begin(), members_.end(), [&](const auto& it) {
            return it.propagation && it.propagation->held() == version_;
        });
    }

private:
    struct member {
        incarnation run = 0;
        std::optional<config_propagation> propagation;
        std::uint64_t applied = 0;
    };

    auto tick() -> void {
        if (cell_.store_up && cell_.random_below(20) == 0 && cell_.now < at(20s)) {
            ++version_;
        }
        for (auto n = std::size_t{0}; n < members_.size(); ++n) {
            const auto& node = *cell_.nodes[n];
            auto& it = members_[n];
            if (it.run != node.run) {
                it = member{node.run, config_propagation{cell_id{"c1"}, instance_id{node.id}, 1}};
            }
            if (node.node && cell_.now >= node.paused_until) {
                propagate(n, it);
            }
        }
        cell_.after(100ms, [this] { tick(); });
    }
    auto propagate(std::size_t n, member& it) -> void {
        const auto now = cell_.local_time(n);
        auto& node = *cell_.nodes[n];
        const auto relay = it.propagation->is_relay(node.node->live_members(now));
        if (it.propagation->poll_due(now, node.node->has_majority(now) && !relay)) {
            read(n, it, now);
        }
        if (const auto source = it.propagation->next_fetch(now)) {
            const auto from = source->peer ? std::stoul(source->peer->value.substr(1)) - 1 : n;
            if (!source->peer) {
                read(n, it, now);
            } else if (!cell_.blocked[from][n] && !cell_.blocked[n][from] && members_[from].propagation) {
                apply(n, it, members_[from].propagation->held());
            }
        }
        node.node->set_config_version(it.propagation->held());
    }
    auto read(std::size_t n, member& it, time_point now) -> void {
        if (cell_.store_up && cell_.nodes[n]->reaches_store) {
            const auto stale = cell_.random_below(5) == 0 && version_ > 3 ? 3U : 0U;
            it.propagation->on_store_read(now, version_ - stale);
            apply(n, it, version_ - stale);
        }
    }
    auto apply(std::size_t n, member& it, std::uint64_t version) -> void {
        if (it.propagation->on_content(version)) {
            if (version <= it.applied) {
                violations.push_back(
                    fmt::format("{} reverts from configuration {} to {}", n, it.applied, version));
            }
            it.applied = version;
        }
    }

    cell_simulation& cell_;
    std::vector<member> members_;
    std::uint64_t version_ = 1;
};

/// Randomly turns the demand of each node on or off, so that grants remain unspent or are spent late.
auto switch_demand(cell_simulation& cell, account_traffic& traffic) -> void {
    for (auto& it : traffic.demand) {
        it = cell.random_below(2) == 0 ? 0.0 : 90.0;
    }
    cell.after(150ms, [&cell, &traffic] { switch_demand(cell, traffic); });
}

/// Runs one random schedule of faults; returns a description of the first violation, empty if there is none.
auto run_schedule(std::uint64_t seed) -> std::string {
    auto choice = std::mt19937_64{seed};
    const auto members = static_cast<int>(3 + choice() % 7);
    auto cell = cell_simulation{members, seed, 0.05};
    cell.roles = {database_role("a"), database_role("b"), database_role("c"), account_role("x"),
                  account_role("y")};
    cell.start_all();
    auto config = config_traffic{cell};
    // A clock that is 5% fast earns 5% more tokens in true time.
    auto traffic = account_traffic{cell, "granted", account_role("x"), {50, 20}, 0.05};
    switch_demand(cell, traffic);
    cell.run(choice() % 4 == 0 ? 500ms : 6s); // some faults occur while the cell starts
    auto trace = std::string{};
    const auto fault_count = 2 + choice() % 4;
    for (auto n = 0U; n < fault_count; ++n) {
        const auto length = duration{300'000 + static_cast<std::int64_t>(choice() % 6'000'000)};
        const auto name = inject(cell, length);
        trace += fmt::format(" [{:.1f} s: {} for {:.1f} s]",
                             std::chrono::duration<double>{cell.now - at(0ms)}.count(), name,
                             std::chrono::duration<double>{length}.count());
        cell.run(duration{static_cast<std::int64_t>(choice() % 2'500'000)});
    }
    cell.run(7s);
    cell.heal();
    for (auto n = std::size_t{0}; n < cell.nodes.size(); ++n) {
        if (!cell.nodes[n]->node) {
            cell.start(n);
        }
    }
    const auto recovered = cell.run_until(8s, [&] { return cell.all_held(); });
    if (!cell.violations.empty()) {
        return fmt::format("seed {} with {} members: {}{}", seed, members, cell.violations.front(), trace);
    }
    return recovered ? std::string{}
                     : fmt::format("seed {} with {} members: a role has no holder 8 s after healing{}", seed,
                                   members, trace);
}

} // namespace

TEST_GROUP_BASE(random_schedules, citronlug::testing::test_base){};

// Guards against two instances that hold one role at the same time, epochs that do not increase, and roles
// without a holder 8 s after all faults have ended. The results of the configuration and account traffic are
// not checked.
TEST(random_schedules, roles_stay_exclusive_and_recover) {
    constexpr auto threads = 4;
    auto failed = std::atomic<int>{0};
    auto workers = std::vector<std::future<void>>{};
    for (auto first = 1; first <= threads; ++first) {
        workers.push_back(std::async(std::launch::async, [&failed, first] {
            for (auto seed = first; seed <= schedule_count(); seed += threads) {
                const auto violation = run_schedule(static_cast<std::uint64_t>(seed));
                if (!violation.empty() && ++failed <= 10) {
                    fmt::print("{}\n", violation);
                }
            }
        }));
    }
    for (auto& it : workers) {
        it.get();
    }
    CHECK_EQUAL(0, failed.load());
}
