#include <citronlug/token_deputies.h>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

namespace {

auto report_of(const std::string& name, double processor_share, bool lends = true) -> instance_report {
    auto it = instance_report{};
    it.instance = instance_id{name};
    it.peer_address = "10.0.0.1:" + name;
    it.processor_share = processor_share;
    it.lends_tokens = lends;
    return it;
}

} // namespace

TEST_GROUP(token_deputies){};

// Guards against deputies that are lost with the coordinator, answer too slowly, or do not know the request.
TEST(token_deputies, are_the_largest_instances_that_can_lend) {
    auto leaving = report_of("5", 0.5);
    leaving.leaving = true;
    const auto chosen = choose_deputies(
        instance_id{"1"}, {report_of("1", 0.5), report_of("2", 0.1), report_of("3", 0.5),
                           report_of("4", 0.5, false), leaving, report_of("6", 0.2), report_of("7", 0.2)});
    CHECK_EQUAL(3U, chosen.size());
    CHECK(chosen[0].instance == instance_id{"3"});
    CHECK(chosen[1].instance == instance_id{"6"});
    CHECK_EQUAL(std::string{"10.0.0.1:7"}, chosen[2].address);
}

// Guards against an instance that goes on asking a deputy that is gone or has no tokens left.
TEST(token_deputies, are_asked_one_after_the_other) {
    auto now = time_point{1h};
    auto requests = deputy_requests{4};
    CHECK_TRUE(requests.begin(now).empty());
    requests.set_deputies({"a", "b", "c"});
    CHECK_EQUAL(std::string{"b"}, requests.begin(now));
    CHECK_TRUE(requests.begin(now).empty());
    requests.on_answer(requests.number(), true);
    CHECK_EQUAL(std::string{"b"}, requests.begin(now));
    requests.on_answer(requests.number(), false);
    CHECK_EQUAL(std::string{"c"}, requests.begin(now));
    const auto abandoned = requests.number();
    now += deputy_timeout;
    CHECK_EQUAL(std::string{"a"}, requests.begin(now));
    requests.on_answer(abandoned, false);
    CHECK_TRUE(requests.begin(now).empty());
}
