#include <citronlug/cold_start.h>

#include <algorithm>
#include <cmath>

namespace citronlug {

namespace {

using seconds = std::chrono::duration<double>;

/// Largest number of tokens in one request. An instance cannot use many tokens within their lifetime, and
/// those that lapse are lost to all instances.
constexpr auto max_wanted = std::uint32_t{8};
/// Work that does not repeat its wait for this time no longer waits. It is repeated with each tick.
constexpr auto wait_lifetime = duration{100ms};
/// The rate at which tokens arrive is measured for at least this time; it then includes one full period of
/// the coordinator's limit.
constexpr auto min_measured_time = duration{1500ms};

} // namespace

auto cold_start_gate::expire(time_point now, server_tokens& it) -> void {
    while (!it.batches.empty() && it.batches.front().until <= now) {
        counts_.lapsed += it.batches.front().tokens;
        it.batches.pop_front();
    }
    std::erase_if(it.waiting, [&](const auto& entry) {
        return now - entry.second.repeated_at > wait_lifetime || entry.first.first <= now;
    });
    if (it.waiting.empty()) {
        it.asking_since.reset();
    }
}

auto cold_start_gate::available(const server_tokens& it) -> std::uint32_t {
    auto sum = std::uint32_t{0};
    for (const auto& batch : it.batches) {
        sum += batch.tokens;
    }
    return sum;
}

auto cold_start_gate::pass(time_point now, const server_id& id) -> bool {
    if (!is_limited(now, id)) {
        return true;
    }
    auto& it = token_sets_[id];
    expire(now, it);
    if (it.batches.empty()) {
        return false;
    }
    if (--it.batches.front().tokens == 0) {
        it.batches.pop_front();
    }
    return true;
}

auto cold_start_gate::may_pass(time_point now, const server_id& id, std::uint64_t work, time_point deadline)
    -> bool {
    if (!is_limited(now, id)) {
        return true;
    }
    auto& it = token_sets_[id];
    expire(now, it);
    auto left = available(it);
    for (const auto& [key, waiting] : it.waiting) {
        if (left == 0 || key >= std::pair{deadline, work}) {
            break;
        }
        left -= std::min(left, waiting.tokens);
    }
    return left > 0;
}

auto cold_start_gate::wait(time_point now, const server_id& id, std::uint64_t work, time_point deadline,
                           std::uint32_t tokens) -> bool {
    auto& it = token_sets_[id];
    expire(now, it);
    if (!it.asking_since) {
        it.asking_since = now;
        it.granted_since = 0;
    }
    return it.waiting.insert_or_assign({deadline, work}, waiting_work{tokens, now}).second;
}

auto cold_start_gate::stop_waiting(const server_id& id, std::uint64_t work, time_point deadline) -> void {
    const auto it = token_sets_.find(id);
    if (it != token_sets_.end()) {
        it->second.waiting.erase({deadline, work});
    }
}

auto cold_start_gate::is_hopeless(time_point now, const server_id& id, std::uint64_t work,
                                  time_point deadline) const -> bool {
    const auto limit = servers_.limit_of(now, id);
    const auto found = token_sets_.find(id);
    if (!limit || found == token_sets_.end()) {
        return false;
    }
    const auto& it = found->second;
    auto ahead = 0.0;
    for (const auto& [key, waiting] : it.waiting) {
        if (key >= std::pair{deadline, work}) {
            break;
        }
        ahead += waiting.tokens;
    }
    // No other instance may want tokens, so the whole limit is assumed until the rate has been measured.
    auto rate = *limit;
    if (it.asking_since && now - *it.asking_since >= min_measured_time && it.granted_since > 0) {
        rate =
            std::min(rate, static_cast<double>(it.granted_since) / seconds{now - *it.asking_since}.count());
    }
    return seconds{std::max(0.0, ahead - available(it)) / rate} > seconds{deadline - now};
}

auto cold_start_gate::take_requests(time_point now) -> std::vector<cold_request> {
    auto requests = std::vector<cold_request>{};
    for (auto& [id, it] : token_sets_) {
        expire(now, it);
        auto wanted = std::uint32_t{0};
        for (const auto& [key, waiting] : it.waiting) {
            wanted += waiting.tokens;
        }
        const auto held = available(it);
        if (wanted > held && is_limited(now, id)) {
            requests.push_back({id, std::min(max_wanted, wanted - held)});
            counts_.requested += requests.back().wanted;
        }
    }
    std::erase_if(token_sets_,
                  [](const auto& it) { return it.second.batches.empty() && it.second.waiting.empty(); });
    return requests;
}

auto cold_start_gate::on_grants(time_point now, time_point asked_at, const std::vector<cold_grant>& grants)
    -> void {
    for (const auto& grant : grants) {
        if (grant.tokens == 0) {
            servers_.on_announced(asked_at, grant.server);
            continue;
        }
        counts_.granted += grant.tokens;
        auto& it = token_sets_[grant.server];
        it.granted_since += grant.tokens;
        it.batches.push_back({grant.tokens, asked_at + cold_token_lifetime});
        expire(now, it);
    }
}

auto cold_start_gate::take_counts() -> counts {
    return std::exchange(counts_, {});
}

} // namespace citronlug
