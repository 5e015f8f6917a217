#include "overhead.h"

#include "http_client.h"

#include <libpq-fe.h>

#include <fmt/format.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <thread>

namespace citronlug::bench {

namespace {

using wall_clock = std::chrono::steady_clock;
using connection = std::unique_ptr<PGconn, decltype(&PQfinish)>;

constexpr const char* read_sql = "SELECT value FROM catalogue WHERE id = 'ticker'";

auto headers_for(const cluster& fleet) -> std::vector<std::string> {
    // The freshness marker's account has a rate that does not limit these measurements.
    return {"Content-Type: application/json", "Authorization: Bearer " + fleet.keys.at(account_id{"ticker"})};
}

auto read_body(std::uint64_t n) -> std::string {
    return fmt::format(R"({{"request_id":"overhead-{}","deadline_ms":2000,"sql":"{}","parameters":[]}})", n,
                       read_sql);
}

auto elapsed(wall_clock::time_point since) -> duration {
    return std::chrono::duration_cast<duration>(wall_clock::now() - since);
}

auto connect_directly(const cluster& fleet) -> connection {
    const auto& member = fleet.databases[0].members[0];
    const auto colon = member.rfind(':');
    const auto text =
        fmt::format("host={} port={} user=bench dbname=bench application_name=bench sslmode=disable",
                    member.substr(0, colon), member.substr(colon + 1));
    return connection{PQconnectdb(text.c_str()), PQfinish};
}

} // namespace

auto measure_overhead(const cluster& fleet, double rate, duration length) -> result<overhead_result> {
    auto direct = connect_directly(fleet);
    if (PQstatus(direct.get()) != CONNECTION_OK) {
        return failure{failure_code::connection_lost, PQerrorMessage(direct.get()), {}};
    }
    auto out = overhead_result{};
    auto http = http_client{};
    const auto headers = headers_for(fleet);
    const auto url = fleet.instances[0].caller_url + "/v1/routes/catalogue-1";
    const auto interval = duration{static_cast<std::int64_t>(1e6 / rate)};
    const auto start = wall_clock::now();
    for (std::uint64_t n = 0; elapsed(start) < length; ++n) {
        std::this_thread::sleep_until(start + n * interval);
        const auto direct_start = wall_clock::now();
        auto* rows = PQexecParams(direct.get(), read_sql, 0, nullptr, nullptr, nullptr, nullptr, 0);
        out.failures += PQresultStatus(rows) == PGRES_TUPLES_OK ? 0 : 1;
        PQclear(rows);
        out.direct.add(elapsed(direct_start));
        auto finished = false;
        const auto proxied_start = wall_clock::now();
        http.send("POST", url, headers, read_body(n), 3s, [&](const http_answer& answer) {
            finished = true;
            out.failures += answer.status == 200 ? 0 : 1;
        });
        while (!finished) {
            http.poll(1ms); // a busy loop would take the core that the instance waits for
        }
        out.proxied.add(elapsed(proxied_start));
    }
    return out;
}

auto measure_throughput(const cluster& fleet, std::size_t concurrency, duration length) -> throughput_result {
    auto out = throughput_result{};
    auto http = http_client{};
    const auto headers = headers_for(fleet);
    const auto& target = fleet.instances[0];
    auto sent = std::uint64_t{0};
    auto finished = std::uint64_t{0};
    const auto start = wall_clock::now();
    std::function<void()> send_next = [&] {
        if (elapsed(start) >= length) {
            return;
        }
        const auto url =
            fmt::format("{}/v1/routes/catalogue-{}", target.caller_url, 1 + sent % fleet.databases.size());
        const auto sent_at = wall_clock::now();
        http.send("POST", url, headers, read_body(++sent), 3s, [&, sent_at](const http_answer& answer) {
            out.latency.add(elapsed(sent_at));
            out.failures += answer.status == 200 ? 0 : 1;
            ++finished;
            send_next();
        });
    };
    const auto used_before = processor_time(target.pid);
    for (std::size_t n = 0; n < concurrency; ++n) {
        send_next();
    }
    while (http.in_flight() > 0) {
        http.poll(1ms);
    }
    const auto seconds = static_cast<double>(elapsed(start).count()) * 1e-6;
    out.statements_per_second = static_cast<double>(finished - out.failures) / seconds;
    out.core_share = static_cast<double>((processor_time(target.pid) - used_before).count()) * 1e-6 / seconds;
    return out;
}

auto measure_idle_connections(const cluster& fleet, std::size_t count, duration length) -> idle_result {
    const auto& target = fleet.instances[0];
    const auto port = std::stoi(target.caller_url.substr(target.caller_url.rfind(':') + 1));
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto out = idle_result{};
    out.bytes_before = resident_bytes(target.pid);
    auto open_sockets = std::vector<int>{};
    for (std::size_t n = 0; n < count; ++n) {
        const auto handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (handle < 0) {
            break;
        }
        open_sockets.push_back(handle);
        if (connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
            ++out.opened;
        }
    }
    std::this_thread::sleep_for(1s);
    const auto used_before = processor_time(target.pid);
    std::this_thread::sleep_for(length);
    out.core_share = static_cast<double>((processor_time(target.pid) - used_before).count()) /
                     static_cast<double>(length.count());
    out.bytes_after = resident_bytes(target.pid);
    for (const auto handle : open_sockets) {
        close(handle);
    }
    return out;
}

auto processor_time(int pid) -> duration {
    auto file = std::ifstream{fmt::format("/proc/{}/stat", pid)};
    auto text = std::string{};
    std::getline(file, text);
    const auto name_end = text.rfind(')');
    if (name_end == std::string::npos) {
        return {};
    }
    auto fields = std::istringstream{text.substr(name_end + 2)};
    constexpr int fields_before_utime = 11;
    auto skipped = std::string{};
    for (int n = 0; n < fields_before_utime; ++n) {
        fields >> skipped;
    }
    auto user_ticks = std::int64_t{0};
    auto system_ticks = std::int64_t{0};
    fields >> user_ticks >> system_ticks;
    return duration{(user_ticks + system_ticks) * 1'000'000 / sysconf(_SC_CLK_TCK)};
}

auto resident_bytes(int pid) -> std::uint64_t {
    auto file = std::ifstream{fmt::format("/proc/{}/statm", pid)};
    auto total_pages = std::uint64_t{0};
    auto resident_pages = std::uint64_t{0};
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace citronlug::bench
