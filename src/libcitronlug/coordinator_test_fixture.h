#pragma once

#include <citronlug/primary_coordinator.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace citronlug {

inline const auto group = group_id{"orders"};

inline auto server(const std::string& id) -> backend_server {
    auto it = backend_server{};
    it.id = server_id{id};
    it.group = group;
    it.address = "127.0.0.1:1";
    return it;
}

/// Store with conditional writes and revisions.
struct fake_store {
    std::map<std::string, std::pair<std::string, std::uint64_t>> records;
    std::uint64_t revision = 10;

    auto write(const write_record& it) -> write_outcome {
        const auto known = records.find(it.name);
        const auto present = known == records.end() ? 0 : known->second.second;
        if (present != it.expected_revision) {
            return write_outcome::conflict;
        }
        records[it.name] = {it.value, ++revision};
        return write_outcome::done;
    }
};

/// State of a backend server that probes and promotions see.
struct fake_server {
    bool alive = true;
    bool is_primary = false;
    term_number term = 1;
    log_position log = 100;
    bool is_cold = false; ///< status requests find no token
};

// Three servers, of which s1 is the primary, and a coordinator at each of the instances "a" and "b", which
// share a store.
struct coordinator_fixture : Utest {
    time_point now{1h};
    fake_store store;
    std::map<server_id, fake_server> server_states;
    std::map<std::string, std::unique_ptr<primary_coordinator>> coordinators;
    std::map<std::string, bool> running;
    std::vector<backend_server> registered_servers{server("s1"), server("s2"), server("s3")};
    std::set<instance_id> registered{instance_id{"a"}, instance_id{"b"}};
    std::vector<order_promotion> orders;
    std::vector<server_id> asked; ///< servers that were probed or ordered to step down
    bool promotions_work = true;
    bool promotions_answer = true; ///< orders get an answer
    bool lose_write_answers = false;
    bool writes_fail = false;      ///< of primary records, without effect
    bool instances_release = true; ///< instances report that they have released their permissions
    position acknowledged{1, 100};
    std::map<instance_id, std::optional<position>> acknowledged_by; ///< instead of `acknowledged`
    std::map<instance_id, incarnation> runs;                        ///< of restarted instances
    std::set<instance_id> silent;                                   ///< instances that do not report

    void setup() override {
        server_states[server_id{"s1"}] = {true, true, 1, 105};
        server_states[server_id{"s2"}] = {true, false, 1, 103};
        server_states[server_id{"s3"}] = {true, false, 1, 104};
        add("a", 1);
        add("b", 2);
    }

    /// A coordinator that has no rules yet.
    auto make_coordinator(const std::string& name, incarnation run, double processor_share = 1)
        -> std::unique_ptr<primary_coordinator> {
        auto made = std::make_unique<primary_coordinator>(instance_id{name}, run, "addr-" + name, "secret",
                                                          lease_acquisition_delay(processor_share),
                                                          [](const coordinator_event&) {});
        made->set_servers(now, registered_servers);
        return made;
    }

    auto add(const std::string& name, incarnation run, double processor_share = 1) -> void {
        coordinators[name] = make_coordinator(name, run, processor_share);
        coordinators[name]->set_groups({{group, server_group{}}});
        running[name] = true;
    }

    auto set_registered_servers(std::vector<backend_server> next) -> void {
        registered_servers = std::move(next);
        for (auto& [name, it] : coordinators) {
            it->set_servers(now, registered_servers);
        }
    }

    auto set_synchronous_replicas(std::uint32_t n) -> void {
        auto it = server_group{};
        it.synchronous_replicas = n;
        for (auto& [name, node] : coordinators) {
            node->set_groups({{group, it}});
        }
    }

    auto set_draining(std::size_t index) -> void {
        auto next = registered_servers;
        next[index].state = server_state::draining;
        set_registered_servers(next);
    }

    auto perform(primary_coordinator& node, const coordinator_action& action) -> void {
        if (const auto* write = std::get_if<write_record>(&action)) {
            if (writes_fail && write->name != coordinator_lease_name) {
                node.on_written(now, write->name, now, write_outcome::unknown, 0);
                return;
            }
            const auto outcome = store.write(*write);
            if (!lose_write_answers) {
                node.on_written(now, write->name, now, outcome, store.records[write->name].second);
            }
        } else if (std::holds_alternative<list_instances>(action)) {
            node.on_instances(now, registered);
        } else if (const auto* probe = std::get_if<probe_server>(&action)) {
            asked.push_back(probe->server);
            const auto& it = server_states[probe->server];
            if (it.is_cold) {
                node.on_probe_deferred(probe->server);
                return;
            }
            auto result = probe_result{it.alive, !it.alive, {}};
            if (it.alive) {
                result.status = server_status{it.is_primary, it.term, {it.term, it.log}};
            }
            node.on_probe(now, probe->server, now, result);
        } else if (const auto* step_down = std::get_if<order_step_down>(&action)) {
            asked.push_back(step_down->server);
        } else if (const auto* order = std::get_if<order_promotion>(&action)) {
            orders.push_back(*order);
            auto& it = server_states[order->server];
            if (!promotions_answer) {
                return;
            }
            if (!promotions_work) {
                node.on_promotion(now, order->group, promotion_outcome::unknown);
            } else if (!it.alive) {
                node.on_promotion(now, order->group, promotion_outcome::not_running);
            } else {
                if (!it.is_primary) {
                    it.is_primary = true;
                    it.term = 1 + newest_term();
                }
                node.on_promotion(now, order->group, promotion_outcome::accepted);
            }
        }
    }

    auto newest_term() const -> term_number {
        auto newest = term_number{};
        for (const auto& [id, it] : server_states) {
            newest = std::max(newest, it.term);
        }
        return newest;
    }

    /// Advances the clock in steps of 20 ms.
    auto run_for(duration span) -> void {
        for (const auto end = now + span; now < end; now += 20ms) {
            for (auto& [name, node] : coordinators) {
                if (!running[name]) {
                    continue;
                }
                for (const auto& [record, value] : store.records) {
                    node->on_record(now, record, value.first, value.second);
                }
                node->on_lease_confirmed(now, now);
                node->on_primaries_confirmed(now);
                for (const auto& action : node->on_tick(now)) {
                    perform(*node, action);
                }
            }
            report_all();
        }
    }

    auto report_all() -> void {
        for (auto& [name, node] : coordinators) {
            for (const auto& instance : registered) {
                if (silent.contains(instance)) {
                    continue;
                }
                const auto own = runs.find(instance);
                auto report = instance_report{instance,
                                              own != runs.end()       ? own->second
                                              : instance.value == "a" ? 1U
                                                                      : 2U,
                                              "addr-" + instance.value,
                                              false,
                                              {},
                                              {}};
                if (const auto record = node->record_of(group)) {
                    auto it = group_report{};
                    it.group = group;
                    it.released_generation = instances_release ? record->generation : 1;
                    const auto by = acknowledged_by.find(instance);
                    it.acknowledged = by != acknowledged_by.end() ? by->second : acknowledged;
                    report.groups.push_back(it);
                }
                node->on_report(now, report);
            }
        }
    }

    auto record() -> primary_record {
        const auto it = store.records.find(primary_record_name(group));
        return it == store.records.end() ? primary_record{}
                                         : parse_primary(it->second.first).value_or(primary_record{});
    }

    auto count_coordinating() -> int {
        auto n = 0;
        for (const auto& [name, node] : coordinators) {
            n += node->is_coordinating(now) ? 1 : 0;
        }
        return n;
    }
};

} // namespace citronlug
