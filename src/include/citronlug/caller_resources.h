#pragma once

#include <citronlug/session_protocol.h>
#include <citronlug/session_settings.h>
#include <citronlug/types.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Limits on what callers may take from this process: connections, descriptors and memory.
namespace citronlug {

/// Descriptors that are reserved for files and pipes.
inline constexpr auto reserved_file_descriptors = 200;
/// Descriptors that are reserved for servers, the store and other instances.
inline constexpr auto reserved_link_descriptors = 256;
/// Budget for callers if the memory of the machine is not known.
inline constexpr auto default_caller_memory = std::uint64_t{64} * 1024 * 1024;
/// Part of the machine's memory for callers. The rest covers the program, answers that are being received and
/// the allocator.
inline constexpr auto caller_memory_divisor = std::uint64_t{4};
/// What each connection may hold without taking from the shared memory.
inline constexpr auto free_bytes_per_caller = std::size_t{4096};
/// A connection from one address may not be refused for its address below this number, for small values of
/// `callers`.
inline constexpr auto min_callers_per_address = 64;
/// A connection without an accepted session is closed after this time.
inline constexpr auto start_timeout = duration{5s};
/// A connection that makes no progress for this time, while others wait for memory, is closed.
inline constexpr auto memory_stall_timeout = duration{5s};

struct caller_resource_limits {
    std::size_t connections = 0;
    std::size_t per_address = 0;
    std::size_t unfinished = 0; ///< connections without an accepted session
    std::uint64_t memory = 0;   ///< bytes
};

[[nodiscard]] auto make_caller_limits(const session_settings& settings) -> caller_resource_limits;

/// Why a caller's connection is refused or closed.
enum class caller_refusal {
    connections, ///< all connections are in use
    address,     ///< too many connections from this address
    unfinished,  ///< too many connections without a session
    no_start,    ///< no session within the time for it
    memory,      ///< no memory is left, or no progress while others wait for memory
    length,      ///< a message is longer than the protocol permits
    peer,        ///< on the RPC port: not authenticated, or a message that is too large
};

template <>
struct name_table<caller_refusal> {
    static constexpr std::array<std::string_view, 7> names{"connections", "address", "unfinished", "no-start",
                                                           "memory",      "length",  "peer"};
};

/// Decides which connections of callers are accepted, and which are closed because they did not start a
/// session.
class caller_admission {
public:
    explicit caller_admission(caller_resource_limits limits);

    struct decision {
        std::optional<caller_refusal> refused;
        std::optional<caller_id> close; ///< an unfinished connection that makes room for the new one
    };
    /// `closing`: connections that are no longer known here but are still open.
    [[nodiscard]] auto on_connected(time_point now, caller_id id, const std::string& address,
                                    std::size_t closing) -> decision;
    auto on_started(caller_id id) -> void;
    auto on_closed(caller_id id) -> void;
    /// Connections without a session that have reached the time limit.
    [[nodiscard]] auto expired(time_point now) const -> std::vector<caller_id>;
    /// True at most once per second for each reason.
    [[nodiscard]] auto may_log(time_point now, caller_refusal why) -> bool;

private:
    caller_resource_limits limits_;
    std::map<caller_id, std::string> addresses_;
    std::map<std::string, std::size_t> per_address_;
    std::map<caller_id, time_point> unfinished_; ///< in the order of arrival, as ids increase
    std::map<caller_refusal, time_point> logged_at_;
};

/// What a connection of a caller holds memory for.
enum class memory_use {
    input,      ///< received and not yet processed
    statements, ///< the statement in progress
    session,    ///< values and prepared statements
    answers,    ///< not yet sent
};

template <>
struct name_table<memory_use> {
    static constexpr std::array<std::string_view, 4> names{"input", "statements", "session", "answers"};
};

/// Divides a budget of memory among connections. Each may hold `free_bytes_per_caller`; more is taken from
/// the shared part. A connection may hold as much of the shared part as is free (a dynamic threshold), so
/// that the largest connections stop first, some memory always remains for smaller ones, and a single one may
/// use half of it.
class memory_budget {
public:
    explicit memory_budget(std::uint64_t total);

    /// Records what a connection holds.
    auto set(time_point now, caller_id id, memory_use use, std::size_t bytes) -> void;
    /// True if the connection may hold `more` bytes. Otherwise it waits until `resumable` returns it.
    [[nodiscard]] auto request(time_point now, caller_id id, std::size_t more) -> bool;
    auto remove(caller_id id) -> void;
    /// Connections whose last request can be repeated, smallest demand first. They no longer count as
    /// waiting.
    [[nodiscard]] auto resumable() -> std::vector<caller_id>;
    /// The connection to be closed next because others wait for memory: one without progress for
    /// `memory_stall_timeout`, the largest demand first, among equals the newest.
    [[nodiscard]] auto next_to_close(time_point now) const -> std::optional<caller_id>;
    /// The connection to be closed next because more than the budget is held: an answer has to be taken from
    /// its server. It is the one that has sent nothing for longest; among those of the same second the one
    /// with the largest unsent answer.
    [[nodiscard]] auto over_budget(time_point now) const -> std::optional<caller_id>;

    [[nodiscard]] auto held(memory_use use) const -> std::uint64_t;
    /// Bytes taken from the shared part.
    [[nodiscard]] auto shared() const -> std::uint64_t { return shared_; }

private:
    struct holder {
        std::array<std::size_t, 4> bytes{};
        std::size_t asked = 0; ///< bytes that it waits for
        time_point progress_at;

        [[nodiscard]] auto total() const -> std::size_t;
        [[nodiscard]] auto of(memory_use use) const -> std::size_t {
            return bytes.at(static_cast<std::size_t>(use));
        }
    };
    [[nodiscard]] auto fits(const holder& it, std::size_t more) const -> bool;

    std::uint64_t total_;
    std::uint64_t shared_ = 0;
    std::array<std::uint64_t, 4> held_{};
    std::map<caller_id, holder> holders_;
    std::size_t waiting_ = 0;
};

} // namespace citronlug
