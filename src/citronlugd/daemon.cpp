#include "daemon.h"

#include <QUrl>
#include <QUrlQuery>

#include <chrono>
#include <random>

#include <fmt/format.h>

namespace citronlug {

namespace {

constexpr auto timeline_capacity = std::size_t{10'000};
/// Time for which new requests are still served after the health check has turned to 503, so that load
/// balancers can take the instance out of rotation.
constexpr auto health_check_grace = 1s;
/// Deadlines of the shutdown steps, all counted from the start of the shutdown. They keep the whole exit
/// within 10 s.
constexpr auto drain_deadline = 5s;
constexpr auto hand_over_deadline = 7s;
constexpr auto finish_deadline = 9s;

auto wall_us() -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

auto random_incarnation() -> incarnation {
    auto source = std::random_device{};
    return (std::uint64_t{source()} << 32U | source()) | 1U;
}

auto limits_of(const process_settings& settings) -> http_limits {
    auto limits = http_limits{};
    limits.connections = static_cast<std::size_t>(settings.limits.connections);
    limits.body_bytes = settings.limits.body_bytes;
    limits.header_bytes = settings.limits.header_bytes;
    limits.idle_timeout = settings.limits.idle;
    return limits;
}

} // namespace

daemon::daemon(process_settings settings)
    : settings_{std::move(settings)}
    , incarnation_{random_incarnation()}
    , started_at_{clock_now()}
    , log_{settings_.instance, log_level::info}
    , timeline_{settings_.instance, timeline_capacity} {}

daemon::~daemon() {
    caller_server_.reset();
    admin_server_.reset();
    if (peers_) {
        peers_->stop();
    }
    if (control_) {
        control_->stop();
    }
    for (auto& it : shards_) {
        it->stop();
    }
}

auto daemon::record(timeline_event event) -> void {
    const auto now = wall_us();
    metrics_.count("citronlug_events_total", {{"kind", event.kind}});
    // Events of single requests are recorded in the timeline only; the log covers state changes.
    if (event.request.empty()) {
        auto fields = std::vector<log_field>{};
        for (const auto& [name, value] :
             {std::pair{"database", event.database.value}, std::pair{"account", event.account.value},
              std::pair{"detail", event.detail}}) {
            if (!value.empty()) {
                fields.push_back({name, value});
            }
        }
        log_.write(now, log_level::info, event.kind, fields);
    }
    timeline_.record(now, std::move(event));
}

auto daemon::make_peer_services() -> peer_services {
    auto services = peer_services{};
    services.cell_message = [this](peer_message message, const hybrid_time& at,
                                   std::function<void(std::vector<peer_message>)> reply) {
        timeline_.observe(at, wall_us());
        control_->on_peer_message(std::move(message), std::move(reply));
    };
    services.cell_reply = [this](peer_message message) {
        control_->on_peer_message(std::move(message), nullptr);
    };
    services.config_version = [this] {
        const auto view = control_->view();
        return view->config ? view->config->config.version : 0;
    };
    services.execute = [this](request work, answer_handler done) {
        auto& shard = *shards_[shard_index(work.database, shards_.size())];
        shard.execute(std::move(work), std::move(done));
    };
    services.take_grant = [this](const account_id& account, std::uint32_t wanted,
                                 std::function<void(grant_reply)> done) {
        control_->take_grant(account, wanted, std::move(done));
    };
    services.return_tokens = [this](const account_id& account, std::uint32_t tokens, duration age) {
        control_->return_tokens(account, tokens, age);
    };
    services.fetch_config = [this](std::uint64_t version) {
        const auto view = control_->view();
        if (!view->config || view->config->config.version <= version) {
            return config_reply{};
        }
        return config_reply{view->config->config.version, view->config->text};
    };
    services.locate = [this](const role_id& role) {
        return control_->locate(role);
    };
    services.timeline = [this](const timeline_filter& filter) {
        return timeline_.select(filter);
    };
    services.cancel = [this](const database_id& database, const account_id& account, const request_id& id) {
        shards_[shard_index(database, shards_.size())]->cancel(database, account, id);
    };
    return services;
}

auto daemon::start() -> std::optional<std::string> {
    auto events = [this](timeline_event event) {
        record(std::move(event));
    };
    auto options = pg_options{};
    options.application = settings_.instance.value;
    control_ = std::make_unique<control_plane>(settings_, incarnation_, peers_pointer_, shards_, events,
                                               [this] { return timeline_.stamp(wall_us()); });
    for (auto n = 0; n < settings_.shards; ++n) {
        shards_.push_back(std::make_unique<holder_shard>(
            fmt::format("shard-{}", n), options, [this] { return control_->authority_until(); }, events));
    }
    peers_ = std::make_unique<peer_rpc>(settings_.instance, settings_.peer_secret, make_peer_services());
    peers_pointer_ = peers_.get();
    if (peers_->listen(settings_.peer_address) == 0) {
        return "cannot listen on peer_address " + settings_.peer_address;
    }
    gateway_ = std::make_unique<request_gateway>(settings_, *control_, shards_, *peers_, metrics_, events);
    admin_ = std::make_unique<admin_api>(*this, settings_.admin_tokens);
    caller_server_ = std::make_unique<http_server>(
        limits_of(settings_),
        [this](const http_request& incoming, std::shared_ptr<http_exchange> exchange) {
            gateway_->handle(incoming, std::move(exchange));
        },
        [this](const QByteArray& authorization) { return gateway_->has_valid_key(authorization); });
    auto admin_limits = http_limits{};
    admin_limits.connections = 200;
    admin_limits.unauthenticated_body_bytes = admin_limits.body_bytes;
    admin_limits.total_body_bytes = 8 * admin_limits.body_bytes;
    admin_server_ = std::make_unique<http_server>(
        admin_limits,
        [this](const http_request& incoming, const std::shared_ptr<http_exchange>& exchange) {
            handle_admin(incoming, exchange);
        },
        nullptr);
    control_->start([this] { gateway_->on_view_change(); });
    if (caller_server_->listen(settings_.caller_address) == 0) {
        return "cannot listen on caller_address " + settings_.caller_address;
    }
    if (admin_server_->listen(settings_.admin_address) == 0) {
        return "cannot listen on admin_address " + settings_.admin_address;
    }
    record({.kind = "started", .detail = fmt::format("incarnation {:x}", incarnation_)});
    return std::nullopt;
}

auto daemon::handle_admin(const http_request& incoming, const std::shared_ptr<http_exchange>& exchange)
    -> void {
    auto query = std::map<std::string, std::string>{};
    const auto items = QUrlQuery{incoming.query}.queryItems(QUrl::FullyDecoded);
    for (const auto& [name, value] : items) {
        query[name.toStdString()] = value.toStdString();
    }
    admin_->handle(admin_request{incoming.method, incoming.path.toStdString(), std::move(query),
                                 incoming.authorization.toStdString(), incoming.body.toStdString()},
                   [exchange](const admin_response& response) {
                       exchange->reply(response.status, QByteArray::fromStdString(response.body),
                                       QByteArray::fromStdString(response.content_type));
                   });
}

auto daemon::leave(std::function<void()> done) -> void {
    if (on_left_) {
        return;
    }
    on_left_ = std::move(done);
    leave_started_ = clock_now();
    record({.kind = "leaving"});
    control_->announce_leaving();
    QObject::connect(&leave_timer_, &QTimer::timeout, &queue_, [this] { continue_leaving(); });
    leave_timer_.start(50);
}

auto daemon::continue_leaving() -> void {
    const auto waited = clock_now() - leave_started_;
    if (leave_step_ == 0 && waited >= health_check_grace) {
        for (auto& it : shards_) {
            it->start_drain();
        }
        leave_step_ = 1;
    } else if (leave_step_ == 1) {
        auto drained = true;
        for (const auto& it : shards_) {
            drained = drained && it->drained();
        }
        if (drained || waited >= drain_deadline) {
            control_->hand_over();
            leave_step_ = 2;
        }
    } else if (leave_step_ == 2 && (control_->handed_over() || waited >= hand_over_deadline)) {
        caller_server_->stop_listening();
        gateway_->refuse_new_requests();
        leave_step_ = 3;
    } else if (leave_step_ == 3 && (gateway_->requests_in_flight() == 0 || waited >= finish_deadline)) {
        leave_timer_.stop();
        record({.kind = "left",
                .detail = fmt::format("{} requests unfinished", gateway_->requests_in_flight())});
        on_left_();
    }
}

} // namespace citronlug
