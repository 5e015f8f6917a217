#include <citronlug/testing.h>

#include <citronlug/keys.h>
#include <citronlug/log.h>
#include <citronlug/metrics.h>
#include <citronlug/timeline.h>

#include <thread>

using namespace citronlug;

TEST_GROUP_BASE(log_lines, citronlug::testing::test_base){};

TEST(log_lines, have_time_level_instance_event_and_fields) {
    const auto line = format_log_line(1'780'000'000'000'042, log_level::warning, instance_id{"i1"},
                                      "takeover", {{"database", "orders-1"}, {"epoch", "7"}});
    CHECK_EQUAL(
        std::string{"2026-05-28T20:26:40.000042Z warning i1 takeover database=\"orders-1\" epoch=\"7\""},
        line);
}

// Guards against log injection: a value must not create another line or field.
TEST(log_lines, escape_field_values) {
    citronlug::testing::check_property("values are escaped", [] {
        const auto value =
            *rc::gen::container<std::string>(rc::gen::element('\n', '"', '\\', '\0', 'a', ' '));
        const auto line = format_log_line(0, log_level::info, instance_id{"i"}, "e", {{"v", value}});
        const auto body = line.substr(line.find("v=\"") + 3);
        auto end = std::size_t{0};
        while (body.at(end) != '"') {
            RC_ASSERT(static_cast<unsigned char>(body[end]) >= 0x20);
            end += body[end] == '\\' ? 2 : 1;
        }
        RC_ASSERT(end + 1 == body.size());
    });
}

// Guards against secrets in the log.
TEST(log_lines, never_contain_a_key_or_token) {
    citronlug::testing::check_property("secrets are replaced", [] {
        const auto key = issue_key(account_id{"a"}, "x").text;
        const auto secret = key.substr(key.rfind('_') + 1);
        const auto before = *rc::gen::container<std::string>(rc::gen::element('c', 'k', '_', ' ', 'x'));
        const auto prefix = *rc::gen::element(std::string{"Bearer "}, std::string{"bearer "}, std::string{});
        const auto line =
            format_log_line(0, log_level::info, instance_id{"i"}, "e",
                            {{"v", before + " " + prefix + key + " rest"}, {"token", "abc-def"}});
        RC_ASSERT(line.find(secret) == std::string::npos);
        RC_ASSERT(line.find("abc-def") == std::string::npos);
        RC_ASSERT(line.find(" rest") != std::string::npos);
    });
}

TEST(log_lines, below_the_minimum_level_are_dropped) {
    auto lines = std::vector<std::string>{};
    const auto log = logger{instance_id{"i"}, log_level::info, [&](const auto& it) {
                                lines.push_back(it);
                            }};
    log.write(0, log_level::debug, "one");
    log.write(0, log_level::info, "two");
    CHECK_EQUAL(1U, lines.size());
}

TEST_GROUP_BASE(process_metrics, citronlug::testing::test_base){};

TEST(process_metrics, are_exported_as_text) {
    auto all = metrics{2};
    all.count("requests_total", {{"account", "a\"b"}}, 3);
    all.count("requests_total", {{"account", "c"}});
    all.set("queued", {}, 2);
    all.set("queued", {}, 4);
    all.observe("latency_seconds", {{"route", "r"}}, 2ms);
    all.observe("latency_seconds", {{"route", "r"}}, 90s);
    const auto text = all.text();
    for (const auto* it :
         {"# TYPE requests_total counter\nrequests_total{account=\"a\\\"b\"} 3\n",
          "requests_total{account=\"c\"} 1\n", "# TYPE queued gauge\nqueued 4\n",
          "latency_seconds_bucket{route=\"r\",le=\"+Inf\"} 2\n", "latency_seconds_count{route=\"r\"} 2\n",
          "latency_seconds_sum{route=\"r\"} 90.002\n"}) {
        CHECK(text.find(it) != std::string::npos);
    }
}

// Guards against updates lost between threads or shards.
TEST(process_metrics, add_up_over_threads) {
    auto all = metrics{4};
    auto threads = std::vector<std::thread>{};
    for (auto n = 0; n < 8; ++n) {
        threads.emplace_back([&all] {
            for (auto i = 0; i < 1000; ++i) {
                all.count("n_total");
                all.observe("t_seconds", {}, 1ms);
            }
        });
    }
    for (auto& it : threads) {
        it.join();
    }
    CHECK_EQUAL(8000U, all.counter("n_total"));
    CHECK(all.text().find("t_seconds_count 8000\n") != std::string::npos);
}

TEST(process_metrics, report_quantiles_within_one_bucket) {
    citronlug::testing::check_property("quantile is the upper edge of a bucket around the value", [] {
        auto all = metrics{3};
        auto values =
            *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(100, 10'000'000)));
        for (const auto it : values) {
            all.observe("t", {}, duration{it});
        }
        std::sort(values.begin(), values.end());
        const auto exact = values[(values.size() - 1) / 2];
        const auto found = all.quantile("t", {}, 0.5).count();
        RC_ASSERT(found >= exact - 1 && static_cast<double>(found) <= static_cast<double>(exact) * 1.7);
    });
}

TEST_GROUP_BASE(event_timeline, citronlug::testing::test_base){};

TEST(event_timeline, keeps_the_newest_events_that_pass_the_filter) {
    auto line = timeline{instance_id{"i"}, 3};
    for (auto n = 0; n < 5; ++n) {
        line.record(n, {{}, "k" + std::to_string(n), "", database_id{n % 2 == 0 ? "even" : "odd"}});
    }
    CHECK_EQUAL(2U, line.dropped());
    CHECK_EQUAL(3U, line.select({}).size());
    const auto even = line.select({database_id{"even"}});
    CHECK_EQUAL(2U, even.size());
    CHECK(even[0].kind == "k2" && even[1].kind == "k4");
    auto newest = timeline_filter{};
    newest.limit = 1;
    CHECK(line.select(newest).at(0).kind == "k4");
}

// Guards against one wrong clock that advances the clocks of all instances.
TEST(event_timeline, ignores_a_clock_far_ahead) {
    auto clock = hybrid_clock{instance_id{"i"}};
    CHECK(!clock.observe({max_clock_lead_us + 11, 0, instance_id{"j"}}, 10));
    CHECK_EQUAL(10, clock.tick(10).wall_us);
    CHECK(clock.observe({max_clock_lead_us, 3, instance_id{"j"}}, 10));
    CHECK(clock.tick(10) > (hybrid_time{max_clock_lead_us, 3, instance_id{"j"}}));
}

// Guards against an effect listed before its cause when wall clocks differ.
TEST(event_timeline, merges_in_causal_order) {
    citronlug::testing::check_property("causes come first", [] {
        constexpr auto processes = 3;
        auto lines = std::vector<std::unique_ptr<timeline>>{};
        auto skew = std::vector<std::int64_t>{};
        for (auto n = 0; n < processes; ++n) {
            lines.push_back(std::make_unique<timeline>(instance_id{std::to_string(n)}, 1000));
            skew.push_back(*rc::gen::inRange(0, 5000));
        }
        auto causes = std::vector<std::pair<std::string, std::string>>{};
        auto last = std::vector<std::string>(processes);
        const auto steps = *rc::gen::inRange(1, 60);
        for (auto step = 0; step < steps; ++step) {
            const auto n = static_cast<std::size_t>(*rc::gen::inRange(0, processes));
            const auto name = std::to_string(step);
            const auto wall = [&](std::size_t process) {
                return std::int64_t{step} * 100 + skew[process];
            };
            lines[n]->record(wall(n), {{}, name});
            if (!last[n].empty()) {
                causes.emplace_back(last[n], name);
            }
            last[n] = name;
            if (*rc::gen::arbitrary<bool>()) {
                const auto to = (n + 1) % processes;
                lines[to]->observe(lines[n]->stamp(wall(n)), wall(to));
                lines[to]->record(wall(to), {{}, name + "r"});
                causes.emplace_back(name, name + "r");
                if (!last[to].empty()) {
                    causes.emplace_back(last[to], name + "r");
                }
                last[to] = name + "r";
            }
        }
        auto sources = std::vector<std::vector<timeline_event>>{};
        for (const auto& it : lines) {
            sources.push_back(it->select({}));
        }
        sources.push_back(sources.front()); // duplicates must be removed
        auto place = std::map<std::string, std::size_t>{};
        for (const auto& it : merge(sources)) {
            RC_ASSERT(place.emplace(it.kind, place.size()).second);
        }
        for (const auto& [cause, effect] : causes) {
            RC_ASSERT(place.at(cause) < place.at(effect));
        }
    });
}
