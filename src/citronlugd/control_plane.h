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

/// A configuration in force, with what is derived from it.
struct config_state {
    configuration config;
    std::string text; ///< JSON, for peers
    key_ring keys;
};

/// What this instance knows of fleet and configuration. Immutable; a change makes a new one.
struct control_view {
    std::shared_ptr<const config_state> config; ///< null until one is known
    std::map<role_id, role_location> roles;
    std::uint32_t live_instances = 1;
    bool serving = false; ///< configuration known, so work may be accepted
    bool leaving = false;
};

/// State of the control plane for operators.
struct control_status {
    bool authority = false;
    bool majority = false;
    bool store_answers = false;
    std::uint64_t record_version = 0;
    std::vector<cell_member> table;
    std::vector<instance_id> live;
    std::vector<role_id> standby_for;
    std::vector<account_id> accounts;
    std::vector<listed_instance> listed;
    std::uint64_t store_calls = 0;
};

/// Runs cell node, accountants, store client and configuration on one thread. Public methods are
/// thread-safe; reply functions are called on the control thread.
class control_plane {
public:
    control_plane(const process_settings& settings, incarnation run, peer_rpc*& peers,
                  std::vector<std::unique_ptr<holder_shard>>& shards, event_sink events,
                  std::function<hybrid_time()> stamp);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    auto operator=(const control_plane&) -> control_plane& = delete;

    /// `on_change` is called on the control thread after each new view.
    auto start(std::function<void()> on_change) -> void;
    auto stop() -> void;

    [[nodiscard]] auto view() const -> std::shared_ptr<const control_view>;
    [[nodiscard]] auto authority_until() const -> time_point;
    /// Until when the configuration is known to be current.
    [[nodiscard]] auto config_current_until() const -> time_point;
    [[nodiscard]] auto locate(const role_id& role) const -> std::optional<role_location>;

    /// Asks another cell who fills the role, if it belongs to one; a new view tells the answer.
    auto look_up(const role_id& role) -> void;
    /// `reply` receives the answers to the message.
    auto on_peer_message(peer_message message, std::function<void(std::vector<peer_message>)> reply) -> void;
    auto take_grant(const account_id& account, std::uint32_t wanted, std::function<void(grant_reply)> done)
        -> void;
    auto give_back(const account_id& account, std::uint32_t tokens, duration age) -> void;

    /// Announces that this instance leaves; it keeps its roles until `hand_over`.
    auto announce_leaving() -> void;
    auto hand_over() -> void;
    [[nodiscard]] auto handed_over() const -> bool { return handed_over_; }

    auto status(std::function<void(control_status)> done) -> void;
    [[nodiscard]] auto has_majority() const -> bool { return majority_; }
    auto read_config(std::function<void(result<configuration>)> done) -> void;
    auto write_config(const configuration& config, std::uint64_t expected_version,
                      std::function<void(result<std::uint64_t>)> done) -> void;

private:
    struct parts;

    auto on_timer() -> void;
    auto after_event() -> void;
    auto perform(const cell_action& action) -> void;
    auto role_changed(const role_gained& role) -> void;
    auto role_changed(const role_lost& role) -> void;
    auto take_config(configuration config) -> bool;
    /// Creates the buckets of held groups and brings all buckets to the limits of the rules.
    auto open_accounts() -> void;
    auto close_accounts(const role_id& group) -> void;
    auto apply_roles() -> void;
    auto spread_config() -> void;
    /// Takes over what a read of the store, asked at `asked_at`, found.
    auto on_stored_config(time_point asked_at, const store_reply& reply) -> void;
    [[nodiscard]] auto address_of(const instance_id& instance) const -> std::optional<std::string>;
    auto refresh_listing() -> void;
    auto publish() -> void;
    auto settings_of(const database_id& database) const -> std::optional<database_settings>;
    auto shard_of(const database_id& database) -> holder_shard&;

    process_settings settings_;
    incarnation run_;
    peer_rpc*& peers_;
    std::vector<std::unique_ptr<holder_shard>>& shards_;
    event_sink events_;
    std::function<hybrid_time()> stamp_;
    std::function<void()> on_change_;
    mutable std::mutex guard_; ///< of view_
    std::shared_ptr<const control_view> view_;
    std::atomic<std::int64_t> authority_until_ = 0;
    std::atomic<std::int64_t> config_until_ = 0;
    std::atomic<bool> majority_ = false;
    std::atomic<bool> handed_over_ = false;
    std::unique_ptr<parts> parts_; ///< used on the control thread only
    event_thread thread_;
};

/// Time between two reads of a platform list with this many instances.
[[nodiscard]] auto list_interval(std::size_t instances) -> duration;
/// Shard that a database belongs to.
[[nodiscard]] auto shard_index(const database_id& database, std::size_t shards) -> std::size_t;

} // namespace citronlug
