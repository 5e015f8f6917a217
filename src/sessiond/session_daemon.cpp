#include "session_daemon.h"

#include <citronlug/network_address.h>

#include <QHostAddress>
#include <QHttpServerResponse>
#include <fmt/format.h>

#include <random>

namespace citronlug {

namespace {

constexpr auto tick_interval_ms = 20;

/// Maximum wait of a watch at the store. Changes arrive immediately; the wait only bounds how long an
/// unresponsive connection stays undetected. The wait can be long while the coordinator is reachable, because
/// its answers announce newer rules and primaries.
constexpr auto servers_watch = duration{2500ms};

/// Maximum waits while the coordinator is unreachable. Answers to watches of the primaries then renew the
/// permissions.
constexpr auto rules_watch_fallback = duration{1900ms};

constexpr auto primaries_watch_fallback = duration{900ms};

/// The load balancer needs two readiness checks, a second apart, to detect that this instance is leaving.
constexpr auto drain_notice_time = duration{2500ms};

constexpr auto listen_backlog = 512;

auto random_secret() -> std::string {
    return fmt::format("{:016x}{:016x}", random_number(), random_number());
}

} // namespace

auto random_number() -> std::uint64_t {
    auto source = std::random_device{};
    return (std::uint64_t{source()} << 32U | source()) | 1U;
}

session_daemon::session_daemon(session_settings settings, platform& on)
    : settings_{std::move(settings)}
    , platform_{on}
    , run_{random_number()}
    , started_at_{clock_now()}
    , log_{settings_.instance, settings_.log_lines_per_s, metrics_, 1}
    , proxy_{settings_.domain, *this, metrics_}
    , coordinator_{settings_.instance,
                   run_,
                   settings_.peer_address,
                   random_secret(),
                   lease_acquisition_delay(settings_.processor_share),
                   [this](const coordinator_event& it) {
                       log(log_level::info, value_of<log_event>(it.name).value_or(log_event::change_started),
                           {{"group", it.group}, {"detail", it.detail}});
                   }}
    , token_allocator_{settings_.limit_window}
    , links_{on.wire,
             {[this](connection_id id) { proxy_.on_server_opened(clock_now(), id); },
              [this](connection_id id, connection_loss reason) {
                  proxy_.on_server_lost(clock_now(), id, reason);
              },
              [this](connection_id id, const session_answer& answer) {
                  proxy_.on_server_answer(clock_now(), id, answer);
              }}}
    , probes_{on.wire,
              [this](const server_id& id, time_point asked_at, const probe_result& result) {
                  coordinator_.on_probe(clock_now(), id, asked_at, result);
              }}
    , fleet_{settings_.instance,
             settings_.peer_address,
             {[this](const instance_report& report) { return handle_report(report); },
              [this](const coordinator_lease& lease) {
                  if (!announced_lease_ || lease.fencing_token > announced_lease_->fencing_token) {
                      announced_lease_ = lease;
                      report_due_ = true;
                      lease_read_due_ = lease.holder == settings_.instance;
                  }
              }}}
    , rules_{record_kind::rules, store_mirror{rules_watch_fallback}}
    , servers_{record_kind::servers, store_mirror{servers_watch}}
    , primaries_{record_kind::primaries, store_mirror{primaries_watch_fallback}}
    , evacuated_{record_kind::evacuations, store_mirror{evacuation_watch_wait}}
    , evacuations_{settings_.evacuation_limit} {
    enforce_evacuations(started_at_);
    proxy_.limiter().set_window(settings_.limit_window);
}

session_daemon::~session_daemon() = default;

auto session_daemon::start() -> std::optional<std::string> {
    QObject::connect(&callers_, &QTcpServer::newConnection, this, [this] { on_new_connection(); });
    callers_.setListenBacklogSize(listen_backlog);
    callers_.setMaxPendingConnections(listen_backlog);
    const auto callers = parse_network_address(settings_.caller_address).value_or(network_address{});
    if (!callers_.listen(QHostAddress{QString::fromStdString(callers.host)}, callers.port)) {
        return fmt::format("cannot listen on {}: {}", settings_.caller_address,
                           callers_.errorString().toStdString());
    }
    if (!start_http_endpoints()) {
        return fmt::format("cannot listen on {} for readiness checks and {} for metrics",
                           settings_.ready_address, settings_.metrics_address);
    }
    update_store_watches(clock_now());
    QObject::connect(&timer_, &QTimer::timeout, this, [this] { on_tick(); });
    timer_.start(tick_interval_ms);
    log(log_level::info, log_event::process_started,
        {{"run", std::to_string(run_)},
         {"callers", settings_.caller_address},
         {"store", settings_.store_address}});
    on_tick();
    return std::nullopt;
}

auto session_daemon::start_http_endpoints() -> bool {
    ready_http_.route(QString::fromStdString(platform_.ready_path), [this] {
        return QHttpServerResponse{is_ready() ? QHttpServerResponder::StatusCode::Ok
                                              : QHttpServerResponder::StatusCode::ServiceUnavailable};
    });
    metrics_http_.route("/metrics", [this] {
        return QHttpServerResponse{"text/plain; version=0.0.4", QByteArray::fromStdString(metrics_.text())};
    });
    const auto listen = [](QTcpServer& on, QHttpServer& page, const std::string& address) {
        const auto it = parse_network_address(address).value_or(network_address{});
        if (!on.listen(QHostAddress{QString::fromStdString(it.host)}, it.port)) {
            return false;
        }
        page.bind(&on);
        return true;
    };
    return listen(ready_listener_, ready_http_, settings_.ready_address) &&
           listen(metrics_listener_, metrics_http_, settings_.metrics_address);
}

auto session_daemon::is_ready() const -> bool {
    return !leaving_ && active_rules_ && servers_listed_ && enforced_evacuations_.is_known &&
           proxy_.can_serve(clock_now());
}

auto session_daemon::reload(const session_settings& settings) -> void {
    log(log_level::info, log_event::settings_reloaded,
        {{"changed", settings == settings_ ? "nothing" : "yes"}, {"store", settings.store_address}});
    if (settings.store_address != settings_.store_address) {
        platform_.store.set_address(settings.store_address);
    }
    if (settings.promotion_address != settings_.promotion_address) {
        platform_.promotions.set_address(settings.promotion_address);
    }
    settings_.store_address = settings.store_address;
    settings_.promotion_address = settings.promotion_address;
    settings_.leave_time = settings.leave_time;
}

// Callers.

auto session_daemon::on_new_connection() -> void {
    while (auto* socket = callers_.nextPendingConnection()) {
        if (caller_sockets_.size() >= static_cast<std::size_t>(settings_.max_callers)) {
            metrics_.count("citronlug_callers_refused_total");
            socket->abort();
            socket->deleteLater();
            continue;
        }
        const auto id = next_caller_++;
        auto on = line_socket::handlers{};
        on.line = [this, id](std::string_view line) {
            on_caller_line(id, line);
        };
        on.closed = [this, id](bool /*refused*/) {
            const auto it = caller_sockets_.find(id);
            it->second.socket->deleteLater();
            caller_sockets_.erase(it);
            proxy_.on_caller_closed(clock_now(), id);
        };
        caller_sockets_[id].socket =
            new line_socket{socket, platform_.wire.max_line_bytes(), std::move(on), this};
        caller_sockets_[id].socket->resume();
    }
}

auto session_daemon::on_caller_line(caller_id id, std::string_view line) -> void {
    auto& it = caller_sockets_.at(id);
    auto message = platform_.wire.decode_caller(line);
    if (std::holds_alternative<caller_terminate>(message)) {
        close_caller(id);
        return;
    }
    // The next line is delivered after the answer to this one.
    it.socket->pause();
    const auto now = clock_now();
    if (auto* start = std::get_if<caller_start>(&message); start != nullptr && !it.started) {
        it.started = true;
        proxy_.on_start(now, id, start->database, start->key);
    } else if (auto* statement = std::get_if<session_statement>(&message);
               statement != nullptr && it.started) {
        proxy_.on_statement(now, id, std::move(*statement));
    } else {
        reject_caller(id, {session_error::malformed, "a session must start with exactly one start message"});
    }
}

auto session_daemon::accept_caller(caller_id caller) -> void {
    auto& it = caller_sockets_.at(caller);
    it.socket->send(platform_.wire.encode_accept());
    it.socket->resume();
}

auto session_daemon::reject_caller(caller_id caller, const session_failure& reason) -> void {
    caller_sockets_.at(caller).socket->send(platform_.wire.encode_reject(reason));
    close_caller(caller);
}

auto session_daemon::answer_caller(caller_id caller, const session_answer& answer) -> void {
    const auto it = caller_sockets_.find(caller);
    if (it != caller_sockets_.end()) {
        it->second.socket->send(platform_.wire.encode_answer(answer));
        it->second.socket->resume();
    }
}

auto session_daemon::close_caller(caller_id caller) -> void {
    const auto it = caller_sockets_.find(caller);
    if (it == caller_sockets_.end()) {
        return;
    }
    ++closing_sockets_;
    QObject::connect(it->second.socket, &QObject::destroyed, this, [this] { --closing_sockets_; });
    it->second.socket->finish();
    caller_sockets_.erase(it);
    // Deferred because the function that closes the session may still use it.
    QTimer::singleShot(0, this, [this, caller] { proxy_.on_caller_closed(clock_now(), caller); });
}

auto session_daemon::open_server(connection_id connection, const backend_server& server,
                                 const account_id& account) -> void {
    metrics_.count("citronlug_server_connections_total");
    links_.open(connection, server, account);
}

auto session_daemon::send_server(connection_id connection, const server_request& request) -> void {
    links_.send(connection, request);
}

auto session_daemon::close_server(connection_id connection) -> void {
    links_.close(connection);
}

auto session_daemon::send_token_requests() -> void {
    report_due_ = true;
    QTimer::singleShot(0, this, [this] { send_report(clock_now()); });
}

auto session_daemon::log(log_level level, log_event event, const std::vector<log_field>& fields) -> void {
    metrics_.count("citronlug_events_total", {{"event", std::string{name_of(event)}}});
    log_.write(clock_now(), level, event, fields);
}

// Leaving.

auto session_daemon::leave(std::function<void()> done) -> void {
    if (leaving_) {
        return;
    }
    const auto now = clock_now();
    leaving_ = true;
    schedule_ = make_shutdown_schedule(now, settings_.leave_time);
    on_left_ = std::move(done);
    log(log_level::info, log_event::process_stopping, {{"sessions", std::to_string(proxy_.open_sessions())}});
    for (const auto& it : coordinator_.leave(now)) {
        perform(now, it);
    }
    proxy_.begin_shutdown(schedule_);
}

auto session_daemon::finish_leaving(time_point now) -> void {
    const auto all_answered = closing_sockets_ == 0 && !proxy_.has_statements_in_progress();
    const auto all_closed = caller_sockets_.empty() && closing_sockets_ == 0;
    if ((all_closed && now - schedule_.begun >= drain_notice_time) ||
        (all_answered && now >= schedule_.exit_at) || now >= schedule_.last_exit) {
        for (const auto& [id, it] : caller_sockets_) {
            it.socket->flush();
        }
        log(log_level::info, log_event::process_stopped,
            {{"sessions_cut", std::to_string(caller_sockets_.size())}});
        log_.flush(now);
        timer_.stop();
        on_left_();
    }
}

} // namespace citronlug
