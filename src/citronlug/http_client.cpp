#include "http_client.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QRandomGenerator>
#include <QTimer>

#include <array>
#include <memory>

namespace citronlug {

namespace {

/// True if the request is known not to have reached the server.
auto is_not_sent(QNetworkReply::NetworkError error) -> bool {
    return error == QNetworkReply::ConnectionRefusedError || error == QNetworkReply::HostNotFoundError;
}

/// True if the server rejected the change without side effects and another server may accept it.
auto is_retryable_refusal(const call_result& it) -> bool {
    const auto body = QJsonDocument::fromJson(it.body).object();
    return it.http_status == 503 && body.value("error").toObject().value("code").toString() == "no-authority";
}

} // namespace

http_client::http_client(std::vector<std::string> servers, std::string token, duration timeout)
    : servers_(std::move(servers))
    , token_(std::move(token))
    , timeout_(timeout) {
    network_.setProxy(QNetworkProxy{QNetworkProxy::NoProxy});
}

auto http_client::get(const QString& path) -> call_result {
    auto outcome = call_servers(path, std::nullopt);
    if (outcome.status == call_status::unanswered) {
        outcome.status = call_status::not_sent; // a GET has no side effects
    }
    return outcome;
}

auto http_client::post(const QString& path, const QJsonObject& body) -> call_result {
    // The id makes the change idempotent: servers apply it once even if they receive it several times.
    auto payload = body;
    auto id = std::array<quint32, 4>{};
    QRandomGenerator::system()->fillRange(id.data(), id.size());
    payload.insert(
        "change_id",
        QString::fromUtf8(
            QByteArray{reinterpret_cast<const char*>(id.data()), static_cast<qsizetype>(sizeof id)}.toHex()));
    return call_servers(path, QJsonDocument{payload}.toJson(QJsonDocument::Compact));
}

auto http_client::pause(duration time) -> void {
    auto loop = QEventLoop{};
    QTimer::singleShot(static_cast<int>(time / 1ms), &loop, &QEventLoop::quit);
    loop.exec();
}

auto http_client::call_servers(const QString& path, const std::optional<QByteArray>& body) -> call_result {
    auto outcome = call_result{};
    auto unanswered = std::optional<call_result>{};
    auto refused = std::optional<call_result>{};
    for (std::size_t n = 0; n < servers_.size(); ++n) {
        outcome = call(servers_[next_], path, body);
        if (outcome.status == call_status::answered && !is_retryable_refusal(outcome)) {
            return outcome;
        }
        if (outcome.status == call_status::unanswered) {
            unanswered = outcome;
        } else if (outcome.status == call_status::answered) {
            refused = outcome;
        }
        next_ = (next_ + 1) % servers_.size();
    }
    // If any server left the request unanswered, it may have applied the change, so the outcome is unknown.
    return unanswered ? *unanswered : refused.value_or(outcome);
}

auto http_client::call(const std::string& server, const QString& path, const std::optional<QByteArray>& body)
    -> call_result {
    auto request = QNetworkRequest{QUrl{"http://" + QString::fromStdString(server) + "/admin/v1" + path}};
    request.setRawHeader("Authorization", "Bearer " + QByteArray::fromStdString(token_));
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    request.setTransferTimeout(static_cast<int>(timeout_ / 1ms));
    // A redirect could send the token to another host.
    request.setAttribute(QNetworkRequest::RedirectPolicyAttribute, QNetworkRequest::ManualRedirectPolicy);
    const auto reply =
        std::unique_ptr<QNetworkReply>{body ? network_.post(request, *body) : network_.get(request)};
    auto loop = QEventLoop{};
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    if (!reply->isFinished()) {
        loop.exec();
    }
    auto outcome = call_result{};
    outcome.server = server;
    outcome.http_status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (reply->isOpen()) { // a timeout closes the reply
        outcome.body = reply->readAll();
    }
    // A truncated response counts as unanswered; HTTP errors such as 409 are complete responses.
    const auto error = reply->error();
    const auto complete = error == QNetworkReply::NoError || error > QNetworkReply::ProxyTimeoutError;
    if (outcome.http_status > 0 && complete) {
        outcome.status = call_status::answered;
    } else {
        outcome.status = is_not_sent(error) ? call_status::not_sent : call_status::unanswered;
        outcome.message = server + ": " + reply->errorString().toStdString();
    }
    return outcome;
}

} // namespace citronlug
