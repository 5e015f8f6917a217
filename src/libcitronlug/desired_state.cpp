#include <citronlug/desired_state.h>

namespace citronlug {

auto guarantees_no_effect(session_error error) -> bool {
    switch (error) {
    case session_error::busy:
    case session_error::aborted:
    case session_error::lagging:
    case session_error::read_only:
    case session_error::misrouted:
    case session_error::connection_limit:
        return true;
    case session_error::in_doubt:
    case session_error::timed_out:
    case session_error::failed:
    case session_error::no_database:
    case session_error::unauthorised:
    case session_error::malformed:
    case session_error::no_statement:
        return false;
    }
    return false;
}

auto was_not_run(session_error error) -> bool {
    switch (error) {
    case session_error::busy:
    case session_error::no_statement:
    case session_error::lagging:
    case session_error::read_only:
    case session_error::misrouted:
    case session_error::connection_limit:
        return true;
    case session_error::aborted:
    case session_error::in_doubt:
    case session_error::timed_out:
    case session_error::failed:
    case session_error::no_database:
    case session_error::unauthorised:
    case session_error::malformed:
        return false;
    }
    return false;
}

auto desired_state::route_of(const std::string& database) const -> std::shared_ptr<const session_route> {
    const auto it = routes.find(database);
    return it == routes.end() ? nullptr : it->second;
}

auto desired_state::account_of(const std::string& key) const -> std::optional<account_id> {
    const auto it = keys.find(key);
    return it == keys.end() ? std::nullopt : std::optional{it->second};
}

auto desired_state::group(const group_id& id) const -> const server_group* {
    const auto it = groups.find(id);
    return it == groups.end() ? nullptr : &it->second;
}

} // namespace citronlug
