#pragma once

#include "fleet_link.h"
#include "guarded_store.h"
#include "line_socket.h"
#include "log_writer.h"
#include "page_listener.h"
#include "platform.h"
#include "server_links.h"

#include <citronlug/caller_resources.h>
#include <citronlug/cold_start.h>
#include <citronlug/evacuation.h>
#include <citronlug/primary_coordinator.h>
#include <citronlug/record_copy.h>
#include <citronlug/record_fetch.h>
#include <citronlug/report_exchange.h>
#include <citronlug/server_list_order.h>
#include <citronlug/session_proxy.h>
#include <citronlug/session_settings.h>
#include <citronlug/store_mirror.h>
#include <citronlug/token_allocator.h>
#include <citronlug/token_deputies.h>

#include <QHttpServer>
#include <QTcpServer>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace citronlug {

/// Non-zero number from the system's random source.
[[nodiscard]] auto random_number() -> std::uint64_t;

/// One session instance: connects the session proxy, the coordinator and the store mirrors, which perform no
/// I/O, to sockets, timers and the platform.
class session_daemon : public QObject, private session_effects {
public:
    session_daemon(session_settings settings, platform& on);
    ~session_daemon() override;

    /// Starts listening. Returns the error message on failure.
    auto start() -> std::optional<std::string>;
    /// Applies the settings that may change at runtime: addresses of the platform and the time for leaving.
    auto reload(const session_settings& settings) -> void;
    /// Drains the instance: closes all sessions and calls `done` at the latest after the time for leaving.
    auto leave(std::function<void()> done) -> void;

private:
    struct mirrored_kind {
        record_kind kind;
        store_mirror mirror;
        bool was_available = true;
    };
    struct departed_server {
        backend_server server;
        time_point removed_at;
    };

    // session_effects
    auto accept_caller(caller_id caller) -> void override;
    auto reject_caller(caller_id caller, const session_failure& reason) -> void override;
    auto answer_caller(caller_id caller, const session_answer& answer) -> void override;
    auto close_caller(caller_id caller) -> void override;
    auto open_server(connection_id connection, const backend_server& server, const account_id& account)
        -> void override;
    auto send_server(connection_id connection, const server_request& request) -> void override;
    auto close_server(connection_id connection) -> void override;
    auto send_token_requests() -> void override;
    auto log(log_level level, log_event event, const std::vector<log_field>& fields) -> void override;

    auto on_new_connection() -> void;
    /// Counts and logs a refusal.
    auto note_refusal(time_point now, caller_refusal why, std::uint64_t n = 1) -> void;
    /// Resets the connection of a caller, after a last message if it can be sent.
    auto drop_caller(time_point now, caller_id id, caller_refusal why, const std::string& text) -> void;
    auto forget_caller(caller_id id) -> void;
    /// Records the sizes of the buffers of a caller's connection.
    auto measure_buffers(caller_id id) -> void;
    /// Closes connections that exceed limits, and resumes those for which memory has become free.
    auto enforce_caller_limits(time_point now) -> void;
    auto on_caller_line(caller_id caller, std::string_view line) -> void;
    auto start_http_endpoints() -> bool;
    auto is_ready() const -> bool;

    auto on_tick() -> void;
    auto issue_store_calls(time_point now) -> void;
    /// Counts a call by its kind and by why it is made, because each call is paid.
    auto count_store_call(record_kind kind, const char* call, const char* why) -> void;
    /// False while the store is unavailable to all mirrors. Only one of them retries then; the lease is still
    /// renewed.
    [[nodiscard]] auto is_store_available() const -> bool;
    auto on_store_answer(mirrored_kind& it, std::uint64_t call, const store_answer& answer) -> void;
    /// Reads the lease record while the coordinator is unreachable. The record is not watched because each
    /// renewal would wake every instance.
    auto read_lease(time_point now) -> void;
    /// Watches the store only while this instance coordinates or the coordinator is unreachable; the rules
    /// also while the coordinator cannot tell whether there are newer ones.
    auto update_store_watches(time_point now) -> void;
    /// `restored`: the store has come back from an older copy.
    auto on_store_era(std::uint64_t before, std::uint64_t era, bool restored) -> void;
    /// Puts rules in force if they are newer. Returns their version, or nothing if they cannot be read.
    auto apply_rules(time_point now, copy_source from, const std::string& value)
        -> std::optional<std::uint64_t>;
    /// Applies changes of the rules in the store, and notes whether those in force are the newest.
    auto on_stored_rules(time_point now, bool answered, const std::vector<store_mirror::change>& changes)
        -> void;
    /// Replaces the registered servers by those that `records` describes. Records that describe none are
    /// logged once and not passed on to other instances.
    /// `fetched_version`: of the coordinator's list; 0: the records were read from the store.
    auto replace_servers(time_point now, const std::map<std::string, store_record>& records,
                         std::uint64_t fetched_version = 0) -> void;
    /// Sets the metrics of the age of this instance's copies, and logs when one is behind for long.
    auto measure_copies(time_point now) -> void;
    /// Puts the servers in the store in force if they are newer, and notes whether those in force are.
    auto on_stored_servers(time_point now, bool changed) -> void;
    auto log_if_behind(time_point now, const mirrored_kind& it, const record_copy& copy,
                       const record_fetch& fetch) -> void;
    /// Offers the list of servers in force to other instances.
    auto publish_servers(time_point now, copy_source from) -> void;
    /// Logs why a record is not used, once for each revision of it.
    auto log_rejected(record_kind kind, const store_record& record, const std::string& reason) -> void;
    auto apply_servers(time_point now) -> void;
    /// Fetches a list of servers from an instance.
    auto fetch_servers(const record_fetch::request& from) -> void;
    /// Returns false if the list cannot be read.
    auto on_fetched_servers(time_point now, const fleet_link::record_text& servers) -> bool;
    auto apply_primaries(time_point now) -> void;
    /// Takes a list of evacuations over and logs a change.
    auto apply_evacuations(time_point now, const evacuation_evidence& list) -> void;
    /// Enforces the evacuations as of now.
    auto enforce_evacuations(time_point now) -> void;
    auto register_instance(time_point now) -> void;
    auto perform(time_point now, const coordinator_action& action) -> void;
    /// Sends a status request unless the server is cold and there are no tokens for it.
    auto probe(time_point now, const backend_server& server) -> void;
    using instance_addresses = std::map<instance_id, std::string>;
    auto list_instances(const std::string& after, std::shared_ptr<instance_addresses> addresses) -> void;
    /// Sends the coordinator's address to registered instances that do not report to it, as the store may be
    /// unreachable for them.
    auto announce_lease(time_point now) -> void;
    /// Announces the next holder after the lease was handed over.
    auto announce_to_all(const coordinator_lease& lease) -> void;
    /// The newest lease record known from the store or an announcement.
    [[nodiscard]] auto newest_lease() const -> std::optional<coordinator_lease>;
    /// 0 if there are no rules yet.
    [[nodiscard]] auto active_rules_version() const -> std::uint64_t;
    /// Fetches rules and servers that this instance lacks from another one.
    auto fetch_lacking_records(time_point now) -> void;
    /// Addresses of instances that may have rules that this one lacks, the best one first.
    [[nodiscard]] auto rules_sources() const -> std::vector<std::string>;
    auto fetch_rules(const record_fetch::request& from) -> void;
    auto count_fetch(record_kind kind, const std::optional<fleet_link::record_text>& fetched) -> void;

    /// `coordinator`: fencing token of the lease of its receiver.
    auto make_report(time_point now, std::uint64_t coordinator) -> instance_report;
    auto send_report(time_point now) -> void;
    auto on_report_answer(std::uint64_t number, time_point asked_at,
                          const std::optional<report_answer>& answer) -> void;
    auto handle_report(const instance_report& report) -> report_answer;
    /// Chooses the instances that lend tokens to others when this coordinator is lost.
    auto update_deputies(time_point now) -> void;
    /// Asks a deputy for tokens for the operations that wait, while the coordinator is unreachable.
    auto request_from_deputy(time_point now) -> void;
    auto lend_tokens(const instance_report& request) -> report_answer;
    auto finish_leaving(time_point now) -> void;

    session_settings settings_;
    platform& platform_;
    guarded_store store_;
    incarnation run_;
    time_point started_at_;
    metrics metrics_;
    log_writer log_;
    session_proxy proxy_;
    primary_coordinator coordinator_;
    token_allocator token_allocator_;
    std::vector<std::string> deputy_addresses_; ///< while this instance coordinates
    deputy_requests deputy_requests_;
    cold_token_allocator cold_allocator_;
    report_sender report_sender_;
    report_receiver report_receiver_;
    server_links links_;
    server_probes probes_;
    fleet_link fleet_;
    QTcpServer callers_;
    QHttpServer ready_http_;
    QHttpServer metrics_http_;
    page_listener ready_listener_;
    page_listener metrics_listener_;
    QTimer timer_;

    struct caller {
        line_socket* socket = nullptr;
        bool started = false;
    };
    std::map<caller_id, caller> caller_sockets_;
    caller_admission caller_admission_;
    memory_budget caller_memory_;
    std::uint64_t refused_peers_ = 0;
    caller_id next_caller_ = 1;
    int closing_sockets_ = 0; ///< sockets of closed sessions that are still sending the last answer

    mirrored_kind rules_;
    mirrored_kind servers_;
    mirrored_kind primaries_;
    mirrored_kind evacuated_;
    evacuation_list evacuations_;
    evacuation_view enforced_evacuations_;
    bool evacuations_cut_ = false; ///< logged that there are too many
    bool lease_read_due_ = false;  ///< the lease was handed over to this instance
    bool reading_lease_ = false;
    bool reading_primaries_ = false; ///< after the lease was acquired
    time_point next_lease_read_at_;
    std::uint32_t fleet_size_ = 1; ///< number of registered instances, as last reported by the coordinator
    std::shared_ptr<const desired_state> active_rules_;
    std::map<server_id, backend_server> registered_servers_;
    std::map<server_id, departed_server> departed_servers_;
    bool servers_listed_ = false;
    std::map<std::pair<record_kind, std::string>, std::uint64_t> rejected_records_; ///< revision by name
    /// Version of the coordinator's list of servers; while this instance coordinates, of its own list.
    std::uint64_t servers_version_ = 0;
    std::string servers_text_; ///< records of the list in force
    server_list_order servers_order_;
    record_copy servers_copy_{version_order::unordered};
    record_fetch servers_fetch_;

    bool registered_ = false;
    bool registering_ = false;
    time_point register_at_;
    duration registration_pause_{};
    std::uint64_t registration_revision_ = 0;
    std::uint64_t registration_era_ = 0; ///< of the store when the last write of it began

    struct reported_primary {
        time_point asked_at;
        primary_record record;
    };
    std::map<group_id, reported_primary> reported_primaries_; ///< by the coordinator
    instance_addresses instances_; ///< of registered instances, known while coordinating
    std::optional<coordinator_lease> announced_lease_;
    time_point announced_at_;
    record_fetch rules_fetch_;
    std::vector<std::string> rules_deputies_; ///< other instances that may have newer rules
    record_copy rules_copy_{version_order::rising};
    std::optional<std::uint64_t> stored_rules_version_; ///< 0: there are none; empty: they cannot be read
    std::set<record_kind> behind_logged_;               ///< kinds of which `records-behind` was logged
    std::uint64_t older_rules_logged_ = 0;              ///< version of ignored rules
    bool wants_records_ = false;       ///< the coordinator asked for the primary records known here
    std::uint64_t answered_token_ = 0; ///< of the coordinator that answered last
    bool is_coordinating_ = false;
    std::uint64_t report_number_ = 0; ///< number of the last report
    bool report_pending_ = false;     ///< the last report has no answer yet
    std::vector<token_request> pending_token_requests_;
    time_point reported_at_;
    bool report_due_ = false;
    bool coordinator_reachable_ = false;

    bool leaving_ = false;
    shutdown_schedule schedule_; ///< valid while leaving
    std::function<void()> on_left_;
};

} // namespace citronlug
