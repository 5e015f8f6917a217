// A former primary comes back with a parted log and is promoted: writes that no read saw any more are back, and the
// acknowledged writes of the term between are gone.
#include "../stage-2/deployment.h"

using namespace stage;

auto main() -> int {
    signal(SIGPIPE, SIG_IGN);
    record.open("review/7/record.txt");
    limit_time();
    auto it = deployment{0};
    auto& service = *it.service;
    it.start();
    auto& at = *it.instances[0];
    const auto write = [&](const string& data) {
        const auto answer = ask_once(at.caller_port, "bookings", "u6wsjnba", "WRITE unit7 " + data, 6s);
        record.line("client: WRITE unit7 " + data + " -> " + answer);
        return answer.starts_with("ok");
    };
    const auto read = [&](std::chrono::milliseconds time_limit) {
        const auto answer = ask_once(at.caller_port, "bookings", "u6wsjnba", "READ unit7", time_limit);
        record.line("client: READ unit7 -> " + answer);
        return answer;
    };
    if (!write("calm")) {
        cannot_run("a write in calm was not served");
    }
    pause(500ms);
    if (!has_trouble()) {
        const auto is_written = write("first");
        pause(4s);
        const auto answer = read(6s);
        verdict(!is_written || answer != "ok first", "the read saw the acknowledged write: " + answer);
    }
    // The primary is cut off from its replicas, acknowledges a write that they lack, and crashes. The third member
    // receives nothing for some seconds more; it is up, ready and answers all the time.
    service.set_receives(1, false);
    service.set_receives(2, false);
    if (!write("first")) {
        cannot_run("the write before the crash was not acknowledged");
    }
    service.crash(0);
    // The second member leads now.
    const auto between = read(8s);
    if (between != "ok calm") {
        cannot_run("the second member was not promoted");
    }
    if (!write("second")) {
        cannot_run("the write at the second member was not acknowledged");
    }
    service.crash(1);
    pause(200ms);
    service.restart(0);
    const auto after = read(12s);
    record.line(service.state());
    service.set_receives(2, true);
    for (const auto& from : it.instances) {
        for (const auto* event : {"change-started", "change-ordered", "change-finished"}) {
            for (const auto& line : from->log_lines(event)) {
                record.line("log of " + from->name + ": " + line);
            }
        }
    }
    if (!after.starts_with("ok")) {
        cannot_run("nothing was served at the end");
    }
    verdict(after == "ok first", "after the acknowledged write of 'first', a read saw '" + between.substr(3) +
                                     "'; after that of 'second', a read sees '" + after.substr(3) + "'");
}
