#include <citronlug/network_address.h>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

TEST_GROUP(network_address){};

TEST(network_address, reads_addresses_of_both_families) {
    CHECK_TRUE((parse_network_address("10.0.0.9:80") == network_address{"10.0.0.9", 80}));
    CHECK_TRUE((parse_network_address("[::1]:65535") == network_address{"::1", 65535}));
    CHECK_TRUE((parse_network_address("0.0.0.0:0") == network_address{"0.0.0.0", 0}));
}

// Guards against a port out of range that is taken for another port.
TEST(network_address, rejects_what_is_no_address) {
    for (const auto* text : {"", ":", "10.0.0.9", "10.0.0.9:", "10.0.0.9:65536", "10.0.0.9:-1",
                             "10.0.0.9:+80", "10.0.0.9: 80", "10.0.0.9:80x", "10.0.0.9:99999999999999999999",
                             "10.0.0.300:80", "db.example:80", "[10.0.0.9]:80", "::1:80"}) {
        CHECK_FALSE(parse_network_address(text).has_value());
    }
}

TEST(network_address, connects_to_no_port_0) {
    CHECK_TRUE(is_connectable("127.0.0.1:1"));
    CHECK_FALSE(is_connectable("127.0.0.1:0"));
}
