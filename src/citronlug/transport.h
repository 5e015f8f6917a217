#pragma once

#include <citronlug/types.h>

#include <QByteArray>
#include <QJsonObject>
#include <QString>

#include <string>

namespace citronlug {

/// Outcome of a call to the administration API.
enum class call_status {
    answered,   ///< `http_status` and `body` are set
    not_sent,   ///< no server was reached; nothing was changed
    unanswered, ///< sent without a complete response; a change may have taken effect
};

struct call_result {
    call_status status = call_status::not_sent;
    int http_status = 0;
    QByteArray body;
    std::string server;  ///< address of the server
    std::string message; ///< reason if there is no response

    [[nodiscard]] auto succeeded() const -> bool {
        return status == call_status::answered && http_status == 200;
    }
};

/// Access to the administration API and timer. Tests substitute a fake.
class transport {
public:
    transport() = default;
    transport(const transport&) = delete;
    auto operator=(const transport&) -> transport& = delete;
    virtual ~transport() = default;

    /// Sends a GET for a path below /admin/v1; `path` may include an encoded query.
    virtual auto get(const QString& path) -> call_result = 0;
    virtual auto post(const QString& path, const QJsonObject& body) -> call_result = 0;
    virtual auto pause(duration time) -> void = 0;
};

} // namespace citronlug
