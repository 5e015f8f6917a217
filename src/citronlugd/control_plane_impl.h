#pragma once

#include "control_plane.h"

#include <QTimer>

namespace citronlug {

/// State owned by the control thread.
struct control_plane::impl {
    impl(const process_settings& settings, incarnation own_incarnation)
        : self{settings.instance, own_incarnation, settings.peer_address, settings.admin_address,
               settings.domain}
        , node{settings.cell, self, settings.lease, own_incarnation, clock_now()}
        , propagation{settings.cell, settings.instance, own_incarnation}
        , store{settings.store_address, settings.instance}
        , random{own_incarnation} {}

    cell_member self;
    cell_node node;
    config_propagation propagation;
    store_client store;
    QTimer timer;
    std::shared_ptr<const config_state> config;
    std::map<account_id, token_bucket> accountants;
    std::map<role_id, epoch_number> held_roles;
    std::set<role_id> cell_roles; ///< roles of this cell
    /// Cached location of a role of another cell.
    struct remote_role {
        std::optional<role_location> location;
        time_point requested_at;
    };
    std::map<role_id, remote_role> remote_roles;
    std::mt19937_64 random;
    std::vector<listed_instance> listed_instances;
    std::uint64_t published_record_version = 0;
    std::size_t published_live_count = 0;
    time_point next_announcement;
    time_point next_list_read;
    time_point next_standby_update;
    bool store_watch_active = false;
    bool serving = false;
    instance_id current_sender;        ///< sender of the message being processed
    std::vector<peer_message> replies; ///< replies to that message
    bool leaving = false;
    bool view_dirty = true; ///< the view must be published again
};

} // namespace citronlug
