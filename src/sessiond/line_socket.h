#pragma once

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace citronlug {

/// TCP connection that carries lines ended by CR LF. Handlers are called from the event loop only, never from
/// within member functions. Detects an unresponsive peer by TCP keep-alive probes, and one that does not read
/// by the amount of unsent data.
class line_socket : public QObject {
public:
    struct handlers {
        std::function<void(std::string_view line)> line;
        std::function<void(bool refused)> closed; ///< called once; `refused`: the connection was refused
        std::function<void()> connected;
        /// If set, the memory of the connection is limited: called before the buffer of received data grows
        /// by `more` bytes. If it returns false, reading stops until `resume`.
        std::function<bool(std::size_t more)> reserve;
        /// Called when the size of a buffer has changed; only if `reserve` is set.
        std::function<void()> buffers_changed;
        std::function<void()> line_too_long; ///< called before the connection ends for this reason
    };

    /// Takes ownership of an accepted or an unconnected socket. A longer line ends the connection.
    line_socket(QTcpSocket* socket, std::size_t max_line_bytes, handlers on, QObject* parent);

    auto connect_to(const std::string& address) -> void;
    auto send(const std::string& lines) -> void;
    /// Sends what the kernel accepts at once.
    auto flush() -> void;
    /// Stops delivery of lines until `resume`.
    auto pause() -> void { paused_ = true; }
    auto resume() -> void;
    auto set_max_line_bytes(std::size_t bytes) -> void { max_line_bytes_ = bytes; }
    /// Sizes of the buffers of this process for the connection.
    [[nodiscard]] auto input_bytes() const -> std::size_t;
    [[nodiscard]] auto unsent_bytes() const -> std::size_t;
    /// Closes the connection once all data is sent, at the latest after 5 s. No handler is called afterwards.
    auto finish() -> void;
    /// Closes the connection immediately. No handler is called afterwards.
    auto abort() -> void;

private:
    auto set_options() -> void;
    auto deliver() -> void;
    /// Takes received data from the socket into the buffer. Returns false if there is none, or no memory for
    /// it.
    auto receive() -> bool;
    [[nodiscard]] auto is_limited() const -> bool { return static_cast<bool>(on_.reserve); }
    /// Lets the kernel and the socket buffer more while a large line is being received.
    auto set_receiving_large(bool large) -> void;
    auto on_closed(bool refused) -> void;
    /// Queues `work` on the event loop; it is dropped if this object is destroyed before.
    auto post(const std::function<void()>& work) -> void;

    QTcpSocket* socket_;
    std::size_t max_line_bytes_;
    handlers on_;
    QByteArray buffer_;
    qsizetype line_start_ = 0; ///< offset of the first undelivered line in the buffer
    qsizetype scanned_ = 0;    ///< the buffer has no end of a line before this offset
    bool receiving_large_ = false;
    bool paused_ = false;
    bool delivering_ = false;
    bool closed_ = false;   ///< the peer or the network closed it
    bool detached_ = false; ///< no more handlers are called
};

} // namespace citronlug
