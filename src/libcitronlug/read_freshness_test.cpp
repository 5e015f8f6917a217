#include <citronlug/read_freshness.h>

#include <rapidcheck.h>

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

namespace {

auto route(consistency kind, duration max_age) -> session_route {
    auto it = session_route{};
    it.kind = kind;
    it.max_age = max_age;
    return it;
}

} // namespace

TEST_GROUP(read_freshness) {
    time_point now{1h};
    position_samples samples;
};

// Guards against reads that miss a write acknowledged before the accepted age. Writes are acknowledged at
// random times; the required position contains each of them that is older than the bound.
TEST(read_freshness, contains_all_writes_older_than_the_bound) {
    const auto holds = rc::check("position contains old writes", [] {
        auto recorded = position_samples{};
        auto clock = time_point{1h};
        auto log = log_position{1};
        auto writes = std::vector<std::pair<time_point, log_position>>{};
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
        for (const auto step : steps) {
            clock += std::chrono::milliseconds{step % 97};
            if (step % 3 == 0) {
                writes.emplace_back(clock, ++log);
            } else {
                const auto requested_at = clock;
                // The response may contain writes later than the request.
                clock += std::chrono::milliseconds{step % 13};
                recorded.add(requested_at, {1, log});
            }
            const auto bound = std::chrono::milliseconds{step};
            const auto requirement = recorded.required(clock, bound);
            for (const auto& [at, number] : writes) {
                RC_ASSERT(!requirement || at >= clock - bound || requirement->log >= number);
            }
        }
    });
    CHECK_TRUE(holds);
}

// Guards against replica reads on a route that requires all writes.
TEST(read_freshness, allows_no_replica_on_primary_routes) {
    samples.add(now, {1, 5});
    CHECK_FALSE(
        read_requirement_for(route(consistency::primary, 0ms), samples, std::nullopt, now).replica_allowed);
    CHECK_FALSE(read_requirement_for(route(consistency::bounded_staleness, 0ms), samples, std::nullopt, now)
                    .replica_allowed);
}

// Guards against replica reads without a position sample of the accepted age.
TEST(read_freshness, allows_no_replica_without_evidence_of_the_accepted_age) {
    const auto bounded = route(consistency::bounded_staleness, 1s);
    CHECK_FALSE(read_requirement_for(bounded, samples, std::nullopt, now).replica_allowed);
    samples.add(now - 2s, {1, 5});
    CHECK_FALSE(read_requirement_for(bounded, samples, std::nullopt, now).replica_allowed);
    samples.add(now - 500ms, {1, 6});
    CHECK_EQUAL(6U, read_requirement_for(bounded, samples, std::nullopt, now).after->log);
}

// Guards against a session that misses its own write, also after a change of primary.
TEST(read_freshness, requires_the_sessions_own_write) {
    const auto own = route(consistency::read_your_writes, 2s);
    samples.add(now - 1s, {1, 5});
    CHECK_EQUAL(9U, read_requirement_for(own, samples, position{1, 9}, now).after->log);
    samples.clear();
    samples.add(now - 100ms, {2, 7});
    const auto requirement = read_requirement_for(own, samples, position{1, 9}, now);
    CHECK_EQUAL(2U, requirement.after->term);
    CHECK_EQUAL(7U, requirement.after->log);
}

// Guards against dropping the last position while the group has no primary: no newer write can be
// acknowledged then.
TEST(read_freshness, keeps_a_sealed_position_of_any_age) {
    samples.add(now - 10s, {1, 5});
    samples.seal({1, 8});
    CHECK_EQUAL(8U, samples.required(now, 1s)->log);
    samples.clear();
    CHECK_FALSE(samples.required(now, 1s).has_value());
}
