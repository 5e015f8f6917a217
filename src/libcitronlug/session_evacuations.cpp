#include "session_proxy_impl.h"

#include <algorithm>

namespace citronlug {

auto session_proxy::implementation::is_stopped(connection_id id) -> bool {
    const auto* connection = pool_.find(id);
    return connection != nullptr && evacuations_.is_stopped(connection->server);
}

auto session_proxy::implementation::is_evacuated(const statement_work& work) -> bool {
    if (evacuations_.stopped.empty()) {
        return false;
    }
    const auto& group = group_of(work.route->group);
    const auto* primary = pool_.server(group.primary.primary);
    if (primary != nullptr && evacuations_.is_stopped(*primary) &&
        (work.needs_primary || !requirement_of(work).replica_allowed)) {
        return true;
    }
    const auto servers = pool_.servers_of(work.route->group);
    return !servers.empty() && std::all_of(servers.begin(), servers.end(),
                                           [&](const auto* it) { return evacuations_.is_stopped(*it); });
}

auto session_proxy::implementation::set_evacuations(time_point now, const evacuation_view& view) -> void {
    evacuations_ = view;
    enforce_evacuations(now);
    auto groups = std::vector<group_id>{};
    for (const auto& [id, group] : groups_) {
        groups.push_back(id);
    }
    for (const auto& id : groups) {
        dispatch_queued(now, id);
    }
}

auto session_proxy::implementation::enforce_evacuations(time_point now) -> void {
    if (evacuations_.is_known && evacuations_.domains.empty()) {
        return;
    }
    auto unusable = std::vector<connection_id>{};
    for (const auto& [id, it] : pool_.connections()) {
        const auto is_unused = it.phase == connection_phase::idle || it.phase == connection_phase::opening;
        const auto as_primary = group_of(it.server.group).primary.primary == it.server.id;
        if (is_unused && !evacuations_.may_use(it.server, as_primary)) {
            unusable.push_back(id);
        }
    }
    for (const auto id : unusable) {
        close_connection(id);
    }
    auto open = std::vector<caller_id>{};
    for (const auto& [id, session] : sessions_) {
        if (session.transaction && session.current_work == 0 && is_stopped(session.transaction->connection)) {
            open.push_back(id);
        }
    }
    for (const auto id : open) {
        fail_transaction(now, sessions_.at(id),
                         {session_error::aborted, "the failure domain of the server is being evacuated"});
    }
}

} // namespace citronlug
