#pragma once

#include <citronlug/database_holder.h>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace citronlug {

enum class connection_state { opening, idle, busy, pinned };

template <>
struct name_table<connection_state> {
    static constexpr std::array<std::string_view, 4> names{"opening", "idle", "busy", "pinned"};
};

/// One connection to a member. `work` identifies the request whose pipeline runs on it; 0: a keep-alive
/// statement.
struct pooled_connection {
    connection_number number = 0;
    member_id member;
    connection_state state = connection_state::opening;
    time_point state_since; ///< start of the current state
    time_point verified_at; ///< when it was opened or last answered
    std::uint64_t sequence = 0;
    std::uint64_t work = 0;
    bool pinned = false; ///< belongs to an open transaction
};

/// Connections and slots of all members. A connection runs one pipeline at a time; a running pipeline
/// occupies one slot of its member. Not thread-safe.
class connection_table {
public:
    explicit connection_table(std::vector<holder_action>& actions);

    auto set_limits(int slots, int connections) -> void;
    /// Members to keep connections to. Connections to other members are closed once they are idle.
    auto set_desired_members(std::vector<member_id> members) -> void;

    /// Opens connections up to the minimum, sends keep-alive statements, and closes surplus connections and
    /// those that timed out.
    auto on_timer(time_point now) -> void;
    /// Opens a connection for a request that found a free slot but no idle connection.
    auto request_connection(time_point now, const member_id& member) -> void;
    auto on_connected(time_point now, connection_number number, bool success) -> void;

    [[nodiscard]] auto has_slot(time_point now, const member_id& member) const -> bool;
    [[nodiscard]] auto has_idle(const member_id& member) const -> bool;
    [[nodiscard]] auto is_connected(const member_id& member) const -> bool;
    [[nodiscard]] auto in_flight(time_point now, const member_id& member) const -> int;
    [[nodiscard]] auto find(connection_number number) -> pooled_connection*;
    /// Sends a pipeline on the idle connection that was used last, and returns it.
    auto start(time_point now, const member_id& member, std::uint64_t work, std::vector<statement> statements)
        -> const pooled_connection&;
    /// Sends a pipeline on the connection of a transaction.
    auto continue_pinned(time_point now, connection_number number, std::uint64_t work,
                         std::vector<statement> statements) -> const pooled_connection&;
    /// The pipeline has finished.
    auto finish(time_point now, connection_number number) -> void;
    /// Reserves an idle connection for a transaction. It is closed, not reused, when the transaction ends.
    auto pin(time_point now, connection_number number) -> void;
    /// Closes a connection. If its statement may still run, its slot stays occupied for a while.
    auto close(time_point now, connection_number number) -> void;
    /// The connection was lost.
    auto on_lost(time_point now, connection_number number) -> void;

    [[nodiscard]] auto connections_to(const member_id& member) const -> std::vector<connection_number>;
    [[nodiscard]] auto size() const -> std::size_t { return connections_.size(); }
    [[nodiscard]] auto pinned_limit() const -> int;
    [[nodiscard]] auto pinned() const -> int;

private:
    struct member_pool {
        std::vector<connection_number> idle; ///< most recently used last
        int opening = 0;
        int busy = 0;
        int pinned = 0;
        int total = 0;
        time_point open_after; ///< no attempt before this time, after a failed one
        duration pause{};
        std::vector<time_point> abandoned_until; ///< closed during a statement: when each slot becomes free
    };

    auto open(time_point now, const member_id& member) -> void;
    auto send(time_point now, pooled_connection& it, std::uint64_t work, std::vector<statement> statements)
        -> void;
    auto remove(time_point now, connection_number number) -> void;
    [[nodiscard]] auto is_desired(const member_id& member) const -> bool;
    auto check_idle(time_point now, std::vector<connection_number>& closing) -> void;

    std::vector<holder_action>& actions_;
    std::unordered_map<connection_number, pooled_connection> connections_;
    std::map<member_id, member_pool> pools_;
    std::vector<member_id> desired_;
    int slots_ = 1;
    int limit_ = 1;
    std::uint64_t next_sequence_ = 1;
};

} // namespace citronlug
