#include <citronlug/message_frames.h>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace citronlug;

namespace {

auto message(const std::vector<std::uint32_t>& words) -> std::string {
    auto numbers = std::vector<std::uint32_t>{static_cast<std::uint32_t>(words.size() - 1)};
    numbers.insert(numbers.end(), words.begin(), words.end());
    if (numbers.size() % 2 != 0) {
        numbers.push_back(0xffffffffU); // padding has no meaning
    }
    auto text = std::string{};
    auto content = std::size_t{0};
    for (const auto it : numbers) {
        for (auto n = 0U; n < 4; ++n) {
            text.push_back(static_cast<char>((it >> (8 * n)) & 0xffU));
        }
    }
    for (const auto it : words) {
        content += std::size_t{8} * it;
    }
    return text + std::string(content, '\xff');
}

auto feed(message_frames& it, const std::string& text) -> bool {
    return it.feed(std::as_bytes(std::span{text}));
}

} // namespace

TEST_GROUP(message_frames){};

// A message whose announced size is not seen in time makes the process allocate it.
TEST(message_frames, are_refused_at_the_table_that_announces_too_much) {
    auto it = message_frames{4096};
    CHECK(feed(it, message({512})));
    CHECK_FALSE(feed(it, message({513}).substr(0, 8)));
    CHECK_FALSE(feed(it, message({1})));

    auto sum = message_frames{4096};
    CHECK_FALSE(feed(sum, message({300, 300}).substr(0, 12)));
    auto segments = message_frames{4096};
    CHECK_FALSE(feed(segments, std::string("\xff\xff\xff\xff", 4)));
}

TEST(message_frames, are_followed_byte_by_byte_and_in_one_piece) {
    const auto all = message({3}) + message({1, 0, 2}) + message({0}) + message({1, 511}) + message({2});
    auto whole = message_frames{4096};
    CHECK(feed(whole, all));
    CHECK_FALSE(feed(whole, message({513})));
    auto pieces = message_frames{4096};
    for (const auto c : all) {
        CHECK(feed(pieces, std::string(1, c)));
    }
    CHECK_FALSE(feed(pieces, message({513})));
}

TEST(message_frames, may_be_larger_after_the_limit_was_raised) {
    auto it = message_frames{4096};
    it.set_limit(16'000'000);
    CHECK(feed(it, message({100'000})));
    CHECK_FALSE(feed(it, message({2'000'001}).substr(0, 8)));
}
