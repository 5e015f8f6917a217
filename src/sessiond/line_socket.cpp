#include "line_socket.h"

#include <citronlug/network_address.h>

#include <QHostAddress>
#include <QPointer>
#include <QTimer>

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace citronlug {

namespace {

/// The connection is aborted if more data waits to be sent, because the peer does not read.
constexpr auto max_unsent_bytes = qint64{4} * 1024 * 1024;
/// Data that is buffered while delivery is paused.
constexpr auto read_ahead_bytes = qint64{64} * 1024;
/// Buffer of the socket of a limited connection. With as much in the line buffer it is what each caller may
/// always hold.
constexpr auto limited_read_ahead_bytes = qint64{2} * 1024;
/// Kernel's buffer of received data of a limited connection, at first and while it receives a large line.
/// With 16 KiB alone, a message of 1 MiB from another region (20 ms) would take more than a second.
constexpr auto receive_buffer_bytes = 16 * 1024;
constexpr auto large_receive_buffer_bytes = 256 * 1024;
/// A limited connection gets the answer to its next line only when less than this waits to be sent, so that a
/// peer that does not read holds one answer.
constexpr auto max_unsent_before_next_line = qint64{16} * 1024;
/// A closed connection whose peer does not take the rest of the data is reset after this time.
constexpr auto finish_timeout_ms = 5000;
/// A connection on which sent data is not acknowledged for this time is closed.
constexpr auto tcp_user_timeout_ms = 3000U;
constexpr auto keep_alive_idle_s = 2;
constexpr auto keep_alive_interval_s = 1;
constexpr auto keep_alive_probes = 2;

} // namespace

line_socket::line_socket(QTcpSocket* socket, std::size_t max_line_bytes, handlers on, QObject* parent)
    : QObject{parent}
    , socket_{socket}
    , max_line_bytes_{max_line_bytes}
    , on_{std::move(on)} {
    socket_->setParent(this);
    socket_->setReadBufferSize(is_limited() ? limited_read_ahead_bytes : read_ahead_bytes);
    if (is_limited()) {
        QObject::connect(socket_, &QTcpSocket::bytesWritten, this, [this] {
            if (detached_) {
                return;
            }
            on_.buffers_changed();
            if (!paused_ && socket_->bytesToWrite() <= max_unsent_before_next_line) {
                resume();
            }
        });
    }
    QObject::connect(socket_, &QTcpSocket::readyRead, this, [this] { deliver(); });
    QObject::connect(socket_, &QTcpSocket::connected, this, [this] {
        set_options();
        if (on_.connected) {
            on_.connected();
        }
    });
    QObject::connect(socket_, &QTcpSocket::disconnected, this, [this] { on_closed(false); });
    QObject::connect(socket_, &QTcpSocket::errorOccurred, this, [this](QAbstractSocket::SocketError error) {
        on_closed(error == QAbstractSocket::ConnectionRefusedError);
    });
    if (socket_->state() == QAbstractSocket::ConnectedState) {
        set_options();
    }
}

auto line_socket::set_options() -> void {
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    const auto fd = static_cast<int>(socket_->socketDescriptor());
    const auto on = 1;
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keep_alive_idle_s, sizeof keep_alive_idle_s);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keep_alive_interval_s, sizeof keep_alive_interval_s);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keep_alive_probes, sizeof keep_alive_probes);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcp_user_timeout_ms, sizeof tcp_user_timeout_ms);
}

auto line_socket::connect_to(const std::string& address) -> void {
    post([this, address] {
        const auto to = parse_network_address(address).value_or(network_address{});
        socket_->connectToHost(QHostAddress{QString::fromStdString(to.host)}, to.port);
    });
}

auto line_socket::send(const std::string& lines) -> void {
    if (detached_ || closed_) {
        return;
    }
    socket_->write(lines.data(), static_cast<qint64>(lines.size()));
    if (socket_->bytesToWrite() > max_unsent_bytes) {
        socket_->abort();
    }
}

auto line_socket::flush() -> void {
    socket_->flush();
}

auto line_socket::resume() -> void {
    paused_ = false;
    if (!delivering_ && (line_start_ < buffer_.size() || socket_->bytesAvailable() > 0)) {
        post([this] { deliver(); });
    }
}

auto line_socket::post(const std::function<void()>& work) -> void {
    QMetaObject::invokeMethod(this, work, Qt::QueuedConnection);
}

auto line_socket::input_bytes() const -> std::size_t {
    // Not what the socket's buffer holds at the moment, so that bytes that trickle in don't count as
    // progress.
    return static_cast<std::size_t>(buffer_.capacity() + socket_->readBufferSize());
}

auto line_socket::unsent_bytes() const -> std::size_t {
    return static_cast<std::size_t>(socket_->bytesToWrite());
}

auto line_socket::set_receiving_large(bool large) -> void {
    if (std::exchange(receiving_large_, large) == large) {
        return;
    }
    socket_->setReadBufferSize(large ? read_ahead_bytes : limited_read_ahead_bytes);
    const auto bytes = large ? large_receive_buffer_bytes : receive_buffer_bytes;
    setsockopt(static_cast<int>(socket_->socketDescriptor()), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

auto line_socket::receive() -> bool {
    const auto available = socket_->bytesAvailable();
    if (available == 0) {
        return false;
    }
    if (static_cast<std::size_t>(buffer_.size()) > max_line_bytes_) {
        if (on_.line_too_long) {
            on_.line_too_long();
        }
        socket_->abort();
        return false;
    }
    if (!is_limited()) {
        buffer_ += socket_->readAll();
        return true;
    }
    const auto needed = buffer_.size() + available;
    if (needed > buffer_.capacity()) {
        // Doubled, so that a message that arrives byte by byte is not copied for each byte.
        const auto longest = static_cast<qsizetype>(max_line_bytes_) + read_ahead_bytes;
        const auto capacity = std::max(needed, std::min(2 * buffer_.capacity(), longest));
        if (!on_.reserve(static_cast<std::size_t>(capacity - buffer_.capacity()))) {
            return false;
        }
        buffer_.reserve(capacity);
    }
    set_receiving_large(buffer_.capacity() > receive_buffer_bytes);
    buffer_ += socket_->readAll();
    return true;
}

auto line_socket::deliver() -> void {
    if (delivering_) {
        return;
    }
    delivering_ = true;
    const auto self = QPointer<line_socket>{this};
    while (!detached_ && !paused_) {
        if (is_limited() && socket_->bytesToWrite() > max_unsent_before_next_line) {
            break;
        }
        const auto end = buffer_.indexOf("\r\n", std::max(line_start_, scanned_));
        if (end < 0) {
            buffer_.remove(0, line_start_);
            line_start_ = 0;
            scanned_ = std::max<qsizetype>(buffer_.size() - 1, 0);
            if (!receive()) {
                break;
            }
            continue;
        }
        const auto line =
            std::string_view{buffer_.constData() + line_start_, static_cast<std::size_t>(end - line_start_)};
        line_start_ = end + 2;
        on_.line(line);
        if (!self) {
            return;
        }
    }
    if (line_start_ == buffer_.size()) {
        buffer_.clear();
        line_start_ = 0;
        scanned_ = 0;
        if (is_limited() && !detached_) {
            set_receiving_large(false);
        }
    }
    delivering_ = false;
    if (detached_) {
        buffer_ = {};
    } else if (is_limited()) {
        on_.buffers_changed();
    }
}

auto line_socket::on_closed(bool refused) -> void {
    if (std::exchange(closed_, true)) {
        return;
    }
    post([this, refused] {
        deliver(); // lines received before the connection was closed
        if (std::exchange(detached_, true)) {
            return;
        }
        on_.closed(refused);
    });
}

auto line_socket::finish() -> void {
    detached_ = true;
    if (!delivering_) {
        buffer_ = {};
    }
    QObject::connect(socket_, &QTcpSocket::disconnected, this, &QObject::deleteLater);
    if (socket_->state() == QAbstractSocket::UnconnectedState) {
        deleteLater();
        return;
    }
    QTimer::singleShot(finish_timeout_ms, this, [this] { socket_->abort(); });
    socket_->disconnectFromHost();
}

auto line_socket::abort() -> void {
    detached_ = true;
    socket_->abort();
    deleteLater();
}

} // namespace citronlug
