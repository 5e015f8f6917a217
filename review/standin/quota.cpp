// Case: more operations of a client account run than its limit permits, after the coordinator's machine was
// removed. Four clients of one account, each at an instance of its own, are active one after the other; then
// all of them at once. Exit code 1: a window of 5 s holds more operations than the rule QUOTA permits.
#include "standin.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

using namespace review;

namespace {

constexpr auto rate = 100;
constexpr auto burst = 100;
constexpr auto window_s = 5.0;
constexpr auto over = 0.1;   // QuotaOver
constexpr auto slack = 20.0; // QuotaSlack
constexpr auto usual_per_s = 70.0;
constexpr auto hot_factor = 7.5;
constexpr auto turn_s = 7.0;
constexpr auto hot_s = 6.5;
constexpr auto replaced_after_s = 4.0;
constexpr auto sessions_of_client = 24;

struct shared_state {
    std::mutex mutex;
    std::map<std::string, double> sent;
    std::map<std::string, int> outcomes;
};

/// One session of a client: an operation at each due time while its client is active.
auto run_session(const instance& at, int client, int number, std::atomic<double>& per_s,
                 std::atomic<bool>& stop, shared_state& state, recorder& record) -> void {
    auto stream = std::unique_ptr<line_stream>{};
    auto due = 0.0;
    auto count = 0;
    while (!stop) {
        const auto own_rate = per_s / sessions_of_client;
        if (own_rate <= 0) {
            due = 0;
            sleep_s(0.01);
            continue;
        }
        if (due == 0) {
            due = now_s() + static_cast<double>(number) / sessions_of_client / own_rate;
        }
        sleep_s(std::min(0.05, due - now_s()));
        if (now_s() < due) {
            continue;
        }
        due = std::max(due + 1 / own_rate, now_s() - 0.5);
        if (!stream) {
            stream = connect_to(at.caller_port());
            if (!stream || !stream->write("START maps key-of-school\r\n") || !stream->read_line(2)) {
                stream.reset();
                continue;
            }
        }
        char id[32];
        std::snprintf(id, sizeof id, "%02d%02d%06d", client, number, count++);
        {
            const auto lock = std::lock_guard{state.mutex};
            state.sent[id] = now_s();
        }
        record.line(std::string{"sent "} + id + " to " + at.name());
        auto outcome = std::string{"none"};
        if (stream->write(std::string{"QUERY "} + id + " READ 1a4\r\n")) {
            while (auto line = stream->read_line(3)) {
                if (line->starts_with("READY ")) {
                    break;
                }
                outcome = line->starts_with("ERROR ") ? line->substr(6, line->find(' ', 6) - 6) : "ok";
            }
        }
        record.line(std::string{"answered "} + id + " " + outcome);
        if (outcome == "none") {
            stream.reset();
        }
        const auto lock = std::lock_guard{state.mutex};
        ++state.outcomes[outcome];
    }
}

/// Most operations that were sent and run within one window.
auto most_in_window(const std::vector<run_event>& runs, const std::map<std::string, double>& sent)
    -> std::pair<int, double> {
    auto best = std::pair{0, 0.0};
    for (const auto& first : runs) {
        const auto from = sent.at(first.request);
        const auto n = static_cast<int>(std::count_if(runs.begin(), runs.end(), [&](const auto& it) {
            return sent.at(it.request) >= from && it.begun <= from + window_s;
        }));
        best = std::max(best, std::pair{n, from});
    }
    return best;
}

} // namespace

auto main(int argc, char** argv) -> int {
    auto record = recorder{argc > 1 ? argv[1] : "record.txt"};
    auto objects = store{};
    const auto store_port = listener{[&](int fd) {
        serve_http(fd, [&](const auto& it) { return objects.handle(it); });
    }};
    const auto promotions = listener{[&](int fd) {
        serve_http(fd, [&](const auto&) { return http_answer{409, "{}"}; });
    }};
    auto servers = server_group{"orders", {8, 24, 60, 0.005}, 0, objects, record};
    objects.put("config", "main",
                rules_text(7, "orders", 60, {{"maps", "bounded_staleness", 2000, 1500}},
                           {{"school", "key-of-school", rate, burst}, {"shop", "key-of-shop", 1000, 1000}}));
    auto instances = std::vector<std::unique_ptr<instance>>{};
    const auto zones = std::vector<std::string>{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c"};
    for (std::size_t n = 0; n < zones.size(); ++n) {
        instances.push_back(std::make_unique<instance>("front-" + std::to_string(n + 1), zones[n],
                                                       store_port.port(), promotions.port(), record));
        instances.back()->start();
    }
    auto added = std::unique_ptr<instance>{};
    const auto finish = [&](int code) {
        instances.clear();
        added.reset();
        record.flush();
        std::fflush(stdout);
        std::_Exit(code); // threads of the stand-ins are still running
    };
    if (!wait_until_ready(instances)) {
        finish(2);
    }
    sleep_s(5);
    const auto holder = unquote(json_field(objects.get("citronlug-duty", "duty"), "holder"));
    record.line("coordinator " + holder);
    auto others = std::vector<instance*>{};
    auto* coordinator = static_cast<instance*>(nullptr);
    for (const auto& it : instances) {
        (it->name() == holder ? coordinator : others.emplace_back()) = it.get();
    }
    if (coordinator == nullptr || others.size() != 4) {
        std::puts("no coordinator found");
        finish(2);
    }
    auto state = shared_state{};
    auto stop = std::atomic<bool>{false};
    auto rates = std::vector<std::unique_ptr<std::atomic<double>>>{};
    auto threads = std::vector<std::thread>{};
    for (auto client = 0; client < 4; ++client) {
        rates.push_back(std::make_unique<std::atomic<double>>(0.0));
        for (auto n = 0; n < sessions_of_client; ++n) {
            threads.emplace_back(run_session, std::cref(*others[static_cast<std::size_t>(client)]), client, n,
                                 std::ref(*rates.back()), std::ref(stop), std::ref(state), std::ref(record));
        }
    }
    for (auto& it : rates) {
        *it = usual_per_s;
        sleep_s(turn_s);
        *it = 0.0;
    }
    if (env().trouble) {
        coordinator->signal(SIGKILL);
    }
    const auto removed_at = now_s();
    record.line("all clients active");
    for (auto& it : rates) {
        *it = usual_per_s * hot_factor / 4;
    }
    sleep_s(replaced_after_s);
    if (env().trouble) {
        coordinator->has_ended();
        added = std::make_unique<instance>("front-9", "zone-a", store_port.port(), promotions.port(), record);
        added->start();
    }
    sleep_s(hot_s - replaced_after_s);
    for (auto& it : rates) {
        *it = 0.0;
    }
    sleep_s(1);
    stop = true;
    for (auto& it : threads) {
        it.join();
    }
    const auto limit = (rate * window_s + burst) * (1 + over) + slack;
    const auto [most, from] = most_in_window(servers.runs(), state.sent);
    auto summary = std::string{"outcomes"};
    for (const auto& [name, n] : state.outcomes) {
        summary += " " + name + "=" + std::to_string(n);
    }
    summary += "; most operations in 5 s: " + std::to_string(most) + " from " +
               std::to_string(from - removed_at) +
               " s after the removal; permitted: " + std::to_string(static_cast<int>(limit));
    record.line(summary);
    std::puts(summary.c_str());
    finish(most > limit ? 1 : 0);
}
