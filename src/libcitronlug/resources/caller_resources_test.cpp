#include <citronlug/caller_resources.h>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace citronlug;

namespace {

constexpr auto mebibyte = std::size_t{1} << 20U;
const auto start = time_point{100s};

auto limits(std::size_t connections, std::size_t per_address, std::size_t unfinished)
    -> caller_resource_limits {
    return {connections, per_address, unfinished, 0};
}

} // namespace

TEST_GROUP(caller_resources){};

TEST(caller_resources, leave_descriptors_for_servers_and_store) {
    auto settings = session_settings{};
    CHECK_EQUAL(3000, make_caller_limits(settings).connections);
    CHECK_EQUAL(750, make_caller_limits(settings).per_address);
    CHECK_EQUAL(64 * mebibyte, make_caller_limits(settings).memory);
    settings.descriptors = 700;
    settings.memory_mb = 96;
    CHECK_EQUAL(244, make_caller_limits(settings).connections);
    CHECK_EQUAL(122, make_caller_limits(settings).unfinished);
    CHECK_EQUAL(24 * mebibyte, make_caller_limits(settings).memory);
    // Fewer descriptors than are reserved must not refuse all callers.
    settings.descriptors = 128;
    CHECK_EQUAL(1, make_caller_limits(settings).connections);
    CHECK_EQUAL(1, make_caller_limits(settings).unfinished);
}

TEST(caller_resources, close_the_oldest_connection_without_a_session) {
    auto it = caller_admission{limits(8, 100, 2)};
    CHECK_FALSE(it.on_connected(start, 1, "a", 0).close);
    CHECK_FALSE(it.on_connected(start, 2, "a", 0).close);
    it.on_started(1);
    // A caller that arrives after connections that send nothing must be accepted.
    CHECK_FALSE(it.on_connected(start + 1s, 3, "a", 0).close);
    const auto fourth = it.on_connected(start + 2s, 4, "a", 0);
    CHECK_FALSE(fourth.refused);
    CHECK_EQUAL(2, *fourth.close);
    CHECK(it.expired(start + 5s).empty());
    CHECK(it.expired(start + 6s) == std::vector<caller_id>{3});
    CHECK(it.expired(start + 7s) == (std::vector<caller_id>{3, 4}));
}

TEST(caller_resources, refuse_when_all_connections_are_in_use) {
    auto it = caller_admission{limits(2, 100, 2)};
    static_cast<void>(it.on_connected(start, 1, "a", 0));
    static_cast<void>(it.on_connected(start, 2, "b", 0));
    it.on_started(1);
    it.on_started(2);
    CHECK(it.on_connected(start, 3, "c", 0).refused == caller_refusal::connections);
    it.on_closed(1);
    // A socket that still sends its last answer holds a descriptor.
    CHECK(it.on_connected(start, 4, "c", 1).refused == caller_refusal::connections);
    CHECK_FALSE(it.on_connected(start, 5, "c", 0).refused);
}

TEST(caller_resources, refuse_too_many_connections_from_one_address) {
    auto it = caller_admission{limits(100, 2, 50)};
    static_cast<void>(it.on_connected(start, 1, "a", 0));
    static_cast<void>(it.on_connected(start, 2, "a", 0));
    CHECK(it.on_connected(start, 3, "a", 0).refused == caller_refusal::address);
    CHECK_FALSE(it.on_connected(start, 4, "b", 0).refused);
    it.on_closed(1);
    CHECK_FALSE(it.on_connected(start, 5, "a", 0).refused);
    // Refusals come in floods; the log must not.
    CHECK(it.may_log(start, caller_refusal::address));
    CHECK_FALSE(it.may_log(start + 999ms, caller_refusal::address));
    CHECK(it.may_log(start + 999ms, caller_refusal::memory));
    CHECK(it.may_log(start + 1s, caller_refusal::address));
}

TEST_GROUP(memory_of_callers) {
    memory_budget it{4 * mebibyte};

    auto receive(time_point now, caller_id id, std::size_t bytes)->bool {
        const auto granted = it.request(now, id, bytes);
        if (granted) {
            it.set(now, id, memory_use::input, bytes);
        }
        return granted;
    }
};

TEST(memory_of_callers, serves_one_message_of_the_largest_size) {
    CHECK(receive(start, 1, mebibyte + 65536));
    CHECK_FALSE(it.next_to_close(start + 1h));
    CHECK_FALSE(it.over_budget(start + 1h));
}

TEST(memory_of_callers, never_stops_a_small_message) {
    auto id = caller_id{1};
    while (receive(start, id, mebibyte / 4)) {
        ++id;
    }
    it.set(start, id, memory_use::answers, 8 * mebibyte);
    CHECK(it.request(start, 1000, free_bytes_per_caller));
    CHECK_FALSE(it.request(start, 1000, free_bytes_per_caller + 1));
}

TEST(memory_of_callers, stops_the_largest_first_and_resumes_the_smallest_first) {
    CHECK(receive(start, 1, mebibyte));
    CHECK(receive(start, 2, mebibyte));
    // Half of the shared part is free. A connection may not hold more than is free afterwards.
    CHECK_FALSE(it.request(start, 1, 2 * mebibyte));
    CHECK_FALSE(it.request(start, 3, 3 * mebibyte / 2));
    CHECK(it.request(start, 4, mebibyte / 2));
    CHECK(it.resumable().empty());
    it.remove(2);
    CHECK(it.resumable() == (std::vector<caller_id>{3}));
    it.remove(1);
    CHECK(it.resumable().empty());
    CHECK_EQUAL(0, it.shared());
    CHECK_EQUAL(0, it.held(memory_use::input));
}

TEST(memory_of_callers, closes_what_makes_no_progress_while_others_wait) {
    CHECK(receive(start, 1, mebibyte));
    CHECK(receive(start, 2, mebibyte));
    it.set(start, 2, memory_use::statements, 1);
    CHECK_FALSE(it.next_to_close(start + 1h)); // nobody waits
    CHECK_FALSE(receive(start + 1s, 3, 2 * mebibyte));
    CHECK_FALSE(it.next_to_close(start + 4999ms));
    // The second is larger, but waits for a server.
    CHECK_EQUAL(1, *it.next_to_close(start + 5s));
    // The largest demand goes first, among equals the newest.
    CHECK_EQUAL(3, *it.next_to_close(start + 6s));
    CHECK_FALSE(receive(start + 1s, 4, 2 * mebibyte));
    CHECK_EQUAL(4, *it.next_to_close(start + 6s));
    it.remove(4);
    it.remove(3);
    CHECK_FALSE(it.next_to_close(start + 1h));
}

TEST(memory_of_callers, closes_the_one_that_reads_nothing_when_answers_exceed_the_budget) {
    it.set(start, 1, memory_use::answers, 2 * mebibyte);
    CHECK_FALSE(it.over_budget(start));
    it.set(start + 3s, 2, memory_use::answers, 3 * mebibyte);
    // A caller that has just got its answer must not be closed for one that has read nothing for 3 s.
    CHECK_EQUAL(1, *it.over_budget(start + 3s));
    it.remove(1);
    CHECK_FALSE(it.over_budget(start + 3s));
}
