#pragma once

#include <citronlug/coordination.h>
#include <citronlug/desired_state.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace citronlug {

/// Lifetime of a token of a cold server, counted from when the instance sent the request for it.
inline constexpr duration cold_token_lifetime = 250ms;

/// Which servers are cold after a start, and how many requests per second all instances together may send to
/// them. Both the instances and the coordinator use it. Not thread-safe.
class cold_servers {
public:
    /// Largest number of requests per second; empty: unlimited.
    using limit = std::optional<double>;
    struct change {
        server_id server;
        bool begins = false;
        duration remaining{}; ///< of the time for which the server is cold, when it begins
    };

    auto set_rules(const desired_state& rules) -> void;
    auto set_servers(time_point now, const std::vector<backend_server>& servers) -> void;
    /// A connection to the server broke or was refused, so the server may have restarted.
    auto on_connection_lost(time_point now, const server_id& id) -> void;
    /// The coordinator's answer to a report that was sent at `asked_at` names the server as cold.
    auto on_announced(time_point asked_at, const server_id& id) -> void;
    /// At the coordinator: many instances asked for tokens of the server. If it is not known as cold here, it
    /// may have restarted.
    auto on_wanted_by_many(time_point now, const server_id& id) -> void;

    /// The limit that holds at this instance.
    [[nodiscard]] auto limit_of(time_point now, const server_id& id) const -> limit;
    /// The limit that holds for all instances and that a coordinator announces. It leaves out announcements,
    /// since a coordinator that used its own would keep a server cold for ever, and connections that this
    /// instance lost, since only its own network may be at fault.
    [[nodiscard]] auto own_limit_of(time_point now, const server_id& id) const -> limit;
    /// `ColdPerS` of the server's group; empty if the group has no limit or the server is not known.
    [[nodiscard]] auto configured_limit_of(const server_id& id) const -> limit;
    /// True if the cold period is over and the limit grows.
    [[nodiscard]] auto is_recovering(time_point now, const server_id& id) const -> bool;
    /// The servers with an `own_limit_of`.
    [[nodiscard]] auto limited(time_point now) const -> std::vector<server_id>;
    /// Servers whose limit began or ended since the last call.
    [[nodiscard]] auto take_changes(time_point now) -> std::vector<change>;

private:
    struct entry {
        backend_server server;
        std::optional<time_point> cold_until; ///< by the server's entry; empty: it was not cold
        time_point suspect_until;             ///< connections of this instance were lost
        time_point widely_suspect_until;      ///< many instances asked for tokens
        time_point announced_until;           ///< the coordinator names it as cold
        time_point trusted_until;             ///< it does not become widely suspect before
        bool was_limited = false;             ///< as last returned by `take_changes`
    };

    [[nodiscard]] auto find(const server_id& id) const -> const entry*;
    [[nodiscard]] auto limit_of(time_point now, const entry& it) const -> limit;

    std::map<group_id, double> limits_; ///< of the groups that have one
    std::map<server_id, entry> entries_;
};

/// Instance's side: the tokens that this instance has for cold servers, and the work that waits for them.
/// Each message to a cold server takes one token. Tokens come only from the coordinator, so without it a cold
/// server receives nothing. Not thread-safe.
class cold_start_gate {
public:
    struct counts {
        std::uint64_t requested = 0;
        std::uint64_t granted = 0;
        std::uint64_t lapsed = 0;
    };

    [[nodiscard]] auto servers() -> cold_servers& { return servers_; }
    [[nodiscard]] auto servers() const -> const cold_servers& { return servers_; }

    [[nodiscard]] auto is_limited(time_point now, const server_id& id) const -> bool {
        return servers_.limit_of(now, id).has_value();
    }
    /// Spends one token if the server is cold. False: no message may be sent now.
    [[nodiscard]] auto pass(time_point now, const server_id& id) -> bool;
    /// True if the work may send a message to the server now: the server is not cold, or there are tokens for
    /// this work and all waiting work that is more urgent.
    [[nodiscard]] auto may_pass(time_point now, const server_id& id, std::uint64_t work, time_point deadline)
        -> bool;
    /// The work needs this number of tokens. Applies for a short time; repeat it while the work waits. True
    /// if the work was not waiting, so that a report with a request for tokens should be sent now.
    auto wait(time_point now, const server_id& id, std::uint64_t work, time_point deadline,
              std::uint32_t tokens) -> bool;
    /// The work no longer waits for the server.
    auto stop_waiting(const server_id& id, std::uint64_t work, time_point deadline) -> void;
    /// True if the tokens for the work ahead are not expected to arrive by the deadline of this work.
    [[nodiscard]] auto is_hopeless(time_point now, const server_id& id, std::uint64_t work,
                                   time_point deadline) const -> bool;

    [[nodiscard]] auto take_requests(time_point now) -> std::vector<cold_request>;
    auto on_grants(time_point now, time_point asked_at, const std::vector<cold_grant>& grants) -> void;
    /// Since the last call.
    [[nodiscard]] auto take_counts() -> counts;

private:
    struct waiting_work {
        std::uint32_t tokens = 0;
        time_point repeated_at;
    };
    struct batch {
        std::uint32_t tokens = 0;
        time_point until;
    };
    struct server_tokens {
        std::deque<batch> batches; ///< that expire first come first
        /// By queue deadline and number of the work.
        std::map<std::pair<time_point, std::uint64_t>, waiting_work> waiting;
        std::optional<time_point> asking_since; ///< without a pause
        std::uint64_t granted_since = 0;        ///< tokens since then
    };

    auto expire(time_point now, server_tokens& it) -> void;
    [[nodiscard]] static auto available(const server_tokens& it) -> std::uint32_t;

    cold_servers servers_;
    std::map<server_id, server_tokens> token_sets_;
    counts counts_;
};

/// Coordinator's side: hands out the tokens of cold servers. All tokens of a server that may be in use within
/// one second are at most its limit. Instances get them in the order in which they began to ask. Not
/// thread-safe.
class cold_token_allocator {
public:
    /// This instance begins to coordinate with this fencing token. The previous coordinator may have handed
    /// out all tokens until now, so none are handed out for one second and one token lifetime. With the same
    /// fencing token, nobody else handed out any in between, and the state is kept.
    auto begin_term(time_point now, std::uint64_t fencing_token) -> void;
    /// Answers the requests of one report. The answer also names all servers that are cold, without tokens.
    [[nodiscard]] auto take(time_point now, const instance_id& instance,
                            const std::vector<cold_request>& requests, cold_servers& servers)
        -> std::vector<cold_grant>;
    /// Takes tokens for messages of the coordinator itself, which may use a quarter of them. False: it must
    /// not send them now.
    [[nodiscard]] auto take_own(time_point now, const server_id& id, std::uint32_t tokens,
                                const cold_servers& servers) -> bool;

private:
    struct grant {
        time_point at;
        std::uint32_t tokens = 0;
        bool own = false;
    };
    struct waiting_instance {
        instance_id instance;
        std::uint32_t wanted = 0;
        time_point asked_at;
    };
    struct entry {
        std::deque<grant> grants;
        std::vector<waiting_instance> line; ///< in the order in which they began to ask
        std::map<instance_id, time_point> asked_at;
    };

    [[nodiscard]] auto grant_to(time_point now, entry& it, double limit, const instance_id& instance,
                                std::uint32_t wanted) -> std::uint32_t;
    /// True if at least half of the instances that reported recently also asked for tokens of the server.
    [[nodiscard]] auto is_wanted_by_many(const entry& it) const -> bool;
    [[nodiscard]] auto left(time_point now, entry& it, double limit) const -> std::uint32_t;

    std::map<server_id, entry> entries_;
    std::map<instance_id, time_point> reported_at_; ///< of all instances
    std::uint64_t fencing_token_ = 0;
    time_point term_began_at_;
};

} // namespace citronlug
