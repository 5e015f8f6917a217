#pragma once

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <cstddef>
#include <deque>
#include <functional>
#include <string>

namespace citronlug {

/// Connection to a page without parameters. Qt's HTTP parser has no limits; this one closes a connection that
/// sends more than one small request at a time, or that does not complete a request and read its answer in
/// time.
class page_socket : public QTcpSocket {
public:
    page_socket(std::function<void(const char* why)> on_refused, QObject* parent);

private:
    auto on_data() -> void;
    auto refuse(const char* why) -> void;

    std::function<void(const char*)> on_refused_;
    QTimer timeout_;
    qint64 request_bytes_ = 0; ///< since the last answer
};

/// Accepts connections to the readiness or the metrics page. When there are too many, the oldest is closed,
/// so that connections that send nothing don't keep out the load balancer.
class page_listener : public QTcpServer {
public:
    /// To be called before `listen`. `on_refused` is called for each connection that is closed by a limit.
    auto set_refusal_handler(std::function<void(const char* why)> on_refused) -> void {
        on_refused_ = std::move(on_refused);
    }

protected:
    auto incomingConnection(qintptr handle) -> void override;

private:
    std::function<void(const char*)> on_refused_;
    std::deque<page_socket*> open_; ///< oldest first
};

} // namespace citronlug
