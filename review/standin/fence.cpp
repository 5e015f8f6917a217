// Case: a holder of the promotion duty that has handed over its lease still promotes. Its order is held up
// behind a cut, on a connection that it closes without a reset, and reaches the platform after two orders of
// the next holder. Exit code 1: the platform saw a lower fencing token after a higher one, or a write was
// acknowledged that was committed at the old primary after a promotion had taken effect (rule ONE).
#include "standin.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

using namespace review;

namespace {

constexpr auto cut_s = 5.5;
constexpr auto release_gap_s = 3.0;
constexpr auto thaw_slack_s = 0.3;

} // namespace

auto main(int argc, char** argv) -> int {
    auto record = recorder{argc > 1 ? argv[1] : "record.txt"};
    auto objects = store{};
    const auto store_port = listener{[&](int fd) {
        serve_http(fd, [&](const auto& it) { return objects.handle(it); });
    }};
    auto servers = server_group{"orders", {5, 24, 34, 0.011}, 0, objects, record};
    const auto promotions = listener{[&](int fd) {
        serve_http(fd, [&](const auto& it) { return servers.promote(it); });
    }};
    objects.put("config", "main",
                rules_text(7, "orders", 34, {{"orders-1", "primary", 1000, 0}},
                           {{"school", "key-of-school", 1000, 1000}}));
    auto paths = std::vector<std::unique_ptr<cut_proxy>>{};
    auto instances = std::vector<std::unique_ptr<instance>>{};
    for (auto n = 1; n <= 3; ++n) {
        paths.push_back(std::make_unique<cut_proxy>(promotions.port()));
        instances.push_back(std::make_unique<instance>("front-" + std::to_string(n),
                                                       std::string{"zone-"} + "abc"[n - 1], store_port.port(),
                                                       paths.back()->port(), record));
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
    auto load = writers{6, 0.05, instances, record};
    sleep_s(5);
    const auto holder = unquote(json_field(objects.get("citronlug-duty", "duty"), "holder"));
    record.line("holder " + holder);
    const auto found = std::find_if(instances.begin(), instances.end(),
                                    [&](const auto& it) { return it->name() == holder; });
    if (found == instances.end()) {
        std::puts("no holder found");
        finish(2);
    }
    auto& path = *paths[static_cast<std::size_t>(found - instances.begin())];
    // Planned work: the servers are replaced one after the other. The new one starts first, then the old one
    // drains.
    const auto release = [&](int number) {
        servers.add();
        sleep_s(0.5);
        servers.drain(number);
    };
    const auto wait_for_promotion = [&](int before, double limit) {
        for (const auto until = now_s() + limit; now_s() < until && servers.promoted() == before;) {
            sleep_s(0.02);
        }
        return servers.promoted();
    };
    release(1);
    const auto second = wait_for_promotion(0, 8);
    if (second == 0) {
        std::puts("the first primary was not replaced");
        finish(2);
    }
    sleep_s(release_gap_s);
    const auto cut_at = now_s();
    if (env().trouble) {
        path.set_cut(true);
        record.line("cut: path of " + holder + " to the promotion call");
    }
    release(second);
    sleep_s(1);
    (*found)->signal(SIGTERM); // planned work: the machines are stopped and started in turn
    const auto third = wait_for_promotion(second, 4);
    if (third != second) {
        sleep_s(std::max(0.0, cut_at + release_gap_s - now_s()));
        release(third);
        wait_for_promotion(third, 4);
    }
    sleep_s(std::max(0.0, cut_at + cut_s - now_s()));
    path.set_cut(false);
    record.line("path of " + holder + " restored");
    sleep_s(4);
    load.stop();
    auto highest = std::uint64_t{0};
    auto stale = 0;
    auto text = std::string{"fencing tokens in the order of arrival:"};
    for (const auto token : servers.tokens()) {
        stale += token < highest ? 1 : 0;
        highest = std::max(highest, token);
        text += " " + std::to_string(token);
    }
    auto committed = 0;
    for (const auto& it : servers.superseded()) {
        // The running time of a statement, 11 ms, and ThawSlackMs are left out.
        if (it.at > it.promoted_at + thaw_slack_s && load.acknowledged().contains(it.request)) {
            record.line("ACKNOWLEDGED " + it.request + ", committed at superseded " + it.server);
            ++committed;
        }
    }
    auto missing = 0;
    const auto log = servers.log_of(servers.promoted());
    for (const auto& id : load.acknowledged()) {
        missing +=
            std::none_of(log.begin(), log.end(), [&](const auto& it) { return it.request == id; }) ? 1 : 0;
    }
    text +=
        "; lower than one seen before: " + std::to_string(stale) +
        "; acknowledged writes committed at an old primary after a promotion: " + std::to_string(committed) +
        "; acknowledged writes that the present primary lacks: " + std::to_string(missing) + "; " +
        load.outcomes();
    record.line(text);
    std::puts(text.c_str());
    finish(stale > 0 || committed > 0 ? 1 : 0);
}
