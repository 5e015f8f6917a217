#pragma once

#include <citronlug/types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace citronlug::bench {

/// Answer to an HTTP request; status 0 means that the transfer failed.
struct http_answer {
    long status = 0;
    std::string body;
};

/// Many concurrent HTTP requests over kept connections, in the calling thread.
class http_client {
public:
    using handler = std::function<void(http_answer)>;

    http_client();
    ~http_client();
    http_client(const http_client&) = delete;
    auto operator=(const http_client&) -> http_client& = delete;

    /// Starts a request; `done` is called from `poll`.
    auto send(const std::string& method, const std::string& url, const std::vector<std::string>& headers,
              std::string body, duration timeout, handler done) -> void;
    /// Transfers data for at most `wait`, then calls the handlers of finished requests.
    auto poll(duration wait) -> void;
    /// Requests that have not finished.
    [[nodiscard]] auto in_flight() const -> std::size_t;
    /// Sends one request and waits for its answer.
    [[nodiscard]] auto call(const std::string& method, const std::string& url,
                            const std::vector<std::string>& headers, std::string body, duration timeout)
        -> http_answer;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace citronlug::bench
