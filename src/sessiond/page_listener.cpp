#include "page_listener.h"

#include <algorithm>

namespace citronlug {

namespace {

/// A page has one load balancer or a few collectors of metrics as readers.
constexpr auto max_connections = std::size_t{32};
/// A request has no body and few headers.
constexpr auto max_request_bytes = qint64{8} * 1024;
/// For a request and for reading its answer; also the longest pause between requests.
constexpr auto request_timeout_ms = 5000;

} // namespace

page_socket::page_socket(std::function<void(const char*)> on_refused, QObject* parent)
    : QTcpSocket{parent}
    , on_refused_{std::move(on_refused)} {
    setReadBufferSize(max_request_bytes);
    // Connected before the HTTP parser's slot, so it sees all bytes first.
    QObject::connect(this, &QTcpSocket::readyRead, this, [this] { on_data(); });
    QObject::connect(this, &QTcpSocket::bytesWritten, this, [this] {
        if (bytesToWrite() == 0) {
            request_bytes_ = 0;
            timeout_.start();
        }
    });
    timeout_.setSingleShot(true);
    timeout_.setInterval(request_timeout_ms);
    QObject::connect(&timeout_, &QTimer::timeout, this, [this] {
        if (request_bytes_ > 0 || bytesToWrite() > 0) {
            refuse("timeout");
        } else {
            abort();
        }
    });
    timeout_.start();
}

auto page_socket::on_data() -> void {
    // A second request before the answer to the first would let unsent answers accumulate.
    const auto data = peek(max_request_bytes);
    const auto end = data.indexOf("\r\n\r\n");
    request_bytes_ += data.size();
    if (request_bytes_ > max_request_bytes) {
        refuse("request-size");
    } else if (bytesToWrite() > 0 || (end >= 0 && end + 4 < data.size())) {
        refuse("pipelined");
    }
}

auto page_socket::refuse(const char* why) -> void {
    on_refused_(why);
    readAll(); // the parser must not see it
    abort();
}

auto page_listener::incomingConnection(qintptr handle) -> void {
    if (open_.size() >= max_connections) {
        auto* oldest = open_.front();
        open_.pop_front();
        on_refused_("connections");
        oldest->abort();
    }
    auto* socket = new page_socket{on_refused_, this};
    open_.push_back(socket);
    QObject::connect(socket, &QObject::destroyed, this, [this, socket] { std::erase(open_, socket); });
    socket->setSocketDescriptor(handle);
    addPendingConnection(socket);
}

} // namespace citronlug
