#include "coordinator_test_fixture.h"

using namespace citronlug;

TEST_GROUP_BASE(coordinator_lease_ownership, coordinator_fixture){};

// Guards against several coordinators at the same time, and against none.
TEST(coordinator_lease_ownership, is_held_by_one_instance) {
    run_for(1s);
    CHECK_EQUAL(1, count_coordinating());
    run_for(5s);
    CHECK_EQUAL(1, count_coordinating());
    CHECK_EQUAL(1U, coordinators["a"]->lease()->fencing_token);
}

// Guards against a lease that stays with a stopped instance, and against a fencing token that does not grow
// with a change of holder.
TEST(coordinator_lease_ownership, goes_to_another_instance_with_a_higher_token) {
    run_for(1s);
    const auto holder = coordinators["a"]->is_coordinating(now) ? std::string{"a"} : std::string{"b"};
    const auto other = holder == "a" ? std::string{"b"} : std::string{"a"};
    running[holder] = false;
    run_for(2500ms);
    CHECK_FALSE(coordinators[other]->is_coordinating(now));
    run_for(2s);
    CHECK_TRUE(coordinators[other]->is_coordinating(now));
    CHECK_EQUAL(2U, coordinators[other]->lease()->fencing_token);
    // A suspended instance no longer holds a valid lease when it resumes.
    CHECK_FALSE(coordinators[holder]->is_coordinating(now));
}

// Guards against a coordinator that stays active while the store does not confirm its renewals.
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

// Guards against a coordinator with too little processor time for the token requests of the fleet.
TEST(coordinator_lease_ownership, goes_to_the_larger_instance) {
    for (auto run = incarnation{10}; run < 30; ++run) {
        // The delay also depends on the hash of the name, so the test uses many names.
        add("small" + std::to_string(run), run, 0.12);
    }
    running["a"] = false;
    run_for(6s);
    CHECK_TRUE(coordinators["b"]->is_coordinating(now));
}

// Guards against a period without a coordinator after a planned shutdown.
TEST(coordinator_lease_ownership, is_handed_over_immediately_when_the_holder_leaves) {
    run_for(1s);
    const auto holder = coordinators["a"]->is_coordinating(now) ? std::string{"a"} : std::string{"b"};
    for (const auto& action : coordinators[holder]->leave(now)) {
        perform(*coordinators[holder], action);
    }
    run_for(100ms);
    CHECK_FALSE(coordinators[holder]->is_coordinating(now));
    CHECK_EQUAL(1, count_coordinating());
    CHECK_EQUAL(2U, coordinators["a"]->lease()->fencing_token);
}

// Guards against waiting the whole lease duration after the record was first read, although the holder had
// confirmed the same record to this instance before it stopped.
TEST(coordinator_lease_ownership, is_taken_over_sooner_by_an_instance_with_an_answer_of_the_last_holder) {
    run_for(1s);
    const auto holder = coordinators["a"]->is_coordinating(now) ? std::string{"a"} : std::string{"b"};
    const auto other = holder == "a" ? std::string{"b"} : std::string{"a"};
    coordinators[other]->on_holder_answer(
        now, 1, parse_coordinator_lease(store.records[coordinator_lease_name].first)->renewals);
    running[holder] = false;
    running[other] = false;
    run_for(2500ms); // no instance reads the record
    running[other] = true;
    run_for(1300ms);
    CHECK_TRUE(coordinators[other]->is_coordinating(now));
}

// Guards against taking the lease from a live coordinator because the renewals between two distant readings
// of its record were not observed.
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

// Guards against a coordinator that loses its lease because it renews it without reading it again.
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

// Guards against a new coordinator that confirms a primary which the previous one has begun to replace.
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

// Guards against reports that omit a group known from the coordinator only: its permission would never count
// as released, and each change of primary would wait until all permissions have expired.
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

// Guards against a failed primary that is not replaced, and against a successor that lacks writes which
// another replica has.
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

// Guards against a request for the list of instances that is dropped: each change of primary would wait for
// the next one, although all instances have released their permissions.
TEST(coordinator_change, is_not_delayed_once_all_instances_have_released_their_permissions) {
    run_for(1s);
    server_states[server_id{"s1"}].alive = false;
    for (auto n = 0; n < 200 && !record().changing; ++n) {
        run_for(20ms);
    }
    CHECK_TRUE(record().changing);
    run_for(200ms);
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

// Guards against a change that stays unfinished after its coordinator failed, and against a second successor.
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
    CHECK_TRUE(orders.back().fencing_token > orders.front().fencing_token);
}

// Guards against a change that stays unfinished after its successor failed too.
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

// Guards against replacing a primary that other instances reach, because only the coordinator is partitioned
// from it.
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

// Guards against losing acknowledged writes in a planned change: the successor must receive all of them
// first.
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

// Guards against losing acknowledged writes in a planned change while the old primary, which has them, still
// runs: the replica may catch up later.
TEST(coordinator_change, of_a_draining_primary_waits_while_it_answers) {
    run_for(1s);
    acknowledged = {1, 110};
    server_states[server_id{"s1"}].log = 110;
    set_draining(0);

    // Callers are served at first; then no permission is granted any more.
    run_for(1s);
    CHECK_FALSE(record().changing);
    run_for(9s);
    CHECK_TRUE(record().changing);
    CHECK_EQUAL(0U, orders.size());

    // The replica receives writes again.
    server_states[server_id{"s3"}].log = 110;
    run_for(1s);
    CHECK_EQUAL(std::string{"s3"}, record().primary.value);
}

// Guards against a group that stays without a primary because a draining one ended before a replica had
// caught up.
TEST(coordinator_change, of_a_draining_primary_that_ends_goes_to_the_most_advanced_replica) {
    run_for(1s);
    acknowledged = {1, 110};
    server_states[server_id{"s1"}].log = 110;
    set_draining(0);
    run_for(4s);
    CHECK_EQUAL(0U, orders.size());
    server_states[server_id{"s1"}].alive = false;
    run_for(3s);
    CHECK_EQUAL(std::string{"s3"}, record().primary.value);
}

// Guards against losing acknowledged writes of a group that replicates synchronously: the only replica that
// has them is leaving.
TEST(coordinator_change, of_a_synchronous_group_goes_to_a_draining_replica_that_alone_has_all_writes) {
    set_synchronous_replicas(1);
    run_for(1s);
    acknowledged = {1, 150};
    server_states[server_id{"s1"}].log = 151;
    server_states[server_id{"s2"}].log = 150;
    set_draining(1);
    run_for(100ms);
    server_states[server_id{"s1"}].alive = false;
    run_for(4s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);

    // The other replica has caught up with the leaving primary.
    server_states[server_id{"s3"}].term = server_states[server_id{"s2"}].term;
    server_states[server_id{"s3"}].log = 160;
    server_states[server_id{"s2"}].log = 160;
    set_registered_servers({registered_servers[1], registered_servers[2]});
    run_for(1s);
    CHECK_TRUE(record().generation > 2);
}

// Guards against losing acknowledged writes because the replica that has them does not answer for a while.
TEST(coordinator_change, of_a_synchronous_group_waits_for_the_replica_that_has_all_writes) {
    set_synchronous_replicas(1);
    run_for(1s);
    acknowledged = {1, 150};
    server_states[server_id{"s2"}].log = 150;
    server_states[server_id{"s2"}].alive = false;
    server_states[server_id{"s1"}].alive = false;
    run_for(20s);
    CHECK_TRUE(record().changing);
    CHECK_EQUAL(0U, orders.size());

    // It is not even registered for a time.
    const auto all = registered_servers;
    set_registered_servers({all[2]});
    run_for(10s);
    CHECK_EQUAL(0U, orders.size());
    set_registered_servers(all);
    server_states[server_id{"s2"}].alive = true;
    run_for(1s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
}

// Guards against losing writes that an instance acknowledged just before it died: its last report lacks them,
// but one of the replicas has them.
TEST(coordinator_change, of_a_synchronous_group_asks_all_replicas_if_an_instance_did_not_report) {
    set_synchronous_replicas(1);
    run_for(1s);
    instances_release = false;
    server_states[server_id{"s2"}].log = 150;
    server_states[server_id{"s2"}].alive = false;
    server_states[server_id{"s1"}].alive = false;
    run_for(8s);
    CHECK_TRUE(record().changing);
    CHECK_EQUAL(0U, orders.size());
    server_states[server_id{"s2"}].alive = true;
    run_for(1s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
}

// Guards against forgetting acknowledged writes because the instance that reported them has restarted.
TEST(coordinator_change, remembers_writes_that_an_instance_reported_before_its_restart) {
    set_synchronous_replicas(1);
    run_for(1s);
    acknowledged = {1, 150};
    server_states[server_id{"s2"}].log = 150;
    report_all();
    acknowledged = {};
    run_for(100ms);
    server_states[server_id{"s2"}].alive = false;
    server_states[server_id{"s1"}].alive = false;
    run_for(8s);
    CHECK_EQUAL(0U, orders.size());
}

// Guards against a change without an eligible successor, which would only interrupt the old primary.
TEST(coordinator_change, does_not_begin_without_a_replica_that_answers) {
    run_for(1s);
    for (auto& [id, it] : server_states) {
        it.alive = false;
    }
    run_for(4s);
    CHECK_FALSE(record().changing);
    CHECK_EQUAL(1U, record().generation);
}

// Guards against replacing a primary that is only cold, because the status requests that were not sent to it
// have no answer, and against never asking it again.
TEST(coordinator_change, is_not_made_because_status_requests_are_deferred) {
    run_for(1s);
    server_states[server_id{"s1"}].is_cold = true;
    run_for(5s);
    CHECK_FALSE(record().changing);
    CHECK_EQUAL(1U, record().generation);
    server_states[server_id{"s1"}] = {false, true, 1, 105};
    run_for(3s);
    CHECK_EQUAL(2U, record().generation);
}

// Guards against an order of a former coordinator that takes effect after the orders of the next one.
TEST(coordinator_change, cancels_an_order_without_an_answer_before_the_lease_is_handed_over) {
    run_for(1s);
    const auto holder = coordinators["a"]->is_coordinating(now) ? std::string{"a"} : std::string{"b"};
    promotions_answer = false;
    server_states[server_id{"s1"}].alive = false;
    run_for(2s);
    CHECK_EQUAL(1U, orders.size());
    const auto actions = coordinators[holder]->leave(now);
    CHECK_EQUAL(2U, actions.size());
    CHECK_TRUE(std::holds_alternative<cancel_promotions>(actions[0]));
    CHECK_TRUE(std::holds_alternative<write_record>(actions[1]));
}

// Guards against an order that outlives the lease of its coordinator, because the store does not confirm its
// renewals any more.
TEST(coordinator_change, does_not_order_a_promotion_beyond_the_end_of_the_lease) {
    run_for(1s);
    const auto holder = coordinators["a"]->is_coordinating(now) ? std::string{"a"} : std::string{"b"};
    running[holder == "a" ? "b" : "a"] = false;
    promotions_work = false;
    server_states[server_id{"s1"}].alive = false;
    run_for(2s);
    orders.clear();

    // From now on only the promotion service is reachable, and fails.
    auto cancelled = false;
    auto lost_at = time_point{};
    for (auto n = 0; n < 200; ++n, now += 20ms) {
        if (!coordinators[holder]->is_coordinating(now) && lost_at == time_point{}) {
            lost_at = now;
            promotions_answer = false;
        }
        for (const auto& action : coordinators[holder]->on_tick(now)) {
            cancelled = cancelled || std::holds_alternative<cancel_promotions>(action);
            if (!std::holds_alternative<write_record>(action)) {
                perform(*coordinators[holder], action);
            }
        }
        if (n == 60) {
            promotions_answer = false;
        }
    }
    CHECK_TRUE(lost_at != time_point{});
    CHECK_TRUE(orders.size() > 1);
    for (const auto& it : orders) {
        CHECK_TRUE(it.deadline <= lost_at);
    }
    CHECK_TRUE(cancelled);
}

// Guards against a hand-over to an instance that cannot answer a large fleet, or that is the next to be
// stopped: each change of coordinator refuses callers.
TEST(coordinator_lease_ownership, is_handed_over_to_a_large_instance_that_started_lately) {
    running["b"] = false;
    run_for(1s);
    const auto report = [&](const std::string& name, double share, duration running_for, bool leaving) {
        auto it = instance_report{instance_id{name}, 9, "addr-" + name, leaving, {}, {}};
        it.processor_share = share;
        it.running_for = running_for;
        coordinators["a"]->on_report(now, it);
    };
    report("c", 0.12, 1s, false);
    report("d", 0.5, 60s, false);
    report("e", 0.5, 5s, false);
    report("f", 0.5, 1s, true);
    const auto actions = coordinators["a"]->leave(now);
    CHECK_EQUAL(1U, actions.size());
    const auto next = parse_coordinator_lease(std::get<write_record>(actions.front()).value);
    CHECK_EQUAL(std::string{"e"}, next->holder.value);
    CHECK_EQUAL(std::string{"addr-e"}, next->peer_address);
}

TEST_GROUP(coordinator_lease_reading){};

// Guards against lease readings that a fleet makes in proportion to its size, and against an interval in
// which a reading no longer confirms the lease.
TEST(coordinator_lease_reading, is_rarer_in_a_large_fleet_but_within_the_validity_of_a_reading) {
    for (const auto n : {1U, 9U, 64U}) {
        CHECK(lease_read_interval(n) == 500ms);
    }
    CHECK(lease_read_interval(128) == 1s);
    for (const auto n : {192U, 2600U, 4'000'000'000U}) {
        CHECK(lease_read_interval(n) == 1500ms);
    }
}

// Scenario: s1, the primary, and s2, the most advanced replica, are in domain "a"; s3 is in domain "b".
struct evacuation_fixture : coordinator_fixture {
    void setup() override {
        coordinator_fixture::setup();
        server_states[server_id{"s2"}].log = 105;
        auto servers = registered_servers;
        servers[0].domain = servers[1].domain = failure_domain{"a"};
        servers[2].domain = failure_domain{"b"};
        servers[0].reports_primary = true;
        set_registered_servers(servers);
    }

    auto evacuate(const std::set<failure_domain>& domains, const std::set<failure_domain>& stopped = {},
                  bool is_known = true) -> void {
        for (auto& [name, it] : coordinators) {
            it->set_evacuations(now, {is_known, domains, stopped});
        }
        asked.clear();
    }

    auto was_asked(const std::string& id) -> bool {
        return std::find(asked.begin(), asked.end(), server_id{id}) != asked.end();
    }

    const std::set<failure_domain> zone_a{failure_domain{"a"}};
    const std::set<failure_domain> zone_b{failure_domain{"b"}};
};

TEST_GROUP_BASE(coordinator_evacuation, evacuation_fixture){};

// Guards against a primary that stays in an evacuated domain, a successor in that domain, and messages to its
// servers after the stop.
TEST(coordinator_evacuation, moves_the_primary_out_of_the_domain) {
    run_for(1s);
    evacuate(zone_a);
    run_for(1s);
    CHECK_EQUAL(std::string{"s3"}, record().primary.value);
    CHECK_EQUAL(2U, record().generation);
    CHECK_FALSE(record().changing);
    evacuate(zone_a, zone_a);
    run_for(5s);
    CHECK_FALSE(was_asked("s1") || was_asked("s2"));
    // Guards against a change back, or one that the silence before causes, when the evacuation is withdrawn.
    evacuate({});
    run_for(5s);
    CHECK_TRUE(was_asked("s1")); // ordered to step down
    CHECK_EQUAL(2U, record().generation);
}

// Guards against a change that loses acknowledged writes, and against a group that stays without a primary
// when the evacuation has been withdrawn.
TEST(coordinator_evacuation, loses_no_acknowledged_write) {
    run_for(1s);
    acknowledged = {1, 110};
    server_states[server_id{"s1"}].log = 110;
    evacuate(zone_a);
    run_for(2s);
    evacuate(zone_a, zone_a);
    run_for(10s);
    CHECK_EQUAL(std::string{"s1"}, record().primary.value);
    CHECK_EQUAL(0U, orders.size());
    CHECK_FALSE(was_asked("s1"));
    evacuate({});
    run_for(1s);
    CHECK_EQUAL(std::string{"s1"}, record().primary.value);
    CHECK_FALSE(record().changing);
}

// Guards against a loss of writes that no living instance reported: one that did not release its permission
// may have acknowledged more, which after the stop nobody can ask the old primary for.
TEST(coordinator_evacuation, waits_for_all_instances_after_the_stop) {
    run_for(1s);
    instances_release = false;
    evacuate(zone_a);
    run_for(600ms);
    evacuate(zone_a, zone_a);
    run_for(10s);
    CHECK_EQUAL(0U, orders.size());
    instances_release = true;
    run_for(1s);
    CHECK_EQUAL(std::string{"s3"}, record().primary.value);
}

// Guards against a group without a primary because no server is left to lead it.
TEST(coordinator_evacuation, of_all_servers_keeps_the_primary) {
    run_for(1s);
    auto all = zone_a;
    all.insert(failure_domain{"b"});
    evacuate(all);
    run_for(2s);
    evacuate(all, all);
    run_for(5s);
    CHECK_EQUAL(1U, record().generation);
    CHECK_TRUE(asked.empty());
    evacuate({});
    run_for(3s);
    CHECK_EQUAL(1U, record().generation);
    CHECK_FALSE(record().changing);
}

// Guards against the promotion of a server whose domain was evacuated after it was chosen.
TEST(coordinator_evacuation, drops_a_candidate_that_was_not_ordered_to_lead) {
    run_for(1s);
    server_states[server_id{"s2"}].log = 100;
    server_states[server_id{"s1"}].alive = false;
    for (auto n = 0; n < 200 && record().candidate.empty(); ++n) {
        run_for(20ms);
    }
    CHECK_EQUAL(std::string{"s3"}, record().candidate.value);
    CHECK_EQUAL(0U, orders.size());
    evacuate(zone_b);
    run_for(1s);
    CHECK_EQUAL(std::string{"s2"}, record().primary.value);
    CHECK_EQUAL(1U, orders.size());
}

// Guards against a change that is abandoned half-way, and against a primary that stays because it is new.
TEST(coordinator_evacuation, changes_again_after_an_ordered_candidate_leads) {
    run_for(1s);
    server_states[server_id{"s2"}].log = 103;
    promotions_work = false;
    server_states[server_id{"s1"}].alive = false;
    run_for(1500ms);
    CHECK_EQUAL(std::string{"s3"}, orders.back().server.value);
    evacuate(zone_b);
    promotions_work = true;
    run_for(1500ms);
    CHECK_EQUAL(3U, record().generation);
    CHECK_EQUAL(std::string{"s2"}, orders.back().server.value);
}

// Guards against use of servers by a coordinator that has not read the evacuations, and against a group whose
// first record gives callers a primary in an evacuated domain.
TEST(coordinator_evacuation, is_known_before_the_first_record) {
    evacuate({}, {}, false);
    run_for(1s);
    CHECK_TRUE(asked.empty());
    evacuate(zone_a, zone_a);
    run_for(3s);
    CHECK_FALSE(was_asked("s1") || was_asked("s2"));
    CHECK_EQUAL(std::string{"s3"}, record().primary.value);
    CHECK_FALSE(record().changing);
}
