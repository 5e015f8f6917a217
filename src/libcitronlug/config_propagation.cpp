#include <citronlug/config_propagation.h>

#include <algorithm>

namespace citronlug {

namespace {

constexpr duration fetch_timeout = 500ms;
constexpr duration poll_interval = 500ms;
constexpr duration exchange_interval = 1s;
/// Maximum age of a peer's report for the peer to be a fetch source and to count for the start of serving.
constexpr duration report_max_age = 2s;

} // namespace

config_propagation::config_propagation(cell_id cell, instance_id self, std::uint64_t seed)
    : cell_{std::move(cell)}
    , self_{std::move(self)}
    , random_{seed} {}

auto config_propagation::on_content(std::uint64_t version) -> bool {
    newest_ = std::max(newest_, version);
    if (version <= held_) {
        return false;
    }
    held_ = version;
    fetch_started_.reset();
    fetched_from_.reset();
    return true;
}

auto config_propagation::on_store_read(time_point asked_at, std::uint64_t version) -> void {
    if (version < newest_) {
        return;
    }
    newest_ = version;
    last_store_read_ = std::max(last_store_read_.value_or(asked_at), asked_at);
}

auto config_propagation::on_peer_version(time_point now, const instance_id& from, std::uint64_t version)
    -> void {
    auto& report = reported_[from];
    report.version = std::max(report.version, version);
    report.at = now;
    newest_ = std::max(newest_, version);
    std::erase_if(reported_, [&](const auto& it) { return now - it.second.at > 10 * report_max_age; });
}

auto config_propagation::on_peer_message(time_point now, const peer_message& message) -> void {
    if (const auto* heartbeat = std::get_if<heartbeat_message>(&message)) {
        on_peer_version(now, heartbeat->from, heartbeat->config_version);
    } else if (const auto* answer = std::get_if<heartbeat_answer>(&message)) {
        on_peer_version(now, answer->from, answer->config_version);
    }
}

auto config_propagation::next_fetch(time_point now) -> std::optional<fetch_source> {
    if (held_ >= newest_ || (fetch_started_ && now - *fetch_started_ < fetch_timeout)) {
        return std::nullopt;
    }
    const auto retry = fetch_started_.has_value();
    fetch_started_ = now;
    auto sources = std::vector<instance_id>{};
    for (const auto& [id, it] : reported_) {
        const auto failed = retry && fetched_from_ == id;
        if (it.version > held_ && now - it.at <= report_max_age && !failed) {
            sources.push_back(id);
        }
    }
    if (sources.empty()) {
        fetched_from_.reset();
        return fetch_source{std::nullopt, newest_};
    }
    // Random selection spreads the load when many instances discover a version at the same time.
    fetched_from_ = sources[random_() % sources.size()];
    return fetch_source{fetched_from_, newest_};
}

auto config_propagation::may_serve(time_point now, const cell_record& record) -> bool {
    if (serving_ || held_ == 0 || held_ < newest_) {
        return serving_;
    }
    const auto reporting = std::count_if(reported_.begin(), reported_.end(), [&](const auto& it) {
        return it.second.version > 0 && record.members.contains(it.first.value) && it.first != self_ &&
               now - it.second.at <= report_max_age;
    });
    // This instance does not count itself: the version that it holds may come from a single peer.
    serving_ = last_store_read_.has_value() ||
               (!record.members.empty() && static_cast<std::size_t>(reporting) > record.members.size() / 2);
    return serving_;
}

auto config_propagation::is_current(time_point now, bool has_majority) const -> bool {
    const auto store_read_recent = last_store_read_ && now - *last_store_read_ <= config_evidence_max_age;
    return held_ != 0 && held_ >= newest_ && (store_read_recent || has_majority);
}

auto config_propagation::is_relay(const std::vector<cell_member>& live) const -> bool {
    const auto relays = choose_relays(live);
    return std::find(relays.begin(), relays.end(), self_) != relays.end();
}

auto config_propagation::poll_due(time_point now, bool has_majority) -> bool {
    if (has_majority || (last_poll_ && now - *last_poll_ < poll_interval)) {
        return false;
    }
    last_poll_ = now;
    return true;
}

auto config_propagation::next_exchange(time_point now, const std::vector<listed_instance>& list)
    -> std::optional<listed_instance> {
    if (last_exchange_ && now - *last_exchange_ < exchange_interval) {
        return std::nullopt;
    }
    last_exchange_ = now;
    auto others = std::vector<const listed_instance*>{};
    for (const auto& it : list) {
        if (it.cell != cell_) {
            others.push_back(&it);
        }
    }
    return others.empty() ? std::nullopt : std::optional{*others[random_() % others.size()]};
}

auto choose_relays(const std::vector<cell_member>& live) -> std::vector<instance_id> {
    auto sorted = live;
    std::sort(sorted.begin(), sorted.end(),
              [](const auto& a, const auto& b) { return a.instance < b.instance; });
    auto relays = std::vector<instance_id>{};
    if (sorted.empty()) {
        return relays;
    }
    relays.push_back(sorted.front().instance);
    auto second = std::find_if(sorted.begin(), sorted.end(),
                               [&](const auto& it) { return it.domain != sorted.front().domain; });
    if (second == sorted.end() && sorted.size() > 1) {
        second = sorted.begin() + 1;
    }
    if (second != sorted.end()) {
        relays.push_back(second->instance);
    }
    return relays;
}

} // namespace citronlug
