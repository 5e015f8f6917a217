#pragma once

#include "event_thread.h"
#include "holder_shard.h"
#include "peer_rpc.h"
#include "store_client.h"

#include <citronlug/cell_node.h>
#include <citronlug/config.h>
#include <citronlug/config_propagation.h>
#include <citronlug/rate_limit.h>
#include <citronlug/settings.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>

namespace citronlug {

/// A configuration in force, with the data derived from it.
struct config_state {
    configuration config;
    std::string text; ///< as JSON, for transfer to peers
    key_ring keys;
};

/// Immutable snapshot of the fleet and the configuration as seen by this instance. Every change publishes a
/// new snapshot.
struct control_view {
    std::shared_ptr<const config_state> config; ///< null until one has been loaded
    std::map<role_id, role_location> roles;
    std::uint32_t live_instances = 1;
    bool serving = false; ///< a configuration is loaded and requests may be accepted
    bool leaving = false;
};

/// State of the control plane, for the admin API.
struct control_status {
    bool authority = false;
    bool majority = false;
    bool store_answers = false;
    std::uint64_t record_version = 0;
    std::vector<cell_member> recorded_members;
    std::vector<instance_id> live_members;
    std::vector<role_id> standby_for;
    std::vector<account_id> accounts;
    std::vector<listed_instance> listed_instances;
    std::uint64_t store_calls = 0;
};

/// Runs the cell node, the accountants, the store client and configuration handling on one thread. Public
/// methods are thread-safe; callbacks are called on the control thread.
class control_plane {
public:
    control_plane(const process_settings& settings, incarnation own_incarnation, peer_rpc*& peers,
                  std::vector<std::unique_ptr<holder_shard>>& shards, event_sink events,
                  std::function<hybrid_time()> hybrid_now);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    auto operator=(const control_plane&) -> control_plane& = delete;

    /// `on_view_change` is called on the control thread whenever a new view has been published.
    auto start(std::function<void()> on_view_change) -> void;
    auto stop() -> void;

    [[nodiscard]] auto view() const -> std::shared_ptr<const control_view>;
    [[nodiscard]] auto authority_until() const -> time_point;
    /// Time until which the configuration may be treated as current.
    [[nodiscard]] auto config_current_until() const -> time_point;
    [[nodiscard]] auto locate(const role_id& role) const -> std::optional<role_location>;

    /// Queries another cell for the holder of a role that belongs to it. The result appears in a later view.
    auto resolve_remote_role(const role_id& role) -> void;
    /// Calls `reply`, unless it is null, with the replies to the message.
    auto on_peer_message(peer_message message, std::function<void(std::vector<peer_message>)> reply) -> void;
    auto take_grant(const account_id& account, std::uint32_t wanted, std::function<void(grant_reply)> done)
        -> void;
    auto return_tokens(const account_id& account, std::uint32_t tokens, duration age) -> void;

    /// Announces that this instance is leaving. It keeps its roles until `hand_over` is called.
    auto announce_leaving() -> void;
    auto hand_over() -> void;
    [[nodiscard]] auto handed_over() const -> bool { return handed_over_; }

    auto status(std::function<void(control_status)> done) -> void;
    [[nodiscard]] auto has_majority() const -> bool { return majority_; }
    auto read_config(std::function<void(result<configuration>)> done) -> void;
    auto write_config(const configuration& config, std::uint64_t expected_version,
                      std::function<void(result<std::uint64_t>)> done) -> void;

private:
    struct impl;

    auto on_timer() -> void;
    auto after_event() -> void;
    auto perform_action(const cell_action& action) -> void;
    auto role_changed(const role_gained& role) -> void;
    auto role_changed(const role_lost& role) -> void;
    auto apply_config(configuration config) -> bool;
    /// Creates and removes token buckets to match the held account groups, and applies the configured limits.
    auto sync_accountants() -> void;
    auto remove_accountants(const role_id& group) -> void;
    auto update_standby() -> void;
    auto propagate_config() -> void;
    /// Handles the result of a configuration read that was sent to the store at `requested_at`.
    auto on_config_read(time_point requested_at, const store_reply& reply) -> void;
    [[nodiscard]] auto address_of(const instance_id& instance) const -> std::optional<std::string>;
    auto refresh_instance_list() -> void;
    auto publish() -> void;
    auto settings_of(const database_id& database) const -> std::optional<database_settings>;
    auto shard_of(const database_id& database) -> holder_shard&;

    process_settings settings_;
    incarnation incarnation_;
    peer_rpc*& peers_;
    std::vector<std::unique_ptr<holder_shard>>& shards_;
    event_sink events_;
    std::function<hybrid_time()> hybrid_now_;
    std::function<void()> on_view_change_;
    mutable std::mutex view_mutex_; ///< protects view_
    std::shared_ptr<const control_view> view_;
    std::atomic<std::int64_t> authority_until_ = 0;
    std::atomic<std::int64_t> config_current_until_ = 0;
    std::atomic<bool> majority_ = false;
    std::atomic<bool> handed_over_ = false;
    std::unique_ptr<impl> impl_; ///< used on the control thread only
    event_thread thread_;
};

/// Interval between reads of the platform's instance list when it has this many entries.
[[nodiscard]] auto list_read_interval(std::size_t instances) -> duration;
/// Index of the shard that is responsible for a database.
[[nodiscard]] auto shard_index(const database_id& database, std::size_t shards) -> std::size_t;

} // namespace citronlug
