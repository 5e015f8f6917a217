// Case: a commit that was acknowledged under `SyncReplicas` 1 is missing in the log of the promoted server.
// Replica 2 leaves and is the one that acknowledges; replica 3 receives nothing for a while, and the primary
// crashes meanwhile. Exit code 1: the rule LOST was broken.
#include "standin.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

using namespace review;

namespace {

constexpr auto clients = 6;
constexpr auto write_pause_s = 0.1;
constexpr auto lag_before_crash_s = 2.0;

} // namespace

auto main(int argc, char** argv) -> int {
    auto record = recorder{argc > 1 ? argv[1] : "record.txt"};
    auto objects = store{};
    const auto store_port = listener{[&](int fd) {
        serve_http(fd, [&](const auto& it) { return objects.handle(it); });
    }};
    auto servers = server_group{"orders", {5, 24, 34, 0.011}, 1, objects, record};
    const auto promotions = listener{[&](int fd) {
        serve_http(fd, [&](const auto& it) { return servers.promote(it); });
    }};
    objects.put("config", "main",
                rules_text(7, "orders", 34, {{"orders-1", "primary", 1000, 0}},
                           {{"school", "key-of-school", 1000, 1000}}, 1));
    auto instances = std::vector<std::unique_ptr<instance>>{};
    for (auto n = 1; n <= 3; ++n) {
        instances.push_back(std::make_unique<instance>("front-" + std::to_string(n),
                                                       std::string{"zone-"} + "abc"[n - 1], store_port.port(),
                                                       promotions.port(), record));
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
    auto load = writers{clients, write_pause_s, instances, record};
    sleep_s(6);
    // Planned work: replica 2 leaves. It goes on receiving and counting until it ends, 7 s later at the
    // earliest.
    servers.drain(2);
    sleep_s(1);
    if (env().trouble) {
        servers.set_receiving(3, false);
        sleep_s(lag_before_crash_s);
        servers.crash(1);
    }
    for (const auto until = now_s() + 8; now_s() < until && servers.promoted() == 0;) {
        sleep_s(0.05);
    }
    sleep_s(1);
    load.stop();
    const auto promoted = servers.promoted();
    const auto log = servers.log_of(promoted == 0 ? 1 : promoted);
    auto missing = 0;
    for (const auto& id : load.acknowledged()) {
        if (std::none_of(log.begin(), log.end(), [&](const auto& it) { return it.request == id; })) {
            record.line("LOST acknowledged " + id);
            ++missing;
        }
    }
    auto summary = load.outcomes();
    summary += "; promoted: server " + std::to_string(promoted) +
               "; acknowledged commits that its log lacks: " + std::to_string(missing);
    record.line(summary);
    std::puts(summary.c_str());
    finish(missing > 0 ? 1 : 0);
}
