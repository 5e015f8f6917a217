#pragma once

#include "transport.h"

#include <QNetworkAccessManager>

#include <optional>
#include <string>
#include <vector>

namespace citronlug {

/// Client of the administration API over HTTP. Tries the servers in order, starting with the one that
/// answered last. Each change carries a random id, so that it is applied once even if several servers get it.
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
