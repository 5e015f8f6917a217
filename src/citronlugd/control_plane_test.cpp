#include "control_plane.h"

#include <citronlug/testing.h>

using namespace citronlug;

TEST_GROUP_BASE(reads_of_the_platform_list, citronlug::testing::test_base){};

// Guards against a cost per instance that grows with the fleet, since each read returns the whole list.
TEST(reads_of_the_platform_list, cost_no_more_than_600_bytes_per_second) {
    for (const auto instances : {81, 500, 2600, 5000}) {
        const auto seconds =
            static_cast<double>(list_interval(static_cast<std::size_t>(instances)) / 1us) * 1e-6;
        CHECK(instances * 150 / seconds <= 600);
    }
}

TEST(reads_of_the_platform_list, of_a_small_fleet_come_with_each_announcement) {
    CHECK(list_interval(0) <= 3s);
    CHECK(list_interval(9) <= 3s);
}
