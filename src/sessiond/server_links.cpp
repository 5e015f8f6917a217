#include "server_links.h"

#include "event_thread.h"

namespace citronlug {

namespace {

/// The connection is closed if an answer of a server is larger.
constexpr auto max_answer_bytes = std::size_t{8} * 1024 * 1024;
/// A probe that is not answered by then has failed.
constexpr auto probe_timeout = duration{700ms};
/// A probe connection that is not used for this time is closed.
constexpr auto probe_idle_timeout = duration{4s};
/// Client account under which probes connect.
const auto probe_account = account_id{"citronlug"};

} // namespace

server_links::server_links(const wire_codec& wire, handlers on)
    : wire_{wire}
    , on_{std::move(on)} {}

server_links::~server_links() {
    for (auto& [id, it] : links_) {
        it.socket->abort();
    }
}

auto server_links::open(connection_id id, const backend_server& server, const account_id& account) -> void {
    auto on = line_socket::handlers{};
    const auto start = wire_.encode_server_start(server, account);
    on.connected = [this, id, start] {
        const auto it = links_.find(id);
        if (it != links_.end()) {
            it->second.socket->send(start);
        }
    };
    on.line = [this, id](std::string_view line) {
        on_line(id, line);
    };
    on.closed = [this, id](bool refused) {
        drop(id, refused ? connection_loss::refused : connection_loss::closed);
    };
    auto* socket = new line_socket{new QTcpSocket, wire_.max_line_bytes(), std::move(on), this};
    links_[id].socket = socket;
    socket->connect_to(server.address);
}

auto server_links::send(connection_id id, const server_request& request) -> void {
    const auto it = links_.find(id);
    if (it != links_.end()) {
        it->second.socket->send(wire_.encode_server(request));
    }
}

auto server_links::close(connection_id id) -> void {
    const auto it = links_.find(id);
    if (it != links_.end()) {
        it->second.socket->abort();
        links_.erase(it);
    }
}

auto server_links::drop(connection_id id, connection_loss reason) -> void {
    close(id);
    on_.lost(id, reason);
}

auto server_links::on_line(connection_id id, std::string_view line) -> void {
    const auto found = links_.find(id);
    if (found == links_.end()) {
        return;
    }
    auto& it = found->second;
    auto message = wire_.decode_server(line);
    if (auto* failure = std::get_if<session_failure>(&message)) {
        if (!it.open) {
            drop(id, failure->code == session_error::connection_limit ? connection_loss::no_room
                     : failure->code == session_error::misrouted      ? connection_loss::misrouted
                                                                      : connection_loss::refused);
            return;
        }
        it.answer.error = std::move(*failure);
    } else if (auto* row = std::get_if<server_row>(&message)) {
        it.answer_bytes += row->text.size();
        it.answer.rows.push_back(std::move(row->text));
    } else if (auto* complete = std::get_if<server_complete>(&message)) {
        it.answer.signature = std::move(complete->signature);
    } else if (const auto* ready = std::get_if<server_ready>(&message)) {
        if (!it.open) {
            it.open = true;
            on_.opened(id);
            return;
        }
        auto answer = std::exchange(it.answer, {});
        it.answer_bytes = 0;
        answer.state = ready->state;
        answer.reached = ready->at;
        on_.answer(id, answer);
        return;
    } else {
        drop(id, connection_loss::closed);
        return;
    }
    if (it.answer_bytes > max_answer_bytes) {
        drop(id, connection_loss::closed);
    }
}

server_probes::server_probes(const wire_codec& wire, probe_handler on_result)
    : wire_{wire}
    , on_result_{std::move(on_result)}
    , links_{wire,
             {[this](connection_id id) {
                  for (auto& [name, it] : probes_) {
                      if (it.connection == id) {
                          it.open = true;
                          send_status_request(it);
                          return;
                      }
                  }
              },
              [this](connection_id id, connection_loss reason) {
                  for (auto& [name, it] : probes_) {
                      if (it.connection == id) {
                          it.connection = 0;
                          it.open = false;
                          report(
                              name,
                              {reason == connection_loss::no_room, reason == connection_loss::refused, {}});
                          return;
                      }
                  }
              },
              [this](connection_id id, const session_answer& answer) {
                  for (auto& [name, it] : probes_) {
                      if (it.connection == id && it.request_sent) {
                          it.request_sent = false;
                          auto result = probe_result{true, false, {}};
                          if (!answer.error && !answer.rows.empty()) {
                              result.status = wire_.decode_status(answer.rows.front());
                          }
                          report(name, result);
                          return;
                      }
                  }
              }}} {}

auto server_probes::report(const server_id& id, const probe_result& result) -> void {
    auto& it = probes_.at(id);
    if (it.result_pending) {
        it.result_pending = false;
        on_result_(id, it.asked_at, result);
    }
}

auto server_probes::send_status_request(probe_link& it) -> void {
    if (it.result_pending && !it.request_sent) {
        it.request_sent = true;
        links_.send(it.connection, {server_action::status, {}, {}, {}, {}, 0});
    }
}

auto server_probes::probe(time_point now, const backend_server& server) -> void {
    auto& it = probes_[server.id];
    if (it.connection != 0 &&
        (it.server.address != server.address || it.server.started_ms != server.started_ms)) {
        links_.close(it.connection);
        it.connection = 0;
    }
    it.server = server;
    it.result_pending = true;
    it.asked_at = now;
    it.used_at = now;
    if (it.connection == 0) {
        it.connection = next_++;
        it.open = false;
        it.request_sent = false;
        links_.open(it.connection, server, probe_account);
    } else if (it.open) {
        send_status_request(it);
    }
}

auto server_probes::is_connected(const backend_server& server) const -> bool {
    const auto it = probes_.find(server.id);
    return it != probes_.end() && it->second.connection != 0 && it->second.server.address == server.address &&
           it->second.server.started_ms == server.started_ms;
}

auto server_probes::step_down(const backend_server& server, term_number term) -> void {
    const auto it = probes_.find(server.id);
    if (it == probes_.end() || it->second.connection == 0 || !it->second.open) {
        probe(clock_now(), server);
        return;
    }
    links_.send(it->second.connection, {server_action::step_down, {}, {}, {}, {}, term});
    it->second.request_sent = true;
}

auto server_probes::close(const server_id& server) -> void {
    const auto it = probes_.find(server);
    if (it != probes_.end()) {
        links_.close(it->second.connection);
        probes_.erase(it);
    }
}

auto server_probes::on_tick(time_point now) -> void {
    auto timed_out = std::vector<server_id>{};
    for (auto& [id, it] : probes_) {
        const auto is_timed_out = it.result_pending && now - it.asked_at > probe_timeout;
        const auto is_idle =
            !it.result_pending && it.connection != 0 && now - it.used_at > probe_idle_timeout;
        if (is_timed_out || is_idle) {
            links_.close(std::exchange(it.connection, 0));
            it.open = false;
            it.request_sent = false;
            if (is_timed_out) {
                timed_out.push_back(id);
            }
        }
    }
    for (const auto& id : timed_out) {
        report(id, {});
    }
    std::erase_if(probes_,
                  [](const auto& it) { return it.second.connection == 0 && !it.second.result_pending; });
}

} // namespace citronlug
