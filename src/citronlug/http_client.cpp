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

/// True if the request certainly did not reach the server.
auto is_not_sent(QNetworkReply::NetworkError error) -> bool {
    return error == QNetworkReply::ConnectionRefusedError || error == QNetworkReply::HostNotFoundError;
}

/// True if the server has refused the change without effect and another server may accept it.
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
        outcome.status = call_status::not_sent; // a question has no effect
    }
    return outcome;
}

auto http_client::post(const QString& path, const QJsonObject& body) -> call_result {
    // With an id of its own the change is made once, however often the request arrives.
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
    // A refusal by one server says nothing about a change that another one may have made.
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
    if (reply->isOpen()) { // it is closed after a timeout
        outcome.body = reply->readAll();
    }
    // An HTTP status with a broken body is no answer; HTTP errors such as 409 are answers.
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
