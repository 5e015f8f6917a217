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

/// Receives an answer and the holder epoch under which it was produced. Called on the shard's thread.
using answer_handler = std::function<void(answer value, epoch_number holder_epoch)>;
/// Records an event in the log and the timeline, and sets its timestamp. Thread-safe.
using event_sink = std::function<void(timeline_event)>;

/// Runs the holders of a subset of the databases on one thread and performs their actions: connections,
/// statements, probes and answers. All public methods are thread-safe.
class holder_shard {
public:
    /// `authority` returns the time until which this instance may act as holder; it must be thread-safe.
    holder_shard(const std::string& name, pg_options options, std::function<time_point()> authority,
                 event_sink events);
    ~holder_shard();
    holder_shard(const holder_shard&) = delete;
    auto operator=(const holder_shard&) -> holder_shard& = delete;

    /// Starts a holder for the database, or only updates its settings if the epoch is unchanged.
    auto hold(const database_settings& settings, epoch_number epoch) -> void;
    /// Stops the holder. Queued requests are answered as "not run", running ones as unknown.
    auto release(const database_id& database) -> void;
    /// Answers with `not_holder` if the database is not held here. `cancel` identifies the request by its
    /// client account and request id.
    auto execute(request work, answer_handler done) -> void;
    auto cancel(const database_id& database, const account_id& account, const request_id& id) -> void;
    auto revoke_key(const key_id& key) -> void;
    auto start_drain() -> void;
    [[nodiscard]] auto drained() const -> bool;
    [[nodiscard]] auto status() const -> std::vector<holder_status>;
    /// Sets the databases for which this instance is standby and keeps connections to their members.
    auto set_standby(const std::vector<database_settings>& databases) -> void;
    auto stop() -> void;

private:
    struct held_database;
    struct standby_connection;

    auto on_timer() -> void;
    auto perform_actions(held_database& holder) -> void;
    auto perform_action(held_database& holder, const holder_action& action) -> void;
    auto open(held_database& holder, const open_connection& action) -> void;
    auto probe(held_database& holder, const probe_member& action) -> void;
    auto control_statement(held_database& holder, const member_id& member, const std::string& sql,
                           std::function<void(held_database&, const pipeline_result&)> done) -> void;
    auto keep_standby_connections(time_point now) -> void;
    auto find(const database_id& database, std::uint64_t generation) -> held_database*;

    std::string name_;
    pg_options options_;
    event_sink events_;
    mutable std::mutex mutex_; ///< locked while `holders_` is modified, on the shard's thread
    std::map<database_id, std::unique_ptr<held_database>> holders_;
    std::uint64_t next_generation_ = 0;
    std::function<time_point()> authority_;
    std::vector<database_settings> standby_;
    std::vector<std::unique_ptr<standby_connection>> standby_connections_;
    /// Closed connections, destroyed at the next timer tick because their own handlers may still be running.
    std::vector<std::unique_ptr<pg_connection>> retired_;
    std::unique_ptr<QTimer> timer_;
    event_thread thread_;
};

} // namespace citronlug
