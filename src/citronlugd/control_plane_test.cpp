#include "control_plane.h"

#include <citronlug/testing.h>

using namespace citronlug;

TEST_GROUP_BASE(instance_list_reads, citronlug::testing::story){};

// Guards against traffic per instance that grows with the fleet: each read returns the whole list, so the
// read interval must grow with its length.
TEST(instance_list_reads, stay_within_600_bytes_per_second) {
    for (const auto instances : {81, 500, 2600, 5000}) {
        const auto seconds =
            static_cast<double>(list_read_interval(static_cast<std::size_t>(instances)) / 1us) * 1e-6;
        CHECK(instances * 150 / seconds <= 600);
    }
}

// Guards against a small fleet that discovers new instances late because it reads its short list too rarely.
TEST(instance_list_reads, of_a_short_list_come_with_each_announcement) {
    CHECK(list_read_interval(0) <= 3s);
    CHECK(list_read_interval(9) <= 3s);
}
