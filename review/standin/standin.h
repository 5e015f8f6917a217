// Stand-ins for a review case: the platform's store and promotion call over HTTP, database servers with the
// line protocol, the load balancer's choice of an instance, and the launch of session instances. One thread
// per connection.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review {

/// Seconds since the start of the case, on the steady clock.
auto now_s() -> double;
auto sleep_s(double seconds) -> void;

/// `record.txt`: one line for each event, with its time. Thread-safe.
class recorder {
public:
    explicit recorder(const std::string& path);
    ~recorder();
    auto line(const std::string& text) -> void;
    auto flush() -> void;

private:
    std::mutex mutex_;
    std::FILE* file_;
};

/// Blocking connection that reads lines ending with CR LF.
class line_stream {
public:
    explicit line_stream(int fd)
        : fd_{fd} {}
    ~line_stream();
    line_stream(const line_stream&) = delete;
    auto operator=(const line_stream&) -> line_stream& = delete;
    /// Empty when the connection has ended, or after `timeout_s` (0: no limit).
    auto read_line(double timeout_s = 0) -> std::optional<std::string>;
    auto read_bytes(std::size_t n) -> std::optional<std::string>;
    auto write(const std::string& text) -> bool;
    auto shut() -> void;
    [[nodiscard]] auto timed_out() const -> bool { return timed_out_; }

private:
    auto fill() -> bool;
    int fd_;
    std::string buffer_;
    bool timed_out_ = false;
};

/// Connects to a loopback port; null if nobody listens.
auto connect_to(std::uint16_t port) -> std::unique_ptr<line_stream>;
auto free_port() -> std::uint16_t;

/// Listens on a loopback port and runs `serve` for each connection on a thread of its own.
class listener {
public:
    listener(std::function<void(int fd)> serve);
    [[nodiscard]] auto port() const -> std::uint16_t { return port_; }

private:
    std::uint16_t port_ = 0;
};

/// Proxy on loopback whose path can be cut in both directions. A connection that is open when the cut begins
/// keeps the bytes that its client sends and delivers them after the cut, also if the client has closed it
/// meanwhile, but not if the client has reset it. A connection that is opened during the cut never gets
/// through.
class cut_proxy {
public:
    explicit cut_proxy(std::uint16_t target);
    [[nodiscard]] auto port() const -> std::uint16_t { return listener_.port(); }
    auto set_cut(bool cut) -> void { cut_ = cut; }

private:
    auto serve(int fd) -> void;

    std::uint16_t target_;
    std::atomic<bool> cut_ = false;
    listener listener_;
};

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};
struct http_answer {
    int status = 200;
    std::string body;
};
auto serve_http(int fd, const std::function<http_answer(const http_request&)>& handle) -> void;

/// Raw text of a field of a JSON object; empty if there is none.
auto json_field(const std::string& object, const std::string& name) -> std::string;
auto unquote(const std::string& text) -> std::string;

/// The platform's store.
class store {
public:
    auto handle(const http_request& request) -> http_answer;
    auto put(const std::string& kind, const std::string& name, const std::string& spec) -> void;
    /// Raw text of an object's content; empty if there is none.
    auto get(const std::string& kind, const std::string& name) -> std::string;

private:
    struct object {
        std::string spec;
        std::uint64_t revision = 0;
    };
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };
    auto text_of(const std::string& name, const object& it) const -> std::string;
    auto set(const std::string& kind, const std::string& name, const std::string& spec) -> void;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, object>> kinds_;
    std::vector<event> history_;
    std::uint64_t revision_ = 100;
};

/// A statement that a server ran, or began to run.
struct run_event {
    std::string request;
    std::string tenant;
    std::string server;
    double begun = 0;
    double ended = 0; ///< 0 while it runs
};

struct server_limits {
    int slots = 5;
    int queue = 24;
    int connections = 39;
    double work_s = 0.02;
};

/// Entry of a server's log: a committed write.
struct log_entry {
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    std::string request; ///< id of the write, or of the transaction's commit
    double at = 0;       ///< when this server received it
};

/// A commit at a server that had been superseded by a promotion.
struct superseded_commit {
    std::string request;
    std::string server;
    double at = 0;
    double promoted_at = 0; ///< when the promotion took effect
};

/// One group of servers, at first three, that hold copies of one database; the first one leads. Replicas
/// receive commits at once and apply them 8 ms later. After a promotion the old primary goes on for one
/// second or until `STEPDOWN`.
class server_group {
public:
    server_group(std::string service, server_limits limits, int synchronous_replicas, store& registry,
                 recorder& record);
    auto runs() -> std::vector<run_event>;
    /// Log of a server; servers are numbered from 1.
    auto log_of(int number) -> std::vector<log_entry>;
    /// The server reports that it is draining, and goes on serving, receiving and acknowledging.
    auto drain(int number) -> void;
    /// The server receives nothing from the primary from now on, or again.
    auto set_receiving(int number, bool receives) -> void;
    /// The server's process ends: its connections are reset, new ones are refused.
    auto crash(int number) -> void;
    /// Adds a server with the primary's log.
    auto add() -> void;
    auto superseded() -> std::vector<superseded_commit>;
    /// Handles `POST /promotions`. Promoting a server that does not run answers 409.
    auto promote(const http_request& request) -> http_answer;
    /// Number of the server that was promoted last; 0: none.
    auto promoted() -> int;
    /// Fencing tokens of the orders, in the order of their arrival.
    auto tokens() -> std::vector<std::uint64_t>;

private:
    struct server {
        std::string id;
        std::string zone;
        bool is_primary = false;
        bool is_superseded = false; ///< another server leads a newer term
        bool alive = true;
        bool draining = false;
        bool receives = true;
        std::uint64_t term = 3;
        std::vector<log_entry> log; ///< guarded, like all above, by the group's mutex
        std::unique_ptr<listener> port;
        std::mutex mutex;
        std::condition_variable slot_free;
        int busy = 0;
        int waiting = 0;
        int connections = 0;
        std::set<int> sockets;
    };
    auto serve(server& it, int fd) -> void;
    auto serve_session(server& it, line_stream& stream) -> void;
    auto run(server& it, const std::string& id, const std::string& tenant) -> bool;
    auto commit(server& it, const std::string& request) -> bool;
    auto enter_in_store(const server& it) -> void;
    auto start_server() -> server&;
    auto follow(server& it, const server& primary) -> void;
    auto newest(const server& it, double until) -> std::pair<std::uint64_t, std::uint64_t>;
    auto position_of(const server& it) -> std::string;

    std::string service_;
    server_limits limits_;
    int synchronous_replicas_;
    store& registry_;
    recorder& record_;
    std::vector<std::unique_ptr<server>> servers_;
    std::mutex mutex_;
    std::condition_variable received_;
    std::vector<run_event> runs_;
    int promoted_ = 0;
    std::vector<std::uint64_t> tokens_;
    double promoted_at_ = 0;
    std::vector<superseded_commit> superseded_;
    std::atomic<std::uint64_t> signatures_ = 0;
};

/// A session instance as a process of its own, started with the deploy file's command and a settings file
/// that is rendered from the deploy file's template.
class instance {
public:
    instance(std::string name, std::string zone, std::uint16_t store_port, std::uint16_t promotion_port,
             recorder& record);
    ~instance();
    auto start() -> void;
    auto signal(int number) -> void;
    /// True once the process has ended; `code` is its wait status.
    auto has_ended(int* code = nullptr) -> bool;
    /// Answers the load balancer's readiness check.
    auto is_ready() -> bool;
    [[nodiscard]] auto name() const -> const std::string& { return name_; }
    [[nodiscard]] auto caller_port() const -> std::uint16_t { return caller_port_; }

private:
    std::string name_;
    std::string zone_;
    std::uint16_t store_port_;
    std::uint16_t promotion_port_;
    std::uint16_t caller_port_;
    std::uint16_t ready_port_;
    std::uint16_t peer_port_;
    std::uint16_t metrics_port_;
    recorder& record_;
    pid_t pid_ = 0;
    int starts_ = 0;
};

/// Clients that write one item each, at the instances in turn, until they are stopped.
class writers {
public:
    writers(int number, double pause_s, const std::vector<std::unique_ptr<instance>>& instances,
            recorder& record);
    auto stop() -> void;
    /// Writes that were acknowledged with success; valid after `stop`.
    [[nodiscard]] auto acknowledged() const -> const std::set<std::string>& { return acknowledged_; }
    [[nodiscard]] auto outcomes() const -> std::string;

private:
    auto run(int number, double pause_s) -> void;

    const std::vector<std::unique_ptr<instance>>& instances_;
    recorder& record_;
    std::atomic<bool> stop_ = false;
    std::mutex mutex_;
    std::set<std::string> acknowledged_;
    std::map<std::string, int> outcomes_;
    std::vector<std::thread> threads_;
};

/// Waits until all instances are ready; false after 15 s.
auto wait_until_ready(const std::vector<std::unique_ptr<instance>>& instances) -> bool;

/// Settings of a run, from the environment: TROUBLE, REVIEW_TMP (temporary folder), REVIEW_ROOT (repository).
struct environment {
    bool trouble = true;
    std::string temporary;
    std::string root;
    std::string command; ///< `run` of the deploy file
};
auto env() -> const environment&;

/// Rules with one group; `routes` are (database, type, timeout in ms, max age in ms).
struct route_rule {
    std::string database;
    std::string type;
    int timeout_ms = 1000;
    int max_age_ms = 1500;
};
struct tenant_rule {
    std::string name;
    std::string key;
    int rate = 1000;
    int burst = 1000;
};
auto rules_text(int version, const std::string& service, int max_connections,
                const std::vector<route_rule>& routes, const std::vector<tenant_rule>& tenants,
                int synchronous_replicas = 0) -> std::string;

} // namespace review
