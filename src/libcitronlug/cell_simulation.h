#pragma once

// Simulated network, store and clocks for the tests of cell nodes. Include citronlug/testing.h first.

#include <citronlug/cell_node.h>

#include <queue>

namespace citronlug::testing {

/// One instance of the simulated cell. Its local clock runs at `clock_rate` times true time.
struct simulated_node {
    std::string id;
    std::string domain;
    double clock_rate = 1.0;
    time_point true_start = at(0ms); ///< true time at which the local clock showed `local_start`
    time_point local_start = at(0ms);
    std::unique_ptr<cell_node> node; ///< null while it is down
    incarnation run = 0;
    time_point paused_until;
    bool reaches_store = true;
    std::map<role_id, epoch_number> held;
    std::map<role_id, bool> after_expiry; ///< from `role_gained`
    time_point true_authority_until;      ///< end of the node's authority in true time
    int store_calls = 0;
};

/// Fault that a test injects into one store call.
struct store_call_fault {
    bool lost = false; ///< fails without being applied
    duration before_effect{};
    duration before_reply{};
};

/// Discrete-event simulation of a cell in true time; deterministic for a given seed.
class cell_simulation {
public:
    cell_simulation(int members, std::uint64_t seed, double drift = 0.0)
        : random_{seed} {
        for (auto n = 0; n < members; ++n) {
            auto it = std::make_unique<simulated_node>();
            it->id = fmt::format("i{}", n + 1);
            it->domain = fmt::format("d{}", n % 3 + 1);
            it->clock_rate = 1.0 + drift * (2.0 * random_fraction() - 1.0);
            nodes.push_back(std::move(it));
        }
        blocked.assign(nodes.size(), std::vector<bool>(nodes.size(), false));
    }

    std::vector<std::unique_ptr<simulated_node>> nodes;
    std::vector<std::vector<bool>> blocked; ///< blocked[from][to]
    std::vector<role_id> roles;
    double loss = 0;
    double duplication = 0;
    duration max_delay = 3ms;
    bool store_up = true;
    double store_loss = 0; ///< probability of a lost call, a lost reply or a late effect, a third each
    cell_record stored;    ///< record in the store
    std::vector<std::string> violations; ///< violated invariants, with their time
    std::size_t messages = 0;
    std::vector<cell_event> events;
    time_point now = at(0ms);
    std::function<void(std::size_t, const peer_message&)> on_message; ///< called after each delivered message
    std::function<bool(std::size_t from, const send_peer&)> message_filter; ///< false drops the message
    std::function<store_call_fault(std::size_t from, bool is_write)> inject_store_fault;

    [[nodiscard]] auto random_fraction() -> double { return std::uniform_real_distribution<>{}(random_); }
    [[nodiscard]] auto random_below(int n) -> int {
        return std::uniform_int_distribution<>{0, n - 1}(random_);
    }
    [[nodiscard]] auto local_time(std::size_t n) const -> time_point {
        const auto& it = *nodes[n];
        return it.local_start + std::chrono::duration_cast<duration>((now - it.true_start) * it.clock_rate);
    }
    [[nodiscard]] auto true_time(std::size_t n, time_point t) const -> time_point {
        const auto& it = *nodes[n];
        return it.true_start + std::chrono::duration_cast<duration>((t - it.local_start) / it.clock_rate);
    }
    /// Changes the rate of a node's clock, which continues from its current local time.
    auto set_rate(std::size_t n, double rate) -> void {
        nodes[n]->local_start = local_time(n);
        nodes[n]->true_start = now;
        nodes[n]->clock_rate = rate;
    }
    auto set_roles(std::size_t n) -> void {
        deliver(n, nodes[n]->run, [this, n] { nodes[n]->node->set_roles(local_time(n), roles); });
    }

    auto start(std::size_t n) -> void {
        auto& it = *nodes[n];
        it.run = random_();
        it.held.clear();
        it.paused_until = now;
        it.true_authority_until = at(0ms);
        auto self =
            cell_member{instance_id{it.id}, it.run, it.id + ":1", it.id + ":2", failure_domain{it.domain}};
        it.node =
            std::make_unique<cell_node>(cell_id{"c1"}, self, lease_settings{}, random_(), local_time(n));
        it.node->set_roles(local_time(n), roles);
        tick(n, it.run);
    }
    auto start_all() -> void {
        for (auto n = std::size_t{0}; n < nodes.size(); ++n) {
            start(n);
        }
    }
    auto crash(std::size_t n) -> void {
        nodes[n]->node.reset();
        nodes[n]->held.clear();
    }
    auto pause(std::size_t n, duration span) -> void { nodes[n]->paused_until = now + span; }
    /// Blocks all traffic between the two sides of a partition; bit n of `side` is the side of node n.
    auto partition(unsigned side) -> void {
        for (auto a = std::size_t{0}; a < nodes.size(); ++a) {
            for (auto b = std::size_t{0}; b < nodes.size(); ++b) {
                blocked[a][b] = ((side >> a) & 1U) != ((side >> b) & 1U);
            }
        }
    }
    auto set_blocked(std::size_t a, std::size_t b, bool is_blocked = true) -> void {
        blocked[a][b] = blocked[b][a] = is_blocked;
    }
    auto heal() -> void {
        partition(0);
        loss = duplication = store_loss = 0;
        max_delay = 3ms;
        store_up = true;
        for (auto& it : nodes) {
            it->reaches_store = true;
        }
    }
    auto leave(std::size_t n) -> void {
        deliver(n, nodes[n]->run, [this, n] { nodes[n]->node->start_leave(local_time(n)); });
    }

    auto run(duration span) -> void {
        const auto end = now + span;
        while (!queue_.empty() && queue_.top().at <= end) {
            auto next = queue_.top();
            queue_.pop();
            now = std::max(now, next.at);
            next.act();
        }
        now = end;
    }
    /// Runs until the condition holds; returns false if it does not within `span`.
    template <class Condition>
    auto run_until(duration span, Condition condition) -> bool {
        const auto end = now + span;
        while (!condition()) {
            if (now >= end) {
                return false;
            }
            run(20ms);
        }
        return true;
    }

    /// True if the node holds the role and its authority has not expired.
    [[nodiscard]] auto holds_role(std::size_t n, const role_id& role) const -> bool {
        const auto& it = *nodes[n];
        return it.node && it.true_authority_until > now && it.held.contains(role);
    }
    /// Index of the node that holds the role; -1 if there is none.
    [[nodiscard]] auto holder(const role_id& role) const -> int {
        for (auto n = std::size_t{0}; n < nodes.size(); ++n) {
            if (holds_role(n, role)) {
                return static_cast<int>(n);
            }
        }
        return -1;
    }
    [[nodiscard]] auto all_held() const -> bool {
        return std::all_of(roles.begin(), roles.end(), [&](const auto& it) { return holder(it) >= 0; });
    }
    [[nodiscard]] auto all_joined() const -> bool {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto& it) {
            return !it->node ||
                   (it->node->record().members.size() == nodes.size() &&
                    it->node->has_majority(local_time(static_cast<std::size_t>(&it - nodes.data()))));
        });
    }
    /// Delivers an event to a node; a paused node handles it when the pause ends.
    auto deliver(std::size_t n, incarnation run, std::function<void()> act) -> void {
        auto& it = *nodes[n];
        if (!it.node || it.run != run) {
            return;
        }
        if (now < it.paused_until) {
            after(it.paused_until - now, [this, n, run, act = std::move(act)] { deliver(n, run, act); });
            return;
        }
        act();
        perform_actions(n);
    }
    auto after(duration span, std::function<void()> act) -> void {
        queue_.push({now + span, ++sequence_, std::move(act)});
    }

private:
    struct entry {
        time_point at;
        std::uint64_t sequence;
        std::function<void()> act;
        auto operator<(const entry& other) const -> bool {
            return std::pair{at, sequence} > std::pair{other.at, other.sequence};
        }
    };

    [[nodiscard]] auto delay() -> duration {
        return duration{200 + random_below(static_cast<int>(max_delay.count()))};
    }

    auto tick(std::size_t n, incarnation run) -> void {
        if (!nodes[n]->node || nodes[n]->run != run) {
            return;
        }
        deliver(n, run, [this, n] { nodes[n]->node->on_timer(local_time(n)); });
        const auto pause = std::max(duration{0}, duration{nodes[n]->paused_until - now});
        after(pause + 100ms, [this, n, run] { tick(n, run); });
    }
    auto perform_actions(std::size_t n) -> void {
        auto& it = *nodes[n];
        for (auto& action : it.node->take_actions()) {
            if (auto* message = std::get_if<send_peer>(&action)) {
                send(n, *message);
            } else if (auto* get = std::get_if<store_get>(&action)) {
                call_store(n, get->call, std::nullopt);
            } else if (auto* put = std::get_if<store_put>(&action)) {
                call_store(n, put->call, *put);
            } else if (auto* gained = std::get_if<role_gained>(&action)) {
                it.held[gained->role] = gained->epoch;
                it.after_expiry[gained->role] = gained->after_expiry;
                auto& newest = epochs_[gained->role];
                if (gained->epoch <= newest) {
                    violations.push_back(fmt::format("{} us: {} gains {} with epoch {}, which is not newer",
                                                     (now - at(0ms)).count(), it.id, gained->role.name,
                                                     gained->epoch));
                }
                newest = std::max(newest, gained->epoch);
            } else if (auto* lost = std::get_if<role_lost>(&action)) {
                it.held.erase(lost->role);
            } else if (auto* event = std::get_if<cell_event>(&action)) {
                events.push_back(*event);
            }
        }
        it.true_authority_until = true_time(n, it.node->authority_until());
        check(n);
    }
    // A node gains roles and authority only while it handles an event, so comparing that node is enough.
    auto check(std::size_t n) -> void {
        for (const auto& [role, epoch] : nodes[n]->held) {
            for (auto other = std::size_t{0}; other < nodes.size(); ++other) {
                if (other != n && holds_role(n, role) && holds_role(other, role)) {
                    violations.push_back(fmt::format("{} us: {} and {} both hold {}", (now - at(0ms)).count(),
                                                     nodes[n]->id, nodes[other]->id, role.name));
                }
            }
        }
    }
    auto send(std::size_t from, const send_peer& message) -> void {
        ++messages;
        if (message_filter && !message_filter(from, message)) {
            return;
        }
        const auto to = static_cast<std::size_t>(std::stoi(message.to.value.substr(1)) - 1);
        const auto copies = random_fraction() < loss ? 0 : random_fraction() < duplication ? 2 : 1;
        for (auto n = 0; n < copies && !blocked[from][to]; ++n) {
            after(delay(), [this, from, to, it = message.message] {
                if (!blocked[from][to] && nodes[to]->node) {
                    deliver(to, nodes[to]->run, [this, to, it] {
                        nodes[to]->node->on_peer_message(local_time(to), it);
                        if (on_message) {
                            on_message(to, it);
                        }
                    });
                }
            });
        }
    }
    auto call_store(std::size_t n, std::uint64_t call, std::optional<store_put> put) -> void {
        const auto run = nodes[n]->run;
        ++nodes[n]->store_calls;
        const auto reply = [this, n, run, call](duration wait, const store_reply& it) {
            after(wait, [this, n, run, call, it] {
                deliver(n, run,
                        [this, n, call, it] { nodes[n]->node->on_store_reply(local_time(n), call, it); });
            });
        };
        const auto fault = inject_store_fault ? inject_store_fault(n, put.has_value()) : store_call_fault{};
        if (fault.lost || !store_up || !nodes[n]->reaches_store || random_fraction() < store_loss / 3) {
            reply(300ms, {});
            return;
        }
        const auto answer_lost = random_fraction() < store_loss / 3;
        const auto late = random_fraction() < store_loss / 3; // applied after the caller's time-out
        if (late) {
            reply(300ms, {});
        }
        const auto wait = fault.before_effect + (late ? duration{300ms} + 1000 * delay() / 3 : delay());
        after(wait, [this, reply, put, answer_lost, late, fault] {
            const auto answer = apply_call(put);
            if (!late) {
                answer_lost ? reply(300ms, {}) : reply(delay() + fault.before_reply, answer);
            }
        });
    }
    auto apply_call(const std::optional<store_put>& put) -> store_reply {
        if (!put) {
            return stored.version == 0 ? store_reply{store_status::not_found}
                                       : store_reply{store_status::ok, stored.version, value_};
        }
        if (put->expected_version != stored.version) {
            return {store_status::conflict};
        }
        stored = std::get<cell_record>(parse_cell_record(put->value, stored.version + 1));
        value_ = put->value;
        return {store_status::ok, stored.version};
    }

    std::mt19937_64 random_;
    std::priority_queue<entry> queue_;
    std::uint64_t sequence_ = 0;
    std::string value_;
    std::map<role_id, epoch_number> epochs_;
};

inline auto database_role(const std::string& name) -> role_id {
    return {role_kind::database, name};
}
inline auto account_role(const std::string& name) -> role_id {
    return {role_kind::account, name};
}

} // namespace citronlug::testing
