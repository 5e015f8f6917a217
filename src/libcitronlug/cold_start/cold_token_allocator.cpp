#include <citronlug/cold_start.h>

#include <algorithm>
#include <cmath>

namespace citronlug {

namespace {

using seconds = std::chrono::duration<double>;

/// An instance that has not repeated its request for this time has left the line: two intervals between
/// reports and the time for an answer.
constexpr auto request_lifetime = duration{600ms};
/// Reports and requests count towards a wide suspicion for this time: some intervals between reports.
constexpr auto report_validity = duration{1s};
/// Part of the instances that must have lost connections to a server before it is treated as cold for all of
/// them. The instances of one failure domain of three may be cut off from a server that did not restart.
constexpr auto wide_suspicion_fraction = 0.5;
/// Part of the tokens that the coordinator's own status requests may use, so that callers are served as well.
constexpr auto own_fraction = 0.25;
/// An own status request on a new connection takes two tokens.
constexpr auto min_own_tokens = std::uint32_t{2};

/// Lower limits are treated as this one, one token in twelve days, so that a period is always representable.
constexpr auto min_limit = 1e-6;

/// Number of tokens that may be handed out within one `period_of`.
auto capacity_of(double limit) -> std::uint32_t {
    return static_cast<std::uint32_t>(std::clamp(limit, 1.0, 1e9));
}

/// Tokens handed out within one lifetime before a second may be used in it.
auto period_of(double limit) -> duration {
    return std::chrono::duration_cast<duration>(seconds{1 / std::clamp(limit, min_limit, 1.0)}) +
           cold_token_lifetime;
}

} // namespace

auto cold_token_allocator::begin_term(time_point now, std::uint64_t fencing_token) -> void {
    if (std::exchange(fencing_token_, fencing_token) != fencing_token) {
        entries_.clear();
        term_began_at_ = now;
    }
}

auto cold_token_allocator::left(time_point now, entry& it, double limit) const -> std::uint32_t {
    const auto period = period_of(limit);
    if (now - term_began_at_ < period) {
        return 0;
    }
    while (!it.grants.empty() && now - it.grants.front().at >= period) {
        it.grants.pop_front();
    }
    auto used = std::uint32_t{0};
    for (const auto& grant : it.grants) {
        used += grant.tokens;
    }
    return capacity_of(limit) - std::min(capacity_of(limit), used);
}

auto cold_token_allocator::is_wanted_by_many(const entry& it) const -> bool {
    return static_cast<double>(it.asked_at.size()) >=
           wide_suspicion_fraction * static_cast<double>(reported_at_.size());
}

auto cold_token_allocator::grant_to(time_point now, entry& it, double limit, const instance_id& instance,
                                    std::uint32_t wanted) -> std::uint32_t {
    std::erase_if(it.line, [&](const auto& waiting) { return now - waiting.asked_at > request_lifetime; });
    auto own = std::find_if(it.line.begin(), it.line.end(),
                            [&](const auto& waiting) { return waiting.instance == instance; });
    if (own == it.line.end()) {
        own = it.line.insert(it.line.end(), waiting_instance{instance, 0, now});
    }
    own->wanted = wanted;
    own->asked_at = now;
    auto available = left(now, it, limit);
    for (auto before = it.line.begin(); before != own && available > 0; ++before) {
        available -= std::min(available, before->wanted);
    }
    const auto tokens = std::min(available, wanted);
    if (tokens > 0) {
        it.grants.push_back({now, tokens, false});
        it.line.erase(own);
    }
    return tokens;
}

auto cold_token_allocator::take(time_point now, const instance_id& instance,
                                const std::vector<cold_request>& requests, cold_servers& servers)
    -> std::vector<cold_grant> {
    auto grants = std::vector<cold_grant>{};
    reported_at_[instance] = now;
    std::erase_if(reported_at_, [&](const auto& it) { return now - it.second > report_validity; });
    auto answered = std::set<server_id>{};
    for (auto& [id, it] : entries_) {
        const auto& server = id;
        const auto is_wanted = std::any_of(requests.begin(), requests.end(),
                                           [&](const auto& request) { return request.server == server; });
        if (!is_wanted) {
            std::erase_if(it.line, [&](const auto& waiting) { return waiting.instance == instance; });
        }
    }
    for (const auto& request : requests) {
        const auto configured = servers.configured_limit_of(request.server);
        if (!configured || request.wanted == 0 || !answered.insert(request.server).second) {
            continue; // the rules or the list of servers of one side are older; the instance asks again
        }
        auto& it = entries_[request.server];
        it.asked_at[instance] = now;
        std::erase_if(it.asked_at, [&](const auto& asked) { return now - asked.second > report_validity; });
        if (is_wanted_by_many(it)) {
            servers.on_wanted_by_many(now, request.server);
        }
        const auto limit = servers.own_limit_of(now, request.server).value_or(*configured);
        const auto wanted = std::min(request.wanted, capacity_of(limit));
        const auto tokens = grant_to(now, it, limit, instance, wanted);
        if (tokens > 0) {
            grants.push_back({request.server, tokens});
        }
    }
    // An entry without tokens names the server as cold. It is separate from the tokens, because an instance
    // may ask for tokens of a server that is no longer cold here.
    for (const auto& id : servers.limited(now)) {
        grants.push_back({id, 0});
    }
    return grants;
}

auto cold_token_allocator::take_own(time_point now, const server_id& id, std::uint32_t tokens,
                                    const cold_servers& servers) -> bool {
    const auto limit = servers.limit_of(now, id);
    if (!limit) {
        return true;
    }
    auto& it = entries_[id];
    const auto available = left(now, it, *limit);
    const auto capacity = capacity_of(*limit);
    auto used = std::uint32_t{0};
    for (const auto& grant : it.grants) {
        used += grant.own ? grant.tokens : 0;
    }
    const auto own_capacity =
        std::max(min_own_tokens, static_cast<std::uint32_t>(own_fraction * static_cast<double>(capacity)));
    // With less than two requests per second, the two messages of a new connection need an empty period.
    const auto fits = tokens <= available || (tokens > capacity && available == capacity);
    if (!fits || used + tokens > own_capacity) {
        return false;
    }
    it.grants.push_back({now, tokens, true});
    return true;
}

} // namespace citronlug
