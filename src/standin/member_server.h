#pragma once

#include "event_queue.h"
#include "session.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace citronlug::standin {

struct member_settings {
    int slots = 5;            ///< statements at once
    int max_connections = 40; ///< the next one gets 53300
    duration connect_delay = 12ms;
    duration statement_time = 400us;
    duration lock_wait = 1s; ///< then 55P03
    double spread = 0.25;    ///< of connect delay and statement time, as a share
};

/// Received text of all members: what a search for callers' keys looks at. Bounded; older text is dropped.
class received_text {
public:
    auto add(std::string_view text) -> void;
    auto add_startup(std::size_t member, const std::map<std::string, std::string>& parameters) -> void;

    struct startup {
        std::size_t member = 0;
        std::map<std::string, std::string> parameters;
    };
    [[nodiscard]] auto startups() const -> const std::deque<startup>& { return startups_; }
    /// Texts that contain the word, oldest first, at most `most`.
    [[nodiscard]] auto search(std::string_view word, std::size_t most) const -> std::vector<std::string>;
    /// Texts since the start, and those of them that look like a caller's key ("ck_").
    [[nodiscard]] auto texts() const -> std::uint64_t { return texts_; }
    [[nodiscard]] auto key_like() const -> std::uint64_t { return key_like_; }

private:
    std::string text_; ///< zero-terminated texts
    std::deque<startup> startups_;
    std::uint64_t texts_ = 0;
    std::uint64_t key_like_ = 0;
};

/// What the members of a process share.
struct group_context {
    replication_group group;
    event_queue events;
    received_text received;
    std::mt19937_64 random;
    std::function<void()> replicate; ///< runs due replication and plans the next run
};

/// Counters of one member.
struct member_counters {
    std::uint64_t statements = 0;
    std::uint64_t connections = 0; ///< accepted since the start
    std::uint64_t refused = 0;     ///< over the connection limit
    std::uint64_t commits = 0;
    std::uint64_t lost_answers = 0;
};

/// One member: its port, connections, slots and faults.
class member_server final : public session_host {
public:
    member_server(group_context& shared, std::size_t number, member_settings settings);
    ~member_server() override;
    member_server(const member_server&) = delete;
    auto operator=(const member_server&) -> member_server& = delete;

    /// Listens on the loopback address; port 0 lets the system choose. Returns success.
    [[nodiscard]] auto listen(std::uint16_t port) -> bool;
    [[nodiscard]] auto port() const -> std::uint16_t { return port_; }
    [[nodiscard]] auto open_connections() const -> std::size_t;
    [[nodiscard]] auto counters() const -> const member_counters& { return counters_; }
    /// Names of the faults in force.
    [[nodiscard]] auto faults() const -> std::vector<std::string>;

    auto crash() -> void;
    [[nodiscard]] auto restart() -> bool;
    /// Open connections stop answering for good.
    auto silence() -> void;
    auto freeze() -> void;
    auto thaw() -> void;
    auto partition(bool cut_off) -> void;
    /// Cuts off the clients with these application names; none given means all.
    auto isolate(bool all, std::set<std::string> clients) -> void;
    auto heal() -> void; ///< ends partition, isolation and delays
    auto set_lag(duration lag) -> void;
    auto set_delay(duration delay) -> void { delay_ = delay; }
    auto lose_answers(std::uint64_t writes) -> void { answers_to_lose_ = writes; }
    /// The next answers come late.
    auto late_answers(std::uint64_t answers, duration delay) -> void;

    [[nodiscard]] auto now() const -> time_point override { return now_on_machine(); }
    [[nodiscard]] auto group() -> replication_group& override { return shared_.group; }
    [[nodiscard]] auto member_number() const -> std::size_t override { return number_; }
    [[nodiscard]] auto serve(std::uint64_t session, duration extra) -> bool override;
    auto wait_for_lock(std::uint64_t session) -> void override;
    auto locks_released() -> void override;
    [[nodiscard]] auto committed() -> bool override;
    auto roles_changed() -> void override { shared_.replicate(); }
    auto record(std::string_view text) -> void override { shared_.received.add(text); }

private:
    struct connection {
        QTcpSocket* socket = nullptr; ///< null after the client has gone
        std::unique_ptr<session> talk;
        bool silent = false;
        std::string held; ///< output during isolation
        time_point last_output;
        std::uint64_t answers = 0;
    };

    auto accept() -> void;
    auto advance(std::uint64_t id) -> void;
    auto begin_session(std::uint64_t id, connection& it) -> void;
    auto deliver(std::uint64_t id, connection& it) -> void;
    auto write(std::uint64_t id, const std::string& bytes) -> void;
    auto erase(std::uint64_t id) -> void;
    auto client_gone(std::uint64_t id) -> void;
    [[nodiscard]] auto is_isolated(const connection& it) const -> bool;
    /// Runs work at a time, or after the thaw if the member is frozen then. A crash cancels it.
    auto at(time_point due, std::function<void()> work) -> void;
    auto start_service(std::uint64_t id, duration cost) -> void;
    auto end_service(std::uint64_t id) -> void;
    [[nodiscard]] auto spread(duration mean) -> duration;

    group_context& shared_;
    std::size_t number_;
    member_settings settings_;
    std::unique_ptr<QTcpServer> server_;
    std::uint16_t port_ = 0;
    std::unordered_map<std::uint64_t, connection> connections_;
    std::uint64_t run_ = 1; ///< grows with each crash
    int serving_ = 0;
    std::deque<std::pair<std::uint64_t, duration>> waiting_; ///< statements over the slots
    std::vector<std::uint64_t> lock_waiters_;
    bool retry_planned_ = false;
    bool frozen_ = false;
    bool isolated_ = false;
    std::set<std::string> isolated_clients_; ///< empty: all
    std::vector<std::function<void()>> thaw_work_;
    duration delay_{};
    duration late_delay_{};
    std::uint64_t late_answers_ = 0;
    std::uint64_t answers_to_lose_ = 0;
    member_counters counters_;
};

} // namespace citronlug::standin
