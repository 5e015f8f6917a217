#pragma once

#include <citronlug/cell_node.h>
#include <citronlug/config.h>
#include <citronlug/database_holder.h>
#include <citronlug/outcome.h>
#include <citronlug/timeline.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace citronlug {

/// Status of one instance as reported to operators.
struct instance_status {
    instance_id instance;
    incarnation run = 0;
    cell_id cell;
    std::string region;
    failure_domain domain;
    duration uptime{};
    bool authority = false; ///< the instance may currently act for its roles
    bool majority = false;  ///< in contact with more than half of the members in `table`
    bool leaving = false;
    bool store_answers = false;         ///< the last call to the store received a response
    std::uint64_t config_version = 0;   ///< in force on this instance
    std::uint64_t record_version = 0;   ///< of the cell record
    std::vector<cell_member> table;     ///< members of the cell
    std::vector<instance_id> live;      ///< members that sent a message within one lease, and this one
    std::vector<holder_status> holders; ///< databases held by this instance
    std::vector<role_id> standby_for;
    std::vector<account_id> accounts; ///< client accounts whose rate this instance accounts for
    std::uint64_t caller_connections = 0;
};

/// Configuration version in force on one instance, as last reported to the responding instance.
struct instance_version {
    instance_id instance;
    cell_id cell;
    std::uint64_t config_version = 0;
    bool reachable = false; ///< false: no recent answer; the actual version may be newer
};

/// Operations of the daemon that the administration API uses. All functions are called on the thread of the
/// HTTP server. Each callback is invoked exactly once, on that thread, possibly before the function returns.
/// The daemon enforces a time limit on each call.
class administration {
public:
    template <class T>
    using callback = std::function<void(T)>;

    administration() = default;
    administration(const administration&) = delete;
    auto operator=(const administration&) -> administration& = delete;
    virtual ~administration() = default;

    virtual auto status(callback<instance_status> done) -> void = 0;
    /// Merged events of the live members of the cell. Members that do not answer are omitted.
    virtual auto events(const timeline_filter& filter, callback<std::vector<timeline_event>> done)
        -> void = 0;
    [[nodiscard]] virtual auto metrics_text() -> std::string = 0;
    /// Empty if this instance has authority through contact with more than half of its cell. Otherwise the
    /// error with which configuration changes are rejected.
    [[nodiscard]] virtual auto check_change_authority() -> std::optional<failure> = 0;
    /// Configuration in force on this instance.
    [[nodiscard]] virtual auto current_config() -> configuration = 0;
    /// Reads the configuration from the store and applies it if it is newer than the one in force on this
    /// instance. Returns `initial_configuration()` with version 0 if the object does not exist yet. Fails
    /// with `store_unavailable`.
    virtual auto read_config(callback<result<configuration>> done) -> void = 0;
    /// Conditional update at the store: replaces exactly `expected_version` and returns the new version,
    /// which is in force on this instance before `done` is called. Fails with `conflict` if the store has
    /// another version, and with `store_unavailable` if it is unknown whether the update took effect.
    virtual auto write_config(const configuration& config, std::uint64_t expected_version,
                              callback<result<std::uint64_t>> done) -> void = 0;
    /// Versions in force on all instances in the platform's instance list and in the cell's member table.
    virtual auto versions(callback<std::vector<instance_version>> done) -> void = 0;
    /// Wall-clock time in seconds since the Unix epoch.
    [[nodiscard]] virtual auto wall_seconds() -> std::int64_t = 0;
};

} // namespace citronlug
