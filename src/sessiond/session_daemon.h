#pragma once

#include "fleet_link.h"
#include "line_socket.h"
#include "log_writer.h"
#include "platform.h"
#include "server_links.h"

#include <citronlug/primary_coordinator.h>
#include <citronlug/session_proxy.h>
#include <citronlug/session_settings.h>
#include <citronlug/store_mirror.h>

#include <QHttpServer>
#include <QTcpServer>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace citronlug {

/// Number from the system's random source, never 0.
[[nodiscard]] auto random_number() -> std::uint64_t;

/// One session instance: performs the effects of the deciding components on sockets, timers and the platform.
class session_daemon : public QObject, private session_effects {
public:
    session_daemon(session_settings settings, platform& on);
    ~session_daemon() override;

    /// Listens. Returns the reason if that fails.
    auto start() -> std::optional<std::string>;
    /// Takes over what may change while the process runs: addresses of the platform.
    auto reload(const session_settings& settings) -> void;
    /// Ends all work and calls `done`.
    auto leave(std::function<void()> done) -> void;

private:
    struct mirrored {
        record_kind kind;
        store_mirror mirror;
        bool was_available = true;
    };
    struct departed_server {
        backend_server server;
        time_point gone_at;
    };

    // session_effects
    auto accept_caller(caller_id caller) -> void override;
    auto reject_caller(caller_id caller, const session_failure& why) -> void override;
    auto answer_caller(caller_id caller, const session_answer& answer) -> void override;
    auto close_caller(caller_id caller) -> void override;
    auto open_server(connection_id connection, const backend_server& server, const account_id& account)
        -> void override;
    auto send_server(connection_id connection, const server_request& request) -> void override;
    auto close_server(connection_id connection) -> void override;
    auto send_token_requests() -> void override;
    auto log(log_level level, log_event event, const std::vector<log_field>& fields) -> void override;

    auto on_caller() -> void;
    auto on_caller_line(caller_id caller, std::string_view line) -> void;
    auto start_pages() -> bool;
    auto is_ready() const -> bool;

    auto on_tick() -> void;
    auto pump_mirrors(time_point now) -> void;
    /// False while the store has failed all mirrors; only one of them tries it then, and the duty is still
    /// renewed.
    [[nodiscard]] auto store_answers() const -> bool;
    auto on_store_answer(mirrored& it, std::uint64_t call, time_point asked_at, const store_answer& answer)
        -> void;
    /// Reads the duty record while this instance does not hear the coordinator. The record is not watched:
    /// its renewals would wake every instance.
    auto read_duty(time_point now) -> void;
    /// Watches the store, or leaves that to the coordinator.
    auto follow_coordinator() -> void;
    auto apply_rules(time_point now, const std::string& value) -> void;
    /// Takes over all registered servers, by name.
    auto take_servers(time_point now, const std::map<std::string, std::string>& records) -> void;
    auto apply_servers(time_point now) -> void;
    /// The coordinator knows other servers than this instance.
    auto catch_up_servers(std::uint64_t version, const std::string& address) -> void;
    auto apply_primaries(time_point now) -> void;
    auto register_instance(time_point now) -> void;
    auto perform(time_point now, const coordinator_action& action) -> void;
    using instance_addresses = std::map<instance_id, std::string>;
    auto list_instances(const std::string& after, std::shared_ptr<instance_addresses> found) -> void;
    /// The coordinator tells registered instances that it does not hear where it is; they may not reach the
    /// store.
    auto announce_duty(time_point now) -> void;
    /// The duty was handed over.
    auto announce_to_all(const duty_record& duty) -> void;
    /// The newest duty record known from the store or an announcement.
    [[nodiscard]] auto newest_duty() const -> std::optional<duty_record>;
    /// The coordinator has newer rules than this instance.
    auto catch_up_rules(time_point now, const std::string& address) -> void;

    auto make_report(time_point now, bool with_questions) -> instance_report;
    auto send_report(time_point now) -> void;
    auto on_report_answer(std::uint64_t number, time_point asked_at,
                          const std::optional<report_answer>& answer) -> void;
    auto serve_report(const instance_report& report) -> report_answer;
    auto finish_leaving(time_point now) -> void;

    session_settings settings_;
    platform& platform_;
    incarnation run_;
    metrics metrics_;
    log_writer log_;
    session_proxy proxy_;
    primary_coordinator coordinator_;
    account_ledger ledger_;
    server_links links_;
    server_probes probes_;
    fleet_link fleet_;
    QTcpServer callers_;
    QHttpServer ready_page_;
    QHttpServer metrics_page_;
    QTcpServer ready_listener_;
    QTcpServer metrics_listener_;
    QTimer timer_;

    struct caller {
        line_socket* socket = nullptr;
        bool started = false;
    };
    std::map<caller_id, caller> sockets_;
    caller_id next_caller_ = 1;
    int unsent_ = 0; ///< closed sessions whose last answer is still being sent

    mirrored rules_;
    mirrored servers_;
    mirrored primaries_;
    bool read_duty_now_ = false; ///< the duty was handed to this instance
    bool reading_duty_ = false;
    bool reading_primaries_ = false; ///< after the duty was taken
    time_point duty_read_at_;
    std::shared_ptr<const desired_state> in_force_;
    std::map<server_id, backend_server> known_servers_;
    std::map<server_id, departed_server> departed_;
    bool servers_listed_ = false;
    std::uint64_t servers_version_ =
        0; ///< of the coordinator's list that is known here; of its own list at the coordinator
    bool fetching_servers_ = false;

    bool registered_ = false;
    bool registering_ = false;
    time_point register_at_;
    std::uint64_t registration_revision_ = 0;

    struct word {
        time_point asked_at;
        primary_record record;
    };
    std::map<group_id, word> words_; ///< of the coordinator, by group
    instance_addresses instances_;   ///< registered ones, known while this instance coordinates
    std::optional<duty_record> announced_;
    time_point announced_at_;
    bool fetching_rules_ = false;
    bool held_duty_ = false;
    std::uint64_t report_ = 0; ///< number of the last report
    bool reporting_ = false;   ///< it has no answer yet
    std::vector<token_question> asked_;
    time_point reported_at_;
    bool report_now_ = false;
    bool coordinator_answers_ = false;

    bool leaving_ = false;
    time_point leaving_at_;
    std::function<void()> left_;
};

} // namespace citronlug
