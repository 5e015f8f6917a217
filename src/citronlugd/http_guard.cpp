#include "http_guard.h"

#include "event_thread.h"

#include <fmt/format.h>

#include <algorithm>

namespace citronlug {

namespace {

/// Value of a header; empty if it is missing. `count` receives the number of occurrences.
auto header_value(const QByteArray& head, const QByteArray& name, int& count) -> QByteArray {
    auto value = QByteArray{};
    count = 0;
    auto at = head.indexOf("\r\n");
    while (at >= 0 && at + 2 < head.size()) {
        const auto start = at + 2;
        at = head.indexOf("\r\n", start);
        const auto colon = head.indexOf(':', start);
        if (colon < 0 || (at >= 0 && colon > at)) {
            continue;
        }
        if (head.mid(start, colon - start).compare(name, Qt::CaseInsensitive) == 0) {
            ++count;
            value = head.mid(colon + 1, at < 0 ? -1 : at - colon - 1).trimmed();
        }
    }
    return value;
}

} // namespace

guarded_socket::guarded_socket(std::shared_ptr<http_guard_state> state, QObject* parent)
    : QTcpSocket{parent}
    , state_{std::move(state)}
    , connected_at_{clock_now()}
    , last_activity_{connected_at_}
    , last_write_progress_{connected_at_} {
    setReadBufferSize(qint64{256} * 1024);
    state_->sockets.insert(this);
    connect(this, &QTcpSocket::readyRead, this, [this] { track_framing(); });
    connect(this, &QTcpSocket::bytesWritten, this, [this] { last_write_progress_ = clock_now(); });
}

guarded_socket::~guarded_socket() {
    release_declared_bytes();
    state_->sockets.erase(this);
}

auto guarded_socket::release_declared_bytes() -> void {
    state_->declared_body_bytes -= declared_bytes_;
    declared_bytes_ = 0;
}

auto guarded_socket::is_evictable() const -> bool {
    return !authenticated_ && phase_ != phase::handling && phase_ != phase::closing;
}

auto guarded_socket::reject(int status, const char* code, const char* message) -> void {
    if (phase_ == phase::closing) {
        return;
    }
    phase_ = phase::closing;
    ++state_->rejected;
    release_declared_bytes();
    const auto body = fmt::format(R"({{"outcome":"not run","code":"{}","message":"{}"}})", code, message);
    const auto text =
        fmt::format("HTTP/1.1 {} Refused\r\nContent-Type: application/json\r\nContent-Length: {}\r\n"
                    "Connection: close\r\n\r\n{}",
                    status, body.size(), body);
    readAll();
    write(text.data(), static_cast<qint64>(text.size()));
    last_activity_ = clock_now();
    disconnectFromHost();
}

auto guarded_socket::track_framing() -> void {
    if (phase_ == phase::closing) {
        readAll();
        return;
    }
    const auto now = clock_now();
    last_activity_ = now;
    if (phase_ == phase::handling) {
        reject(400, "bad-request", "a request was sent before the answer to the previous one");
        return;
    }
    if (phase_ == phase::idle) {
        phase_ = phase::header;
        request_started_at_ = now;
        head_.clear();
    }
    auto available = bytesAvailable();
    if (phase_ == phase::header) {
        const auto chunk = peek(std::min(available, state_->limits.header_bytes + 4 - head_.size()));
        const auto before = head_.size();
        head_ += chunk;
        const auto end = head_.indexOf("\r\n\r\n", std::max<qsizetype>(0, before - 3));
        if (end < 0) {
            if (head_.size() >= state_->limits.header_bytes) {
                reject(431, "bad-request", "the request header is larger than 16 kB");
            }
            return;
        }
        available -= end + 4 - before;
        head_.truncate(end + 2);
        if (!process_header()) {
            return;
        }
    }
    body_left_ -= available;
    if (body_left_ < 0) {
        reject(400, "bad-request", "more bytes than the stated Content-Length, or a pipelined request");
    } else if (body_left_ == 0) {
        release_declared_bytes();
        phase_ = phase::handling;
        head_.clear();
    }
}

auto guarded_socket::process_header() -> bool {
    auto n = 0;
    header_value(head_, "transfer-encoding", n);
    if (n > 0) {
        reject(411, "bad-request", "a body needs the header Content-Length; chunked bodies are not accepted");
        return false;
    }
    const auto length = header_value(head_, "content-length", n);
    auto valid = true;
    const auto size = n == 0 ? 0 : length.toLongLong(&valid);
    if (n > 1 || !valid || size < 0) {
        reject(400, "bad-request", "Content-Length is not valid");
        return false;
    }
    if (size > state_->limits.body_bytes) {
        reject(413, "bad-request", "the body is larger than 1 MB");
        return false;
    }
    auto key_count = 0;
    const auto key = header_value(head_, "authorization", key_count);
    if (size > state_->limits.unauthenticated_body_bytes &&
        !(key_count == 1 && state_->check_key && state_->check_key(key))) {
        reject(401, "unauthorised", "a body larger than 16 kB needs a valid key");
        return false;
    }
    if (state_->declared_body_bytes + size > state_->limits.total_body_bytes) {
        reject(503, "overloaded", "too many large requests are being received");
        return false;
    }
    authenticated_ =
        authenticated_ || (!request_served_ && key_count == 1 && state_->check_key && state_->check_key(key));
    declared_bytes_ = size;
    state_->declared_body_bytes += size;
    body_left_ = size;
    auto connection_count = 0;
    const auto connection = header_value(head_, "connection", connection_count).toLower();
    const auto line_end = head_.indexOf("\r\n");
    const auto is_http_1_0 = head_.left(line_end).endsWith("HTTP/1.0");
    keep_open_ = connection != "close" && (!is_http_1_0 || connection == "keep-alive");
    phase_ = phase::body;
    return true;
}

auto guarded_socket::request_finished() -> void {
    if (phase_ != phase::handling) {
        return;
    }
    request_served_ = true;
    phase_ = phase::idle;
    last_activity_ = clock_now();
    last_write_progress_ = last_activity_;
    if (!keep_open_) {
        phase_ = phase::closing;
        disconnectFromHost();
    }
}

auto guarded_socket::enforce_timeouts(time_point now) -> void {
    const auto& limits = state_->limits;
    switch (phase_) {
    case phase::closing:
        if (now - last_activity_ > 2s) {
            abort();
        }
        return;
    case phase::handling:
        return;
    case phase::header:
    case phase::body:
        if (now - request_started_at_ > limits.request_timeout) {
            reject(408, "bad-request", "the request was not complete within 10 s");
        }
        return;
    case phase::idle:
        if (bytesToWrite() > 0 && now - last_write_progress_ > limits.write_timeout) {
            abort();
        } else if (!request_served_ && now - connected_at_ > limits.first_request_timeout) {
            reject(408, "bad-request", "no request was received within 10 s");
        } else if (now - last_activity_ > limits.idle_timeout) {
            phase_ = phase::closing;
            disconnectFromHost();
        }
        return;
    }
}

guarded_listener::guarded_listener(std::shared_ptr<http_guard_state> state)
    : state_{std::move(state)} {
    setMaxPendingConnections(1024);
    // With the default of 50, connections in a burst wait a second or more each for SYN retransmissions.
    setListenBacklogSize(4096);
}

auto guarded_listener::incomingConnection(qintptr handle) -> void {
    if (state_->sockets.size() >= state_->limits.connections) {
        // Evicts the connection without a valid key that has been inactive longest, so that unauthenticated
        // peers cannot lock out callers by holding connections.
        auto* oldest = static_cast<guarded_socket*>(nullptr);
        auto seen = 0;
        for (auto* it : state_->sockets) {
            if (it->is_evictable() && (oldest == nullptr || it->last_activity() < oldest->last_activity())) {
                oldest = it;
            }
            if (oldest != nullptr && ++seen > 512) {
                break; // bounds the search; any evictable connection is good enough
            }
        }
        if (oldest != nullptr) {
            oldest->abort();
        }
    }
    auto* socket = new guarded_socket{state_, this};
    socket->setSocketDescriptor(handle);
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    if (state_->sockets.size() > state_->limits.connections + 64) {
        socket->reject(503, "overloaded", "too many connections");
        QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
        return;
    }
    addPendingConnection(socket);
}

} // namespace citronlug
