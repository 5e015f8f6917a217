#pragma once

#include <citronlug/desired_state.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronlug {

/// What one instance has learned about one backend server from the outcomes of its own statements. Latencies
/// are ratios to the mean of the statement's route, so that routes of different length can be mixed.
class learned_limit {
public:
    learned_limit(std::uint32_t slots, std::int64_t started_ms);

    /// `in_flight`: statements of this instance at the server when it answered, including this one.
    auto on_answer(double latency_ratio, std::uint32_t in_flight, time_point now) -> void;
    /// The server's queue was full.
    auto on_rejected() -> void;
    /// The statement failed, or was not answered in time.
    auto on_failure(time_point now) -> void;

    /// Statements of this instance that the server takes without a marked rise of its latency; at least 1, so
    /// that there are samples.
    [[nodiscard]] auto limit() const -> double { return limit_; }
    /// Expected latency ratio at the present load. A value without recent samples decays to the unloaded one.
    [[nodiscard]] auto latency_ratio(time_point now) const -> double;
    /// Part of its share that the server gets after failures; 1: all of it.
    [[nodiscard]] auto trust(time_point now) const -> double;
    [[nodiscard]] auto started_ms() const -> std::int64_t { return started_ms_; }

private:
    std::int64_t started_ms_;
    double max_limit_;
    double limit_;
    double ratio_ = 1;
    double unloaded_ratio_ = 1;
    double trust_ = 1;
    std::uint32_t samples_ = 0;
    time_point sampled_at_;
    time_point failed_at_;
};

/// A server that can run a statement.
struct placement_option {
    const backend_server* server = nullptr;
    std::uint32_t in_flight = 0; ///< statements of this instance
    bool has_idle = false;       ///< a connection is at hand
    duration extra{};            ///< distance, and penalty of a primary
};

/// Chooses servers for statements by what this instance has learned about them. Not thread-safe.
class server_choice {
public:
    /// `seed` differs between instances; it makes them draw different servers.
    explicit server_choice(std::uint64_t seed);

    /// Forgets servers that left or were restarted.
    auto set_servers(const std::vector<backend_server>& servers) -> void;

    /// `route` names statements with similar service times.
    auto on_answer(const server_id& id, const std::string& route, duration latency, std::uint32_t in_flight,
                   time_point now) -> void;
    auto on_rejected(const server_id& id) -> void;
    auto on_failure(const server_id& id, time_point now) -> void;

    /// Servers in order of preference. A first one without an idle connection is worth opening a connection
    /// even if another server has an idle one. Equal arguments give an equal order.
    [[nodiscard]] auto order(std::uint64_t statement, const std::string& route,
                             std::vector<placement_option> options, time_point now) const
        -> std::vector<const backend_server*>;

    struct server_view {
        server_id id;
        double limit = 0;
        duration latency{}; ///< expected, for a statement of mean length
    };
    [[nodiscard]] auto servers(time_point now) const -> std::vector<server_view>;
    /// Servers whose limit changed by a quarter since they were returned last, each at most once per second.
    [[nodiscard]] auto changed_limits(time_point now) -> std::vector<server_view>;

private:
    struct reported {
        double limit = 0;
        time_point at;
    };
    struct route_mean {
        duration mean{};
        std::uint32_t samples = 0;
    };
    [[nodiscard]] auto mean_of(const std::string& route) const -> duration;

    std::uint64_t seed_;
    std::map<server_id, learned_limit> servers_;
    std::map<server_id, reported> reported_;
    std::map<std::string, route_mean> routes_;
    duration mean_;
};

/// True if a statement should open a connection to the first server, or wait for it, although another server
/// has an idle connection. `opening_for`: since when a connection is being opened for it; 0 if none is.
[[nodiscard]] auto may_wait_for_better(bool learned, const std::vector<const backend_server*>& ordered,
                                       const std::function<bool(const backend_server*)>& has_idle,
                                       duration opening_for) -> bool;

} // namespace citronlug
