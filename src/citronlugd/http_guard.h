#pragma once

#include "http_server.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <unordered_set>

namespace citronlug {

class guarded_socket;

/// State shared by all connections of one server.
struct http_guard_state {
    http_limits limits;
    http_server::key_check check_key;
    std::unordered_set<guarded_socket*> sockets;
    std::int64_t declared_body_bytes = 0;
    std::uint64_t rejected = 0;
};

/// Connection that enforces size and time limits, which Qt's HTTP parser lacks. It tracks the framing of the
/// requests in a slot for readyRead that is connected before the parser's, so it sees all bytes first.
class guarded_socket : public QTcpSocket {
public:
    guarded_socket(std::shared_ptr<http_guard_state> state, QObject* parent);
    ~guarded_socket() override;

    /// To be called when the reply has been written; the connection then accepts the next request.
    auto request_finished() -> void;
    /// Closes the connection if a timeout has expired.
    auto enforce_timeouts(time_point now) -> void;
    /// True while no request is being handled and no valid key has been presented.
    [[nodiscard]] auto is_evictable() const -> bool;
    [[nodiscard]] auto last_activity() const -> time_point { return last_activity_; }
    /// Sends an error response and closes the connection. Further input is discarded.
    auto reject(int status, const char* code, const char* message) -> void;

private:
    enum class phase { idle, header, body, handling, closing };

    auto track_framing() -> void;
    auto process_header() -> bool;
    auto release_declared_bytes() -> void;

    std::shared_ptr<http_guard_state> state_;
    phase phase_ = phase::idle;
    QByteArray head_;
    std::int64_t body_left_ = 0;
    std::int64_t declared_bytes_ = 0;
    time_point connected_at_;
    time_point request_started_at_;  ///< first byte of the current request
    time_point last_activity_;       ///< last byte read or response written
    time_point last_write_progress_; ///< last write to the socket that made progress
    bool request_served_ = false;
    bool authenticated_ = false; ///< a valid key was presented
    bool keep_open_ = true;
};

/// Accepts connections as guarded sockets.
class guarded_listener : public QTcpServer {
public:
    explicit guarded_listener(std::shared_ptr<http_guard_state> state);

protected:
    auto incomingConnection(qintptr handle) -> void override;

private:
    std::shared_ptr<http_guard_state> state_;
};

} // namespace citronlug
