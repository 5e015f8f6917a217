#pragma once

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace citronlug {

/// TCP connection that carries lines ended by CR LF. Its handlers are called from the event loop only, never
/// from within its functions. Finds a peer that went silent by keep-alive probes, and one that does not read
/// by the amount of data that waits for it.
class line_socket : public QObject {
public:
    struct handlers {
        std::function<void(std::string_view line)> line;
        std::function<void(bool refused)> closed; ///< once; `refused`: nothing listens there
        std::function<void()> connected;
    };

    /// Takes over an accepted or a new socket.
    line_socket(QTcpSocket* socket, std::size_t max_line_bytes, handlers on, QObject* parent);

    auto connect_to(const std::string& address) -> void;
    auto send(const std::string& lines) -> void;
    /// Delivers no further line until `resume`.
    auto pause() -> void { paused_ = true; }
    auto resume() -> void;
    /// Closes once all data is sent; no handler is called any more.
    auto finish() -> void;
    /// Closes at once; no handler is called any more.
    auto abort() -> void;

private:
    auto set_options() -> void;
    auto deliver() -> void;
    auto on_closed(bool refused) -> void;
    /// Calls `work` from the event loop, unless the connection is gone by then.
    auto post(const std::function<void()>& work) -> void;

    QTcpSocket* socket_;
    std::size_t max_line_bytes_;
    handlers on_;
    QByteArray buffer_;
    qsizetype line_start_ = 0; ///< of the first line that is not delivered
    bool paused_ = false;
    bool delivering_ = false;
    bool closed_ = false;   ///< the peer or the network closed it
    bool detached_ = false; ///< no handler is called any more
};

/// Splits numeric "host:port"; port 0 if it is not one.
[[nodiscard]] auto split_address(const std::string& address) -> std::pair<QString, std::uint16_t>;

} // namespace citronlug
