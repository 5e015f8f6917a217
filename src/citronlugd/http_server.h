#pragma once

#include <citronlug/types.h>

#include <QByteArray>
#include <QString>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace citronlug {

/// Limits that Qt HTTP Server 6.4 does not provide.
struct http_limits {
    std::int64_t header_bytes = 16 * 1024;
    std::int64_t body_bytes = 1024 * 1024;
    std::int64_t unauthenticated_body_bytes = 16 * 1024; ///< for requests without a valid key
    std::int64_t total_body_bytes = 64 * 1024 * 1024; ///< sum of Content-Length over all incomplete requests
    duration request_timeout = 10s;                   ///< from the first to the last byte of a request
    duration first_request_timeout = 10s;             ///< from connecting to the first complete request
    duration idle_timeout = 120s;                     ///< between requests
    duration write_timeout = 10s;                     ///< without progress in sending a response
    std::size_t connections = 16000;
};

struct http_request {
    std::string method;
    QString path; ///< decoded, without query
    QString query;
    QByteArray authorization; ///< value of the Authorization header
    QByteArray body;
};

/// Request that awaits its reply. The reply may be sent asynchronously, but only on the server's thread.
class http_exchange {
public:
    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    auto operator=(const http_exchange&) -> http_exchange& = delete;
    virtual ~http_exchange() = default;
    /// `retry_after` is sent as the Retry-After header, in seconds rounded up; zero omits the header.
    virtual auto reply(int status, const QByteArray& body,
                       const QByteArray& content_type = "application/json", duration retry_after = {})
        -> void = 0;
    /// False once the peer has closed the connection.
    [[nodiscard]] virtual auto connected() const -> bool = 0;
};

/// HTTP/1.1 server with bounded memory, time and number of connections. Pipelining is not supported: a peer
/// that sends a request before the response to the previous one is disconnected.
class http_server {
public:
    using handler = std::function<void(http_request, std::shared_ptr<http_exchange>)>;
    /// True if the value of the Authorization header is a valid key, which permits large bodies.
    using key_check = std::function<bool(const QByteArray&)>;

    http_server(http_limits limits, handler handle, key_check check);
    ~http_server();
    http_server(const http_server&) = delete;
    auto operator=(const http_server&) -> http_server& = delete;

    /// Listens on "host:port"; port 0 lets the system choose. Returns the port, 0 on failure.
    auto listen(const std::string& address) -> std::uint16_t;
    auto stop_listening() -> void;
    [[nodiscard]] auto connections() const -> std::size_t;
    /// Number of requests and connections rejected by the limits or for invalid framing.
    [[nodiscard]] auto rejected() const -> std::uint64_t;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace citronlug
