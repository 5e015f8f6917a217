#include "session_daemon.h"

#include <citronlug/network_address.h>

#include <QHostAddress>
#include <QHttpServerResponse>
#include <fmt/format.h>

#include <random>

#include <sys/socket.h>

namespace citronlug {

namespace {

constexpr auto tick_interval_ms = 20;

/// Maximum waits while the coordinator is unreachable. Answers to watches of the primaries then renew the
/// permissions.
constexpr auto copy_watch_fallback = duration{1900ms};

constexpr auto primaries_watch_fallback = duration{900ms};

/// The load balancer needs two readiness checks, a second apart, to detect that this instance is leaving.
constexpr auto drain_notice_time = duration{2500ms};

constexpr auto listen_backlog = 512;
/// Connections that are accepted before others are served. Without this limit, a burst of connections whose
/// first messages have arrived, but are not read yet, would be closed as unfinished ones.
constexpr auto accepted_at_once = 64;

auto random_secret() -> std::string {
    return fmt::format("{:016x}{:016x}", random_number(), random_number());
}

/// A message before the session is accepted has a database name and a key.
constexpr auto max_start_bytes = std::size_t{4096};

/// A statement is held once by itself and once in the buffer of the connection to the server.
constexpr auto copies_of_statement = std::size_t{2};

/// Kernel's buffers of a caller's connection; accepted sockets inherit them. Without a limit, the kernel
/// holds up to 32 MiB of received data for each connection.
constexpr auto receive_buffer_bytes = 16 * 1024;
constexpr auto send_buffer_bytes = 64 * 1024;

auto limit_kernel_buffers(int listener) -> void {
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    setsockopt(listener, SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes, sizeof send_buffer_bytes);
}

/// What counts as one address: for IPv6 the network of 64 bits, of which one machine may use all addresses.
auto address_of(const QTcpSocket& socket) -> std::string {
    const auto address = socket.peerAddress();
    auto is_v4 = false;
    address.toIPv4Address(&is_v4);
    if (is_v4 || address.protocol() != QAbstractSocket::IPv6Protocol) {
        return address.toString().toStdString();
    }
    const auto bytes = address.toIPv6Address();
    return std::string{reinterpret_cast<const char*>(&bytes), 8};
}

} // namespace

auto random_number() -> std::uint64_t {
    auto source = std::random_device{};
    return (std::uint64_t{source()} << 32U | source()) | 1U;
}

session_daemon::session_daemon(session_settings settings, platform& on)
    : settings_{std::move(settings)}
    , platform_{on}
    , store_{on.store,
             {[this](std::uint64_t before, std::uint64_t era, bool restored) {
                  on_store_era(before, era, restored);
              },
              [this] {
                  metrics_.count("citronlug_store_answers_dropped_total");
              }}}
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
    , deputy_requests_{run_}
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
                  coordinator_.on_token_seen(lease.fencing_token);
                  if (!announced_lease_ || lease.fencing_token > announced_lease_->fencing_token) {
                      announced_lease_ = lease;
                      report_due_ = true;
                      lease_read_due_ = lease.holder == settings_.instance;
                  }
              }}}
    , caller_admission_{make_caller_limits(settings_)}
    , caller_memory_{make_caller_limits(settings_).memory}
    , rules_{record_kind::rules, store_mirror{copy_watch_fallback}}
    , servers_{record_kind::servers, store_mirror{copy_watch_fallback}}
    , primaries_{record_kind::primaries, store_mirror{primaries_watch_fallback}}
    , evacuated_{record_kind::evacuations, store_mirror{evacuation_watch_wait}}
    , evacuations_{settings_.evacuation_limit} {
    enforce_evacuations(started_at_);
    proxy_.limiter().set_window(settings_.limit_window);
}

session_daemon::~session_daemon() = default;

auto session_daemon::start() -> std::optional<std::string> {
    // Queued, so that between groups of new connections the first messages of earlier ones are read.
    QObject::connect(
        &callers_, &QTcpServer::newConnection, this, [this] { on_new_connection(); }, Qt::QueuedConnection);
    callers_.setListenBacklogSize(listen_backlog);
    callers_.setMaxPendingConnections(accepted_at_once);
    const auto callers = parse_network_address(settings_.caller_address).value_or(network_address{});
    if (!callers_.listen(QHostAddress{QString::fromStdString(callers.host)}, callers.port)) {
        return fmt::format("cannot listen on {}: {}", settings_.caller_address,
                           callers_.errorString().toStdString());
    }
    limit_kernel_buffers(static_cast<int>(callers_.socketDescriptor()));
    if (!start_http_endpoints()) {
        return fmt::format("cannot listen on {} for readiness checks and {} for metrics",
                           settings_.ready_address, settings_.metrics_address);
    }
    proxy_.set_server_limits(settings_.server_limits, run_);
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
    for (auto* it : {&ready_listener_, &metrics_listener_}) {
        it->set_refusal_handler([this](const char* why) {
            metrics_.count("citronlug_page_connections_closed_total", {{"why", why}});
        });
    }
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
        store_.set_address(settings.store_address);
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
    const auto now = clock_now();
    while (auto* socket = callers_.nextPendingConnection()) {
        const auto id = next_caller_++;
        const auto address = address_of(*socket);
        const auto closing = static_cast<std::size_t>(closing_sockets_);
        auto decision = caller_admission_.on_connected(now, id, address, closing);
        if (decision.refused == caller_refusal::connections) {
            // Otherwise callers that open sessions and send nothing would keep all others out.
            if (const auto idle = proxy_.longest_idle_session(now)) {
                metrics_.count("citronlug_idle_sessions_closed_total");
                close_caller(*idle);
                decision = caller_admission_.on_connected(now, id, address, closing);
            }
        }
        if (decision.close) {
            drop_caller(now, *decision.close, caller_refusal::unfinished, {});
        }
        if (decision.refused) {
            note_refusal(now, *decision.refused);
            socket->abort();
            socket->deleteLater();
            continue;
        }
        auto on = line_socket::handlers{};
        on.line = [this, id](std::string_view line) {
            on_caller_line(id, line);
        };
        on.closed = [this, id](bool /*refused*/) {
            const auto it = caller_sockets_.find(id);
            it->second.socket->deleteLater();
            forget_caller(id);
            proxy_.on_caller_closed(clock_now(), id);
        };
        on.reserve = [this, id](std::size_t more) {
            return caller_memory_.request(clock_now(), id, more);
        };
        on.buffers_changed = [this, id] {
            measure_buffers(id);
        };
        on.line_too_long = [this] {
            note_refusal(clock_now(), caller_refusal::length);
        };
        caller_sockets_[id].socket = new line_socket{socket, max_start_bytes, std::move(on), this};
        caller_sockets_[id].socket->resume();
    }
}

auto session_daemon::note_refusal(time_point now, caller_refusal why, std::uint64_t n) -> void {
    const auto name = std::string{name_of(why)};
    metrics_.count("citronlug_callers_refused_total", {{"why", name}}, n);
    if (caller_admission_.may_log(now, why)) {
        log(log_level::warning, log_event::caller_refused,
            {{"why", name},
             {"connections", std::to_string(caller_sockets_.size())},
             {"bytes", std::to_string(caller_memory_.shared())}});
    }
}

auto session_daemon::drop_caller(time_point now, caller_id id, caller_refusal why, const std::string& text)
    -> void {
    const auto it = caller_sockets_.find(id);
    if (it == caller_sockets_.end()) {
        return;
    }
    note_refusal(now, why);
    auto* socket = it->second.socket;
    if (!text.empty() && socket->unsent_bytes() == 0) {
        reject_caller(id, {session_error::busy, text});
        return;
    }
    socket->abort();
    forget_caller(id);
    // Deferred because the proxy may be calling.
    QTimer::singleShot(0, this, [this, id] { proxy_.on_caller_closed(clock_now(), id); });
}

auto session_daemon::forget_caller(caller_id id) -> void {
    caller_sockets_.erase(id);
    caller_admission_.on_closed(id);
    caller_memory_.remove(id);
}

auto session_daemon::measure_buffers(caller_id id) -> void {
    const auto it = caller_sockets_.find(id);
    if (it != caller_sockets_.end()) {
        const auto now = clock_now();
        caller_memory_.set(now, id, memory_use::input, it->second.socket->input_bytes());
        caller_memory_.set(now, id, memory_use::answers, it->second.socket->unsent_bytes());
    }
}

auto session_daemon::enforce_caller_limits(time_point now) -> void {
    for (const auto id : caller_admission_.expired(now)) {
        drop_caller(now, id, caller_refusal::no_start, {});
    }
    if (const auto id = caller_memory_.next_to_close(now)) {
        drop_caller(now, *id, caller_refusal::memory, "no memory for the message; send it again later");
    }
    for (const auto id : caller_memory_.resumable()) {
        const auto it = caller_sockets_.find(id);
        if (it != caller_sockets_.end()) {
            it->second.socket->resume();
        }
    }
    const auto refused_peers = fleet_.refused_connections();
    if (refused_peers > refused_peers_) {
        note_refusal(now, caller_refusal::peer, refused_peers - refused_peers_);
        refused_peers_ = refused_peers;
    }
    for (const auto use :
         {memory_use::input, memory_use::statements, memory_use::session, memory_use::answers}) {
        metrics_.set("citronlug_caller_bytes", {{"use", std::string{name_of(use)}}},
                     static_cast<double>(caller_memory_.held(use)));
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
        const auto bytes = statement->id.size() + statement->text.size() + statement->body.size();
        const auto is_kept = statement->verb == session_verb::set_value ||
                             statement->verb == session_verb::prepare_read ||
                             statement->verb == session_verb::prepare_write;
        if (is_kept && !caller_memory_.request(now, id, statement->name.size() + statement->body.size())) {
            drop_caller(now, id, caller_refusal::memory,
                        "no memory for session values and prepared statements");
            return;
        }
        caller_memory_.set(now, id, memory_use::statements, copies_of_statement * bytes);
        proxy_.on_statement(now, id, std::move(*statement));
        if (is_kept && caller_sockets_.contains(id)) {
            caller_memory_.set(now, id, memory_use::session, proxy_.session_bytes(id));
        }
    } else {
        reject_caller(id, {session_error::malformed, "a session must start with exactly one start message"});
    }
}

auto session_daemon::accept_caller(caller_id caller) -> void {
    const auto it = caller_sockets_.find(caller);
    if (it == caller_sockets_.end()) {
        return; // dropped in this turn of the event loop; the proxy is told in the next one
    }
    caller_admission_.on_started(caller);
    it->second.socket->set_max_line_bytes(platform_.wire.max_line_bytes());
    it->second.socket->send(platform_.wire.encode_accept());
    it->second.socket->resume();
}

auto session_daemon::reject_caller(caller_id caller, const session_failure& reason) -> void {
    const auto it = caller_sockets_.find(caller);
    if (it == caller_sockets_.end()) {
        return; // as above
    }
    it->second.socket->send(platform_.wire.encode_reject(reason));
    close_caller(caller);
}

auto session_daemon::answer_caller(caller_id caller, const session_answer& answer) -> void {
    const auto it = caller_sockets_.find(caller);
    if (it != caller_sockets_.end()) {
        const auto now = clock_now();
        it->second.socket->send(platform_.wire.encode_answer(answer));
        it->second.socket->resume();
        caller_memory_.set(now, caller, memory_use::statements, 0);
        measure_buffers(caller);
        while (const auto id = caller_memory_.over_budget(now)) {
            drop_caller(now, *id, caller_refusal::memory, {});
        }
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
    forget_caller(caller);
    // Deferred because the function that closes the session may still use it.
    QTimer::singleShot(0, this, [this, caller] { proxy_.on_caller_closed(clock_now(), caller); });
}

auto session_daemon::open_server(connection_id connection, const backend_server& server,
                                 const account_id& account) -> void {
    links_.open(connection, server, account);
}

auto session_daemon::send_server(connection_id connection, const server_request& request) -> void {
    if (request.id.empty()) {
        metrics_.count("citronlug_own_statements_total", {{"action", std::string{name_of(request.action)}}});
    }
    links_.send(connection, request);
}

auto session_daemon::close_server(connection_id connection) -> void {
    links_.close(connection);
}

auto session_daemon::send_token_requests() -> void {
    report_due_ = true;
    QTimer::singleShot(0, this, [this] {
        send_report(clock_now());
        request_from_deputy(clock_now());
    });
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
