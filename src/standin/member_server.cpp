#include "member_server.h"

#include <QHostAddress>

#include <algorithm>
#include <utility>

namespace citronlug::standin {

namespace {

/// Session numbers are unique in the process; they also identify lock owners.
auto next_session_number() -> std::uint64_t {
    static auto next = std::uint64_t{1};
    return next++;
}

} // namespace

auto received_text::add(std::string_view text) -> void {
    ++texts_;
    key_like_ += text.find("ck_") != std::string_view::npos ? 1 : 0;
    text_ += text;
    text_ += '\0';
    constexpr std::size_t most = 8U << 20U;
    if (text_.size() > most) {
        text_.erase(0, text_.find('\0', text_.size() / 2) + 1);
    }
}

auto received_text::add_startup(std::size_t member, const std::map<std::string, std::string>& parameters)
    -> void {
    constexpr std::size_t most = 2000;
    startups_.push_back({member, parameters});
    if (startups_.size() > most) {
        startups_.pop_front();
    }
}

auto received_text::search(std::string_view word, std::size_t most) const -> std::vector<std::string> {
    auto found = std::vector<std::string>{};
    for (auto at = text_.find(word); at != std::string::npos && found.size() < most;) {
        const auto before = text_.rfind('\0', at);
        const auto from = before == std::string::npos ? 0 : before + 1;
        const auto end = text_.find('\0', at);
        found.push_back(text_.substr(from, end - from));
        at = text_.find(word, end);
    }
    return found;
}

member_server::member_server(group_context& shared, std::size_t number, member_settings settings)
    : shared_(shared)
    , number_(number)
    , settings_(settings) {}

member_server::~member_server() {
    crash();
}

auto member_server::listen(std::uint16_t port) -> bool {
    server_ = std::make_unique<QTcpServer>();
    QObject::connect(server_.get(), &QTcpServer::newConnection, server_.get(), [this] { accept(); });
    if (!server_->listen(QHostAddress::LocalHost, port)) {
        server_.reset();
        return false;
    }
    port_ = server_->serverPort();
    group().member(number_).address = "127.0.0.1:" + std::to_string(port_);
    return true;
}

auto member_server::open_connections() const -> std::size_t {
    return connections_.size();
}

auto member_server::spread(duration mean) -> duration {
    auto factor = std::uniform_real_distribution{1 - settings_.spread, 1 + settings_.spread};
    return duration{static_cast<std::int64_t>(static_cast<double>(mean.count()) * factor(shared_.random))};
}

auto member_server::at(time_point due, std::function<void()> work) -> void {
    shared_.events.at(due, [this, run = run_, work = std::move(work)]() mutable {
        if (run != run_) {
            return;
        }
        if (frozen_) {
            thaw_work_.push_back(std::move(work));
        } else {
            work();
        }
    });
}

auto member_server::accept() -> void {
    while (auto* socket = server_->nextPendingConnection()) {
        const auto id = next_session_number();
        socket->setParent(nullptr); // it may outlive the server
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        auto& it = connections_[id];
        it.socket = socket;
        it.talk = std::make_unique<session>(id, *this);
        ++counters_.connections;
        QObject::connect(socket, &QTcpSocket::readyRead, server_.get(), [this, id] {
            const auto found = connections_.find(id);
            if (found == connections_.end() || found->second.socket == nullptr) {
                return;
            }
            const auto bytes = found->second.socket->readAll();
            if (!found->second.silent) {
                found->second.talk->receive({bytes.constData(), static_cast<std::size_t>(bytes.size())});
                advance(id);
            }
        });
        QObject::connect(socket, &QTcpSocket::disconnected, server_.get(), [this, id] { client_gone(id); });
    }
}

auto member_server::advance(std::uint64_t id) -> void {
    const auto found = connections_.find(id);
    if (frozen_ || found == connections_.end()) {
        return;
    }
    auto& it = found->second;
    if (!is_isolated(it) || it.socket == nullptr) {
        const auto before = it.talk->statements();
        if (it.talk->state() == session_state::startup) {
            it.talk->run();
            if (it.talk->state() == session_state::opening) {
                begin_session(id, it);
            }
        } else {
            it.talk->run();
        }
        counters_.statements += it.talk->statements() - before;
    }
    deliver(id, it);
    if (it.talk->dropped()) {
        ++counters_.lost_answers;
        if (it.socket != nullptr) {
            it.socket->abort();
        }
        return erase(id);
    }
    if (it.talk->state() == session_state::closed && it.socket != nullptr) {
        it.socket->disconnectFromHost(); // may call client_gone, which ends the connection
        return;
    }
    // After the client has gone, a server still works off what it has received.
    if (it.socket == nullptr && it.talk->state() != session_state::serving &&
        it.talk->state() != session_state::locked) {
        erase(id);
    }
}

auto member_server::begin_session(std::uint64_t id, connection& it) -> void {
    shared_.received.add_startup(number_, it.talk->parameters());
    if (is_isolated(it)) {
        return;
    }
    if (connections_.size() > static_cast<std::size_t>(settings_.max_connections)) {
        ++counters_.refused;
        it.talk->refuse("53300", "sorry, too many clients already");
        return;
    }
    at(now() + spread(settings_.connect_delay), [this, id] {
        const auto found = connections_.find(id);
        if (found != connections_.end() && found->second.talk->state() == session_state::opening &&
            !is_isolated(found->second)) {
            found->second.talk->open();
            advance(id);
        }
    });
}

auto member_server::is_isolated(const connection& it) const -> bool {
    return isolated_ &&
           (isolated_clients_.empty() || isolated_clients_.contains(it.talk->application_name()));
}

auto member_server::deliver(std::uint64_t id, connection& it) -> void {
    auto bytes = it.talk->take_output();
    const auto answered = it.talk->answers() != std::exchange(it.answers, it.talk->answers());
    if (bytes.empty() || it.silent || it.socket == nullptr || it.talk->dropped()) {
        return;
    }
    if (is_isolated(it)) {
        it.held += bytes;
        return;
    }
    auto delay = delay_;
    if (answered && late_answers_ > 0) {
        --late_answers_;
        delay = late_delay_;
    }
    const auto due = now() + delay;
    if (delay == duration{} && it.last_output <= due) {
        it.socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
        return;
    }
    it.last_output = std::max(it.last_output, due);
    at(it.last_output, [this, id, bytes = std::move(bytes)] { write(id, bytes); });
}

auto member_server::write(std::uint64_t id, const std::string& bytes) -> void {
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.socket == nullptr || found->second.silent) {
        return;
    }
    if (is_isolated(found->second)) {
        found->second.held += bytes;
    } else {
        found->second.socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
    }
}

auto member_server::client_gone(std::uint64_t id) -> void {
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second.socket == nullptr) {
        return;
    }
    std::exchange(found->second.socket, nullptr)->deleteLater();
    if (found->second.silent || is_isolated(found->second)) {
        return erase(id);
    }
    advance(id);
}

auto member_server::erase(std::uint64_t id) -> void {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    // Taken out first: the end of the session may call back into this object.
    auto gone = std::move(found->second);
    connections_.erase(found);
    if (gone.socket != nullptr) {
        gone.socket->disconnect();
        gone.socket->deleteLater();
    }
}

auto member_server::serve(std::uint64_t session, duration extra) -> bool {
    const auto time = settings_.statement_time == duration{} ? duration{} : spread(settings_.statement_time);
    const auto cost = time + extra;
    if (serving_ >= settings_.slots) {
        waiting_.emplace_back(session, cost);
        return false;
    }
    if (cost == duration{}) {
        return true;
    }
    start_service(session, cost);
    return false;
}

auto member_server::start_service(std::uint64_t id, duration cost) -> void {
    ++serving_;
    at(now() + cost, [this, id] { end_service(id); });
}

auto member_server::end_service(std::uint64_t id) -> void {
    --serving_;
    while (!waiting_.empty() && serving_ < settings_.slots) {
        const auto [next, cost] = waiting_.front();
        waiting_.pop_front();
        if (connections_.contains(next)) {
            start_service(next, cost);
        }
    }
    if (const auto found = connections_.find(id); found != connections_.end()) {
        found->second.talk->on_served();
        advance(id);
    }
}

auto member_server::wait_for_lock(std::uint64_t session) -> void {
    lock_waiters_.push_back(session);
    at(now() + settings_.lock_wait, [this, session] {
        const auto it = std::find(lock_waiters_.begin(), lock_waiters_.end(), session);
        const auto found = connections_.find(session);
        if (it != lock_waiters_.end() && found != connections_.end()) {
            lock_waiters_.erase(it);
            found->second.talk->on_lock_timeout();
            advance(session);
        }
    });
}

auto member_server::locks_released() -> void {
    if (lock_waiters_.empty() || std::exchange(retry_planned_, true)) {
        return;
    }
    at(now(), [this] {
        retry_planned_ = false;
        for (const auto id : std::exchange(lock_waiters_, {})) {
            if (const auto found = connections_.find(id); found != connections_.end()) {
                found->second.talk->on_lock_released();
                advance(id);
            }
        }
    });
}

auto member_server::committed() -> bool {
    ++counters_.commits;
    shared_.replicate();
    if (answers_to_lose_ == 0) {
        return false;
    }
    --answers_to_lose_;
    return true;
}

} // namespace citronlug::standin
