#include <citronlug/testing.h>

#include "wire.h"

using namespace citronlug::standin;

TEST_GROUP_BASE(wire_codec, citronlug::testing::test_base){};

namespace {

auto startup_bytes() -> std::string {
    auto body = std::string{"\x00\x03\x00\x00user\0me\0application_name\0app\0\0", 34};
    return std::string{"\x00\x00\x00", 3} + static_cast<char>(body.size() + 4) + body;
}

} // namespace

// Guards against messages that are lost or joined when TCP delivers them in pieces.
TEST(wire_codec, messages_arrive_whole_however_the_bytes_are_cut) {
    citronlug::testing::check_property("cut stream", [] {
        const auto texts = *rc::gen::container<std::vector<std::string>>(
            rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
        auto stream = std::string{};
        for (const auto& it : texts) {
            stream += 'Q' + std::string{"\0\0", 2} + static_cast<char>((it.size() + 5) / 256) +
                      static_cast<char>((it.size() + 5) % 256) + it + '\0';
        }
        auto reader = frontend_reader{};
        auto seen = std::vector<std::string>{};
        while (!stream.empty()) {
            const auto n = *rc::gen::inRange<std::size_t>(1, stream.size() + 1);
            reader.append(stream.substr(0, n));
            stream.erase(0, n);
            while (const auto message = reader.next_message()) {
                seen.push_back(field_reader{message->body}.text());
            }
        }
        RC_ASSERT(seen == texts);
    });
}

// Guards against a startup packet whose parameters, such as the application name, are misread.
TEST(wire_codec, startup_packet_gives_its_parameters) {
    auto reader = frontend_reader{};
    reader.append(startup_bytes());
    const auto packet = reader.next_startup();
    CHECK(packet && packet->kind == startup_kind::startup);
    CHECK(packet->parameters.at("user") == "me");
    CHECK(packet->parameters.at("application_name") == "app");
}

// Guards against a reader that trusts a length from the network.
TEST(wire_codec, impossible_length_is_reported) {
    auto reader = frontend_reader{};
    reader.append(std::string{"Q\x7f\xff\xff\xff.", 6});
    CHECK(!reader.next_message());
    CHECK(reader.malformed());
}

// Guards against reads past the end of a Bind message that was cut short.
TEST(wire_codec, short_bind_is_refused) {
    CHECK(!read_bind(std::string{"\0\0\0\0\0\x01\0\0\0\x09"
                                 "ab",
                                 12}));
    const auto whole = read_bind(std::string{"p\0s\0\0\0\0\x02\0\0\0\x02"
                                             "ab\xff\xff\xff\xff\0\0",
                                             20});
    CHECK(whole && whole->parameters.size() == 2 && whole->parameters[0] == "ab" && !whole->parameters[1]);
}
