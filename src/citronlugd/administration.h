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

/// State of one instance for operators.
struct instance_status {
    instance_id instance;
    incarnation run = 0;
    cell_id cell;
    std::string region;
    failure_domain domain;
    duration uptime{};
    bool authority = false; ///< may act now
    bool majority = false;  ///< contact with more than half of the table
    bool leaving = false;
    bool store_answers = false;         ///< the last call to the store succeeded
    std::uint64_t config_version = 0;   ///< in force here
    std::uint64_t record_version = 0;   ///< of the cell record
    std::vector<cell_member> table;     ///< members of the cell
    std::vector<instance_id> live;      ///< members heard within one lease, this one included
    std::vector<holder_status> holders; ///< databases held here
    std::vector<role_id> standby_for;
    std::vector<account_id> accounts; ///< client accounts whose rate is accounted here
    std::uint64_t caller_connections = 0;
};

/// Configuration in force at one instance of the fleet, as far as the answering instance knows.
struct instance_version {
    instance_id instance;
    cell_id cell;
    std::uint64_t config_version = 0;
    bool reachable = false; ///< false: no recent answer, so its version may be newer
};

/// What the administration API needs of the daemon. All calls come from the thread of the HTTP server.
/// Callbacks are called exactly once, on that thread, possibly before the call returns; the daemon bounds
/// the time of each call itself.
class administration {
public:
    template <class T>
    using callback = std::function<void(T)>;

    administration() = default;
    administration(const administration&) = delete;
    auto operator=(const administration&) -> administration& = delete;
    virtual ~administration() = default;

    virtual auto status(callback<instance_status> done) -> void = 0;
    /// Events of the live members of the cell, merged. Members that do not answer are left out.
    virtual auto events(const timeline_filter& filter, callback<std::vector<timeline_event>> done)
        -> void = 0;
    [[nodiscard]] virtual auto metrics_text() -> std::string = 0;
    /// Empty if this instance has authority by contact with more than half of its cell. Otherwise why it
    /// must not change the configuration.
    [[nodiscard]] virtual auto check_change_authority() -> std::optional<failure> = 0;
    /// Configuration in force at this instance.
    [[nodiscard]] virtual auto current_config() -> configuration = 0;
    /// Reads the configuration from the store; a version newer than the one in force here is taken over. An
    /// object that does not exist yet gives `initial_configuration()` with version 0. Fails with
    /// `store_unavailable`.
    virtual auto read_config(callback<result<configuration>> done) -> void = 0;
    /// Conditional update at the store: replaces exactly `expected_version` and gives the new version, which
    /// is in force here before `done` is called. Fails with `conflict` if the store has another version, and
    /// with `store_unavailable` if it is not known whether the update took effect.
    virtual auto write_config(const configuration& config, std::uint64_t expected_version,
                              callback<result<std::uint64_t>> done) -> void = 0;
    /// Versions in force at all instances of the platform's list and the cell's table.
    virtual auto versions(callback<std::vector<instance_version>> done) -> void = 0;
    /// Seconds since 1970.
    [[nodiscard]] virtual auto wall_seconds() -> std::int64_t = 0;
};

} // namespace citronlug
