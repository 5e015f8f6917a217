#include <citronlug/server_pool.h>

#include <algorithm>

namespace citronlug {

namespace {

/// Connections of a server that are left for status probes and for starting instances.
constexpr auto reserved_connections = std::uint32_t{2};
/// Part of a server's connections that the fleet keeps open in steady state. If an instance loses power, the
/// server keeps its connections for seconds; the rest lets the restarted instance work meanwhile.
constexpr auto steady_fraction = 0.5;
/// An instance may open up to this many times its share while the server accepts connections, because callers
/// are spread unevenly.
constexpr auto max_share_factor = std::uint32_t{4};
/// Expected time to open a connection: the servers' stated cost of a handshake and a round trip.
constexpr auto connect_time = duration{15ms};
/// Added latency of two network crossings between failure domains, including transmission time.
constexpr auto cross_domain_latency = duration{4ms};
/// Weight of a new latency in the moving average.
constexpr auto latency_weight = 0.1;
/// Pause after the first failure of a server, doubled with each consecutive one.
constexpr auto min_failure_pause = duration{50ms};
constexpr auto max_failure_pause = duration{1s};
/// Pause after a server refused a statement because its queue was full, doubled with each consecutive
/// refusal.
constexpr auto min_queue_full_pause = duration{20ms};
constexpr auto max_queue_full_pause = duration{160ms};
/// For this time after such a pause, an instance that has a connection to the server opens no further one.
/// Opening takes a slot of the server for 12 ms, which it needs for statements.
constexpr auto queue_full_cooldown = duration{500ms};
/// Time for which a replica that lacked a position is not used for reads.
constexpr auto lagging_pause = duration{120ms};
/// After a server reached its connection limit, no connection above the share is opened for this time.
constexpr auto growth_pause = duration{2s};
/// After a server reached its connection limit, no connection at all is opened for this time. It is short, a
/// quarter of the shortest answer time that callers expect, since other instances close idle connections all
/// the time.
constexpr auto opening_pause = duration{25ms};
/// An idle connection is evicted for another client account only after this time. Otherwise a newly opened
/// connection could be closed for the next queued statement before the statement that it was opened for can
/// use it.
constexpr auto min_idle_before_eviction = duration{10ms};
/// Idle time-out of connections above the share.
constexpr auto surplus_idle_timeout = duration{300ms};
/// For a share of less than one connection, the idle time-out of the single connection is that part of this
/// time.
constexpr auto scarce_idle_period = duration{1s};

} // namespace

auto connection_budget_for(std::uint32_t server_connections, std::uint32_t instances) -> connection_budget {
    const auto usable =
        server_connections > reserved_connections ? server_connections - reserved_connections : 1U;
    const auto part = usable * steady_fraction / std::max(1U, instances);
    const auto share = std::max(1U, static_cast<std::uint32_t>(part));
    auto budget = connection_budget{share, std::max(share, std::min(usable, share * max_share_factor)), {}};
    if (part < 1) {
        budget.idle_timeout = std::chrono::duration_cast<duration>(scarce_idle_period * part);
    }
    return budget;
}

server_pool::server_pool(failure_domain own_domain)
    : own_domain_{std::move(own_domain)} {}

auto server_pool::set_servers(time_point /*now*/, const std::vector<backend_server>& servers)
    -> std::vector<connection_id> {
    auto next = std::map<server_id, backend_server>{};
    for (const auto& it : servers) {
        next.emplace(it.id, it);
    }
    auto obsolete = std::vector<connection_id>{};
    for (const auto& [id, it] : connections_) {
        const auto listed = next.find(it.server.id);
        const auto same = listed != next.end() && listed->second.address == it.server.address &&
                          listed->second.started_ms == it.server.started_ms;
        // A busy connection is closed when its work ends: a server that left the list may still answer.
        if (!same && it.phase != connection_phase::busy) {
            obsolete.push_back(id);
        }
    }
    for (const auto& [id, it] : next) {
        const auto listed = servers_.find(id);
        if (listed == servers_.end() || listed->second.started_ms != it.started_ms) {
            health_.erase(id);
        }
    }
    servers_ = std::move(next);
    std::erase_if(health_, [this](const auto& it) { return !servers_.contains(it.first); });
    return obsolete;
}

auto server_pool::set_budget(const group_id& group, connection_budget budget) -> void {
    budgets_[group] = budget;
}

auto server_pool::server(const server_id& id) const -> const backend_server* {
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : &it->second;
}

auto server_pool::health(const server_id& id) -> server_health& {
    return health_[id];
}

auto server_pool::servers_of(const group_id& group) const -> std::vector<const backend_server*> {
    auto found = std::vector<const backend_server*>{};
    for (const auto& [id, it] : servers_) {
        if (it.group == group) {
            found.push_back(&it);
        }
    }
    return found;
}

auto server_pool::find(connection_id id) -> server_connection* {
    const auto it = connections_.find(id);
    return it == connections_.end() ? nullptr : &it->second;
}

auto server_pool::usage_of(const server_id& id) const -> usage {
    auto sum = usage{};
    for (const auto& [number, it] : connections_) {
        if (it.server.id == id) {
            sum.opening += it.phase == connection_phase::opening ? 1 : 0;
            sum.idle += it.phase == connection_phase::idle ? 1 : 0;
            sum.busy += it.phase == connection_phase::busy ? 1 : 0;
        }
    }
    return sum;
}

auto server_pool::busy(const server_id& id) const -> std::uint32_t {
    return usage_of(id).busy;
}

auto server_pool::limit_of(const backend_server& server, time_point now) -> std::uint32_t {
    const auto it = budgets_.find(server.group);
    const auto budget = it == budgets_.end() ? connection_budget{} : it->second;
    // With less than one connection per instance, connections become free whenever other instances close idle
    // ones, so a refused connection does not block growth.
    return budget.idle_timeout || health(server.id).growth_blocked_until <= now ? budget.max_connections
                                                                                : budget.share;
}

auto server_pool::estimate(const backend_server& server, const account_id& account, time_point now)
    -> std::optional<duration> {
    const auto& status = health(server.id);
    if (server.state != server_state::ready || status.unusable_until > now || status.queue_full_until > now) {
        return std::nullopt;
    }
    const auto use = usage_of(server.id);
    const auto queued = 1.0 + static_cast<double>(use.busy) / std::max(1U, server.slots);
    auto sum = std::chrono::duration_cast<duration>(status.average_latency * queued);
    if (!has_idle(server.id, account)) {
        sum += use.total() < limit_of(server, now) || use.idle > 0 ? connect_time
                                                                   : status.average_latency + connect_time;
    }
    return sum + distance_to(server);
}

auto server_pool::distance_to(const backend_server& server) const -> duration {
    return server.domain == own_domain_ ? duration{} : cross_domain_latency;
}

auto server_pool::has_idle(const server_id& server, const account_id& account) const -> bool {
    return std::any_of(connections_.begin(), connections_.end(), [&](const auto& it) {
        return it.second.server.id == server && it.second.account == account &&
               it.second.phase == connection_phase::idle;
    });
}

auto server_pool::acquire(const server_id& server, const account_id& account,
                          const std::map<std::string, std::string>& values, time_point now) -> connection_id {
    auto* best = static_cast<server_connection*>(nullptr);
    for (auto& [id, it] : connections_) {
        if (it.server.id != server || it.account != account || it.phase != connection_phase::idle) {
            continue;
        }
        const auto matches = it.values == values;
        const auto best_matches = best != nullptr && best->values == values;
        // Among equals the most recently used one, so that the others become idle long enough to be closed.
        if (best == nullptr || (matches && !best_matches) ||
            (matches == best_matches && it.used_at > best->used_at)) {
            best = &it;
        }
    }
    if (best == nullptr) {
        return 0;
    }
    best->phase = connection_phase::busy;
    best->used_at = now;
    return best->id;
}

auto server_pool::open(const backend_server& server, const account_id& account, time_point now) -> opening {
    auto result = opening{};
    auto& status = health(server.id);
    const auto queue_was_full =
        status.queue_full_until != time_point{} && now < status.queue_full_until + queue_full_cooldown;
    if (status.opening_blocked_until > now || (queue_was_full && usage_of(server.id).total() > 0)) {
        return result;
    }
    const auto budget = budgets_.find(server.group);
    const auto connections_scarce = budget != budgets_.end() && budget->second.idle_timeout;
    const auto at_limit = usage_of(server.id).total() >= limit_of(server, now);
    if (at_limit || connections_scarce) {
        auto* oldest = static_cast<server_connection*>(nullptr);
        for (auto& [id, it] : connections_) {
            if (it.server.id == server.id && it.phase == connection_phase::idle &&
                now - it.used_at >= min_idle_before_eviction &&
                (oldest == nullptr || it.used_at < oldest->used_at)) {
                oldest = &it;
            }
        }
        if (oldest == nullptr && at_limit) {
            return result;
        }
        if (oldest != nullptr) {
            result.evicted = oldest->id;
            connections_.erase(result.evicted);
        }
    }
    if (status.opening_failed) {
        status.opening_blocked_until = now + opening_pause;
    }
    const auto id = next_connection_++;
    auto& added = connections_[id];
    added.id = id;
    added.server = server;
    added.account = account;
    added.opened_at = now;
    added.used_at = now;
    result.connection = id;
    return result;
}

auto server_pool::acquire_any(const server_id& server, time_point now) -> connection_id {
    for (auto& [id, it] : connections_) {
        if (it.server.id == server && it.phase == connection_phase::idle) {
            it.phase = connection_phase::busy;
            it.used_at = now;
            return id;
        }
    }
    return 0;
}

auto server_pool::on_opened(connection_id id, time_point now) -> void {
    if (auto* it = find(id)) {
        health(it->server.id).opening_failed = false;
        it->phase = connection_phase::idle;
        it->used_at = now;
    }
}

auto server_pool::release(connection_id id, time_point now) -> void {
    if (auto* it = find(id)) {
        it->phase = connection_phase::idle;
        it->used_at = now;
    }
}

auto server_pool::remove(connection_id id) -> void {
    connections_.erase(id);
}

auto server_pool::on_answer(const server_id& id, duration latency, time_point now) -> void {
    auto& it = health(id);
    it.failures = 0;
    it.refusals = 0;
    it.unusable_until = {};
    it.answered_at = now;
    it.average_latency = std::chrono::duration_cast<duration>(it.average_latency * (1 - latency_weight) +
                                                              latency * latency_weight);
}

auto server_pool::on_failure(const server_id& id, time_point now) -> void {
    if (!servers_.contains(id)) {
        return;
    }
    auto& it = health(id);
    const auto doublings = std::min(it.failures, 5U);
    it.unusable_until = now + std::min(max_failure_pause, min_failure_pause * (1U << doublings));
    ++it.failures;
}

auto server_pool::on_lagging(const server_id& id, time_point now) -> void {
    health(id).lagging_until = now + lagging_pause;
}

auto server_pool::on_opening_failed(const server_id& id, time_point now) -> void {
    if (servers_.contains(id)) {
        health(id).opening_failed = true;
        health(id).opening_blocked_until = now + opening_pause;
    }
}

auto server_pool::on_connection_limit(const server_id& id, time_point now) -> void {
    health(id).growth_blocked_until = now + growth_pause;
    health(id).opening_blocked_until = now + opening_pause;
}

auto server_pool::on_queue_full(const server_id& id, time_point now) -> void {
    auto& it = health(id);
    const auto doublings = std::min(it.refusals, 5U);
    it.queue_full_until = now + std::min(max_queue_full_pause, min_queue_full_pause * (1U << doublings));
    ++it.refusals;
}

auto server_pool::surplus(time_point now) -> std::vector<connection_id> {
    auto found = std::vector<connection_id>{};
    auto totals = std::map<server_id, std::uint32_t>{};
    for (const auto& [id, it] : connections_) {
        ++totals[it.server.id];
    }
    for (const auto& [id, it] : connections_) {
        if (it.phase != connection_phase::idle) {
            continue;
        }
        const auto* listed = server(it.server.id);
        const auto leaving = listed == nullptr || listed->state == server_state::draining ||
                             listed->started_ms != it.server.started_ms;
        const auto budget = budgets_.find(it.server.group);
        const auto& [share, max_connections, idle_timeout] =
            budget == budgets_.end() ? connection_budget{} : budget->second;
        const auto idle = now - it.used_at;
        const auto growth_blocked = health(it.server.id).growth_blocked_until > now;
        if (leaving || (totals[it.server.id] > share && idle >= surplus_idle_timeout) ||
            (idle_timeout && idle >= (growth_blocked ? min_idle_before_eviction : *idle_timeout))) {
            found.push_back(id);
            --totals[it.server.id];
        }
    }
    return found;
}

} // namespace citronlug
