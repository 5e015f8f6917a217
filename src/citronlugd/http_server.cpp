#include "http_server.h"

#include "event_thread.h"
#include "http_guard.h"

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QPointer>
#include <QTimer>
#include <QUrl>

#include <optional>

namespace citronlug {

namespace {

auto method_name(QHttpServerRequest::Method method) -> std::string {
    switch (method) {
    case QHttpServerRequest::Method::Get:
        return "GET";
    case QHttpServerRequest::Method::Put:
        return "PUT";
    case QHttpServerRequest::Method::Delete:
        return "DELETE";
    case QHttpServerRequest::Method::Post:
        return "POST";
    case QHttpServerRequest::Method::Head:
        return "HEAD";
    default:
        return "OTHER";
    }
}

class exchange final : public http_exchange {
public:
    exchange(QHttpServerResponder responder, guarded_socket* socket)
        : responder_{std::move(responder)}
        , socket_{socket} {}

    ~exchange() override {
        if (responder_) {
            exchange::reply(503, R"({"outcome":"not run","code":"shutting-down","message":"no answer"})",
                            "application/json", {});
        }
    }

    auto reply(int status, const QByteArray& body, const QByteArray& content_type, duration retry_after)
        -> void override {
        if (!responder_) {
            return;
        }
        if (connected()) {
            const auto code = static_cast<QHttpServerResponder::StatusCode>(status);
            if (retry_after > 0us) {
                const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
                responder_->write(
                    body,
                    {{"Content-Type", content_type}, {"Retry-After", QByteArray::number(qint64{seconds})}},
                    code);
            } else {
                responder_->write(body, {{"Content-Type", content_type}}, code);
            }
        }
        responder_.reset();
        if (socket_) {
            socket_->request_finished();
        }
    }

    [[nodiscard]] auto connected() const -> bool override {
        return socket_ && socket_->state() == QAbstractSocket::ConnectedState;
    }

private:
    std::optional<QHttpServerResponder> responder_;
    QPointer<guarded_socket> socket_;
};

} // namespace

class http_server::implementation : public QAbstractHttpServer {
public:
    implementation(http_limits limits, handler handle, key_check check)
        : state_{std::make_shared<http_guard_state>()}
        , handle_{std::move(handle)} {
        state_->limits = limits;
        state_->check_key = std::move(check);
        timeout_timer_.setInterval(500);
        QObject::connect(&timeout_timer_, &QTimer::timeout, this, [this] {
            const auto now = clock_now();
            const auto sockets = std::vector<guarded_socket*>{state_->sockets.begin(), state_->sockets.end()};
            for (auto* it : sockets) {
                if (state_->sockets.contains(it)) {
                    it->enforce_timeouts(now);
                }
            }
        });
        timeout_timer_.start();
    }

    auto handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) -> bool override {
        auto* guarded = static_cast<guarded_socket*>(socket);
        const auto url = request.url();
        handle_(http_request{method_name(request.method()), url.path(), url.query(),
                             request.value("authorization"), request.body()},
                std::make_shared<exchange>(makeResponder(request, socket), guarded));
        return true;
    }

    auto missingHandler(const QHttpServerRequest& /*request*/, QTcpSocket* /*socket*/) -> void override {}

    std::shared_ptr<http_guard_state> state_;
    handler handle_;
    QTimer timeout_timer_;
    guarded_listener* listener_ = nullptr;
};

http_server::http_server(http_limits limits, handler handle, key_check check)
    : impl_{std::make_unique<implementation>(limits, std::move(handle), std::move(check))} {}

http_server::~http_server() = default;

auto http_server::listen(const std::string& address) -> std::uint16_t {
    const auto colon = address.rfind(':');
    const auto host = QHostAddress{QString::fromStdString(address.substr(0, colon))};
    auto* listener = new guarded_listener{impl_->state_};
    if (!listener->listen(host, static_cast<quint16>(std::stoi(address.substr(colon + 1))))) {
        delete listener;
        return 0;
    }
    impl_->bind(listener); // takes ownership
    impl_->listener_ = listener;
    return listener->serverPort();
}

auto http_server::stop_listening() -> void {
    if (impl_->listener_ != nullptr) {
        impl_->listener_->close();
    }
}

auto http_server::connections() const -> std::size_t {
    return impl_->state_->sockets.size();
}

auto http_server::rejected() const -> std::uint64_t {
    return impl_->state_->rejected;
}

} // namespace citronlug
