#include <citronlug/testing.h>

#include <citronlug/outcome.h>

using namespace citronlug;

TEST_GROUP_BASE(name_tables, citronlug::testing::test_base){};

// Guards against a failure code without a name, which would reach callers as "unknown".
TEST(name_tables, every_failure_code_has_its_own_name) {
    auto seen = std::set<std::string_view>{};
    for (const auto name : name_table<failure_code>::names) {
        CHECK(!name.empty());
        CHECK(seen.insert(name).second);
    }
    CHECK(name_of(failure_code::shutting_down) == "shutting-down");
}

TEST(name_tables, names_map_back_to_their_values) {
    citronlug::testing::check_property("name round trip", [] {
        const auto n = *rc::gen::inRange(0, static_cast<int>(name_table<failure_code>::names.size()));
        const auto code = static_cast<failure_code>(n);
        RC_ASSERT(value_of<failure_code>(name_of(code)) == code);
    });
}
