#include <citronlug/log.h>
#include <citronlug/log_reader.h>

#include <citronlug/testing.h>

using namespace citronlug;

namespace {

auto lines_of(const std::vector<std::string>& texts) -> std::vector<log_line> {
    auto lines = std::vector<log_line>{};
    for (const auto& it : texts) {
        if (auto line = read_log_line(it)) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

} // namespace

TEST_GROUP_BASE(log_reader, citronlug::testing::test_base){};

// Guards against a parser that does not match the log format.
TEST(log_reader, parses_formatted_lines) {
    constexpr auto wall_us = std::int64_t{1'764'840'000'123'456};
    const auto text = format_log_line(wall_us, log_level::info, instance_id{"node-1"}, "request-refused",
                                      {{"request", "9-358"}, {"why", "a \"quoted\" word"}, {"server", ""}});
    const auto line = read_log_line(text);
    CHECK_TRUE(line.has_value());
    CHECK_EQUAL(wall_us, line->wall_us);
    CHECK_EQUAL(std::string{"node-1"}, line->instance.value);
    CHECK_EQUAL(std::string{"request-refused"}, line->event);
    CHECK_EQUAL(std::string{"a \"quoted\" word"}, line->fields.at("why"));
    CHECK_EQUAL(std::string{}, line->fields.at("server"));
    CHECK_FALSE(read_log_line("12 clients reached").has_value());
    CHECK_FALSE(read_log_line("").has_value());
}

// Guards against an explanation that omits the change of primary that caused a refusal, or includes
// unrelated lines.
TEST(log_reader, includes_the_primary_change_that_caused_a_refusal) {
    const auto lines = lines_of({
        R"(2026-12-04T08:38:40.000000Z info node-1 change-started group="g1" detail="long before")",
        R"(2026-12-04T08:38:47.100000Z info node-1 change-started group="g1" detail="generation=2")",
        R"(2026-12-04T08:38:47.150000Z info node-2 permit-lost group="g1" primary="g1-1" changing="yes")",
        R"(2026-12-04T08:38:47.160000Z info node-3 permit-lost group="g1" primary="g1-1" changing="yes")",
        R"(2026-12-04T08:38:47.170000Z info node-2 permit-lost group="g2" primary="g2-1" changing="no")",
        R"(2026-12-04T08:38:47.200000Z info node-2 request-refused request="9-1" primary="g2-1" server="")",
        R"(2026-12-04T08:38:48.100000Z info node-2 request-refused request="9-358" primary="g1-1" server="")",
        R"(2026-12-04T08:38:47.000000Z warning node-2 dependency-lost dependency="store" kind="rules")",
        R"(2026-12-04T08:38:48.300000Z info node-1 change-finished group="g1" detail="generation=2")",
    });
    const auto found = explain_request(lines, "9-358");
    auto summary = std::string{};
    for (const auto& it : found) {
        summary += it.instance.value + " " + it.event + "\n";
    }
    CHECK_EQUAL(std::string{"node-2 dependency-lost\n"
                            "node-1 change-started\n"
                            "node-2 permit-lost\n"
                            "node-2 request-refused\n"
                            "node-1 change-finished\n"},
                summary);
    CHECK_TRUE(explain_request(lines, "9-999").empty());
}
