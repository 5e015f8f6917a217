#pragma once

#include "transport.h"

#include <QNetworkAccessManager>

#include <optional>
#include <string>
#include <vector>

namespace citronlug {

/// Administration API over HTTP. Tries the servers in order, and starts with the one that answered last.
/// A change carries a random id, so that it is made once even if it reaches several servers.
class http_client : public transport {
public:
    http_client(std::vector<std::string> servers, std::string token, duration timeout);

    auto get(const QString& path) -> call_result override;
    auto post(const QString& path, const QJsonObject& body) -> call_result override;
    auto pause(duration time) -> void override;

private:
    auto call_servers(const QString& path, const std::optional<QByteArray>& body) -> call_result;
    auto call(const std::string& server, const QString& path, const std::optional<QByteArray>& body)
        -> call_result;

    std::vector<std::string> servers_;
    std::string token_;
    duration timeout_;
    QNetworkAccessManager network_;
    std::size_t next_ = 0;
};

} // namespace citronlug
