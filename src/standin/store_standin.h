#pragma once

#include "event_queue.h"
#include "object_store.h"

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpSocket>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

class QJsonDocument;
class QJsonObject;

namespace citronlug::standin {

struct store_standin_settings {
    std::uint16_t port = 0;
    double writes_per_s = 400;
    double reads_per_s = 2000;
    duration list_lag = 2s;
    duration list_expiry = 10s;
};

/// The platform's object API, its instance list, and the control API, on one port.
class store_standin final : public QAbstractHttpServer {
public:
    explicit store_standin(store_standin_settings settings);
    ~store_standin() override;
    store_standin(const store_standin&) = delete;
    auto operator=(const store_standin&) -> store_standin& = delete;

    /// Port on which it listens; 0 if that failed.
    [[nodiscard]] auto start() -> std::uint16_t;

protected:
    auto handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) -> bool override;
    auto missingHandler(const QHttpServerRequest& request, QTcpSocket* socket) -> void override;

private:
    /// One call that has no answer yet.
    struct call {
        std::shared_ptr<QHttpServerResponder> responder;
        QPointer<QTcpSocket> socket;
        std::string client; ///< header X-Instance
        bool lost = false;  ///< the connection is dropped instead of an answer
    };
    struct fault {
        std::set<std::string> clients; ///< empty: all
        time_point until = time_point::max();
        duration delay{};
        std::uint64_t left = 0;
    };
    struct watch {
        std::string key;
        std::uint64_t after = 0;
        call from;
    };
    struct client_counters {
        std::map<std::string, std::uint64_t> calls; ///< by kind
        std::uint64_t rejected = 0;
    };

    auto handle_platform(const QHttpServerRequest& request, const QString& path, call from) -> void;
    auto handle_object(const QHttpServerRequest& request, const std::string& key, call from) -> void;
    auto put_object(const QHttpServerRequest& request, const std::string& key, call from) -> void;
    auto get_object(const QHttpServerRequest& request, const std::string& key, call from) -> void;
    auto handle_instances(const QHttpServerRequest& request, const QString& path, const call& from) -> void;
    auto handle_fault(const QHttpServerRequest& request, const call& from) -> void;
    auto answer(const call& to, int status, const QJsonObject& body) -> void;
    auto answer_document(const call& to, int status, const QJsonDocument& body) -> void;
    auto answer_object(const call& to, const std::string& key) -> void;
    auto answer_watches(const std::string& key) -> void;
    /// The fault of this kind that is in force for the client; null if there is none.
    [[nodiscard]] auto active(const std::string& kind, const std::string& client) -> fault*;
    [[nodiscard]] auto counters_json() const -> QJsonObject;
    auto count(const call& from, const std::string& kind) -> void;

    store_standin_settings settings_;
    event_queue events_;
    object_store objects_;
    instance_list instances_;
    call_rate writes_;
    call_rate reads_;
    std::map<std::string, fault> faults_;
    std::map<std::uint64_t, watch> watches_;
    std::uint64_t next_watch_ = 1;
    std::map<std::string, client_counters> counters_;
    std::uint64_t conflicts_ = 0;
    std::uint64_t lost_answers_ = 0;
};

} // namespace citronlug::standin
