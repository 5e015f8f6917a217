#pragma once

#include <citronlug/types.h>

#include <QByteArray>
#include <QJsonObject>
#include <QString>

#include <string>

namespace citronlug {

/// How a call to the administration API ended.
enum class call_status {
    answered,   ///< `http_status` and `body` are set
    not_sent,   ///< no server could be reached; nothing was changed
    unanswered, ///< sent, but the answer is missing; a change may have taken effect
};

struct call_result {
    call_status status = call_status::not_sent;
    int http_status = 0;
    QByteArray body;
    std::string server;  ///< which server answered
    std::string message; ///< why there is no answer

    [[nodiscard]] auto succeeded() const -> bool {
        return status == call_status::answered && http_status == 200;
    }
};

/// Access to the administration API, and time. Tests replace it.
class transport {
public:
    transport() = default;
    transport(const transport&) = delete;
    auto operator=(const transport&) -> transport& = delete;
    virtual ~transport() = default;

    /// GET of a path below /admin/v1, with an encoded query if any.
    virtual auto get(const QString& path) -> call_result = 0;
    virtual auto post(const QString& path, const QJsonObject& body) -> call_result = 0;
    virtual auto pause(duration time) -> void = 0;
};

} // namespace citronlug
