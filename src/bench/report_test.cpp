// Boost headers must precede the macros of the test framework.
#include "report.h"

#include <citronlug/testing.h>

using namespace citronlug;
using namespace citronlug::bench;

namespace {

auto record_of(operation_kind kind, const char* account, duration intended, duration answered,
               verdict outcome) -> operation_record {
    auto out = operation_record{};
    out.kind = kind;
    out.account.value = account;
    out.attempt = 1;
    out.intended = intended;
    out.sent = intended;
    out.answered = answered;
    out.outcome = outcome;
    return out;
}

auto one_database() -> cluster {
    auto fleet = cluster{};
    fleet.databases.push_back({database_id{"orders-1"}, "http://127.0.0.1:1", {}});
    return fleet;
}

} // namespace

TEST_GROUP_BASE(measures_of_a_run, citronlug::testing::test_base) {
    load_outcome outcome;
    cluster fleet = one_database();
};

// Guards against a replica share that counts writes or unanswered reads.
TEST(measures_of_a_run, replica_share_counts_answered_reads_only) {
    auto served = record_of(operation_kind::aged_read, "museum", 0ms, 2ms, verdict::done);
    served.from_replica = true;
    outcome.records = {served, record_of(operation_kind::session_read, "museum", 0ms, 2ms, verdict::done),
                       record_of(operation_kind::aged_read, "museum", 0ms, 2ms, verdict::not_run),
                       record_of(operation_kind::order, "museum", 0ms, 2ms, verdict::done)};
    const auto found = measure(outcome, fleet);
    LONGS_EQUAL(2, found.reads);
    DOUBLES_EQUAL(0.5, found.replica_share(), 1e-9);
}

// Guards against counting the refusals that an account above its rate has to expect.
TEST(measures_of_a_run, refusals_above_the_rate_are_not_wrongful) {
    auto above = record_of(operation_kind::order, "museum", 0ms, 1ms, verdict::done);
    above.within_rate = false;
    outcome.records = {above, record_of(operation_kind::order, "museum", 0ms, 1ms, verdict::not_run),
                       record_of(operation_kind::order, "museum", 0ms, 1ms, verdict::done)};
    LONGS_EQUAL(0, measure(outcome, fleet).wrongful_refusals);
}

// Guards against missing the refusals of an account that kept to its rate.
TEST(measures_of_a_run, each_refusal_within_the_rate_is_wrongful) {
    outcome.records = {record_of(operation_kind::order, "museum", 0ms, 1ms, verdict::not_run),
                       record_of(operation_kind::order, "museum", 0ms, 1ms, verdict::done)};
    const auto found = measure(outcome, fleet);
    LONGS_EQUAL(1, found.wrongful_refusals);
    DOUBLES_EQUAL(0.5, found.wrongful_share(), 1e-9);
}

TEST_GROUP_BASE(failover_gaps, TEST_GROUP_CppUTestGroupmeasures_of_a_run){
    auto acknowledge_write_at(duration at)
        ->void{outcome.records.push_back(record_of(operation_kind::ticker, "ticker", at - 2ms, at,
                                                   verdict::done));
}
}
;

// Guards against a gap that ends with a write which was not acknowledged.
TEST(failover_gaps, a_gap_lasts_from_the_fault_to_the_next_acknowledged_write) {
    outcome.faults.push_back({fault{fault_kind::primary_crash, 1s, 8s, 0, 0}, 1s, 9s, true, "127.0.0.1:1"});
    acknowledge_write_at(900ms);
    outcome.records.push_back(record_of(operation_kind::ticker, "ticker", 2s, 2100ms, verdict::unknown));
    acknowledge_write_at(4s);
    acknowledge_write_at(4500ms);
    const auto found = measure(outcome, fleet);
    LONGS_EQUAL(1, found.gaps.size());
    LONGS_EQUAL(3'000'000, found.gaps[0].gap.count());
}

// Guards against reporting no gap when writes never come back.
TEST(failover_gaps, a_gap_without_end_lasts_to_the_end_of_the_run) {
    outcome.faults.push_back({fault{fault_kind::primary_crash, 1s, 8s, 0, 0}, 1s, 9s, true, "127.0.0.1:1"});
    acknowledge_write_at(900ms);
    outcome.records.push_back(record_of(operation_kind::ticker, "ticker", 10s, 11s, verdict::not_run));
    LONGS_EQUAL(9'000'000, measure(outcome, fleet).gaps[0].gap.count());
}

TEST_GROUP_BASE(fault_options, citronlug::testing::test_base){};

TEST(fault_options, a_fault_states_kind_time_length_amount_and_database) {
    const auto parsed = parse_fault("replica-lag@4+5.5:8000/2");
    CHECK(succeeded(parsed));
    const auto& found = std::get<fault>(parsed);
    CHECK(found.kind == fault_kind::replica_lag);
    CHECK(found.length == 5500ms);
    LONGS_EQUAL(8000, found.amount);
    LONGS_EQUAL(2, found.database);
}

TEST(fault_options, an_unknown_kind_is_refused_with_the_accepted_names) {
    const auto parsed = parse_fault("meteor@1+1");
    CHECK(!succeeded(parsed));
    CHECK(std::get<failure>(parsed).message.find("primary-crash") != std::string::npos);
}
