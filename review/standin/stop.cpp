// Case: statements that a stopping instance has passed on to a server are cut off without an answer. Two of
// the three instances of a zone are stopped in turn, so the load balancer uses all of the zone's instances,
// also the leaving ones. Exit code 1: a request was cut as the rule LOST forbids.
#include "standin.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <random>

using namespace review;

namespace {

constexpr auto grace_s = 6.0;
constexpr auto loss_slack_s = 0.2;
constexpr auto gap_s = 1.3;
constexpr auto route_timeout_s = 2.0;
constexpr auto in_zone = std::size_t{3};
constexpr auto idle_clients = 24;
constexpr auto single_clients = 60;
constexpr auto single_per_s = 2.25; ///< operations of each of them
constexpr auto transaction_clients = 30;

/// The platform's load balancer for the clients of the first zone.
class balancer {
public:
    explicit balancer(std::vector<std::unique_ptr<instance>>& instances)
        : instances_{instances}
        , misses_(instances.size(), 2) {}

    auto probe() -> void {
        for (std::size_t n = 0; n < instances_.size(); ++n) {
            const auto ready = instances_[n]->is_ready();
            const auto lock = std::lock_guard{mutex_};
            misses_[n] = ready ? 0 : misses_[n] + 1;
        }
    }
    /// Instance for a client, by its hash; `attempt` counts retries, which reach other nodes.
    auto choose(std::size_t client, std::size_t attempt) -> instance& {
        const auto lock = std::lock_guard{mutex_};
        const auto in_rotation = [&](std::size_t from, std::size_t to) {
            auto found = std::vector<std::size_t>{};
            for (auto n = from; n < to; ++n) {
                if (misses_[n] < 2) {
                    found.push_back(n);
                }
            }
            return found;
        };
        auto usable = in_rotation(0, in_zone);
        if (usable.empty()) {
            usable = in_rotation(in_zone, instances_.size());
        } else if (usable.size() * 2 < in_zone) {
            usable = {0, 1, 2};
        }
        return *instances_[usable.empty() ? 0 : usable[(client + attempt) % usable.size()]];
    }
    [[nodiscard]] auto rotation() -> std::string {
        const auto lock = std::lock_guard{mutex_};
        auto text = std::string{};
        for (std::size_t n = 0; n < in_zone; ++n) {
            text += misses_[n] < 2 ? '1' : '0';
        }
        return text;
    }

private:
    std::vector<std::unique_ptr<instance>>& instances_;
    std::mutex mutex_;
    std::vector<int> misses_;
};

struct sent_request {
    std::string at;
    double sent = 0;
    double ended = 0;
    bool answered = false;
};

struct shared_state {
    balancer& choice;
    recorder& record;
    std::atomic<bool> stop = false;
    std::mutex mutex;
    std::map<std::string, sent_request> requests;
};

struct session {
    std::unique_ptr<line_stream> stream;
    std::string at;
};

auto open(shared_state& state, std::size_t client) -> session {
    for (auto attempt = std::size_t{0}; attempt < 3; ++attempt) {
        auto& to = state.choice.choose(client, attempt);
        auto it = session{connect_to(to.caller_port()), to.name()};
        if (it.stream && it.stream->write("START maps key-of-school\r\n")) {
            const auto line = it.stream->read_line(2);
            if (line && line->starts_with("READY ")) {
                return it;
            }
        }
    }
    return {};
}

/// Sends a statement and waits for its whole answer; empty if the connection ended before.
auto ask(shared_state& state, session& it, const std::string& id, const std::string& text) -> std::string {
    {
        const auto lock = std::lock_guard{state.mutex};
        state.requests[id] = {it.at, now_s(), 0, false};
    }
    state.record.line("sent " + id + " to " + it.at + ": " + text);
    auto outcome = std::string{};
    auto complete = false;
    if (it.stream->write("QUERY " + id + " " + text + "\r\n")) {
        while (auto line = it.stream->read_line(8)) {
            if (line->starts_with("READY ")) {
                complete = true;
                break;
            }
            outcome = line->substr(0, line->find(' ', line->starts_with("ERROR ") ? 6 : 0));
        }
    }
    state.record.line((complete ? "answered " : "connection ended ") + id + " " + outcome);
    const auto lock = std::lock_guard{state.mutex};
    state.requests[id].ended = now_s();
    state.requests[id].answered = complete;
    return complete ? outcome : "";
}

auto rest(const shared_state& state, double seconds) -> void {
    for (const auto until = now_s() + seconds; now_s() < until && !state.stop;) {
        sleep_s(std::min(0.02, until - now_s()));
    }
}

/// A long session that is mostly idle, and reconnects after a close.
auto run_idle(shared_state& state, std::size_t client) -> void {
    while (!state.stop) {
        auto it = open(state, client);
        while (it.stream && !state.stop) {
            if (!it.stream->read_line(0.1) && !it.stream->timed_out()) {
                break;
            }
        }
        rest(state, 0.05);
    }
}

/// Sessions that serve a single operation.
auto run_single(shared_state& state, std::size_t client) -> void {
    rest(state, static_cast<double>(client % 60) / 60 / single_per_s);
    auto due = now_s();
    for (auto n = 0; !state.stop; ++n) {
        due = std::max(due + 1 / single_per_s, now_s());
        auto it = open(state, client);
        if (it.stream) {
            ask(state, it, "s" + std::to_string(client) + "." + std::to_string(n), "READ 1a4");
            it.stream->write("TERMINATE\r\n");
        }
        it = {};
        rest(state, due - now_s());
    }
}

/// Transactions of several statements with pauses between them.
auto run_transactions(shared_state& state, std::size_t client) -> void {
    auto random = std::mt19937{static_cast<unsigned>(client)};
    auto pause = std::uniform_real_distribution{0.2, 0.6};
    rest(state, 5 * pause(random));
    for (auto n = 0; !state.stop; ++n) {
        auto it = open(state, client);
        const auto id = "t" + std::to_string(client) + "." + std::to_string(n) + ".";
        auto outcome = it.stream ? ask(state, it, id + "0", "BEGIN READ") : std::string{};
        for (auto k = 1; k <= 8 && outcome == "COMPLETE" && !state.stop; ++k) {
            outcome = ask(state, it, id + std::to_string(k), "READ 1a4");
            rest(state, pause(random));
        }
        if (it.stream && !outcome.empty()) {
            ask(state, it, id + "9", outcome == "COMPLETE" ? "COMMIT" : "ROLLBACK");
            it.stream->write("TERMINATE\r\n");
        }
        rest(state, 0.1);
    }
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
    auto servers = server_group{"orders", {5, 24, 34, 0.055}, 0, objects, record};
    objects.put("config", "main",
                rules_text(7, "orders", 34,
                           {{"maps", "bounded_staleness", static_cast<int>(route_timeout_s * 1000), 1500}},
                           {{"school", "key-of-school", 1000, 1000}}));
    auto instances = std::vector<std::unique_ptr<instance>>{};
    const auto zones = std::array<std::string, 5>{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b"};
    for (std::size_t n = 0; n < zones.size(); ++n) {
        instances.push_back(std::make_unique<instance>("front-" + std::to_string(n + 1), zones.at(n),
                                                       store_port.port(), promotions.port(), record));
        instances.back()->start();
    }
    const auto finish = [&](int code) {
        instances.clear();
        record.flush();
        std::fflush(stdout);
        std::_Exit(code); // threads of the stand-ins are still running
    };
    if (!wait_until_ready(instances)) {
        finish(2);
    }
    auto choice = balancer{instances};
    auto state = shared_state{choice, record, {}, {}, {}};
    choice.probe();
    auto threads = std::vector<std::thread>{};
    threads.emplace_back([&] {
        for (auto due = now_s(); !state.stop; due += 1) {
            rest(state, due - now_s());
            choice.probe();
            record.line("in rotation: " + choice.rotation());
        }
    });
    for (auto n = std::size_t{0}; n < idle_clients; ++n) {
        threads.emplace_back(run_idle, std::ref(state), n);
    }
    for (auto n = std::size_t{0}; n < single_clients; ++n) {
        threads.emplace_back(run_single, std::ref(state), 100 + n);
    }
    for (auto n = std::size_t{0}; n < transaction_clients; ++n) {
        threads.emplace_back(run_transactions, std::ref(state), 200 + n);
    }
    sleep_s(12);
    auto stopped_at = std::map<std::string, double>{};
    auto restart_at = std::map<instance*, double>{};
    const auto begun = now_s();
    for (auto next = 0; now_s() - begun < 14;) {
        if (env().trouble && next < 2 && now_s() - begun >= next * gap_s) {
            auto& it = *instances[static_cast<std::size_t>(next++)];
            stopped_at[it.name()] = now_s();
            it.signal(SIGTERM);
        }
        for (auto n = 0; n < next; ++n) {
            auto* it = instances[static_cast<std::size_t>(n)].get();
            if (!restart_at.contains(it) && it->has_ended()) {
                restart_at[it] = now_s() + 0.5;
            }
            if (restart_at.contains(it) && restart_at[it] > 0 && now_s() >= restart_at[it]) {
                restart_at[it] = 0;
                it->start();
            }
        }
        sleep_s(0.01);
    }
    state.stop = true;
    for (auto& it : threads) {
        it.join();
    }
    auto runs = std::map<std::string, run_event>{};
    for (const auto& it : servers.runs()) {
        runs[it.request] = it;
    }
    auto counts = std::array<int, 3>{}; // answered, cut and excused, cut against the rule
    for (const auto& [id, it] : state.requests) {
        if (it.answered) {
            ++counts[0];
            continue;
        }
        const auto stopped = stopped_at.find(it.at);
        const auto run = runs.find(id);
        const auto waited = it.ended - it.sent;
        const auto around_stop = stopped != stopped_at.end() && it.ended >= stopped->second &&
                                 it.ended <= stopped->second + grace_s + 1;
        const auto was_passed_on = run != runs.end() && run->second.begun < it.ended;
        const auto at_work = was_passed_on && (run->second.ended == 0 || run->second.ended > it.ended);
        const auto excused = waited >= route_timeout_s ||
                             (stopped != stopped_at.end() && at_work && it.sent <= stopped->second + 3 &&
                              it.ended >= stopped->second + grace_s * 5 / 6);
        const auto is_cut = around_stop && !excused && (was_passed_on || waited > loss_slack_s);
        ++counts[is_cut ? 2 : 1];
        if (is_cut) {
            char text[200];
            std::snprintf(text, sizeof text,
                          "CUT %s at %s: sent %.3f s after the SIGTERM, %s, connection ended %.3f s later "
                          "without an answer",
                          id.c_str(), it.at.c_str(), it.sent - stopped->second,
                          was_passed_on ? "run by a server" : "not passed on", waited);
            record.line(text);
            std::puts(text);
        }
    }
    const auto summary = "answered: " + std::to_string(counts[0]) +
                         "; connection ended, excused: " + std::to_string(counts[1]) +
                         "; cut against the rule: " + std::to_string(counts[2]);
    record.line(summary);
    std::puts(summary.c_str());
    finish(counts[2] > 0 ? 1 : 0);
}
