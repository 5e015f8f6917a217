#include <citronlug/compressed_text.h>

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <random>

using namespace citronlug;

namespace {

/// Rules of 1,400 routes with random names.
auto large_rules() -> std::string {
    auto random = std::mt19937_64{7};
    auto text = std::string{R"({"version":7,"routes":[)"};
    for (auto n = 0; n < 1400; ++n) {
        text += fmt::format(
            R"({{"route":"r-{:x}","database":"d{:x}","path":"/","mode":"bounded-staleness","timeout_ms":2000,)"
            R"("target_ms":1000,"priority":2,"group":"huvo11a","max_attempts":2,"open_to_all":false}},)",
            random() >> 32U, random() >> 32U);
    }
    return text;
}

} // namespace

TEST_GROUP(compressed_text){};

// Guards against links that are full for seconds because each instance gets a version of large rules.
TEST(compressed_text, of_large_rules_is_a_fraction_of_them) {
    const auto text = large_rules();
    const auto data = compress_text(text);
    CHECK(data.size() * 5 < text.size());
    CHECK_TRUE(expand_text(data) == text);
}

TEST(compressed_text, keeps_any_bytes) {
    for (const auto& it : {std::string{}, std::string{"\0\xff\n", 3}, std::string(1, 'x')}) {
        CHECK_TRUE(expand_text(compress_text(it)) == it);
    }
}

// Guards against memory for a length that a broken message announces, and against a part of a text taken for
// the whole.
TEST(compressed_text, is_not_expanded_if_it_is_damaged) {
    const auto data = compress_text(large_rules());
    CHECK_FALSE(expand_text("").has_value());
    CHECK_FALSE(expand_text("abc").has_value());
    CHECK_FALSE(expand_text(std::string_view{data}.substr(0, data.size() / 2)).has_value());
    CHECK_FALSE(expand_text("\x7f\xff\xff\xff" + data.substr(4)).has_value());
    CHECK_FALSE(expand_text(std::string{"\x00\x00\x00\x01", 4} + data.substr(4)).has_value());
}
