#include "member_server.h"

#include <utility>

namespace citronlug::standin {

auto member_server::faults() const -> std::vector<std::string> {
    auto names = std::vector<std::string>{};
    const auto add = [&](bool in_force, const char* name) {
        if (in_force) {
            names.emplace_back(name);
        }
    };
    const auto& state = shared_.group.member(number_);
    add(server_ == nullptr, "crash");
    add(frozen_, "freeze");
    add(state.cut_off, "partition");
    add(isolated_, "isolate");
    add(delay_ > duration{}, "delay");
    add(answers_to_lose_ > 0, "lose-answers");
    add(late_answers_ > 0, "late-answers");
    return names;
}

auto member_server::crash() -> void {
    ++run_; // cancels planned work
    group().member(number_).up = false;
    server_.reset(); // also ends the handlers of the sockets
    auto gone = std::exchange(connections_, {});
    for (auto& [id, it] : gone) {
        if (it.socket != nullptr) {
            it.socket->abort();
            it.socket->deleteLater();
        }
    }
    gone.clear(); // rolls back
    serving_ = 0;
    waiting_.clear();
    lock_waiters_.clear();
    thaw_work_.clear();
    retry_planned_ = false;
    frozen_ = false;
}

auto member_server::restart() -> bool {
    if (server_ != nullptr) {
        crash();
    }
    if (!listen(port_)) {
        return false;
    }
    group().member(number_).up = true;
    shared_.replicate();
    return true;
}

auto member_server::silence() -> void {
    for (auto& [id, it] : connections_) {
        it.silent = true;
    }
}

auto member_server::freeze() -> void {
    if (server_ == nullptr) {
        return;
    }
    frozen_ = true;
    group().member(number_).up = false;
}

auto member_server::thaw() -> void {
    if (!std::exchange(frozen_, false)) {
        return;
    }
    group().member(number_).up = true;
    for (const auto& work : std::exchange(thaw_work_, {})) {
        work();
    }
    auto ids = std::vector<std::uint64_t>{};
    for (const auto& [id, it] : connections_) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        advance(id);
    }
    shared_.replicate();
}

auto member_server::partition(bool cut_off) -> void {
    group().member(number_).cut_off = cut_off;
    shared_.replicate();
}

auto member_server::isolate(bool all, std::set<std::string> clients) -> void {
    isolated_ = all || !clients.empty();
    isolated_clients_ = all ? std::set<std::string>{} : std::move(clients);
}

auto member_server::heal() -> void {
    isolated_ = false;
    isolated_clients_.clear();
    delay_ = duration{};
    late_answers_ = 0;
    answers_to_lose_ = 0;
    auto ids = std::vector<std::uint64_t>{};
    for (auto& [id, it] : connections_) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        const auto found = connections_.find(id);
        if (found == connections_.end()) {
            continue;
        }
        auto& it = found->second;
        write(id, std::exchange(it.held, {}));
        if (it.talk->state() == session_state::opening) {
            begin_session(id, it);
        }
        advance(id);
    }
    partition(false);
}

auto member_server::set_lag(duration lag) -> void {
    group().member(number_).lag = lag;
    shared_.replicate();
}

auto member_server::late_answers(std::uint64_t answers, duration delay) -> void {
    late_answers_ = answers;
    late_delay_ = delay;
}

} // namespace citronlug::standin
