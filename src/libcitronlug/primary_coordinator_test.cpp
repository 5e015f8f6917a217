#include <citronlug/primary_coordinator.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

namespace {

const auto group = group_id{"orders"};

auto server(const std::string& id) -> backend_server {
    auto it = backend_server{};
    it.id = server_id{id};
    it.group = group;
    it.address = "127.0.0.1:1";
    return it;
}

/// The store's part: conditional writes and revisions.
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

/// A server as its status states it.
struct fake_server {
    bool alive = true;
    bool is_primary = false;
    term_number term = 1;
    log_position log = 100;
};

} // namespace

// Scenario: three servers, s1 leads; instance "a" runs a coordinator, "b" another one that sees the same
// store.
struct coordinator_fixture : Utest {
    time_point now{1h};
    fake_store store;
    std::map<server_id, fake_server> server_states;
    std::map<std::string, std::unique_ptr<primary_coordinator>> coordinators;
    std::map<std::string, bool> running;
    std::vector<backend_server> registered_servers{server("s1"), server("s2"), server("s3")};
    std::set<instance_id> registered{instance_id{"a"}, instance_id{"b"}};
    std::vector<order_promotion> orders;
    bool promotions_work = true;
    bool lose_write_answers = false;
    bool instances_release = true; ///< instances report that they have given their permissions back
    position acknowledged{1, 100};

    void setup() override {
        server_states[server_id{"s1"}] = {true, true, 1, 105};
        server_states[server_id{"s2"}] = {true, false, 1, 103};
        server_states[server_id{"s3"}] = {true, false, 1, 104};
        add("a", 1);
        add("b", 2);
    }

    auto add(const std::string& name, incarnation run, double processor_share = 1) -> void {
        coordinators[name] = std::make_unique<primary_coordinator>(
            instance_id{name}, run, "addr-" + name, "secret", lease_acquisition_delay(processor_share),
            [](const coordinator_event&) {});
        coordinators[name]->set_servers(now, registered_servers);
        running[name] = true;
    }

    auto set_registered_servers(std::vector<backend_server> next) -> void {
        registered_servers = std::move(next);
        for (auto& [name, it] : coordinators) {
            it->set_servers(now, registered_servers);
        }
    }

    auto perform(primary_coordinator& node, const coordinator_action& action) -> void {
        if (const auto* write = std::get_if<write_record>(&action)) {
            const auto outcome = store.write(*write);
            if (!lose_write_answers) {
                node.on_written(now, write->name, now, outcome, store.records[write->name].second);
            }
        } else if (std::holds_alternative<list_instances>(action)) {
            node.on_instances(now, registered);
        } else if (const auto* probe = std::get_if<probe_server>(&action)) {
            const auto& it = server_states[probe->server];
            auto result = probe_result{it.alive, !it.alive, {}};
            if (it.alive) {
                result.status = server_status{it.is_primary, it.term, {it.term, it.log}};
            }
            node.on_probe(now, probe->server, now, result);
        } else if (const auto* order = std::get_if<order_promotion>(&action)) {
            orders.push_back(*order);
            auto& it = server_states[order->server];
            if (!promotions_work) {
                node.on_promotion(now, order->group, promotion_outcome::unknown);
            } else if (!it.alive) {
                node.on_promotion(now, order->group, promotion_outcome::not_running);
            } else {
                if (!it.is_primary) {
                    it.is_primary = true;
                    it.term = 2;
                }
                node.on_promotion(now, order->group, promotion_outcome::accepted);
            }
        }
    }

    /// Lets time pass in steps of 20 ms.
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
                auto report = instance_report{
                    instance, instance.value == "a" ? 1U : 2U, "addr-" + instance.value, false, {}, {}};
                if (const auto record = node->record_of(group)) {
                    auto it = group_report{};
                    it.group = group;
                    it.released_generation = instances_release ? record->generation : 1;
                    it.acknowledged = acknowledged;
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

TEST_GROUP_BASE(coordinator_lease_ownership, coordinator_fixture){};

// Guards against two coordinators at once, and against none.
TEST(coordinator_lease_ownership, is_held_by_one_instance) {
    run_for(1s);
    CHECK_EQUAL(1, count_coordinating());
    run_for(5s);
    CHECK_EQUAL(1, count_coordinating());
    CHECK_EQUAL(1U, coordinators["a"]->lease()->token);
}

// Guards against a coordinator that stays after its instance stopped, and a token that does not grow with the
// holder.
TEST(coordinator_lease_ownership, goes_to_another_instance_with_a_higher_token) {
    run_for(1s);
    const auto holder = coordinators["a"]->is_coordinating(now) ? std::string{"a"} : std::string{"b"};
    const auto other = holder == "a" ? std::string{"b"} : std::string{"a"};
    running[holder] = false;
    run_for(2500ms);
    CHECK_FALSE(coordinators[other]->is_coordinating(now));
    run_for(2s);
    CHECK_TRUE(coordinators[other]->is_coordinating(now));
    CHECK_EQUAL(2U, coordinators[other]->lease()->token);
    // An instance that was suspended wakes up without authority.
    CHECK_FALSE(coordinators[holder]->is_coordinating(now));
}

// Guards against authority that goes on without the store.
TEST(coordinator_lease_ownership, expires_without_answers_to_renewals) {
    run_for(1s);
    lose_write_answers = true;
    store.records.clear();
    for (auto n = 0; n < 160; ++n, now += 20ms) {
        for (auto& [name, node] : coordinators) {
            for (const auto& action : node->on_tick(now)) {
                if (std::holds_alternative<probe_server>(action)) {
                    perform(*node, action);
                }
            }
        }
    }
    CHECK_EQUAL(0, count_coordinating());
}

// Guards against a coordinator that is too small for the questions of the fleet.
TEST(coordinator_lease_ownership, goes_to_the_larger_instance) {
    for (auto run = incarnation{10}; run < 30; ++run) {
        // Names decide the order among equals.
        add("small" + std::to_string(run), run, 0.12);
    }
    running["a"] = false;
    run_for(6s);
    CHECK_TRUE(coordinators["b"]->is_coordinating(now));
}

// Guards against an empty time without a coordinator after a planned end.
TEST(coordinator_lease_ownership, is_handed_over_immediately_when_the_holder_leaves) {
    run_for(1s);
    const auto holder = coordinators["a"]->is_coordinating(now) ? std::string{"a"} : std::string{"b"};
    for (const auto& action : coordinators[holder]->leave(now)) {
        perform(*coordinators[holder], action);
    }
    run_for(100ms);
    CHECK_FALSE(coordinators[holder]->is_coordinating(now));
    CHECK_EQUAL(1, count_coordinating());
    CHECK_EQUAL(2U, coordinators["a"]->lease()->token);
}

// Guards against waiting a whole life of the duty after the record was first read, although its holder had
// stated the same record before it fell silent.
TEST(coordinator_lease_ownership, is_taken_over_sooner_by_an_instance_with_an_answer_of_the_last_holder) {
    run_for(1s);
    const auto holder = coordinators["a"]->is_coordinating(now) ? std::string{"a"} : std::string{"b"};
    const auto other = holder == "a" ? std::string{"b"} : std::string{"a"};
    coordinators[other]->on_holder_answer(
        now, 1, parse_coordinator_lease(store.records[coordinator_lease_name].first)->renewals);
    running[holder] = false;
    running[other] = false;
    run_for(2500ms); // nobody reads the record
    running[other] = true;
    run_for(1300ms);
    CHECK_TRUE(coordinators[other]->is_coordinating(now));
}

// Guards against taking the duty from a live coordinator because its record was read twice with a long pause
// between.
TEST(coordinator_lease_ownership, is_not_taken_over_by_an_instance_that_did_not_observe_renewals) {
    run_for(1s);
    const auto holder = coordinators["a"]->is_coordinating(now) ? std::string{"a"} : std::string{"b"};
    const auto other = holder == "a" ? std::string{"b"} : std::string{"a"};
    running[other] = false;
    run_for(10s);
    const auto& [value, revision] = store.records[coordinator_lease_name];
    for (auto n = 0; n < 30; ++n, now += 20ms) {
        coordinators[other]->on_record(now, coordinator_lease_name, value, revision);
        coordinators[other]->on_lease_confirmed(now, now);
        for (const auto& action : coordinators[other]->on_tick(now)) {
            CHECK_FALSE(std::holds_alternative<write_record>(action));
        }
    }
}

// Guards against a coordinator that loses its duty because it renews it without reading it again.
TEST(coordinator_lease_ownership, is_kept_by_renewals_alone) {
    run_for(1s);
    const auto holder = coordinators["a"]->is_coordinating(now) ? std::string{"a"} : std::string{"b"};
    for (auto n = 0; n < 500; ++n, now += 20ms) {
        for (const auto& action : coordinators[holder]->on_tick(now)) {
            perform(*coordinators[holder], action);
        }
        CHECK_TRUE(coordinators[holder]->is_coordinating(now));
    }
}

// Guards against a new coordinator that vouches for a primary which the last one has begun to replace.
TEST(coordinator_lease_ownership, takes_effect_only_after_the_primaries_were_read) {
    run_for(1s);
    const auto holder = coordinators["a"]->is_coordinating(now) ? std::string{"a"} : std::string{"b"};
    const auto other = holder == "a" ? std::string{"b"} : std::string{"a"};
    for (const auto& action : coordinators[holder]->leave(now)) {
        perform(*coordinators[holder], action);
    }
    running[holder] = false;
    auto& node = *coordinators[other];
    for (auto n = 0; n < 50 && !node.needs_primaries(now); ++n, now += 20ms) {
        const auto& [value, revision] = store.records[coordinator_lease_name];
        node.on_record(now, coordinator_lease_name, value, revision);
        node.on_lease_confirmed(now, now);
        for (const auto& action : node.on_tick(now)) {
            perform(node, action);
        }
    }
    CHECK_TRUE(node.needs_primaries(now));
    CHECK_FALSE(node.is_coordinating(now));
    node.on_primaries_confirmed(now);
    CHECK_TRUE(node.is_coordinating(now));
}

TEST_GROUP(coordinator_reports){};

// Guards against reports without a group that the instance knows from the coordinator alone: its permission
// would never count as given back, and each change of primary would wait until all permissions have run out.
TEST(coordinator_reports, include_groups_that_were_not_read_from_the_store) {
    const auto other = group_id{"hire"};
    const auto newest = newest_generations(
        {{other, {server_id{"s4"}, 3, 5, false, {}}}},
        {{group, {server_id{"s1"}, 1, 2, true, {}}}, {other, {server_id{"s4"}, 2, 4, false, {}}}});
    CHECK_EQUAL(2U, newest.at(group));
    CHECK_EQUAL(5U, newest.at(other));
}

TEST_GROUP_BASE(coordinator_change, coordinator_fixture){};

// Guards against a first record that names a server which does not lead.
TEST(coordinator_change, records_the_leading_server_first) {
    run_for(1s);
    CHECK_EQUAL(std::string{"s1"}, record().primary.value);
    CHECK_EQUAL(1U, record().generation);
    CHECK_FALSE(record().changing);
}

// Guards against a lost primary that is not replaced, and against a successor that lacks writes which another
// has.
TEST(coordinator_change, promotes_the_most_advanced_replica_of_a_failed_primary) {
    run_for(1s);
    server_states[server_id{"s1"}].alive = false;
    run_for(2s);
    CHECK_EQUAL(std::string{"s3"}, record().primary.value);
    CHECK_EQUAL(2U, record().generation);
    CHECK_EQUAL(2U, record().term);
    CHECK_FALSE(record().changing);
    CHECK_EQUAL(1U, orders.size());
}

// Guards against a promotion while an instance may still use the old primary.
TEST(coordinator_change, waits_for_permissions_that_are_not_released) {
    run_for(1s);
    instances_release = false;
    server_states[server_id{"s1"}].alive = false;
    run_for(2s);
    CHECK_TRUE(record().changing);
    CHECK_EQUAL(0U, orders.size());
    run_for(2s);
    CHECK_EQUAL(std::string{"s3"}, record().primary.value);
}

// Guards against a change that nobody finishes because its coordinator died, and against a second successor.
TEST(coordinator_change, is_finished_by_the_next_coordinator_with_the_same_successor) {
    run_for(1s);
    promotions_work = false;
    server_states[server_id{"s1"}].alive = false;
    run_for(1500ms);
    CHECK_EQUAL(std::string{"s3"}, record().candidate.value);
    const auto holder = coordinators["a"]->is_coordinating(now) ? std::string{"a"} : std::string{"b"};
    running[holder] = false;
    promotions_work = true;
    server_states[server_id{"s2"}].log = 200;
    run_for(7s);
    CHECK_EQUAL(std::string{"s3"}, record().primary.value);
    CHECK_FALSE(record().changing);
    CHECK_TRUE(orders.back().token > orders.front().token);
}

// Guards against a change that ends when its successor dies too.
TEST(coordinator_change, chooses_the_other_replica_when_the_successor_fails) {
    run_for(1s);
    promotions_work = false;
    server_states[server_id{"s1"}].alive = false;
    run_for(1500ms);
    server_states[server_id{"s3"}].alive = false;
    promotions_work = true;
    run_for(3s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
}

// Guards against replacing a primary that others reach, because the coordinator's own path to it is cut.
TEST(coordinator_change, is_not_made_while_other_instances_reach_the_primary) {
    run_for(1s);
    const auto holder = coordinators["a"]->is_coordinating(now) ? instance_id{"a"} : instance_id{"b"};
    auto& node = *coordinators[holder.value];
    for (auto n = 0; n < 200; ++n, now += 20ms) {
        for (const auto& [name, value] : store.records) {
            node.on_record(now, name, value.first, value.second);
        }
        node.on_lease_confirmed(now, now);
        node.on_primaries_confirmed(now);
        for (const auto& other : {instance_id{"b"}, instance_id{"a"}}) {
            auto report =
                instance_report{other, 1, {}, false, {{group, 1, {}, duration{50ms}, {}, false}}, {}};
            node.on_report(now, report);
        }
        for (const auto& action : node.on_tick(now)) {
            const auto* probe = std::get_if<probe_server>(&action);
            if (probe != nullptr && probe->server == server_id{"s1"}) {
                node.on_probe(now, probe->server, now, {});
            } else {
                perform(node, action);
            }
        }
    }
    CHECK_EQUAL(1U, record().generation);
    CHECK_FALSE(record().changing);
}

// Guards against losing acknowledged writes in a planned change: the successor first receives them all.
TEST(coordinator_change, of_a_draining_primary_waits_until_a_replica_has_all_writes) {
    run_for(1s);
    acknowledged = {1, 110};
    auto leaving = registered_servers;
    leaving[0].state = server_state::draining;
    set_registered_servers(leaving);
    run_for(500ms);
    CHECK_EQUAL(0U, orders.size());
    server_states[server_id{"s2"}].log = 110;
    run_for(500ms);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
}

// Guards against a change without a successor, which would only stop the old primary's work.
TEST(coordinator_change, does_not_begin_without_a_replica_that_answers) {
    run_for(1s);
    for (auto& [id, it] : server_states) {
        it.alive = false;
    }
    run_for(4s);
    CHECK_FALSE(record().changing);
    CHECK_EQUAL(1U, record().generation);
}
