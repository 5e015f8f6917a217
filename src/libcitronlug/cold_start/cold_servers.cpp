#include <citronlug/cold_start.h>

#include <algorithm>
#include <cmath>

namespace citronlug {

namespace {

using seconds = std::chrono::duration<double>;

/// After the cold period the limit doubles each second for this time and then ends. Otherwise the load that
/// waited for the server would reach it all at once.
constexpr auto recovery_time = duration{5s};
/// A server whose connections broke is treated as cold for this time, unless its entry changes before. By
/// then the entry of a restarted server has been written and distributed.
constexpr auto suspicion_time = duration{3s};
/// An announcement holds for this time: two intervals between reports and the time for an answer.
constexpr auto announcement_lifetime = duration{600ms};
/// Requests for tokens make a server widely suspect only this long after its limit ended. Other instances may
/// have read its entry later and still ask for tokens.
constexpr auto trust_time = duration{5s};

} // namespace

auto cold_servers::set_rules(const desired_state& rules) -> void {
    limits_.clear();
    for (const auto& [id, group] : rules.groups) {
        if (group.cold_per_s > 0 && group.cold_start > duration{}) {
            limits_[id] = group.cold_per_s;
        }
    }
}

auto cold_servers::set_servers(time_point now, const std::vector<backend_server>& servers) -> void {
    auto listed = std::set<server_id>{};
    for (const auto& server : servers) {
        listed.insert(server.id);
        const auto [found, is_new] = entries_.try_emplace(server.id);
        auto& it = found->second;
        if (!is_new && it.server == server) {
            continue; // the same entry again: the remaining time counts from when it was read first
        }
        const auto is_new_run = is_new || it.server.started_ms != server.started_ms;
        if (is_new_run) {
            it.cold_until.reset();
        }
        if (server.cold_remaining > duration{} &&
            (is_new_run || server.cold_remaining != it.server.cold_remaining)) {
            it.cold_until = now + server.cold_remaining;
        } else if (server.cold_remaining == duration{} && it.cold_until && *it.cold_until > now) {
            it.cold_until = now;
        }
        it.suspect_until = {};
        it.widely_suspect_until = {};
        it.server = server;
    }
    std::erase_if(entries_, [&](const auto& it) { return !listed.contains(it.first); });
}

auto cold_servers::find(const server_id& id) const -> const entry* {
    if (limits_.empty()) {
        return nullptr;
    }
    const auto it = entries_.find(id);
    return it != entries_.end() && limits_.contains(it->second.server.group) ? &it->second : nullptr;
}

auto cold_servers::on_connection_lost(time_point now, const server_id& id) -> void {
    if (find(id) != nullptr) {
        entries_.at(id).suspect_until = now + suspicion_time;
    }
}

auto cold_servers::on_announced(time_point asked_at, const server_id& id) -> void {
    if (find(id) != nullptr) {
        auto& it = entries_.at(id);
        it.announced_until = std::max(it.announced_until, asked_at + announcement_lifetime);
    }
}

auto cold_servers::on_wanted_by_many(time_point now, const server_id& id) -> void {
    const auto* known = find(id);
    if (known == nullptr) {
        return;
    }
    auto& it = entries_.at(id);
    if (limit_of(now, it)) {
        it.trusted_until = now + trust_time;
    } else if (now >= it.trusted_until) {
        it.widely_suspect_until = now + suspicion_time;
        it.trusted_until = it.widely_suspect_until + trust_time;
    }
}

auto cold_servers::limit_of(time_point now, const entry& it) const -> limit {
    const auto per_s = limits_.at(it.server.group);
    if (now < it.widely_suspect_until || (it.cold_until && now < *it.cold_until)) {
        return per_s;
    }
    if (it.cold_until && now < *it.cold_until + recovery_time) {
        return per_s * std::exp2(std::floor(seconds{now - *it.cold_until}.count()));
    }
    return std::nullopt;
}

auto cold_servers::own_limit_of(time_point now, const server_id& id) const -> limit {
    const auto* it = find(id);
    return it == nullptr ? std::nullopt : limit_of(now, *it);
}

auto cold_servers::limit_of(time_point now, const server_id& id) const -> limit {
    const auto* it = find(id);
    if (it == nullptr) {
        return std::nullopt;
    }
    const auto own = limit_of(now, *it);
    if (now < it->suspect_until || (!own && now < it->announced_until)) {
        return limits_.at(it->server.group);
    }
    return own;
}

auto cold_servers::configured_limit_of(const server_id& id) const -> limit {
    const auto* it = find(id);
    return it == nullptr ? std::nullopt : limit{limits_.at(it->server.group)};
}

auto cold_servers::is_recovering(time_point now, const server_id& id) const -> bool {
    const auto* it = find(id);
    return it != nullptr && it->cold_until && now >= *it->cold_until && now >= it->suspect_until &&
           now >= it->widely_suspect_until && now < *it->cold_until + recovery_time;
}

auto cold_servers::limited(time_point now) const -> std::vector<server_id> {
    auto found = std::vector<server_id>{};
    if (limits_.empty()) {
        return found;
    }
    for (const auto& [id, it] : entries_) {
        if (own_limit_of(now, id)) {
            found.push_back(id);
        }
    }
    return found;
}

auto cold_servers::take_changes(time_point now) -> std::vector<change> {
    auto changes = std::vector<change>{};
    for (auto& [id, it] : entries_) {
        const auto is_limited = limit_of(now, id).has_value();
        if (is_limited != it.was_limited) {
            it.was_limited = is_limited;
            const auto until = std::max(
                {it.cold_until.value_or(now), it.suspect_until, it.widely_suspect_until, it.announced_until});
            changes.push_back({id, is_limited, is_limited ? std::max(duration{}, until - now) : duration{}});
        }
    }
    return changes;
}

} // namespace citronlug
