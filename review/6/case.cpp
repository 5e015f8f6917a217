// A write that was acknowledged with SyncReplicas 1 is lost by a promotion after the coordinator's process was killed.
#include "../stage-2/deployment.h"

using namespace stage;

auto main() -> int {
    signal(SIGPIPE, SIG_IGN);
    record.open("review/6/record.txt");
    limit_time();
    auto it = deployment{1};
    auto& service = *it.service;
    it.start();
    auto acknowledged = string{};
    auto lost = string{};
    service.on_promoted = [&](const member& to) {
        if (!acknowledged.empty() && !service.has_entry(to, acknowledged)) {
            lost = "the member " + to.id + " was promoted, and its log lacks the acknowledged write " + acknowledged;
        }
    };
    const auto write = [&](instance& at, const string& data) {
        const auto answer = ask_once(at.caller_port, "bookings", "u6wsjnba", "WRITE unit7 " + data);
        record.line("client at " + at.name + ": WRITE unit7 " + data + " -> " + answer);
        return answer.starts_with("ok");
    };
    for (auto& at : it.instances) {
        if (!write(*at, "before-" + at->name)) {
            cannot_run("a write in calm was not served");
        }
    }
    pause(500ms);
    auto& coordinator = *it.coordinator();
    record.line("the coordinator is " + coordinator.name + "; " + service.state());
    if (has_trouble()) {
        service.set_receives(2, false);
        std::thread{[&] {
            pause(6400ms);
            service.set_receives(2, true);
        }}.detach();
    }
    if (!write(coordinator, "booked")) {
        cannot_run("the write was not acknowledged");
    }
    acknowledged = "booked";
    if (!has_trouble()) {
        pause(9s);
        verdict(!lost.empty(), lost.empty() ? "no member was promoted" : lost);
    }
    const auto kills = std::getenv("TROUBLE") == nullptr || string{std::getenv("TROUBLE")} != "members";
    if (kills) {
        pause(500ms);
        coordinator.kill_now();
        pause(500ms);
        coordinator.start();
        coordinator.wait_ready();
        pause(1s);
    }
    record.line(service.state() + " the coordinator is " + it.coordinator()->name);
    // The primary and the only replica that has the write are down; the service has to wait for one of them.
    service.crash(0);
    service.crash(1);
    pause(4200ms);
    service.restart(1);
    pause(1800ms);
    service.restart(0);
    pause(4s);
    const auto answer = ask_once(it.instances[1]->caller_port, "bookings", "u6wsjnba", "READ unit7");
    record.line("client at " + it.instances[1]->name + ": READ unit7 -> " + answer + "; " + service.state());
    for (const auto& from : it.instances) {
        for (const auto* event : {"change-started", "change-released", "change-waiting", "change-finished"}) {
            for (const auto& line : from->log_lines(event)) {
                record.line("log of " + from->name + ": " + line);
            }
        }
    }
    verdict(!lost.empty(), lost.empty() ? "the member that was promoted has the acknowledged write" : lost);
}
