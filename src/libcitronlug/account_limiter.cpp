#include <citronlug/account_limiter.h>

#include <citronlug/plugin.h>

#include <algorithm>
#include <cmath>

namespace citronlug {

namespace {

using seconds = std::chrono::duration<double>;

/// Time constant of the moving average of granted tokens.
constexpr auto usage_window = seconds{3};
/// Part of an equal share that an instance without recent use has.
constexpr auto idle_share_factor = 0.05;
/// Part of an equal share that an instance uses until the coordinator has announced its share.
constexpr auto initial_share_factor = 0.6;
/// Part of a burst that a new coordinator may grant at once. A window that spans the change of coordinator
/// then stays within the permitted excess.
constexpr auto initial_burst_fraction = 0.3;
/// An instance unreachable for this time is removed. If it is cut off from the store as well, its permissions
/// and its evidence of positions have expired, so it cannot serve.
constexpr duration unreachable_expiry = 10s;
/// Upper bound of the part of a rate that is reserved, however many instances are unreachable.
constexpr auto max_reserved_fraction = 0.6;

} // namespace

auto account_limiter::set_limits(time_point now, const desired_state& rules) -> void {
    std::erase_if(entries_, [&](const auto& it) { return !rules.accounts.contains(it.first); });
    for (const auto& [id, account] : rules.accounts) {
        auto& it = entries_[id];
        if (!it.policy) {
            it.policy = plugin_registry<limit_policy>::make("granted");
            it.local_updated_at = now;
        }
        it.limit = account.limit;
        it.policy->set_limit(now, account.limit, instances_);
    }
}

auto account_limiter::coordinator_reachable(time_point now) const -> bool {
    return now - last_response_at_ < coordinator_timeout;
}

auto account_limiter::admit_locally(time_point now, entry& it) const -> bool {
    const auto part =
        it.share > 0 ? it.share * unreachable_share_factor : initial_share_factor / std::max(1U, instances_);
    const auto passed = std::max(0.0, seconds{now - it.local_updated_at}.count());
    it.local_tokens =
        std::min(std::max(1.0, it.limit.burst * part), it.local_tokens + passed * it.limit.rate * part);
    it.local_updated_at = now;
    if (it.local_tokens < 1) {
        return false;
    }
    it.local_tokens -= 1;
    return true;
}

auto account_limiter::admit(time_point now, const account_id& account, time_point deadline) -> admission {
    const auto found = entries_.find(account);
    if (found == entries_.end() || found->second.limit.rate <= 0) {
        return admission::admitted;
    }
    auto& it = found->second;
    if (!coordinator_reachable(now)) {
        // Requests tokens as well, to notice when the coordinator is reachable again.
        pending_[account] = true;
        return admit_locally(now, it) ? admission::admitted
               : now < deadline       ? admission::wait
                                      : admission::refused;
    }
    it.local_tokens = 0;
    it.local_updated_at = now;
    const auto outcome = it.policy->admit(now, deadline);
    if (outcome == admission::ask) {
        pending_[account] = true;
    }
    return outcome;
}

auto account_limiter::take_requests(time_point now) -> std::vector<token_request> {
    auto requests = std::vector<token_request>{};
    for (const auto& [id, unused] : pending_) {
        const auto it = entries_.find(id);
        if (it != entries_.end()) {
            requests.push_back({id, it->second.policy->request_size(now)});
        }
    }
    pending_.clear();
    return requests;
}

auto account_limiter::on_responses(time_point now, time_point requested_at,
                                   const std::vector<token_response>& responses) -> void {
    last_response_at_ = std::max(last_response_at_, requested_at);
    for (const auto& response : responses) {
        const auto it = entries_.find(response.account);
        if (it != entries_.end()) {
            it->second.policy->on_grant(now, requested_at, response.tokens, response.wait);
            it->second.share = response.share;
        }
    }
}

auto account_limiter::on_request_failed(time_point now, const std::vector<token_request>& requests) -> void {
    last_response_at_ = std::min(last_response_at_, now - coordinator_timeout);
    for (const auto& request : requests) {
        const auto it = entries_.find(request.account);
        if (it != entries_.end()) {
            it->second.policy->on_grant_failed(now);
        }
    }
}

auto token_allocator::set_limits(time_point now, const desired_state& rules) -> void {
    std::erase_if(entries_, [&](const auto& it) { return !rules.accounts.contains(it.first); });
    for (const auto& [id, account] : rules.accounts) {
        const auto& limit = account.limit;
        const auto it = entries_.find(id);
        if (it != entries_.end()) {
            it->second.limit = limit;
            it->second.window.set_limit(now, limit);
            continue;
        }
        entries_.emplace(id, entry{limit, rate_window{limit, window_, now, initial_burst_fraction}, {}});
    }
}

auto token_allocator::current_rate(const usage& it, time_point now) -> double {
    return it.tokens_per_s * std::exp(-seconds{now - it.at} / usage_window);
}

auto token_allocator::set_reachable(time_point now, const std::set<instance_id>& reachable) -> void {
    for (auto& [id, account] : entries_) {
        auto reserved = 0.0;
        for (auto it = account.used.begin(); it != account.used.end();) {
            auto& own = it->second;
            own.unreachable = !reachable.contains(it->first);
            if (!own.unreachable) {
                own.last_reachable_at = now;
            } else if (now - own.last_reachable_at > unreachable_expiry) {
                it = account.used.erase(it);
                continue;
            } else {
                reserved += own.announced_share;
            }
            ++it;
        }
        account.window.set_reserved(now, std::clamp(reserved, 0.0, max_reserved_fraction));
    }
}

auto token_allocator::take(time_point now, const instance_id& instance, const token_request& request)
    -> token_response {
    const auto found = entries_.find(request.account);
    if (found == entries_.end()) {
        return {request.account, 0, 100ms, 0}; // the rules that define the account have not arrived yet
    }
    auto& it = found->second;
    const auto tokens = it.window.take(now, request.wanted);
    auto& own = it.used.try_emplace(instance, usage{0, now, 0, now, false}).first->second;
    own.tokens_per_s = current_rate(own, now) + tokens / usage_window.count();
    own.at = now;
    const auto floor = it.limit.rate * idle_share_factor / static_cast<double>(it.used.size());
    auto total = 0.0;
    for (const auto& [name, used] : it.used) {
        total += current_rate(used, now) + floor;
    }
    const auto share = total > 0 ? (own.tokens_per_s + floor) / total : 0;
    // A response to an unreachable instance may be lost; the instance then continues with its previous share.
    own.announced_share = own.unreachable ? std::max(own.announced_share, share) : share;
    return {request.account, tokens, tokens > 0 ? duration{} : it.window.wait_for_token(now), share};
}

auto token_allocator::reset() -> void {
    entries_.clear();
}

} // namespace citronlug
