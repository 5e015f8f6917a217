#pragma once

#include "control_plane.h"

#include <QTimer>

namespace citronlug {

/// What the control thread owns.
struct control_plane::parts {
    parts(const process_settings& settings, incarnation run)
        : self{settings.instance, run, settings.peer_address, settings.admin_address, settings.domain}
        , node{settings.cell, self, settings.lease, run, clock_now()}
        , spread{settings.cell, settings.instance, run}
        , store{settings.store_address, settings.instance}
        , random{run} {}

    cell_member self;
    cell_node node;
    config_propagation spread;
    store_client store;
    QTimer timer;
    std::shared_ptr<const config_state> config;
    std::map<account_id, token_bucket> accountants;
    std::map<role_id, epoch_number> held;
    std::set<role_id> roles; ///< of this cell
    /// Role of another cell.
    struct remote_role {
        std::optional<role_location> location;
        time_point asked;
    };
    std::map<role_id, remote_role> elsewhere;
    std::mt19937_64 random;
    std::vector<listed_instance> listed;
    std::uint64_t seen_record = 0;
    std::size_t seen_live = 0;
    time_point next_listing;
    time_point next_list_read;
    time_point next_standby;
    bool watching = false;
    bool serving = false;
    instance_id reply_to;              ///< sender of the message under work
    std::vector<peer_message> replies; ///< answers to it
    bool leaving = false;
    bool dirty = true; ///< the view must be published
};

} // namespace citronlug
