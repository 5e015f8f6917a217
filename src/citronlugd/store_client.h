#pragma once

#include <citronlug/cell_node.h>

#include <QNetworkAccessManager>
#include <QNetworkRequest>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace citronlug {

/// HTTP client for the platform's object API and instance list. Must be used on the thread that creates it;
/// each handler is called exactly once, asynchronously, on that thread.
class store_client {
public:
    using reply_handler = std::function<void(store_reply)>;

    store_client(const std::string& address, const instance_id& self);

    auto get(const std::string& key, reply_handler done) -> void;
    /// Conditional update; `expected_version` 0 means that the object must not exist.
    auto put(const std::string& key, const std::string& value, std::uint64_t expected_version,
             reply_handler done) -> void;
    /// Long poll: waits at the store until the version of the object exceeds `after`. Replies `not_found` if
    /// there is no newer version within `wait`.
    auto watch(const std::string& key, std::uint64_t after, duration wait, reply_handler done) -> void;
    auto instances(std::function<void(std::optional<std::vector<listed_instance>>)> done) -> void;
    auto announce(const listed_instance& self, std::function<void(bool)> done) -> void;

    /// True if the call that completed last received a response.
    [[nodiscard]] auto last_call_answered() const -> bool { return last_call_answered_; }
    [[nodiscard]] auto calls() const -> std::uint64_t { return calls_; }

private:
    struct http_reply {
        int status = 0; ///< 0: no response
        std::uint64_t version = 0;
        QByteArray body;
    };
    using http_handler = std::function<void(const http_reply&)>;

    [[nodiscard]] auto request(const QString& path, duration limit) const -> QNetworkRequest;
    auto finish(QNetworkReply* reply, http_handler done) -> void;

    QString base_;
    QByteArray self_;
    QNetworkAccessManager manager_;
    QNetworkAccessManager
        watcher_; ///< separate, since pending watches would occupy the connections of other calls
    bool last_call_answered_ = false;
    std::uint64_t calls_ = 0;
};

} // namespace citronlug
