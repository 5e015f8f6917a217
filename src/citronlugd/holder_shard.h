#pragma once

#include "event_thread.h"
#include "pg_connection.h"

#include <citronlug/database_holder.h>
#include <citronlug/timeline.h>

#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace citronlug {

/// Reports an answer together with the epoch under which the holder gave it. Called on the shard's thread.
using answer_handler = std::function<void(answer value, epoch_number holder_epoch)>;
/// Takes an event for log and time line; its time is set there. Thread-safe.
using event_sink = std::function<void(timeline_event)>;

/// The holders of some databases on one thread. Performs their actions: connections, statements, probes,
/// answers. All public methods are thread-safe.
class holder_shard {
public:
    /// `authority` tells until when this instance may act; it must be thread-safe.
    holder_shard(const std::string& name, pg_options options, std::function<time_point()> authority,
                 event_sink events);
    ~holder_shard();
    holder_shard(const holder_shard&) = delete;
    auto operator=(const holder_shard&) -> holder_shard& = delete;

    /// Starts to act for a database, or replaces its settings if the epoch is the same.
    auto hold(const database_settings& settings, epoch_number epoch) -> void;
    /// Stops acting; queued work is answered with "not run", running work as unknown.
    auto release(const database_id& database) -> void;
    /// Answers `not_holder` if the database is not held here. The request's session with the caller is
    /// identified by account and request id in `cancel`.
    auto execute(request work, answer_handler done) -> void;
    auto cancel(const database_id& database, const account_id& account, const request_id& id) -> void;
    auto revoke_key(const key_id& key) -> void;
    auto start_drain() -> void;
    [[nodiscard]] auto drained() const -> bool;
    [[nodiscard]] auto status() const -> std::vector<holder_status>;
    /// Keeps connections to the members of databases for which this instance is standby.
    auto set_standby(const std::vector<database_settings>& databases) -> void;
    auto stop() -> void;

private:
    struct held_database;
    struct standby_connection;

    auto on_timer() -> void;
    auto perform(held_database& holder) -> void;
    auto perform_one(held_database& holder, const holder_action& action) -> void;
    auto open(held_database& holder, const open_connection& action) -> void;
    auto probe(held_database& holder, const probe_member& action) -> void;
    auto control_statement(held_database& holder, const member_id& member, const std::string& sql,
                           std::function<void(held_database&, const pipeline_result&)> done) -> void;
    auto keep_standby_connections(time_point now) -> void;
    auto find(const database_id& database, std::uint64_t generation) -> held_database*;

    std::string name_;
    pg_options options_;
    event_sink events_;
    mutable std::mutex mutex_; ///< of the map for status(); changes happen on the shard's thread
    std::map<database_id, std::unique_ptr<held_database>> holders_;
    std::uint64_t next_generation_ = 0;
    std::function<time_point()> authority_;
    std::vector<database_settings> standby_;
    std::vector<std::unique_ptr<standby_connection>> standby_connections_;
    std::vector<std::unique_ptr<pg_connection>> retired_; ///< closed outside of their own handlers
    std::unique_ptr<QTimer> timer_;
    event_thread thread_;
};

} // namespace citronlug
