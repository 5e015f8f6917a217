#pragma once

#include "group.h"
#include "wire.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronlug::standin {

/// What a session needs from its member.
class session_host {
public:
    session_host() = default;
    session_host(const session_host&) = delete;
    auto operator=(const session_host&) -> session_host& = delete;
    virtual ~session_host() = default;

    [[nodiscard]] virtual auto now() const -> time_point = 0;
    [[nodiscard]] virtual auto group() -> replication_group& = 0;
    [[nodiscard]] virtual auto member_number() const -> std::size_t = 0;
    /// Occupies a slot for the service time plus `extra`. True: done already; else the host calls
    /// `on_served`.
    [[nodiscard]] virtual auto serve(std::uint64_t session, duration extra) -> bool = 0;
    /// The host calls `on_lock_released` after a release, or `on_lock_timeout`.
    virtual auto wait_for_lock(std::uint64_t session) -> void = 0;
    virtual auto locks_released() -> void = 0;
    /// A write was committed. True: the connection must be dropped without an answer.
    [[nodiscard]] virtual auto committed() -> bool = 0;
    /// Roles or sources of replication have changed.
    virtual auto roles_changed() -> void = 0;
    /// Keeps received text for later search.
    virtual auto record(std::string_view text) -> void = 0;
};

enum class session_state {
    startup, ///< no startup packet yet
    opening, ///< waits until the host calls `open`
    ready,   ///< works on messages
    serving, ///< waits for slot and service time
    locked,  ///< waits for a row lock
    closed,
};

/// Protocol state of one connection. No I/O: the owner feeds bytes, calls `run` after each event and sends
/// the output.
class session {
public:
    session(std::uint64_t number, session_host& host);
    session(const session&) = delete;
    auto operator=(const session&) -> session& = delete;
    ~session(); ///< rolls back

    auto receive(std::string_view bytes) -> void { reader_.append(bytes); }
    /// Works until it needs input, service, or a lock.
    auto run() -> void;
    auto open() -> void;
    /// Sends a fatal error and closes.
    auto refuse(std::string_view sqlstate, std::string_view message) -> void;
    auto on_served() -> void;
    auto on_lock_released() -> void;
    auto on_lock_timeout() -> void;

    [[nodiscard]] auto take_output() -> std::string { return out_.take(); }
    [[nodiscard]] auto state() const -> session_state { return state_; }
    /// True if the connection must be reset instead of answered.
    [[nodiscard]] auto dropped() const -> bool { return dropped_; }
    [[nodiscard]] auto parameters() const -> const std::map<std::string, std::string>& { return startup_; }
    [[nodiscard]] auto application_name() const -> std::string;
    [[nodiscard]] auto statements() const -> std::uint64_t { return statements_; }
    /// Number of complete answers to statements on tables so far. Answers to status questions do not count,
    /// since a fault for the next answer would meet them by chance.
    [[nodiscard]] auto answers() const -> std::uint64_t { return answers_; }

private:
    using parsed = std::shared_ptr<const sql_statement>;
    struct portal {
        parsed statement;
        std::vector<sql_value> parameters;
    };
    struct running_statement {
        portal work;
        bool simple = false; ///< of the simple query protocol
        bool served = false;
    };

    auto read_startup() -> void;
    auto handle(const frontend_message& message) -> void;
    auto handle_extended(const frontend_message& message) -> void;
    auto parse(std::string_view body) -> void;
    auto bind(std::string_view body) -> void;
    auto describe(std::string_view body) -> void;
    auto close_object(std::string_view body) -> void;
    auto describe_columns(const sql_statement& statement) -> void;
    auto sync() -> void;
    auto next_simple() -> void;
    auto start(portal work, bool simple) -> void;
    auto continue_running() -> void;
    [[nodiscard]] auto perform(const portal& work) -> execution;
    [[nodiscard]] auto perform_function(const portal& work) -> execution;
    [[nodiscard]] auto perform_table(const portal& work) -> execution;
    [[nodiscard]] auto end_transaction(bool commit) -> execution;
    [[nodiscard]] auto commit_work() -> std::optional<sql_error>;
    auto roll_back() -> void;
    auto fail(const sql_error& error) -> void;
    [[nodiscard]] auto transaction_status() const -> transaction_state;

    std::uint64_t number_;
    session_host& host_;
    session_state state_ = session_state::startup;
    frontend_reader reader_;
    backend_writer out_;
    std::map<std::string, std::string> startup_;
    std::map<std::string, parsed> prepared_;
    std::map<std::string, portal> portals_;
    std::deque<std::string> simple_; ///< statements of a simple query that have not started
    bool in_simple_ = false;
    std::optional<running_statement> running_;
    transaction work_;
    bool explicit_ = false; ///< inside BEGIN
    bool failed_ = false;   ///< the explicit transaction had an error
    bool skipping_ = false; ///< until Sync, after an error
    bool dropped_ = false;
    std::optional<std::pair<log_position, term_number>> last_commit_;
    std::uint64_t statements_ = 0;
    std::uint64_t answers_ = 0;
    bool used_table_ = false; ///< since the last complete answer
};

} // namespace citronlug::standin
