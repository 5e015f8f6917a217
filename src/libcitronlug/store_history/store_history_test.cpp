#include <citronlug/primary_coordinator.h>
#include <citronlug/store_history.h>

#include <map>
#include <memory>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

namespace {

const auto group = group_id{"orders"};
const auto group_record = primary_record_name(group);

auto answer_of(std::uint64_t era, store_outcome outcome = store_outcome::ok) -> store_answer {
    auto it = store_answer{};
    it.outcome = outcome;
    it.era = era;
    return it;
}

/// Store with conditional writes that can come back from a copy.
struct era_store {
    std::map<std::string, std::pair<std::string, std::uint64_t>> records;
    std::uint64_t revision = 10;
    std::uint64_t era = 1;

    auto write(const write_record& it) -> write_outcome {
        const auto known = records.find(it.name);
        if ((known == records.end() ? 0 : known->second.second) != it.expected_revision) {
            return write_outcome::conflict;
        }
        records[it.name] = {it.value, ++revision};
        return write_outcome::done;
    }
    auto restore(const era_store& copy) -> void {
        records = copy.records;
        revision = copy.revision;
        ++era;
    }
};

} // namespace

// Instances "a" and "b" with a store of era 1, and a group with the servers s1, its
// primary, and s2. Instance "a" holds the lease.
struct restored_store_fixture : Utest {
    time_point now{1h};
    era_store store;
    std::map<std::string, std::unique_ptr<primary_coordinator>> nodes;
    std::map<std::string, bool> running;
    std::vector<known_record> known; ///< sent with reports

    void setup() override {
        store.records[coordinator_lease_name] = {to_text(coordinator_lease{{}, 0, 5, 1, "", "secret-a", 1}),
                                                 store.revision};
        add("a", 1);
        run_for(1s);
        add("b", 2);
        run_for(3s);
        CHECK_TRUE(coordinates("a"));
    }
    auto add(const std::string& name, incarnation run) -> void {
        nodes[name] =
            std::make_unique<primary_coordinator>(instance_id{name}, run, "addr-" + name, "secret-" + name,
                                                  duration{}, [](const coordinator_event&) {});
        auto server = backend_server{};
        server.id = server_id{"s1"};
        server.group = group;
        auto replica = server;
        replica.id = server_id{"s2"};
        nodes[name]->set_servers(now, {server, replica});
        nodes[name]->on_store_era(now, store.era, false);
        running[name] = true;
    }
    auto restore(const era_store& copy) -> void {
        store.restore(copy);
        for (auto& [name, node] : nodes) {
            node->on_store_era(now, store.era, true);
        }
    }
    auto perform(primary_coordinator& node, const coordinator_action& action) -> void {
        if (const auto* write = std::get_if<write_record>(&action)) {
            const auto outcome = store.write(*write);
            node.on_written(now, write->name, now, outcome, store.records[write->name].second);
        } else if (const auto* probe = std::get_if<probe_server>(&action)) {
            node.on_probe(now, probe->server, now, {true, false, server_status{true, 1, {1, 100}}});
        }
    }
    auto run_for(duration span) -> void {
        for (const auto end = now + span; now < end; now += 20ms) {
            for (auto& [name, node] : nodes) {
                if (!running[name]) {
                    continue;
                }
                for (const auto& [record, value] : store.records) {
                    node->on_record(now, record, value.first, value.second);
                }
                if (!store.records.contains(group_record) && node->record_of(group)) {
                    node->on_record_removed(now, group_record);
                }
                node->on_lease_confirmed(now, now);
                node->on_primaries_confirmed(now);
                auto report = instance_report{};
                report.instance = instance_id{"c"};
                report.known_records = known;
                node->on_report(now, report);
                for (const auto& action : node->on_tick(now)) {
                    perform(*node, action);
                }
            }
            CHECK_TRUE(!coordinates("a") || !coordinates("b"));
        }
    }
    auto coordinates(const std::string& name) -> bool {
        return nodes.contains(name) && running[name] && nodes[name]->is_coordinating(now);
    }
    auto token() -> std::uint64_t {
        return parse_coordinator_lease(store.records[coordinator_lease_name].first)
            .value_or(coordinator_lease{})
            .fencing_token;
    }
    auto stored_primary() -> primary_record {
        return parse_primary(store.records[group_record].first).value_or(primary_record{});
    }
    /// The store of before "a" took the lease, with a lease of `holder`.
    auto copy_naming(const std::string& holder, incarnation run, std::uint64_t with_token) -> era_store {
        auto copy = store;
        copy.records[coordinator_lease_name] = {
            to_text(coordinator_lease{instance_id{holder}, run, with_token, 7, "addr", "secret-a", 1}), 9};
        return copy;
    }
};

TEST_GROUP_BASE(restored_store, restored_store_fixture){};

// Guards against a holder that stops coordinating, or loses its token, because the store lost its renewals.
TEST(restored_store, holder_writes_its_lease_again) {
    restore(copy_naming("b", 2, token() - 1));
    CHECK_TRUE(coordinates("a"));
    run_for(5s);
    CHECK_TRUE(coordinates("a"));
    const auto lease = parse_coordinator_lease(store.records[coordinator_lease_name].first);
    CHECK_EQUAL(2U, lease->era);
    CHECK_EQUAL("a", lease->holder.value);

    // The same with a missing record.
    auto without = store;
    without.records.erase(coordinator_lease_name);
    restore(without);
    run_for(5s);
    CHECK_TRUE(coordinates("a"));
}

// Guards against a takeover before the authority of the holder, or of one that the copy lacks, has ended, and
// against a former holder that takes itself for the holder because the copy names it.
TEST(restored_store, former_holder_waits_although_the_copy_names_it) {
    const auto before = token();
    running["a"] = false;
    restore(copy_naming("b", 2, before));
    run_for(3400ms);
    CHECK_FALSE(coordinates("b"));
    run_for(1200ms);
    CHECK_TRUE(coordinates("b"));
    CHECK_TRUE(token() >= before + restored_number_step);
}

// Guards against an instance that takes a restored or missing lease at once because it restarted or because
// the copy is vacant, and against a token that goes back when nobody knows it.
TEST(restored_store, restarted_instances_wait_for_a_restored_lease) {
    auto copies = std::vector{copy_naming("a", 1, 5), copy_naming("", 0, 5), store};
    copies[2].records.erase(coordinator_lease_name);
    for (const auto& copy : copies) {
        nodes.clear();
        store.restore(copy);
        add("a", 11);
        run_for(3400ms);
        CHECK_FALSE(coordinates("a"));
        run_for(2s);
        CHECK_TRUE(coordinates("a"));
        CHECK_TRUE(token() >= restored_number_step);
    }
}

// Guards against two holders after one of them could not know the token of the other.
TEST(restored_store, holder_of_the_lower_token_gives_up) {
    auto report = instance_report{};
    report.instance = instance_id{"c"};
    report.highest_fencing_token = token() + 1;
    nodes["a"]->on_report(now, report);
    CHECK_FALSE(coordinates("a"));
    run_for(3400ms);
    CHECK_FALSE(coordinates("a"));
}

// Guards against a primary that changes back, and against a record that stays lost.
TEST(restored_store, primary_records_are_written_again) {
    const auto newest = primary_record{server_id{"s1"}, 3, 5, false, {}, 1};
    const auto older = primary_record{server_id{"s0"}, 2, 4, true, {}, 1};
    auto copy = store;
    store.records[group_record] = {to_text(newest), ++store.revision};
    run_for(1s);
    CHECK_EQUAL(5U, nodes["a"]->record_of(group)->generation);
    copy.records[group_record] = {to_text(older), store.revision}; // the revision is given out twice
    restore(copy);
    run_for(1s);
    CHECK_EQUAL(5U, stored_primary().generation);
    CHECK_EQUAL(2U, stored_primary().era);
    CHECK_EQUAL("s1", nodes["b"]->record_of(group)->primary.value);

    copy.records.erase(group_record);
    restore(copy);
    run_for(1s);
    CHECK_EQUAL(5U, stored_primary().generation);
}

// Guards against permissions from a restored record when only a follower knows the newer one.
TEST(restored_store, new_coordinator_collects_what_instances_know) {
    const auto copy = store;
    nodes.clear();
    store.restore(copy);
    add("b", 22);
    known = {{group, {server_id{"s2"}, 4, 9, false, {}}}};
    while (!coordinates("b")) {
        run_for(20ms);
    }
    CHECK_TRUE(nodes["b"]->is_collecting(now));
    run_for(1500ms);
    CHECK_FALSE(nodes["b"]->is_collecting(now));
    CHECK_EQUAL(9U, stored_primary().generation);
    CHECK_EQUAL("s2", stored_primary().primary.value);
}

TEST_GROUP(store_history){};

// Guards against an answer that arrives late and shows the store as it was before it came back older.
TEST(store_history, drops_answers_of_an_older_era) {
    auto history = store_history{};
    CHECK_FALSE(history.observe_answer(answer_of(3)));
    const auto basis = history.basis_of_list(record_kind::rules, {});
    CHECK_TRUE(history.observe(4)); // from another instance
    const auto late = history.judge_list(record_kind::rules, {}, basis, answer_of(3));
    CHECK_TRUE(late.outcome == store_outcome::unanswered);
    CHECK_EQUAL(1U, history.dropped_answers());
}

// Guards against a write, a watch or a listing that goes on with revisions that are given out again.
TEST(store_history, content_of_a_newer_era_does_not_build_on_older_revisions) {
    auto history = store_history{};
    static_cast<void>(history.observe_answer(answer_of(3)));
    static_cast<void>(history.judge_list(record_kind::instances, {},
                                         history.basis_of_list(record_kind::instances, {}), answer_of(3)));
    const auto write = history.basis_of_write();
    const auto watch = history.basis_of_watch();
    CHECK_TRUE(history.observe_answer(answer_of(4)));
    CHECK_TRUE(history.judge_write(write, answer_of(4)).outcome == store_outcome::unanswered);
    CHECK_TRUE(history.judge_watch(watch, answer_of(4)).outcome == store_outcome::gone);
    const auto page = history.basis_of_list(record_kind::instances, "m");
    CHECK_TRUE(history.judge_list(record_kind::instances, "m", page, answer_of(4)).outcome ==
               store_outcome::gone);
}

// Guards against changed behaviour with a store that states no era.
TEST(store_history, answers_without_an_era_count_as_they_are) {
    auto history = store_history{};
    CHECK_FALSE(history.observe_answer(answer_of(0)));
    CHECK_TRUE(history.judge_write(history.basis_of_write(), answer_of(0)).outcome == store_outcome::ok);
    CHECK_TRUE(history.judge_watch(history.basis_of_watch(), answer_of(0)).outcome == store_outcome::ok);
    CHECK_EQUAL(0U, history.era());
}

// Guards against a listing of the new era that passes over a record whose revision was given out twice.
TEST(store_history, mirror_reports_a_record_with_a_repeated_revision) {
    auto mirror = store_mirror{2s};
    auto now = time_point{1h};
    auto answer = answer_of(1);
    answer.records = {{"a", "1", 7}};
    static_cast<void>(mirror.on_answer(now, mirror.next_call(now)->number, answer));
    const auto watch = mirror.next_call(now);
    mirror.drop_revisions();
    CHECK_EQUAL(1U, mirror.records().size());
    CHECK_TRUE(mirror.on_answer(now, watch->number, answer).empty());
    const auto list = mirror.next_call(now);
    CHECK_FALSE(list->is_watch);
    answer.records = {{"a", "2", 7}};
    CHECK_EQUAL(1U, mirror.on_answer(now, list->number, answer).size());
}
