#include <citronlug/server_choice.h>

#include <boost/container_hash/hash.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace citronlug {

namespace {

/// Cost of opening a connection: 15 ms of waiting, and a slot of the server for 12 ms, which other statements
/// need.
constexpr auto open_cost = duration{27ms};
/// A statement waits no longer than this for a connection that is being opened while another server has an
/// idle one: twice the usual time.
constexpr auto max_open_wait = duration{30ms};
/// Service time that is assumed before the first answer.
constexpr auto default_mean = duration{30ms};
/// Weight of a sample in the mean of a route. Small, so that the mean is a stable reference for ratios.
constexpr auto mean_weight = 0.01;
/// A limit that changed by less than this part is not reported.
constexpr auto reported_change = 0.25;
constexpr auto report_interval = duration{1s};

auto scaled(duration value, double factor) -> duration {
    return duration{static_cast<std::int64_t>(static_cast<double>(value.count()) * factor)};
}

auto move_mean(duration& mean, duration sample, double weight) -> void {
    mean += scaled(sample - mean, weight);
}

} // namespace

server_choice::server_choice(std::uint64_t seed)
    : seed_{seed}
    , mean_{default_mean} {}

auto server_choice::set_servers(const std::vector<backend_server>& servers) -> void {
    auto listed = std::set<server_id>{};
    for (const auto& it : servers) {
        listed.insert(it.id);
        const auto known = servers_.find(it.id);
        if (known == servers_.end() || known->second.started_ms() != it.started_ms) {
            servers_.insert_or_assign(it.id, learned_limit{it.slots, it.started_ms});
        }
    }
    std::erase_if(servers_, [&](const auto& it) { return !listed.contains(it.first); });
    std::erase_if(reported_, [&](const auto& it) { return !listed.contains(it.first); });
}

auto server_choice::mean_of(const std::string& route) const -> duration {
    const auto it = routes_.find(route);
    return it == routes_.end() ? mean_ : it->second.mean;
}

auto server_choice::on_answer(const server_id& id, const std::string& route, duration latency,
                              std::uint32_t in_flight, time_point now) -> void {
    const auto it = servers_.find(id);
    if (it == servers_.end()) {
        return;
    }
    auto& known = routes_[route];
    ++known.samples;
    move_mean(known.mean, latency, std::max(mean_weight, 1.0 / known.samples));
    move_mean(mean_, latency, mean_weight);
    const auto mean = std::max(known.mean, duration{1});
    it->second.on_answer(static_cast<double>(latency.count()) / static_cast<double>(mean.count()), in_flight,
                         now);
}

auto server_choice::on_rejected(const server_id& id) -> void {
    if (const auto it = servers_.find(id); it != servers_.end()) {
        it->second.on_rejected();
    }
}

auto server_choice::on_failure(const server_id& id, time_point now) -> void {
    if (const auto it = servers_.find(id); it != servers_.end()) {
        it->second.on_failure(now);
    }
}

auto server_choice::order(std::uint64_t statement, const std::string& route,
                          std::vector<placement_option> options, time_point now) const
    -> std::vector<const backend_server*> {
    struct ranked {
        const backend_server* server = nullptr;
        double draw = 0; ///< exponentially distributed with the server's weight as rate: the smallest wins
        duration cost{};
        bool has_idle = false;
        bool on_trial = false;
    };
    const auto mean = mean_of(route);
    auto found = std::vector<ranked>{};
    for (const auto& it : options) {
        const auto known = servers_.find(it.server->id);
        const auto learned =
            known == servers_.end() ? learned_limit{it.server->slots, it.server->started_ms} : known->second;
        const auto ratio = std::max(learned.latency_ratio(now), 1e-3);
        const auto trust = learned.trust(now);
        // Little's law: the throughput that the server takes well is its limit divided by its latency.
        const auto weight = learned.limit() / ratio * trust;
        auto key = std::size_t{seed_};
        boost::hash_combine(key, statement);
        boost::hash_combine(key, it.server->id.value);
        const auto uniform = (static_cast<double>(std::uint64_t{key} >> 11U) + 1) * 0x1.0p-53;
        const auto over_limit = std::max(0.0, (it.in_flight + 1) / learned.limit() - 1);
        const auto cost = scaled(mean, ratio * (1 + over_limit) / trust) + it.extra +
                          (it.has_idle ? duration{} : open_cost);
        found.push_back({it.server, -std::log(uniform) / weight, cost, it.has_idle, trust < 1});
    }
    std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) { return a.draw < b.draw; });
    if (found.empty()) {
        return {};
    }
    // A server on trial would lose each comparison, so its draw alone decides. Otherwise the cheaper of two
    // drawn servers is first, or one with an idle connection if that is cheaper.
    auto first = found.begin();
    if (!first->on_trial) {
        for (auto it = found.begin(); it != found.end(); ++it) {
            if ((it - found.begin() < 2 || it->has_idle) && it->cost < first->cost) {
                first = it;
            }
        }
    }
    std::iter_swap(found.begin(), first);
    std::sort(found.begin() + 1, found.end(), [](const auto& a, const auto& b) { return a.cost < b.cost; });
    auto ordered = std::vector<const backend_server*>{};
    for (const auto& it : found) {
        ordered.push_back(it.server);
    }
    return ordered;
}

auto may_wait_for_better(bool learned, const std::vector<const backend_server*>& ordered,
                         const std::function<bool(const backend_server*)>& has_idle, duration opening_for)
    -> bool {
    return learned && !ordered.empty() && !has_idle(ordered.front()) && opening_for < max_open_wait;
}

auto server_choice::servers(time_point now) const -> std::vector<server_view> {
    auto all = std::vector<server_view>{};
    for (const auto& [id, it] : servers_) {
        all.push_back({id, it.limit(), scaled(mean_, it.latency_ratio(now))});
    }
    return all;
}

auto server_choice::changed_limits(time_point now) -> std::vector<server_view> {
    auto changed = std::vector<server_view>{};
    for (const auto& it : servers(now)) {
        auto [last, is_new] = reported_.try_emplace(it.id, reported{it.limit, now});
        const auto change = std::abs(it.limit - last->second.limit);
        if (!is_new && change >= last->second.limit * reported_change &&
            now - last->second.at >= report_interval) {
            last->second = {it.limit, now};
            changed.push_back(it);
        }
    }
    return changed;
}

} // namespace citronlug
