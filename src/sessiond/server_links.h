#pragma once

#include "line_socket.h"
#include "platform.h"

#include <citronlug/primary_coordinator.h>
#include <citronlug/session_proxy.h>

#include <QObject>

#include <functional>
#include <map>
#include <memory>

namespace citronlug {

/// Connections to backend servers, by id. Assembles received lines into complete answers.
class server_links : public QObject {
public:
    struct handlers {
        std::function<void(connection_id)> opened;
        std::function<void(connection_id, connection_loss)> lost;
        std::function<void(connection_id, const session_answer&)> answer;
    };

    server_links(const wire_codec& wire, handlers on);
    ~server_links() override;

    auto open(connection_id id, const backend_server& server, const account_id& account) -> void;
    auto send(connection_id id, const server_request& request) -> void;
    auto close(connection_id id) -> void;

private:
    struct link {
        line_socket* socket = nullptr;
        bool open = false;
        session_answer answer; ///< partial answer to the statement in progress
        std::size_t answer_bytes = 0;
    };
    auto on_line(connection_id id, std::string_view line) -> void;
    auto drop(connection_id id, connection_loss reason) -> void;

    const wire_codec& wire_;
    handlers on_;
    std::map<connection_id, link> links_;
};

/// One connection per backend server for the coordinator's probes and orders.
class server_probes : public QObject {
public:
    using probe_handler = std::function<void(const server_id&, time_point asked_at, const probe_result&)>;

    server_probes(const wire_codec& wire, probe_handler on_result);

    auto probe(time_point now, const backend_server& server) -> void;
    /// True if the next request to the server needs no new connection.
    [[nodiscard]] auto is_connected(const backend_server& server) const -> bool;
    auto step_down(const backend_server& server, term_number term) -> void;
    /// Closes the connection of a server that may no longer be used. Its probe in progress is not reported.
    auto close(const server_id& server) -> void;
    /// Fails probes that have timed out and closes idle connections.
    auto on_tick(time_point now) -> void;

private:
    struct probe_link {
        backend_server server;
        connection_id connection = 0;
        bool open = false;
        bool request_sent = false; ///< a request was sent and has no answer yet
        bool result_pending = false;
        time_point asked_at;
        time_point used_at;
    };
    auto report(const server_id& id, const probe_result& result) -> void;
    auto send_status_request(probe_link& it) -> void;

    const wire_codec& wire_;
    probe_handler on_result_;
    server_links links_;
    std::map<server_id, probe_link> probes_;
    connection_id next_ = 1;
};

} // namespace citronlug
