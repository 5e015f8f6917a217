#include <citronlug/log_history.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

TEST_GROUP(log_history){};

// Guards against a successor that brings back entries which a change of primary has rolled back.
TEST(log_history, ends_earlier_terms_where_a_new_one_begins) {
    auto history = log_history{};
    CHECK_TRUE(history.contains({1, 1000}));
    history.begin_term(2, 170);
    CHECK_TRUE(history.contains({1, 170}));
    CHECK_FALSE(history.contains({1, 171}));
    CHECK_TRUE(history.contains({2, 1000}));

    // The next primary lacks a part of the second term, and the third one all of it.
    history.begin_term(3, 180);
    CHECK_TRUE(history.contains({2, 180}));
    CHECK_FALSE(history.contains({2, 181}));
    CHECK_FALSE(history.contains({1, 171}));
    history.begin_term(4, 160);
    CHECK_FALSE(history.contains({2, 180}));
    CHECK_FALSE(history.contains({1, 161}));
    CHECK_TRUE(history.contains({1, 160}));
}

// Guards against a successor without all acknowledged writes, and against one that is refused because its
// term is an earlier one.
TEST(log_history, compares_logs_across_terms) {
    auto history = log_history{};
    CHECK_TRUE(history.covers({1, 170}, {1, 170}));
    CHECK_FALSE(history.covers({1, 178}, {2, 171})); // not known where term 2 begins
    history.begin_term(2, 170);
    CHECK_TRUE(history.covers({1, 170}, {2, 170}));
    CHECK_TRUE(history.covers({2, 170}, {1, 170}));
    CHECK_TRUE(history.covers({1, 170}, {1, 178})); // the rest was rolled back
    CHECK_FALSE(history.covers({1, 170}, {2, 171}));
    CHECK_FALSE(history.covers({1, 169}, {2, 170}));
    CHECK_FALSE(history.covers({1, 178}, {1, 170})); // its log has parted
}

// Guards against a text that loses terms, or one that is accepted although it is damaged.
TEST(log_history, is_kept_in_a_text) {
    auto history = log_history{};
    CHECK_EQUAL(std::string{}, to_text(history));
    history.begin_term(2, 170);
    history.begin_term(5, 180);
    CHECK_EQUAL(std::string{"2.170 5.180"}, to_text(history));
    CHECK(history == parse_log_history("2.170 5.180"));
    CHECK(log_history{} == parse_log_history(""));
    for (const auto* it : {"2", "2.", ".170", "2.170 x", "2.170  5.180", "-2.170"}) {
        CHECK_FALSE(parse_log_history(it).has_value());
    }
}

// Guards against a record that grows without bound, and against positions that count again once their term
// is no longer kept.
TEST(log_history, accepts_no_rolled_back_position_after_many_changes) {
    auto history = log_history{};
    history.begin_term(2, 170);
    for (auto n = term_number{3}; n < 100; ++n) {
        history.begin_term(n, 100 * n);
        CHECK_FALSE(history.contains({1, 171}));
        CHECK_TRUE(history.contains({1, 170}));
        CHECK_TRUE(history.terms().size() <= log_history::max_terms);
        CHECK(history == parse_log_history(to_text(history)));
    }
}

namespace {

/// Terms of the entries of a log.
using log_entries = std::vector<term_number>;

auto newest_of(const log_entries& log) -> position {
    return log.empty() ? position{} : position{log.back(), log.size()};
}

auto is_prefix(const log_entries& part, const log_entries& whole) -> bool {
    return part.size() <= whole.size() && std::equal(part.begin(), part.end(), whole.begin());
}

} // namespace

// Compares the history with whole logs: a server's log belongs to it if it is a beginning of the primary's.
TEST(log_history, agrees_with_the_logs_of_random_changes) {
    const auto holds = rc::check([] {
        auto logs = std::map<int, log_entries>{{0, {}}, {1, {}}, {2, {}}};
        auto history = log_history{};
        auto primary = 0;
        auto term = term_number{1};
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 3)));
        for (const auto& [step, server] : steps) {
            if (step == 0 && term < log_history::max_terms && is_prefix(logs[server], logs[primary])) {
                primary = server;
                history.begin_term(++term, logs[primary].size());
            } else if (step < 4) {
                logs[primary].push_back(term);
            } else if (server != primary) {
                // A replica drops what the primary lacks, and receives some of the rest.
                auto& log = logs[server];
                const auto& from = logs[primary];
                const auto size = is_prefix(log, from) ? std::min(log.size() + 2, from.size()) : from.size();
                log = log_entries(from.begin(), from.begin() + static_cast<std::ptrdiff_t>(size));
            }
            for (const auto& [id, log] : logs) {
                RC_ASSERT(history.contains(newest_of(log)) == is_prefix(log, logs[primary]));
                RC_ASSERT(history.covers(newest_of(log), newest_of(logs[primary])) == (log == logs[primary]));
            }
        }
    });
    CHECK_TRUE(holds);
}
