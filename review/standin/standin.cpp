#include "standin.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const auto started = std::chrono::steady_clock::now();
constexpr auto replica_delay_s = 0.008;
/// Time from the end of a cut to the next retransmission of a connection's bytes.
constexpr auto retransmission_s = 1.6;
constexpr auto promotion_s = 0.3;
constexpr auto old_primary_s = 1.0;

auto loopback(std::uint16_t port) -> sockaddr_in {
    auto it = sockaddr_in{};
    it.sin_family = AF_INET;
    it.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    it.sin_port = htons(port);
    return it;
}

auto port_of(int fd) -> std::uint16_t {
    auto it = sockaddr_in{};
    auto size = socklen_t{sizeof it};
    getsockname(fd, reinterpret_cast<sockaddr*>(&it), &size);
    return ntohs(it.sin_port);
}

auto replace_all(std::string text, const std::string& from, const std::string& to) -> std::string {
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

auto read_file(const std::string& path) -> std::string {
    auto file = std::ifstream{path};
    auto text = std::stringstream{};
    text << file.rdbuf();
    return text.str();
}

auto next_word(std::string& rest) -> std::string {
    const auto end = rest.find(' ');
    auto word = rest.substr(0, end);
    rest = end == std::string::npos ? std::string{} : rest.substr(end + 1);
    return word;
}

auto quoted(const std::string& text) -> std::string {
    return '"' + text + '"';
}

} // namespace

auto now_s() -> double {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
}

auto sleep_s(double seconds) -> void {
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

recorder::recorder(const std::string& path)
    : file_{std::fopen(path.c_str(), "w")} {}

recorder::~recorder() {
    std::fclose(file_);
}

auto recorder::line(const std::string& text) -> void {
    const auto lock = std::lock_guard{mutex_};
    std::fprintf(file_, "%9.4f %s\n", now_s(), text.c_str());
}

auto recorder::flush() -> void {
    const auto lock = std::lock_guard{mutex_};
    std::fflush(file_);
}

line_stream::~line_stream() {
    close(fd_);
}

auto line_stream::shut() -> void {
    shutdown(fd_, SHUT_RDWR);
}

auto line_stream::fill() -> bool {
    char bytes[16384];
    const auto n = recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) {
        return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
}

auto line_stream::read_line(double timeout_s) -> std::optional<std::string> {
    const auto end_at = now_s() + timeout_s;
    timed_out_ = false;
    while (true) {
        const auto end = buffer_.find("\r\n");
        if (end != std::string::npos) {
            auto line = buffer_.substr(0, end);
            buffer_.erase(0, end + 2);
            return line;
        }
        if (timeout_s > 0) {
            auto it = pollfd{fd_, POLLIN, 0};
            const auto left = std::max(0.0, end_at - now_s());
            if (poll(&it, 1, static_cast<int>(left * 1000) + 1) == 0) {
                timed_out_ = true;
                return std::nullopt;
            }
        }
        if (!fill()) {
            return std::nullopt;
        }
    }
}

auto line_stream::read_bytes(std::size_t n) -> std::optional<std::string> {
    while (buffer_.size() < n) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    auto bytes = buffer_.substr(0, n);
    buffer_.erase(0, n);
    return bytes;
}

auto line_stream::write(const std::string& text) -> bool {
    auto sent = std::size_t{0};
    while (sent < text.size()) {
        const auto n = send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

auto connect_to(std::uint16_t port) -> std::unique_ptr<line_stream> {
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto to = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        close(fd);
        return nullptr;
    }
    const auto on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<line_stream>(fd);
}

auto free_port() -> std::uint16_t {
    // Below the range from which the system takes the ports of outgoing connections.
    constexpr auto first = 20000;
    constexpr auto count = 12000;
    static auto next = static_cast<int>(getpid()) * 24 % count;
    while (true) {
        next = (next + 1) % count;
        const auto port = static_cast<std::uint16_t>(first + next);
        const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto to = loopback(port);
        const auto is_free = bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
        close(fd);
        if (is_free) {
            return port;
        }
    }
}

listener::listener(std::function<void(int fd)> serve) {
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto to = loopback(0);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 || listen(fd, 512) != 0) {
        std::perror("cannot listen");
        std::_Exit(2);
    }
    port_ = port_of(fd);
    std::thread{[fd, serve = std::move(serve)] {
        while (true) {
            const auto accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                sleep_s(0.01);
                continue;
            }
            const auto on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread{serve, accepted}.detach();
        }
    }}.detach();
}

cut_proxy::cut_proxy(std::uint16_t target)
    : target_{target}
    , listener_{[this](int fd) {
        serve(fd);
    }} {}

auto cut_proxy::serve(int fd) -> void {
    auto client = line_stream{fd};
    char bytes[16384];
    if (cut_) {
        while (recv(fd, bytes, sizeof bytes, 0) > 0) {
        }
        return;
    }
    const auto to_server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto server = line_stream{to_server};
    const auto to = loopback(target_);
    if (connect(to_server, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        return;
    }
    const auto wait_for_path = [this] {
        while (cut_) {
            sleep_s(0.01);
        }
    };
    auto answers = std::thread{[&] {
        char part[16384];
        while (true) {
            const auto n = recv(to_server, part, sizeof part, 0);
            wait_for_path();
            if (n <= 0 || send(fd, part, static_cast<std::size_t>(n), MSG_NOSIGNAL) < n) {
                break;
            }
        }
        shutdown(fd, SHUT_RDWR);
    }};
    auto held = std::string{};
    while (true) {
        const auto n = recv(fd, bytes, sizeof bytes, 0);
        if (n < 0) {
            held.clear(); // reset by the client
            break;
        }
        if (n == 0) {
            break;
        }
        held.append(bytes, static_cast<std::size_t>(n));
        if (!cut_) {
            server.write(held);
            held.clear();
        }
    }
    wait_for_path();
    if (!held.empty()) {
        sleep_s(retransmission_s);
    }
    server.write(held);
    shutdown(to_server, SHUT_WR);
    answers.join();
}

auto serve_http(int fd, const std::function<http_answer(const http_request&)>& handle) -> void {
    auto stream = line_stream{fd};
    while (true) {
        auto first = stream.read_line();
        if (!first) {
            return;
        }
        auto request = http_request{};
        auto rest = *first;
        request.method = next_word(rest);
        auto target = next_word(rest);
        const auto mark = target.find('?');
        request.path = target.substr(0, mark);
        auto query = mark == std::string::npos ? std::string{} : target.substr(mark + 1);
        while (!query.empty()) {
            const auto end = query.find('&');
            const auto part = query.substr(0, end);
            const auto equals = part.find('=');
            request.query[part.substr(0, equals)] =
                equals == std::string::npos ? "" : part.substr(equals + 1);
            query = end == std::string::npos ? std::string{} : query.substr(end + 1);
        }
        while (true) {
            auto header = stream.read_line();
            if (!header) {
                return;
            }
            if (header->empty()) {
                break;
            }
            const auto colon = header->find(':');
            auto name = header->substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return std::tolower(c); });
            auto value = colon == std::string::npos ? std::string{} : header->substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            request.headers[name] = value;
        }
        const auto size =
            request.headers.contains("content-length") ? std::stoul(request.headers["content-length"]) : 0;
        auto body = stream.read_bytes(size);
        if (!body) {
            return;
        }
        request.body = *body;
        const auto answer = handle(request);
        if (answer.status == 0 ||
            !stream.write("HTTP/1.1 " + std::to_string(answer.status) +
                          " X\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body)) {
            return;
        }
    }
}

auto json_field(const std::string& object, const std::string& name) -> std::string {
    auto depth = 0;
    auto in_text = false;
    auto start = std::size_t{0}; // of the text or value that is read
    auto key = std::string{};
    auto is_value = false;
    for (auto n = std::size_t{0}; n < object.size(); ++n) {
        const auto c = object[n];
        if (in_text) {
            if (c == '\\') {
                ++n;
            } else if (c == '"') {
                in_text = false;
                if (depth == 1 && !is_value) {
                    key = object.substr(start + 1, n - start - 1);
                }
            }
            continue;
        }
        if (c == '"') {
            in_text = true;
            if (!is_value) {
                start = n;
            }
        } else if (c == ':' && depth == 1 && !is_value) {
            is_value = true;
            start = n + 1;
        } else if (c == '{' || c == '[') {
            ++depth;
        } else if ((c == ',' && depth == 1) || ((c == '}' || c == ']') && depth == 1)) {
            if (is_value && key == name) {
                return object.substr(start, n - start);
            }
            is_value = false;
            depth -= c == ',' ? 0 : 1;
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return {};
}

auto unquote(const std::string& text) -> std::string {
    return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

auto store::text_of(const std::string& name, const object& it) const -> std::string {
    return R"({"meta":{"Name":)" + quoted(name) + R"(,"Revision":)" + std::to_string(it.revision) +
           R"(,"Created":9,"Finalizers":[],"Deleting":false},"spec":)" + it.spec + R"(,"status":null})";
}

auto store::set(const std::string& kind, const std::string& name, const std::string& spec) -> void {
    auto& it = kinds_[kind][name];
    if (it.revision != 0 && it.spec == spec) {
        return;
    }
    it = {spec, ++revision_};
    history_.push_back({revision_, kind, R"({"Removed":false,"Object":)" + text_of(name, it) + "}"});
    changed_.notify_all();
}

auto store::put(const std::string& kind, const std::string& name, const std::string& spec) -> void {
    const auto lock = std::lock_guard{mutex_};
    set(kind, name, spec);
}

auto store::get(const std::string& kind, const std::string& name) -> std::string {
    const auto lock = std::lock_guard{mutex_};
    const auto& objects = kinds_[kind];
    const auto it = objects.find(name);
    return it == objects.end() ? std::string{} : it->second.spec;
}

auto store::handle(const http_request& request) -> http_answer {
    sleep_s(0.004); // the pages' time of an answer
    auto lock = std::unique_lock{mutex_};
    const auto prefix = std::string{"/objects/"};
    if (!request.path.starts_with(prefix)) {
        return {404, "{}"};
    }
    auto kind = request.path.substr(prefix.size());
    auto name = std::string{};
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
        name = kind.substr(slash + 1);
        kind.resize(slash);
    }
    auto& objects = kinds_[kind];
    const auto revision_text = [&] {
        return std::to_string(revision_);
    };
    if (request.method == "GET" && name.empty() && request.query.contains("Watch")) {
        const auto after = std::stoull(request.query.at("Watch"));
        const auto wait = request.query.contains("WaitMs") ? std::stod(request.query.at("WaitMs")) / 1000 : 0;
        auto found = std::string{};
        const auto has_events = [&] {
            found.clear();
            for (const auto& it : history_) {
                if (it.kind == kind && it.revision > after) {
                    found += (found.empty() ? "" : ",") + it.text;
                }
            }
            return !found.empty();
        };
        changed_.wait_for(lock, std::chrono::duration<double>(wait), has_events);
        return {200, R"({"events":[)" + found + R"(],"StoreRevision":)" + revision_text() + "}"};
    }
    if (request.method == "GET" && name.empty()) {
        const auto after = request.query.contains("after") ? request.query.at("after") : std::string{};
        auto items = std::string{};
        for (const auto& [id, it] : objects) {
            if (id > after) {
                items += (items.empty() ? "" : ",") + text_of(id, it);
            }
        }
        return {200,
                R"({"items":[)" + items + R"(],"HasMore":false,"StoreRevision":)" + revision_text() + "}"};
    }
    if (request.method == "GET") {
        const auto it = objects.find(name);
        return it == objects.end() ? http_answer{404, "{}"} : http_answer{200, text_of(name, it->second)};
    }
    const auto meta = json_field(request.body, "meta");
    const auto spec = json_field(request.body, "spec");
    const auto expected = json_field(meta, "Revision");
    if (request.method == "POST" && name.empty()) {
        const auto id = unquote(json_field(meta, "Name"));
        if (objects.contains(id)) {
            return {409, text_of(id, objects[id])};
        }
        set(kind, id, spec);
        return {201, text_of(id, objects[id])};
    }
    if (request.method == "PUT" && !name.empty()) {
        const auto it = objects.find(name);
        if (it == objects.end()) {
            return {404, "{}"};
        }
        if (!expected.empty() && std::stoull(expected) != it->second.revision) {
            return {409, text_of(name, it->second)};
        }
        set(kind, name, spec);
        return {200, text_of(name, objects[name])};
    }
    return {404, "{}"};
}

server_group::server_group(std::string service, server_limits limits, int synchronous_replicas,
                           store& registry, recorder& record)
    : service_{std::move(service)}
    , limits_{limits}
    , synchronous_replicas_{synchronous_replicas}
    , registry_{registry}
    , record_{record} {
    for (auto n = 1; n <= 3; ++n) {
        start_server().is_primary = n == 1;
    }
    for (const auto& it : servers_) {
        enter_in_store(*it);
    }
}

auto server_group::start_server() -> server& {
    const auto n = servers_.size();
    servers_.push_back(std::make_unique<server>());
    auto& added = *servers_.back();
    added.id = "i-" + service_ + std::to_string(n + 1);
    added.zone = std::string{"zone-"} + "abc"[n % 3];
    added.port = std::make_unique<listener>([this, &added](int fd) { serve(added, fd); });
    return added;
}

auto server_group::follow(server& it, const server& primary) -> void {
    it.is_primary = false;
    it.is_superseded = false;
    it.receives = true;
    it.term = primary.term;
    it.log = primary.log; // what the primary lacks is rolled back
    enter_in_store(it);
}

auto server_group::add() -> void {
    const auto lock = std::lock_guard{mutex_};
    auto& added = start_server();
    for (const auto& it : servers_) {
        if (it->alive && it->is_primary && !it->is_superseded) {
            follow(added, *it);
        }
    }
    record_.line("new server " + added.id);
}

auto server_group::superseded() -> std::vector<superseded_commit> {
    const auto lock = std::lock_guard{mutex_};
    return superseded_;
}

auto server_group::enter_in_store(const server& it) -> void {
    registry_.put("servers", it.id,
                  R"({"Service":)" + quoted(service_) + R"(,"Address":"127.0.0.1:)" +
                      std::to_string(it.port->port()) + R"(","Zone":)" + quoted(it.zone) +
                      R"(,"Version":"v1","Capacity":)" + std::to_string(limits_.slots) + R"(,"State":")" +
                      (it.draining ? "draining" : "ready") + R"(","ColdRemainingMs":0,"DbRole":")" +
                      (it.is_primary ? "primary" : "replica") + R"(","Sequence":1,"born":1760000000000})");
}

auto server_group::runs() -> std::vector<run_event> {
    const auto lock = std::lock_guard{mutex_};
    return runs_;
}

auto server_group::log_of(int number) -> std::vector<log_entry> {
    const auto lock = std::lock_guard{mutex_};
    return servers_.at(static_cast<std::size_t>(number - 1))->log;
}

auto server_group::drain(int number) -> void {
    const auto lock = std::lock_guard{mutex_};
    auto& it = *servers_.at(static_cast<std::size_t>(number - 1));
    it.draining = true;
    record_.line("draining " + it.id);
    enter_in_store(it);
}

auto server_group::set_receiving(int number, bool receives) -> void {
    const auto lock = std::lock_guard{mutex_};
    auto& it = *servers_.at(static_cast<std::size_t>(number - 1));
    it.receives = receives;
    record_.line((receives ? "receives again: " : "receives nothing: ") + it.id);
    if (receives) {
        for (const auto& other : servers_) {
            if (other->is_primary && other->alive && other->term >= it.term) {
                it.log = other->log;
            }
        }
    }
}

auto server_group::crash(int number) -> void {
    auto& it = *servers_.at(static_cast<std::size_t>(number - 1));
    record_.line("crash " + it.id);
    {
        const auto lock = std::lock_guard{mutex_};
        it.alive = false;
        received_.notify_all();
    }
    const auto lock = std::lock_guard{it.mutex};
    for (const auto fd : it.sockets) {
        shutdown(fd, SHUT_RDWR);
    }
}

auto server_group::promoted() -> int {
    const auto lock = std::lock_guard{mutex_};
    return promoted_;
}

auto server_group::promote(const http_request& request) -> http_answer {
    const auto id = unquote(json_field(request.body, "Id"));
    const auto header = [&](const char* name) {
        const auto it = request.headers.find(name);
        return it == request.headers.end() ? std::string{"-"} : it->second;
    };
    record_.line("promotion of " + id + " ordered by " + header("x-lease-holder") + " token " +
                 header("x-fencing-token"));
    auto* target = static_cast<server*>(nullptr);
    {
        const auto lock = std::lock_guard{mutex_};
        tokens_.push_back(header("x-fencing-token") == "-" ? 0 : std::stoull(header("x-fencing-token")));
        for (const auto& it : servers_) {
            target = it->id == id ? it.get() : target;
        }
        if (target == nullptr || !target->alive) {
            return {409, "{}"};
        }
        if (target->is_primary && !target->is_superseded) {
            return {200, "{}"};
        }
    }
    std::thread{[this, target] {
        sleep_s(promotion_s);
        {
            const auto lock = std::lock_guard{mutex_};
            if (!target->alive || (target->is_primary && !target->is_superseded)) {
                return;
            }
            auto term = std::uint64_t{0};
            for (const auto& it : servers_) {
                term = std::max(term, it->term);
            }
            target->term = term + 1;
            target->is_primary = true;
            target->is_superseded = false;
            promoted_at_ = now_s();
            for (std::size_t n = 0; n < servers_.size(); ++n) {
                auto& it = *servers_[n];
                if (&it == target) {
                    promoted_ = static_cast<int>(n) + 1;
                } else if (it.alive && it.is_primary) {
                    it.is_superseded = true;
                } else if (it.alive) {
                    follow(it, *target);
                }
            }
            record_.line("leads " + target->id + " term " + std::to_string(target->term) + " log " +
                         std::to_string(target->log.size()));
            enter_in_store(*target);
        }
        sleep_s(old_primary_s);
        const auto lock = std::lock_guard{mutex_};
        for (const auto& it : servers_) {
            if (it->alive && it->is_superseded && target->is_primary && !target->is_superseded) {
                record_.line("follows " + it->id);
                follow(*it, *target);
            }
        }
    }}.detach();
    return {200, "{}"};
}

auto server_group::tokens() -> std::vector<std::uint64_t> {
    const auto lock = std::lock_guard{mutex_};
    return tokens_;
}

auto server_group::newest(const server& it, double until) -> std::pair<std::uint64_t, std::uint64_t> {
    auto found = std::pair<std::uint64_t, std::uint64_t>{3, 1000};
    for (const auto& entry : it.log) {
        if (entry.at <= until) {
            found = {entry.term, entry.number};
        }
    }
    return found;
}

auto server_group::position_of(const server& it) -> std::string {
    const auto lock = std::lock_guard{mutex_};
    const auto [term, number] = newest(it, now_s());
    return std::to_string(term) + "." + std::to_string(number);
}

/// Runs a statement for its work time in a slot. False: the queue is full and it did not run.
auto server_group::run(server& it, const std::string& id, const std::string& tenant) -> bool {
    {
        auto lock = std::unique_lock{it.mutex};
        if (it.busy >= limits_.slots && it.waiting >= limits_.queue) {
            return false;
        }
        ++it.waiting;
        it.slot_free.wait(lock, [&] { return it.busy < limits_.slots; });
        --it.waiting;
        ++it.busy;
    }
    auto place = std::size_t{0};
    {
        const auto lock = std::lock_guard{mutex_};
        place = runs_.size();
        runs_.push_back({id, tenant, it.id, now_s(), 0});
    }
    record_.line("run " + id + " tenant=" + tenant + " server=" + it.id);
    sleep_s(limits_.work_s);
    {
        const auto lock = std::lock_guard{mutex_};
        runs_[place].ended = now_s();
    }
    const auto lock = std::lock_guard{it.mutex};
    --it.busy;
    it.slot_free.notify_one();
    return true;
}

/// Commits a write at the primary and waits for the replicas that have to receive it. False: it has crashed.
auto server_group::commit(server& it, const std::string& request) -> bool {
    auto lock = std::unique_lock{mutex_};
    if (!it.alive || !it.is_primary) {
        return false;
    }
    const auto number = newest(it, now_s()).second + 1;
    const auto entry = log_entry{it.term, number, request, now_s()};
    it.log.push_back(entry);
    if (it.is_superseded) {
        record_.line("commit " + request + " at superseded " + it.id);
        superseded_.push_back({request, it.id, now_s(), promoted_at_});
    }
    auto received = 0;
    for (const auto& other : servers_) {
        if (!it.is_superseded && other.get() != &it && other->alive && other->receives) {
            other->log.push_back(entry);
            ++received;
        }
    }
    if (received < synchronous_replicas_) {
        received_.wait(lock, [&] { return !it.alive; });
        return false;
    }
    return true;
}

auto server_group::serve(server& it, int fd) -> void {
    {
        const auto lock = std::lock_guard{mutex_};
        if (!it.alive) {
            const auto reset = linger{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            close(fd);
            return;
        }
    }
    {
        const auto lock = std::lock_guard{it.mutex};
        it.sockets.insert(fd);
    }
    auto stream = line_stream{fd};
    serve_session(it, stream);
    const auto lock = std::lock_guard{it.mutex};
    it.sockets.erase(fd);
}

auto server_group::serve_session(server& it, line_stream& stream) -> void {
    auto first = stream.read_line();
    if (!first) {
        return;
    }
    auto start = *first;
    const auto word = next_word(start);
    const auto service = next_word(start);
    const auto tenant = next_word(start);
    const auto expected = next_word(start);
    if (word != "START" || service != service_ || (!expected.empty() && expected != it.id)) {
        stream.write("ERROR MISROUTED " + it.id + "\r\n");
        return;
    }
    auto has_room = true;
    {
        const auto lock = std::lock_guard{it.mutex};
        has_room = it.connections < limits_.connections;
        it.connections += has_room ? 1 : 0;
    }
    if (!has_room) {
        stream.write("ERROR CONNLIMIT " + it.id + "\r\n");
        return;
    }
    stream.write("READY I " + position_of(it) + "\r\n");
    auto state = std::string{"I"};
    auto has_written = false;
    while (auto line = stream.read_line()) {
        auto rest = *line;
        if (next_word(rest) != "QUERY") {
            break;
        }
        const auto id = next_word(rest);
        auto text = rest;
        auto after = std::pair<std::uint64_t, std::uint64_t>{};
        if (text.starts_with("AFTER ")) {
            next_word(text);
            const auto position = next_word(text);
            const auto dot = position.find('.');
            after = {std::stoull(position.substr(0, dot)), std::stoull(position.substr(dot + 1))};
        }
        auto words = text;
        const auto verb = next_word(words);
        auto leads = false;
        auto term = std::uint64_t{0};
        auto lacks_position = false;
        {
            const auto lock = std::lock_guard{mutex_};
            leads = it.is_primary;
            term = it.term;
            lacks_position = after > newest(it, now_s() - (leads ? 0 : replica_delay_s));
        }
        auto answer = std::string{};
        const auto signature = [&] {
            return "7." + it.id + "." + std::to_string(++signatures_);
        };
        const auto refuse = [&](const char* code) {
            answer = std::string{"ERROR "} + code + " " + it.id + "\r\n";
            state = state == "T" ? "E" : state;
        };
        if (verb == "STEPDOWN" && leads && std::stoull(words) > term) {
            const auto lock = std::lock_guard{mutex_};
            for (const auto& other : servers_) {
                if (other->alive && other->is_primary && !other->is_superseded && other.get() != &it) {
                    follow(it, *other);
                    leads = false;
                }
            }
        }
        if (verb == "STATUS" || verb == "STEPDOWN") {
            answer = std::string{"ROW "} + (leads ? "primary" : "replica") + " " + std::to_string(term) +
                     " " + position_of(it) + " 0 0 1 1\r\nCOMPLETE -\r\n";
        } else if (verb == "SET" || verb == "PREPARE" || verb == "DEALLOC" || verb == "RESET") {
            answer = "COMPLETE -\r\n";
        } else if (lacks_position) {
            refuse("LAGGING");
        } else if (verb == "BEGIN") {
            if (!leads && text != "BEGIN READ") {
                refuse("READONLY");
            } else {
                state = "T";
                has_written = false;
                answer = "COMPLETE -\r\n";
            }
        } else if (verb == "ROLLBACK") {
            state = "I";
            answer = "COMPLETE -\r\n";
        } else if (verb == "READ" || verb == "WRITE" || verb == "COMMIT") {
            const auto commits = (verb == "WRITE" && state == "I") || (verb == "COMMIT" && has_written);
            if (verb == "WRITE" && !leads) {
                refuse("READONLY");
            } else if (!run(it, id, tenant)) {
                refuse("BUSY");
            } else if (commits && !commit(it, id)) {
                break; // the process has ended
            } else {
                has_written = has_written || verb == "WRITE";
                state = verb == "COMMIT" ? "I" : state;
                answer =
                    (verb == "READ" ? "ROW qhzkwmtrbelo\r\n" : "") + ("COMPLETE " + signature() + "\r\n");
            }
        } else {
            answer = "ERROR MALFORMED " + it.id + "\r\n";
        }
        {
            const auto lock = std::lock_guard{mutex_};
            if (!it.alive) {
                break;
            }
        }
        if (!stream.write(answer + "READY " + state + " " + position_of(it) + "\r\n")) {
            break;
        }
    }
    const auto lock = std::lock_guard{it.mutex};
    --it.connections;
}

instance::instance(std::string name, std::string zone, std::uint16_t store_port, std::uint16_t promotion_port,
                   recorder& record)
    : name_{std::move(name)}
    , zone_{std::move(zone)}
    , store_port_{store_port}
    , promotion_port_{promotion_port}
    , caller_port_{free_port()}
    , ready_port_{free_port()}
    , peer_port_{free_port()}
    , metrics_port_{free_port()}
    , record_{record} {}

instance::~instance() {
    if (pid_ != 0 && !has_ended()) {
        kill(pid_, SIGCONT);
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
}

auto instance::start() -> void {
    auto text = read_file(env().root + "/deploy/settings.tmpl");
    const auto address = [](std::uint16_t port) {
        return "127.0.0.1:" + std::to_string(port);
    };
    const auto values = std::map<std::string, std::string>{
        {"{{NodeName|json}}", quoted(name_)},
        {"{{Zone|json}}", quoted(zone_)},
        {"{{ListenAddrs.Front|json}}", quoted(address(caller_port_))},
        {"{{ListenAddrs.Ready|json}}", quoted(address(ready_port_))},
        {"{{Ip}}:{{InternalPortRange.0}}", address(peer_port_)},
        {"{{Ip}}:{{InternalPortRange.1}}", address(metrics_port_)},
        {"{{platform.Address|json}}", quoted(address(store_port_))},
        {"{{CloudApi.Address|json}}", quoted(address(promotion_port_))},
        {"{{Bounds.GraceS}}", "6"},
        {"{{Limits.CpuShare}}", "0.25"},
        {"{{#Bounds.QuotaWindowS}}", ""},
        {"{{.}}", "5"},
        {"{{/Bounds.QuotaWindowS}}", ""},
    };
    for (const auto& [from, to] : values) {
        text = replace_all(text, from, to);
    }
    const auto path = env().temporary + "/" + name_ + ".settings";
    std::ofstream{path} << text;
    const auto log = env().temporary + "/" + name_ + ".log";
    const auto program = env().root + "/" + env().command;
    record_.line("start " + name_);
    ++starts_;
    pid_ = fork();
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, however that ends
        const auto out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        const auto setting = "CITRONLUG_BOOT=" + path;
        char* arguments[] = {const_cast<char*>(program.c_str()), nullptr};
        char* variables[] = {const_cast<char*>(setting.c_str()), nullptr};
        if (chdir(env().root.c_str()) == 0) {
            execve(program.c_str(), arguments, variables);
        }
        _exit(127);
    }
}

auto instance::signal(int number) -> void {
    record_.line("signal " + std::to_string(number) + " to " + name_);
    if (pid_ != 0) {
        kill(pid_, number);
    }
}

auto instance::has_ended(int* code) -> bool {
    if (pid_ == 0) {
        return true;
    }
    auto status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) {
        return false;
    }
    pid_ = 0;
    record_.line("ended " + name_ + " status=" + std::to_string(status));
    if (code != nullptr) {
        *code = status;
    }
    return true;
}

auto instance::is_ready() -> bool {
    auto stream = connect_to(ready_port_);
    if (!stream || !stream->write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    const auto line = stream->read_line(0.9);
    return line && line->starts_with("HTTP/1.1 200");
}

writers::writers(int number, double pause_s, const std::vector<std::unique_ptr<instance>>& instances,
                 recorder& record)
    : instances_{instances}
    , record_{record} {
    for (auto n = 0; n < number; ++n) {
        threads_.emplace_back([this, n, pause_s] { run(n, pause_s); });
    }
}

auto writers::stop() -> void {
    stop_ = true;
    for (auto& it : threads_) {
        it.join();
    }
    threads_.clear();
}

auto writers::outcomes() const -> std::string {
    auto text = std::string{"answers"};
    for (const auto& [name, n] : outcomes_) {
        text += " " + name + "=" + std::to_string(n);
    }
    return text;
}

auto writers::run(int number, double pause_s) -> void {
    auto next = static_cast<std::size_t>(number);
    auto stream = std::unique_ptr<line_stream>{};
    auto at = std::string{};
    for (auto n = 0; !stop_; ++n) {
        sleep_s(pause_s);
        if (!stream) {
            const auto& to = *instances_[next++ % instances_.size()];
            at = to.name();
            stream = connect_to(to.caller_port());
            if (!stream || !stream->write("START orders-1 key-of-school\r\n") || !stream->read_line(2)) {
                stream.reset();
                continue;
            }
        }
        const auto id = "w" + std::to_string(number) + "." + std::to_string(n);
        record_.line("sent " + id + " to " + at);
        auto outcome = std::string{"none"};
        auto complete = false;
        if (stream->write("QUERY " + id + " WRITE item" + std::to_string(number) + " " + std::to_string(n) +
                          "\r\n")) {
            while (auto line = stream->read_line(5)) {
                if (line->starts_with("READY ")) {
                    complete = true;
                    break;
                }
                outcome = line->starts_with("ERROR ") ? line->substr(6, line->find(' ', 6) - 6) : "ok";
            }
        }
        outcome = complete ? outcome : "none";
        record_.line("answered " + id + " " + outcome);
        if (!complete) {
            stream.reset();
        }
        const auto lock = std::lock_guard{mutex_};
        ++outcomes_[outcome];
        if (outcome == "ok") {
            acknowledged_.insert(id);
        }
    }
}

auto wait_until_ready(const std::vector<std::unique_ptr<instance>>& instances) -> bool {
    for (const auto until = now_s() + 15; now_s() < until; sleep_s(0.1)) {
        if (std::all_of(instances.begin(), instances.end(), [](const auto& it) { return it->is_ready(); })) {
            return true;
        }
    }
    for (const auto& it : instances) {
        if (!it->is_ready()) {
            const auto log = read_file(env().temporary + "/" + it->name() + ".log");
            std::printf("%s is not ready after 15 s; its log ends with: %s\n", it->name().c_str(),
                        log.substr(log.size() - std::min<std::size_t>(log.size(), 300)).c_str());
        }
    }
    return false;
}

auto env() -> const environment& {
    static const auto value = [] {
        const auto text = [](const char* name) {
            const auto* it = std::getenv(name);
            return std::string{it == nullptr ? "" : it};
        };
        return environment{text("TROUBLE") != "0", text("REVIEW_TMP"), text("REVIEW_ROOT"),
                           text("REVIEW_COMMAND")};
    }();
    return value;
}

auto rules_text(int version, const std::string& service, int max_connections,
                const std::vector<route_rule>& routes, const std::vector<tenant_rule>& tenants,
                int synchronous_replicas) -> std::string {
    auto text = R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)";
    auto separator = std::string{};
    for (const auto& it : routes) {
        text += separator + R"({"Name":"r-)" + it.database + R"(","DatabaseName":)" + quoted(it.database) +
                R"(,"PathPrefix":"/","RouteType":)" + quoted(it.type) + R"(,"TimeoutMs":)" +
                std::to_string(it.timeout_ms) + R"(,"TargetLatencyMs":600,"Priority":2,"Service":)" +
                quoted(service) + R"(,"MaxAttempts":2,"MaxStalenessMs":)" + std::to_string(it.max_age_ms) +
                R"(,"Public":false})";
        separator = ",";
    }
    text += R"(],"Services":[{"Name":)" + quoted(service) +
            R"(,"HealthCheckPath":"/healthz","MaxConnections":)" + std::to_string(max_connections) +
            R"(,"Protocol":"h1","Tls":false,"SyncReplicas":)" + std::to_string(synchronous_replicas) +
            R"(}],"Limits":{"TxIdleMs":3000},"Tenants":[)";
    separator.clear();
    for (const auto& it : tenants) {
        text += separator + R"({"Name":)" + quoted(it.name) + R"(,"ApiKeys":[)" + quoted(it.key) +
                R"(],"Priority":1,"RatePerS":)" + std::to_string(it.rate) + R"(,"Burst":)" +
                std::to_string(it.burst) + "}";
        separator = ",";
    }
    return text + "]}";
}

} // namespace review
