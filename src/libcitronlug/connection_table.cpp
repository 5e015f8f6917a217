#include "connection_table.h"

#include <algorithm>
#include <atomic>

namespace citronlug {

namespace {

constexpr auto min_connections = 2;
constexpr auto spare_connections = 2;    // connections beyond the slots, for immediate replacement
constexpr auto reserved_connections = 4; // left for the standby, the probe and a takeover
constexpr auto open_timeout = 2s;        // for an attempt to connect
constexpr auto min_open_pause = 50ms;    // after a failed attempt; doubled up to max_open_pause
constexpr auto max_open_pause = 1s;
constexpr auto abandoned_slot_time = 1s; // a statement may continue to run after its connection was closed
constexpr auto keep_alive_interval = 2s; // idle time after which a keep-alive statement is sent
constexpr auto keep_alive_timeout = 1s;  // for the result of a keep-alive statement
constexpr auto surplus_idle_timeout = 30s;

/// Numbers are unique within the process, since several holders share one owner.
auto next_number() -> connection_number {
    static auto last = std::atomic<connection_number>{0};
    return ++last;
}

} // namespace

connection_table::connection_table(std::vector<holder_action>& actions)
    : actions_(actions) {}

auto connection_table::set_limits(int slots, int connections) -> void {
    slots_ = std::max(slots, 1);
    limit_ = std::max(connections - reserved_connections, 1);
}

auto connection_table::set_desired_members(std::vector<member_id> members) -> void {
    desired_ = std::move(members);
    for (const auto& it : desired_) {
        pools_.try_emplace(it);
    }
}

auto connection_table::is_desired(const member_id& member) const -> bool {
    return std::find(desired_.begin(), desired_.end(), member) != desired_.end();
}

auto connection_table::open(time_point now, const member_id& member) -> void {
    auto& pool = pools_[member];
    if (now < pool.open_after || pool.total >= limit_) {
        return;
    }
    const auto number = next_number();
    connections_.emplace(number, pooled_connection{number, member, connection_state::opening, now, now});
    ++pool.opening;
    ++pool.total;
    actions_.emplace_back(open_connection{member, number});
}

auto connection_table::request_connection(time_point now, const member_id& member) -> void {
    const auto& pool = pools_[member];
    // At most one attempt per free slot. Connections of open transactions do not count against those for
    // single statements.
    const auto free_slots = slots_ - in_flight(now, member);
    if (pool.opening < free_slots && pool.total - pool.pinned < slots_ + spare_connections) {
        open(now, member);
    }
}

auto connection_table::on_timer(time_point now) -> void {
    auto closing = std::vector<connection_number>{};
    check_idle(now, closing);
    for (const auto number : closing) {
        close(now, number);
    }
    for (const auto& member : desired_) {
        auto& pool = pools_[member];
        std::erase_if(pool.abandoned_until, [&](auto until) { return until <= now; });
        for (auto n = pool.total; n < std::min(min_connections, limit_); ++n) {
            open(now, member);
        }
    }
}

auto connection_table::check_idle(time_point now, std::vector<connection_number>& closing) -> void {
    for (auto& [number, it] : connections_) {
        const auto age = now - it.state_since;
        const auto keep_alive = it.state == connection_state::busy && it.work == 0;
        if ((it.state == connection_state::opening && age >= open_timeout) ||
            (keep_alive && age >= keep_alive_timeout)) {
            closing.push_back(number);
        } else if (it.state == connection_state::idle) {
            const auto& pool = pools_[it.member];
            const auto surplus = age >= surplus_idle_timeout && pool.total > min_connections;
            if (!is_desired(it.member) || surplus) {
                closing.push_back(number);
            } else if (now - it.verified_at >= keep_alive_interval && has_slot(now, it.member)) {
                std::erase(pools_[it.member].idle, number);
                send(now, it, 0, {statement{"SELECT 1", {}}});
            }
        }
    }
}

auto connection_table::on_connected(time_point now, connection_number number, bool success) -> void {
    const auto it = connections_.find(number);
    if (it == connections_.end() || it->second.state != connection_state::opening) {
        return;
    }
    auto& pool = pools_[it->second.member];
    if (!success) {
        on_lost(now, number);
        return;
    }
    pool.pause = duration{};
    --pool.opening;
    it->second.state = connection_state::idle;
    it->second.state_since = now;
    it->second.verified_at = now;
    pool.idle.push_back(number);
}

auto connection_table::in_flight(time_point now, const member_id& member) const -> int {
    const auto it = pools_.find(member);
    if (it == pools_.end()) {
        return 0;
    }
    const auto& abandoned_until = it->second.abandoned_until;
    return it->second.busy + static_cast<int>(std::count_if(abandoned_until.begin(), abandoned_until.end(),
                                                            [&](auto until) { return until > now; }));
}

auto connection_table::has_slot(time_point now, const member_id& member) const -> bool {
    return in_flight(now, member) < slots_;
}

auto connection_table::has_idle(const member_id& member) const -> bool {
    const auto it = pools_.find(member);
    return it != pools_.end() && !it->second.idle.empty();
}

auto connection_table::is_connected(const member_id& member) const -> bool {
    const auto it = pools_.find(member);
    return it != pools_.end() && it->second.total > it->second.opening;
}

auto connection_table::find(connection_number number) -> pooled_connection* {
    const auto it = connections_.find(number);
    return it == connections_.end() ? nullptr : &it->second;
}

auto connection_table::send(time_point now, pooled_connection& it, std::uint64_t work,
                            std::vector<statement> statements) -> void {
    it.state = connection_state::busy;
    it.state_since = now;
    it.work = work;
    it.sequence = next_sequence_++;
    ++pools_[it.member].busy;
    actions_.emplace_back(run_pipeline{it.number, it.sequence, std::move(statements)});
}

auto connection_table::start(time_point now, const member_id& member, std::uint64_t work,
                             std::vector<statement> statements) -> const pooled_connection& {
    auto& idle = pools_[member].idle;
    auto& it = connections_.at(idle.back());
    idle.pop_back();
    send(now, it, work, std::move(statements));
    return it;
}

auto connection_table::continue_pinned(time_point now, connection_number number, std::uint64_t work,
                                       std::vector<statement> statements) -> const pooled_connection& {
    auto& it = connections_.at(number);
    send(now, it, work, std::move(statements));
    return it;
}

auto connection_table::finish(time_point now, connection_number number) -> void {
    auto& it = connections_.at(number);
    auto& pool = pools_[it.member];
    --pool.busy;
    it.work = 0;
    it.state_since = now;
    it.verified_at = now;
    it.state = it.pinned ? connection_state::pinned : connection_state::idle;
    if (!it.pinned) {
        pool.idle.push_back(number);
    }
}

auto connection_table::pin(time_point now, connection_number number) -> void {
    auto& it = connections_.at(number);
    auto& pool = pools_[it.member];
    it.pinned = true;
    it.state = connection_state::pinned;
    it.state_since = now;
    std::erase(pool.idle, number);
    ++pool.pinned;
}

auto connection_table::remove(time_point now, connection_number number) -> void {
    const auto it = connections_.find(number);
    if (it == connections_.end()) {
        return;
    }
    auto& pool = pools_[it->second.member];
    --pool.total;
    pool.pinned -= it->second.pinned ? 1 : 0;
    switch (it->second.state) {
    case connection_state::opening:
        --pool.opening;
        pool.pause = std::clamp<duration>(pool.pause * 2, min_open_pause, max_open_pause);
        pool.open_after = now + pool.pause;
        break;
    case connection_state::idle:
        std::erase(pool.idle, number);
        break;
    case connection_state::busy:
        --pool.busy;
        pool.abandoned_until.push_back(now + abandoned_slot_time);
        break;
    case connection_state::pinned:
        break;
    }
    connections_.erase(it);
}

auto connection_table::close(time_point now, connection_number number) -> void {
    if (connections_.contains(number)) {
        actions_.emplace_back(close_connection{number});
        remove(now, number);
    }
}

auto connection_table::on_lost(time_point now, connection_number number) -> void {
    remove(now, number);
}

auto connection_table::connections_to(const member_id& member) const -> std::vector<connection_number> {
    auto found = std::vector<connection_number>{};
    for (const auto& [number, it] : connections_) {
        if (it.member == member) {
            found.push_back(number);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

auto connection_table::pinned_limit() const -> int {
    return std::max(limit_ - slots_ - spare_connections, 1);
}

auto connection_table::pinned() const -> int {
    auto sum = 0;
    for (const auto& [member, pool] : pools_) {
        sum += pool.pinned;
    }
    return sum;
}

} // namespace citronlug
