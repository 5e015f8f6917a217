// Stage for the scripts of the second review: stand-ins for the platform's store, its promotion call and the members
// of database services, small clients, and the session instances as processes of their own. All on loopback.
// The stand-ins follow PROTOCOL.md; where it is silent they behave like sound ones.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace stage {

using steady = std::chrono::steady_clock;
using std::string;
using namespace std::chrono_literals;

inline auto elapsed_s() -> double {
    static const auto begin = steady::now();
    return std::chrono::duration<double>{steady::now() - begin}.count();
}

inline auto pause(std::chrono::milliseconds span) -> void {
    std::this_thread::sleep_for(span);
}

// ---- Record -------------------------------------------------------------------------------------------------------

class record_file {
public:
    auto open(const string& path) -> void { out_.open(path, std::ios::trunc); }
    auto line(const string& text) -> void {
        const auto lock = std::lock_guard{mutex_};
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f  ", elapsed_s());
        out_ << at << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

inline record_file record;

inline auto format(const char* form, ...) -> string {
    char text[4096];
    va_list values;
    va_start(values, form);
    std::vsnprintf(text, sizeof text, form, values);
    va_end(values);
    return text;
}

/// Ends the case: exit code 2 if it could not run.
[[noreturn]] inline auto cannot_run(const string& why) -> void;

// ---- Sockets ------------------------------------------------------------------------------------------------------

inline auto loopback(int port) -> sockaddr_in {
    auto to = sockaddr_in{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return to;
}

/// Listens on a port of 127.0.0.1; 0 takes a free one. Returns the descriptor and the port; -1 if it is not possible.
inline auto listen_on(int port) -> std::pair<int, int> {
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto at = loopback(port);
    auto size = socklen_t{sizeof at};
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return {-1, 0};
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return {fd, ntohs(at.sin_port)};
}

/// A free port below those that the kernel gives to outgoing connections, so that none of these takes it.
inline auto free_port() -> int {
    static auto next = 15000 + getpid() * 37 % 12000;
    for (auto tries = 0; tries < 5000; ++tries) {
        const auto [fd, port] = listen_on(++next);
        if (fd >= 0) {
            close(fd);
            return port;
        }
    }
    cannot_run("no free port");
}

inline auto connect_to(int port) -> int {
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto to = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        close(fd);
        return -1;
    }
    const auto on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline auto send_all(int fd, const string& text) -> bool {
    for (auto sent = std::size_t{0}; sent < text.size();) {
        const auto n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/// Reads lines and blocks of a connection.
class reader {
public:
    explicit reader(int fd)
        : fd_{fd} {}
    /// The next line without its CR LF; empty optional at the end of the connection or after `wait`.
    auto line(std::chrono::milliseconds wait = 1h) -> std::optional<string> {
        const auto until = steady::now() + wait;
        for (;;) {
            const auto end = buffer_.find("\r\n");
            if (end != string::npos) {
                auto found = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return found;
            }
            if (!fill(until)) {
                return std::nullopt;
            }
        }
    }
    auto block(std::size_t size) -> std::optional<string> {
        while (buffer_.size() < size) {
            if (!fill(steady::now() + 1h)) {
                return std::nullopt;
            }
        }
        auto found = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return found;
    }
    [[nodiscard]] auto ended() const -> bool { return ended_; }

private:
    auto fill(steady::time_point until) -> bool {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - steady::now()).count();
        auto it = pollfd{fd_, POLLIN, 0};
        if (left <= 0 || poll(&it, 1, static_cast<int>(std::min<long long>(left, 3'600'000))) <= 0) {
            return false;
        }
        char data[16384];
        const auto n = recv(fd_, data, sizeof data, 0);
        if (n <= 0) {
            ended_ = true;
            return false;
        }
        buffer_.append(data, static_cast<std::size_t>(n));
        return true;
    }
    int fd_;
    string buffer_;
    bool ended_ = false;
};

// ---- The platform's store and its promotion call ------------------------------------------------------------------

struct stored_object {
    string spec;
    long revision = 0;
};

struct stored_change {
    long revision = 0;
    string kind;
    string text; ///< the event as JSON
};

/// How the store treats the machine that calls it on one of its addresses.
enum class store_mode { serves, refuses };

class platform_store {
public:
    /// Opens an address for one machine. All of them reach the same objects.
    auto open_address() -> int {
        const auto [fd, port] = listen_on(0);
        if (fd < 0) {
            cannot_run("no port for the store");
        }
        {
            const auto lock = std::lock_guard{mutex_};
            modes_[port] = store_mode::serves;
        }
        std::thread{[this, fd = fd, port = port] {
            for (;;) {
                const auto client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (client >= 0) {
                    std::thread{[this, client, port] { serve(client, port); }}.detach();
                }
            }
        }}.detach();
        return port;
    }
    auto set_mode(int port, store_mode mode) -> void {
        const auto lock = std::lock_guard{mutex_};
        modes_[port] = mode;
        changed_.notify_all(); // watches that wait are cut
    }
    auto put(const string& kind, const string& name, const string& spec) -> void {
        const auto lock = std::lock_guard{mutex_};
        write(kind, name, spec);
    }
    auto remove(const string& kind, const string& name) -> void {
        const auto lock = std::lock_guard{mutex_};
        auto& objects = kinds_[kind];
        if (objects.erase(name) != 0) {
            history_.push_back({++revision_, kind,
                                format("{\"Removed\":true,\"Object\":{\"meta\":{\"Name\":\"%s\",\"Revision\":%ld}}}",
                                       name.c_str(), revision_)});
            changed_.notify_all();
        }
    }
    auto get(const string& kind, const string& name) -> string {
        const auto lock = std::lock_guard{mutex_};
        const auto it = kinds_[kind].find(name);
        return it == kinds_[kind].end() ? string{} : it->second.spec;
    }
    /// Answers `POST /promotions`: status of the answer.
    std::function<int(const string& body, const string& holder, const string& token)> on_promotion;

private:
    struct answer {
        int status = 200;
        string body;
    };

    static auto text_after(const string& from, const string& key) -> string {
        const auto at = from.find(key);
        if (at == string::npos) {
            return {};
        }
        const auto begin = at + key.size();
        return from.substr(begin, from.find_first_of("& \"", begin) - begin);
    }
    /// The value of a field of a JSON object, as text. Enough for what session instances send.
    static auto object_in(const string& body, const string& key) -> string {
        const auto at = body.find("\"" + key + "\":");
        if (at == string::npos) {
            return {};
        }
        const auto begin = body.find('{', at);
        auto depth = 0;
        auto quoted = false;
        for (auto n = begin; n < body.size(); ++n) {
            const auto it = body[n];
            if (it == '\\') {
                ++n;
            } else if (it == '"') {
                quoted = !quoted;
            } else if (!quoted) {
                depth += it == '{' ? 1 : it == '}' ? -1 : 0;
                if (it == '}' && depth == 0) {
                    return body.substr(begin, n + 1 - begin);
                }
            }
        }
        return {};
    }
    auto describe(const string& name, const stored_object& it) const -> string {
        return "{\"meta\":{\"Name\":\"" + name + "\",\"Revision\":" + std::to_string(it.revision) +
               ",\"Created\":1,\"Finalizers\":[],\"Deleting\":false},\"spec\":" + it.spec + ",\"status\":null}";
    }
    auto write(const string& kind, const string& name, const string& spec) -> void {
        auto& it = kinds_[kind][name];
        if (it.spec == spec) {
            return; // a change that changes nothing
        }
        it.spec = spec;
        it.revision = ++revision_;
        history_.push_back({revision_, kind, "{\"Removed\":false,\"Object\":" + describe(name, it) + "}"});
        changed_.notify_all();
    }
    auto list(const string& kind) -> answer {
        auto items = string{};
        for (const auto& [name, it] : kinds_[kind]) {
            items += (items.empty() ? "" : ",") + describe(name, it);
        }
        return {200, "{\"items\":[" + items + "],\"HasMore\":false,\"StoreRevision\":" + std::to_string(revision_) + "}"};
    }
    auto watch(std::unique_lock<std::mutex>& lock, int port, const string& kind, long after,
               std::chrono::milliseconds wait) -> answer {
        const auto until = steady::now() + wait;
        for (;;) {
            if (modes_[port] != store_mode::serves) {
                return {503, "{}"};
            }
            auto events = string{};
            for (const auto& it : history_) {
                if (it.revision > after && it.kind == kind) {
                    events += (events.empty() ? "" : ",") + it.text;
                }
            }
            if (!events.empty() || steady::now() >= until) {
                return {200, "{\"events\":[" + events + "],\"StoreRevision\":" + std::to_string(revision_) + "}"};
            }
            changed_.wait_until(lock, until);
        }
    }
    auto handle(int port, const string& method, const string& target, const string& body) -> answer {
        auto lock = std::unique_lock{mutex_};
        if (modes_[port] != store_mode::serves) {
            return {503, "{}"};
        }
        const auto query_at = target.find('?');
        const auto query = query_at == string::npos ? string{} : target.substr(query_at);
        auto path = std::istringstream{target.substr(0, query_at)};
        auto root = string{};
        auto kind = string{};
        auto name = string{};
        std::getline(path, root, '/');
        std::getline(path, root, '/');
        std::getline(path, kind, '/');
        std::getline(path, name, '/');
        auto& objects = kinds_[kind];
        if (method == "GET" && query.find("Watch=") != string::npos) {
            return watch(lock, port, kind, std::atol(text_after(query, "Watch=").c_str()),
                         std::chrono::milliseconds{std::atol(text_after(query, "WaitMs=").c_str())});
        }
        if (method == "GET" && name.empty()) {
            return list(kind);
        }
        if (method == "POST") {
            name = text_after(body, "\"Name\":\"");
            if (objects.contains(name)) {
                return {409, describe(name, objects[name])};
            }
            write(kind, name, object_in(body, "spec"));
            return {201, describe(name, objects[name])};
        }
        const auto found = objects.find(name);
        if (found == objects.end()) {
            return {404, "{}"};
        }
        if (method == "PUT") {
            const auto expected = text_after(body, "\"Revision\":");
            if (!expected.empty() && std::atol(expected.c_str()) != found->second.revision) {
                return {409, describe(name, found->second)};
            }
            write(kind, name, object_in(body, "spec"));
        }
        return {200, describe(name, objects[name])};
    }
    auto serve(int fd, int port) -> void {
        auto in = reader{fd};
        for (;;) {
            const auto first = in.line();
            if (!first) {
                break;
            }
            auto words = std::istringstream{*first};
            auto method = string{};
            auto target = string{};
            words >> method >> target;
            auto length = std::size_t{0};
            auto holder = string{};
            auto token = string{};
            for (auto header = in.line(); header && !header->empty(); header = in.line()) {
                auto name = header->substr(0, header->find(':'));
                std::transform(name.begin(), name.end(), name.begin(), ::tolower);
                auto value = header->substr(std::min(header->size(), header->find(':') + 1));
                value.erase(0, value.find_first_not_of(' '));
                if (name == "content-length") {
                    length = static_cast<std::size_t>(std::atol(value.c_str()));
                } else if (name == "x-lease-holder") {
                    holder = value;
                } else if (name == "x-fencing-token") {
                    token = value;
                }
            }
            const auto body = in.block(length);
            if (!body) {
                break;
            }
            pause(4ms);
            const auto it = target == "/promotions" ? answer{on_promotion(*body, holder, token), "{}"}
                                                    : handle(port, method, target, *body);
            const auto* reason = it.status < 300 ? "OK" : "No";
            if (!send_all(fd, format("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                                     it.status, reason, it.body.size()) +
                                  it.body)) {
                break;
            }
        }
        close(fd);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<string, std::map<string, stored_object>> kinds_;
    std::vector<stored_change> history_;
    std::map<int, store_mode> modes_;
    long revision_ = 1;
};

// ---- Members of a database service --------------------------------------------------------------------------------

struct log_entry {
    long term = 0;
    long number = 0;
    string item;
    string data;
    auto operator==(const log_entry&) const -> bool = default;
};

struct member {
    string id;
    string zone;
    int port = 0;
    int listener = -1;
    bool alive = false;
    bool draining = false;
    bool is_primary = false;
    bool receives = true; ///< false: it receives nothing from the primary for a while
    long term = 1;
    std::vector<log_entry> log;
    std::set<int> connections;
    steady::time_point silent_since;
    bool listed = false;
    long long born = 1'780'000'000'000;
};

/// One service with a primary and replicas. A commit is acknowledged once `sync_replicas` replicas have received it.
class database_service {
public:
    static constexpr auto replication_delay = 20ms;
    static constexpr auto promote_time = 300ms;
    static constexpr auto heartbeat = 1200ms;
    static constexpr auto work_time = 8ms;

    database_service(platform_store& store, string name, int sync_replicas)
        : store_{store}
        , name_{std::move(name)}
        , sync_replicas_{sync_replicas} {
        for (const auto* zone : {"zone-a", "zone-b", "zone-c"}) {
            auto it = std::make_unique<member>();
            it->id = name_ + "-i" + std::to_string(members_.size() + 1);
            it->zone = zone;
            it->is_primary = members_.empty();
            members_.push_back(std::move(it));
        }
        for (auto& it : members_) {
            start(*it);
        }
        std::thread{[this] { replicate(); }}.detach();
    }

    auto at(std::size_t n) -> member& { return *members_.at(n); }
    [[nodiscard]] auto name() const -> const string& { return name_; }
    /// The member's process is killed; its entry in the store goes after three intervals of silence.
    auto crash(std::size_t n) -> void {
        const auto lock = std::lock_guard{mutex_};
        auto& it = *members_.at(n);
        record.line("disruption: " + it.id + " (" + (it.is_primary ? "primary" : "replica") + ") crashes; its log ends at " +
                    position_of(it));
        it.alive = false;
        it.silent_since = steady::now();
        shutdown(it.listener, SHUT_RDWR);
        close(it.listener);
        for (const auto fd : it.connections) {
            const auto reset = linger{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            shutdown(fd, SHUT_RDWR);
        }
    }
    /// It comes back with its log; as a replica if another member leads a later term.
    auto restart(std::size_t n) -> void {
        const auto lock = std::lock_guard{mutex_};
        auto& it = *members_.at(n);
        for (const auto& other : members_) {
            if (other->is_primary && other->term > it.term) {
                it.is_primary = false;
            }
        }
        record.line("end of disruption: " + it.id + " is back with its log up to " + position_of(it));
        start(it);
    }
    auto set_receives(std::size_t n, bool receives) -> void {
        const auto lock = std::lock_guard{mutex_};
        members_.at(n)->receives = receives;
        record.line((receives ? "end of disruption: " : "disruption: ") + members_.at(n)->id +
                    (receives ? " receives again" : " receives nothing from now on; its log ends at " +
                                                        position_of(*members_.at(n))));
    }
    auto drain(std::size_t n) -> void {
        const auto lock = std::lock_guard{mutex_};
        members_.at(n)->draining = true;
        list_entry(*members_.at(n));
        record.line("planned: the store has accepted that " + members_.at(n)->id + " is draining");
    }
    auto promote(const string& id, const string& holder, const string& token) -> int {
        const auto lock = std::lock_guard{mutex_};
        for (auto& it : members_) {
            if (it->id == id) {
                record.line("POST /promotions: " + id + " by " + holder + " with " + token);
                if (!it->alive) {
                    return 409;
                }
                if (it->is_primary) {
                    return 200;
                }
                std::thread{[this, to = it.get()] {
                    pause(promote_time);
                    lead(*to);
                }}.detach();
                return 200;
            }
        }
        return 409;
    }
    /// Called with the lock when a member has become the primary.
    std::function<void(const member&)> on_promoted;
    /// Called with the lock for each statement of a caller that a member runs.
    std::function<void(const member&, const string& id, const string& text)> on_run;
    auto has_entry(const member& it, const string& data) const -> bool {
        return std::any_of(it.log.begin(), it.log.end(), [&](const auto& entry) { return entry.data == data; });
    }
    auto position_of(const member& it) const -> string {
        return it.log.empty() ? std::to_string(it.term) + ".0"
                              : std::to_string(it.log.back().term) + "." + std::to_string(it.log.back().number);
    }
    auto state() -> string {
        const auto lock = std::lock_guard{mutex_};
        auto text = string{};
        for (const auto& it : members_) {
            text += it->id + (it->alive ? it->is_primary ? " primary" : " replica" : " down") + " term " +
                    std::to_string(it->term) + " log " + position_of(*it) + "; ";
        }
        return text;
    }

private:
    auto list_entry(member& it) -> void {
        it.listed = true;
        store_.put("servers", it.id,
                   format("{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"%s\",\"Version\":\"v1\","
                          "\"Capacity\":3,\"State\":\"%s\",\"ColdRemainingMs\":0,\"DbRole\":\"%s\",\"Sequence\":1,"
                          "\"born\":%lld}",
                          name_.c_str(), it.port, it.zone.c_str(), it.draining ? "draining" : "ready",
                          it.is_primary ? "primary" : "replica", it.born));
    }
    auto start(member& it) -> void {
        const auto [fd, port] = listen_on(it.port);
        if (fd < 0) {
            cannot_run("a member cannot listen");
        }
        it.listener = fd;
        it.port = port;
        it.alive = true;
        ++it.born;
        std::thread{[this, &it, fd = fd] {
            for (;;) {
                const auto client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (client < 0) {
                    return;
                }
                std::thread{[this, &it, client] { serve(it, client); }}.detach();
            }
        }}.detach();
        list_entry(it);
    }
    auto primary() -> member* {
        auto* found = static_cast<member*>(nullptr);
        for (auto& it : members_) {
            if (it->is_primary && (found == nullptr || it->term > found->term)) {
                found = it.get();
            }
        }
        return found;
    }
    auto lead(member& it) -> void {
        const auto lock = std::lock_guard{mutex_};
        if (!it.alive || it.is_primary) {
            return;
        }
        for (const auto& other : members_) {
            it.term = std::max(it.term, other->term);
        }
        ++it.term;
        it.is_primary = true;
        it.receives = true;
        record.line("promoted: " + it.id + " leads term " + std::to_string(it.term) + " with its log up to " + position_of(it));
        list_entry(it);
        if (on_promoted) {
            on_promoted(it);
        }
    }
    auto replicate() -> void {
        for (;;) {
            pause(replication_delay);
            const auto lock = std::lock_guard{mutex_};
            auto* from = primary();
            for (auto& it : members_) {
                if (it->alive && it.get() != from && from != nullptr && from->alive && it->receives) {
                    if (it->is_primary && !stepped_down(*it, *from)) {
                        continue;
                    }
                    it->log = from->log; // also rolls back what a former primary had beyond
                    it->term = from->term;
                }
                if (!it->alive && it->listed && steady::now() - it->silent_since > 3 * heartbeat) {
                    it->listed = false;
                    store_.remove("servers", it->id);
                }
            }
            received_.notify_all();
        }
    }
    /// A superseded primary goes on until a second after it can reach the new one.
    auto stepped_down(member& it, const member& by) -> bool {
        auto& since = superseded_since_[it.id];
        if (since.first != by.term) {
            since = {by.term, steady::now()};
        }
        if (steady::now() - since.second < 1s) {
            return false;
        }
        it.is_primary = false;
        list_entry(it);
        return true;
    }

    struct session {
        bool started = false;
        char state = 'I';
        bool reads_only = false;
        std::vector<log_entry> writes;
        std::map<string, std::pair<bool, string>> prepared;
    };

    auto serve(member& it, int fd) -> void {
        {
            const auto lock = std::lock_guard{mutex_};
            it.connections.insert(fd);
        }
        auto in = reader{fd};
        auto its = session{};
        for (auto line = in.line(); line; line = in.line()) {
            auto text = string{};
            if (!its.started) {
                its.started = true;
                auto words = std::istringstream{*line};
                auto verb = string{};
                auto service = string{};
                auto who = string{};
                auto id = string{};
                words >> verb >> service >> who >> id;
                if (verb != "START" || service != name_ || (!id.empty() && id != it.id)) {
                    send_all(fd, "ERROR MISROUTED " + it.id + "\r\n");
                    break;
                }
                pause(12ms);
                const auto lock = std::lock_guard{mutex_};
                text = "READY I " + position_of(it) + "\r\n";
            } else {
                auto words = std::istringstream{*line};
                auto verb = string{};
                auto id = string{};
                words >> verb >> id;
                if (verb != "QUERY") {
                    break;
                }
                auto rest = string{};
                std::getline(words, rest);
                rest.erase(0, 1);
                auto lock = std::unique_lock{mutex_};
                if (!it.alive) {
                    break;
                }
                text = run(lock, it, its, id, rest);
                if (!it.alive) {
                    break;
                }
                text += format("READY %c ", its.state) + position_of(it) + "\r\n";
            }
            if (!send_all(fd, text)) {
                break;
            }
        }
        const auto lock = std::lock_guard{mutex_};
        it.connections.erase(fd);
        close(fd);
    }
    auto has(const member& it, const string& position) const -> bool {
        const auto term = std::atol(position.c_str());
        const auto number = std::atol(position.substr(position.find('.') + 1).c_str());
        return number == 0 || std::any_of(it.log.begin(), it.log.end(), [&](const auto& entry) {
                   return entry.number == number && entry.term == term;
               });
    }
    auto signature(const member& it) -> string { return it.id + "." + std::to_string(++signatures_); }
    auto work(std::unique_lock<std::mutex>& lock) -> void {
        lock.unlock();
        pause(work_time);
        lock.lock();
    }
    auto run(std::unique_lock<std::mutex>& lock, member& it, session& its, const string& id, string text) -> string {
        const auto fail = [&](const string& code) {
            its.state = its.state == 'I' ? 'I' : 'E';
            return "ERROR " + code + " " + it.id + "\r\n";
        };
        if (text.starts_with("AFTER ")) {
            const auto end = text.find(' ', 6);
            if (!has(it, text.substr(6, end - 6))) {
                return fail("LAGGING");
            }
            text.erase(0, end + 1);
        }
        auto words = std::istringstream{text};
        auto verb = string{};
        auto item = string{};
        auto data = string{};
        words >> verb >> item;
        std::getline(words, data);
        data.erase(0, 1);
        if (verb == "EXECUTE") {
            const auto found = its.prepared.find(item);
            if (found == its.prepared.end()) {
                return fail("NOSTMT");
            }
            verb = found->second.first ? "WRITE" : "READ";
            item = data.substr(0, data.find(' '));
            data = data.find(' ') == string::npos ? string{} : data.substr(data.find(' ') + 1);
        }
        if (its.state == 'E' && verb != "ROLLBACK" && verb != "COMMIT") {
            return fail("MALFORMED");
        }
        if (id != "-" && on_run) {
            on_run(it, id, text);
        }
        if (verb == "BEGIN") {
            its.reads_only = item == "READ";
            if (!its.reads_only && !it.is_primary) {
                return fail("READONLY");
            }
            its.state = 'T';
            return "COMPLETE -\r\n";
        }
        if (verb == "READ") {
            work(lock);
            auto row = string{"none"};
            for (const auto& entry : it.log) {
                row = entry.item == item ? entry.data : row;
            }
            return "ROW " + row + "\r\nCOMPLETE " + signature(it) + "\r\n";
        }
        if (verb == "WRITE") {
            if (!it.is_primary || its.reads_only) {
                return fail("READONLY");
            }
            work(lock);
            its.writes.push_back({0, 0, item, data});
            return its.state != 'I' || commit(lock, it, its) ? "COMPLETE " + signature(it) + "\r\n" : fail("READONLY");
        }
        if (verb == "COMMIT") {
            const auto failed = its.state == 'E' || (!its.writes.empty() && !it.is_primary);
            its.state = 'I';
            if (failed) {
                its.writes.clear();
                return fail("READONLY");
            }
            work(lock);
            return commit(lock, it, its) ? "COMPLETE " + signature(it) + "\r\n" : fail("READONLY");
        }
        if (verb == "ROLLBACK") {
            its.writes.clear();
            its.state = 'I';
        } else if (verb == "RESET") {
            its.prepared.clear();
        } else if (verb == "PREPARE") {
            its.prepared[item] = {data.starts_with("WRITE"), data};
        } else if (verb == "STATUS" || verb == "STEPDOWN") {
            if (verb == "STEPDOWN" && it.is_primary && it.term < std::atol(item.c_str())) {
                it.is_primary = false;
                list_entry(it);
            }
            return format("ROW %s %ld %s 0 0 0 %zu\r\nCOMPLETE -\r\n", it.is_primary ? "primary" : "replica", it.term,
                          position_of(it).c_str(), it.connections.size());
        }
        return "COMPLETE -\r\n";
    }
    /// Appends the writes, and waits for the replicas that have to receive them.
    auto commit(std::unique_lock<std::mutex>& lock, member& it, session& its) -> bool {
        if (its.writes.empty()) {
            return true;
        }
        if (!it.is_primary || !it.alive) {
            its.writes.clear();
            return false;
        }
        const auto number = it.log.empty() ? 1 : it.log.back().number + 1;
        for (auto& entry : its.writes) {
            entry.term = it.term;
            entry.number = number;
            it.log.push_back(entry);
        }
        const auto last = its.writes.back();
        its.writes.clear();
        record.line("member " + it.id + " commits " + last.item + "=" + last.data + " as " + position_of(it));
        received_.wait(lock, [&] {
            const auto n = std::count_if(members_.begin(), members_.end(), [&](const auto& other) {
                return other.get() != &it && std::find(other->log.begin(), other->log.end(), last) != other->log.end();
            });
            return n >= sync_replicas_ || !it.alive;
        });
        return it.alive;
    }

    platform_store& store_;
    string name_;
    int sync_replicas_;
    std::mutex mutex_;
    std::condition_variable received_;
    std::vector<std::unique_ptr<member>> members_;
    std::map<string, std::pair<long, steady::time_point>> superseded_since_;
    long signatures_ = 0;
};

// ---- Session instances --------------------------------------------------------------------------------------------

/// Directory for settings and logs, removed at the end.
inline auto scratch() -> const std::filesystem::path& {
    static const auto path = [] {
        auto name = (std::filesystem::temp_directory_path() / "citronlug-review-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr) {
            std::exit(2);
        }
        return std::filesystem::path{name};
    }();
    return path;
}

inline std::set<pid_t> running;

struct instance {
    string name;
    string zone;
    int caller_port = free_port();
    int ready_port = free_port();
    int peer_port = free_port();
    int metrics_port = free_port();
    int store_port = 0;
    pid_t process = 0;
    int runs = 0;

    /// The settings that `deploy/settings.tmpl` renders for a machine of a small deployment.
    auto write_settings() const -> string {
        const auto path = scratch() / (name + ".json");
        std::ofstream{path} << format(
            "{\"instance\": \"%s\", \"failure_domain\": \"%s\", \"caller_address\": \"127.0.0.1:%d\", "
            "\"ready_address\": \"127.0.0.1:%d\", \"peer_address\": \"127.0.0.1:%d\", \"metrics_address\": "
            "\"127.0.0.1:%d\", \"store_address\": \"127.0.0.1:%d\", \"promotion_address\": \"127.0.0.1:%d\", "
            "\"leave_seconds\": 6, \"processor_share\": 0.25, \"limit_window_seconds\": 5, \"callers\": 3000}\n",
            name.c_str(), zone.c_str(), caller_port, ready_port, peer_port, metrics_port, store_port, store_port);
        return path.string();
    }
    auto start() -> void {
        const auto settings = write_settings();
        const auto log = scratch() / (name + "." + std::to_string(++runs) + ".log");
        process = fork();
        if (process == 0) {
            const auto out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
            dup2(out, 1);
            dup2(out, 2);
            setenv("CITRONLUG_BOOT", settings.c_str(), 1);
            setenv("CITRONLUG_EVACUATION_LIMIT_MS", "", 1);
            setenv("CITRONLUG_MEMORY_MB", "260", 1);
            setenv("CITRONLUG_DESCRIPTORS", "4200", 1);
            signal(SIGPIPE, SIG_DFL);
            execl("target/platform/citronlug-sessiond", "target/platform/citronlug-sessiond", nullptr);
            _exit(127);
        }
        running.insert(process);
        record.line("instance " + name + " starts as process " + std::to_string(process));
    }
    auto kill_now() -> void {
        record.line("instance " + name + ": SIGKILL");
        ::kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
        running.erase(process);
        process = 0;
    }
    auto stop(int number) -> void { ::kill(process, number); }
    /// Waits until the process has ended: how it ended.
    auto wait_end(std::chrono::milliseconds wait) -> std::optional<int> {
        const auto until = steady::now() + wait;
        auto status = 0;
        while (waitpid(process, &status, WNOHANG) == 0) {
            if (steady::now() > until) {
                return std::nullopt;
            }
            pause(5ms);
        }
        running.erase(process);
        process = 0;
        return status;
    }
    auto is_ready() const -> bool {
        const auto fd = connect_to(ready_port);
        if (fd < 0) {
            return false;
        }
        send_all(fd, "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        const auto line = reader{fd}.line(1s);
        close(fd);
        return line && line->find(" 200") != string::npos;
    }
    auto wait_ready(std::chrono::milliseconds wait = 15s) const -> void {
        for (const auto until = steady::now() + wait; !is_ready(); pause(50ms)) {
            if (steady::now() > until) {
                cannot_run("instance " + name + " is not ready");
            }
        }
    }
    /// Lines of its log, of all runs, that contain the text.
    auto log_lines(const string& text) const -> std::vector<string> {
        auto found = std::vector<string>{};
        for (auto n = 1; n <= runs; ++n) {
            auto in = std::ifstream{scratch() / (name + "." + std::to_string(n) + ".log")};
            for (auto line = string{}; std::getline(in, line);) {
                if (line.find(text) != string::npos) {
                    found.push_back(line);
                }
            }
        }
        return found;
    }
};

/// Ends all processes and the case.
[[noreturn]] inline auto finish(int code) -> void {
    for (const auto it : running) {
        kill(it, SIGCONT);
        kill(it, SIGKILL);
        waitpid(it, nullptr, 0);
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(scratch());
    } else {
        std::printf("logs: %s\n", scratch().c_str());
    }
    record.line(format("exit code %d", code));
    std::fflush(stdout);
    _exit(code);
}

[[noreturn]] inline auto cannot_run(const string& why) -> void {
    record.line("the case could not run: " + why);
    std::printf("the case could not run: %s\n", why.c_str());
    finish(2);
}

inline auto verdict(bool broken, const string& text) -> void {
    record.line((broken ? "BROKEN: " : "held: ") + text);
    std::printf("%s%s\n", broken ? "BROKEN: " : "held: ", text.c_str());
    finish(broken ? 1 : 0);
}

/// Ends the case after 110 s.
inline auto limit_time() -> void {
    std::thread{[] {
        pause(110s);
        cannot_run("it took longer than 110 s");
    }}.detach();
}

/// False with TROUBLE=0: the same without the disruption.
inline auto has_trouble() -> bool {
    const auto* it = std::getenv("TROUBLE");
    return it == nullptr || string{it} != "0";
}

// ---- Clients ------------------------------------------------------------------------------------------------------

/// A session of a client.
class client {
public:
    client(int port, const string& database, const string& key)
        : fd_{connect_to(port)}
        , in_{fd_} {
        if (fd_ >= 0 && send_all(fd_, "START " + database + " " + key + "\r\n")) {
            const auto line = in_.line(2s);
            started_ = line && line->starts_with("READY");
            problem_ = line.value_or("no answer");
        }
    }
    client(const client&) = delete;
    auto operator=(const client&) -> client& = delete;
    ~client() { close(fd_); }
    [[nodiscard]] auto started() const -> bool { return started_; }
    /// Sends a statement and returns the answer: "ok ROWS", "CODE ..." or "no answer".
    auto ask(const string& text, std::chrono::milliseconds wait = 3s) -> string {
        if (!started_) {
            return "no session: " + problem_;
        }
        static std::atomic<long> next{1};
        const auto id = format("%016lx", 0x5c0e000000000000UL + static_cast<unsigned long>(next++));
        if (!send_all(fd_, "QUERY " + id + " " + text + "\r\n")) {
            return "no answer";
        }
        auto found = string{};
        const auto until = steady::now() + wait;
        for (;;) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - steady::now());
            const auto line = in_.line(left);
            if (!line) {
                return "no answer";
            }
            if (line->starts_with("ROW ")) {
                found += line->substr(3);
            } else if (line->starts_with("ERROR ")) {
                found = line->substr(6);
            } else if (line->starts_with("COMPLETE ")) {
                found = "ok" + found;
            } else if (line->starts_with("READY ")) {
                return found;
            }
        }
    }

private:
    int fd_;
    reader in_;
    bool started_ = false;
    string problem_ = "not connected";
};

/// One operation on a session of its own, asked again with a new session after a promise or a refused session.
inline auto ask_once(int port, const string& database, const string& key, const string& text,
                     std::chrono::milliseconds time_limit = 10s) -> string {
    const auto until = steady::now() + time_limit;
    for (;;) {
        auto session = client{port, database, key};
        const auto answer = session.ask(text);
        const auto code = answer.substr(0, answer.find(' '));
        const auto again = code == "BUSY" || code == "ABORTED" || code == "LAGGING" || code == "READONLY" ||
                           code == "no";
        if (!again || answer == "no answer" || steady::now() > until) {
            return answer;
        }
        pause(100ms);
    }
}

} // namespace stage
