#include <citronlug/evacuation.h>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

namespace {

const auto zone = failure_domain{"a"};

} // namespace

// An instance of a deployment with a limit of 5 s that has read an empty list from the store.
TEST_GROUP(evacuations) {
    time_point now{1h};
    evacuation_list list{5s};

    void setup() override {
        read({});
    }

    auto read(std::vector<std::string> domains, std::uint64_t era = 0)->bool {
        return list.apply(now, {0, std::move(domains), now, now, era});
    }
    auto hear(std::uint64_t token, std::vector<std::string> domains, duration age, duration transit = 0ms)
        ->bool {
        return list.apply(now, {token, std::move(domains), now - transit - age, now - age, 0});
    }
    auto is_evacuated()->bool {
        return list.view(now).domains.contains(zone);
    }
};

// Guards against use of a server after the stop, and against a stop before a planned change could run.
TEST(evacuations, stop_all_use_after_two_fifths_of_the_limit) {
    auto server = backend_server{};
    server.domain = zone;
    now += 2900ms; // the oldest evidence with which an instance does not read the list itself
    CHECK_TRUE(read({"a"}));
    CHECK_FALSE(list.view(now).may_use(server, false));
    now += 1990ms;
    CHECK_FALSE(read({"a"}));
    CHECK_TRUE(list.view(now).may_use(server, true));
    now += 10ms;
    CHECK_FALSE(list.view(now).may_use(server, true));
    // Guards against a server that stays unused after the withdrawal.
    CHECK_TRUE(read({}));
    CHECK_TRUE(list.view(now).may_use(server, false));
}

// Guards against a primary that cannot be asked for its newest write after the permissions of a silent
// instance have expired (2.1 s), and against use of a server later than the limit.
TEST(evacuations, stop_later_if_the_evidence_is_fresh) {
    auto server = backend_server{};
    server.domain = zone;
    now += 2 * evacuation_watch_wait + 100ms;
    CHECK_TRUE(read({"a"}));
    now += 2600ms;
    CHECK_TRUE(list.view(now).may_use(server, true));
    now += 600ms; // 4.5 s after the evidence that there was no evacuation
    CHECK_FALSE(list.view(now).may_use(server, true));
}

// Guards against an instance that sends to servers before it has read the list, and that serves an old
// evacuation once more after each restart.
TEST(evacuations, bind_an_instance_from_its_start) {
    auto started = evacuation_list{5s};
    CHECK_FALSE(started.view(now).is_known);
    CHECK_TRUE(started.due_at() <= now);
    started.apply(now, {0, {"a"}, now, now, 0});
    CHECK_TRUE(started.view(now).stopped.contains(zone));
    // Guards against a changed behaviour of deployments without the limit.
    auto unwatched = evacuation_list{std::nullopt};
    unwatched.apply(now, {0, {"a"}, now, now, 0});
    CHECK_TRUE(unwatched.view(now) == evacuation_view{});
}

// Guards against an older answer that undoes a newer one, whichever source it came from.
TEST(evacuations, are_those_of_the_newest_evidence) {
    now += 1s;
    read({"a"});
    CHECK_FALSE(hear(7, {}, 500ms));
    CHECK_TRUE(is_evacuated());
    now += 100ms;
    CHECK_FALSE(hear(7, {}, 50ms, 200ms)); // may be older or newer
    CHECK_TRUE(is_evacuated());
    CHECK_TRUE(hear(7, {}, 10ms));
    CHECK_FALSE(is_evacuated());
    // An answer that overlaps still makes an evacuation known.
    CHECK_TRUE(hear(8, {"a"}, 0ms, 300ms));
    CHECK_TRUE(is_evacuated());
    // The next answer of the same source withdraws it only if its evidence is newer.
    now += 400ms;
    CHECK_FALSE(hear(8, {}, 415ms));
    CHECK_TRUE(is_evacuated());
    CHECK_TRUE(hear(8, {}, 0ms));
    CHECK_FALSE(is_evacuated());
}

// Guards against an instance that relies on a list that nobody confirms, and against one that forgets it.
TEST(evacuations, stay_in_force_without_evidence_and_are_read_again) {
    read({"a"});
    now += 2999ms;
    CHECK_TRUE(list.due_at() > now);
    now += 1h;
    CHECK_TRUE(list.due_at() <= now);
    CHECK_FALSE(list.on_tick(now));
    CHECK_TRUE(is_evacuated());
}

// Guards against traffic to an evacuated domain because the store came back from an older copy.
TEST(evacuations, outlive_a_restored_store_for_a_time) {
    read({"a", "b"}, 1);
    now += 1s;
    CHECK_FALSE(read({}, 2));
    now += 1s;
    CHECK_FALSE(read({"b"}, 2)); // written again
    CHECK_TRUE(is_evacuated());
    now += 2s;
    CHECK_TRUE(list.on_tick(now));
    CHECK_FALSE(is_evacuated());
    CHECK_TRUE(list.view(now).domains.contains(failure_domain{"b"}));
}

// Guards against harm by entries without a name or by hundreds of entries.
TEST(evacuations, are_limited_in_number) {
    auto names = std::vector<std::string>{""};
    for (auto n = 100; n < 500; ++n) {
        names.push_back(std::to_string(n));
    }
    read(names);
    CHECK_TRUE(list.is_cut());
    CHECK_EQUAL(max_evacuated_domains, list.view(now).domains.size());
    CHECK_TRUE(list.view(now).domains.contains(failure_domain{"100"}));
    CHECK_FALSE(list.view(now).domains.contains(failure_domain{}));
}
