#include <citronlug/account_limiter.h>

#include <citronlug/plugin.h>
#include <citronlug/rate_window.h>

#include <algorithm>
#include <utility>

namespace citronlug {

namespace {

using seconds = std::chrono::duration<double>;

/// Time in which the rate that is used without the coordinator fills the bucket. Short, because the
/// coordinator counts this rate as used evenly.
constexpr auto local_burst_time = duration{300ms};
/// Lifetime of tokens that a deputy has lent, counted from the request. They count as used when they are
/// lent, so a longer life would move uses into a later window.
constexpr auto lent_lifetime = duration{250ms};
/// Recorded for operations that are admitted without the coordinator.
constexpr auto no_coordinator = std::uint64_t{0};

} // namespace

auto account_limiter::set_limits(time_point now, const desired_state& rules) -> void {
    std::erase_if(entries_, [&](const auto& it) { return !rules.accounts.contains(it.first); });
    for (const auto& [id, account] : rules.accounts) {
        auto& it =
            entries_.try_emplace(id, entry{{}, nullptr, token_ledger{window_}, 0, {}, 0, {}, {}, 0, {}})
                .first->second;
        if (!it.policy) {
            it.policy = plugin_registry<limit_policy>::make("granted");
        }
        it.limit = account.limit;
        it.policy->set_limit(now, account.limit, instances_);
    }
}

auto account_limiter::coordinator_reachable(time_point now) const -> bool {
    return now - last_response_at_ < coordinator_timeout;
}

auto account_limiter::admit_locally(time_point now, entry& it) const -> bool {
    if (now >= it.share_until) {
        return false;
    }
    const auto unreachable_since = last_response_at_ + coordinator_timeout;
    if (it.local_updated_at < unreachable_since) {
        it.local_tokens = 0;
        it.local_updated_at = unreachable_since;
    }
    const auto passed = seconds{std::max(duration{}, now - it.local_updated_at)}.count();
    const auto rate = rate_without_coordinator(it.limit) * it.share;
    const auto capacity = std::max(1.0, rate * seconds{local_burst_time}.count());
    it.local_tokens = std::min(capacity, it.local_tokens + passed * rate);
    it.local_updated_at = now;
    const auto window_limit = (it.limit.rate * seconds{window_}.count() + it.limit.burst) * it.share;
    if (it.local_tokens < 1 || it.uses.total(now) + 1 > std::max(1.0, window_limit)) {
        return false;
    }
    it.local_tokens -= 1;
    return true;
}

auto account_limiter::take_lent(time_point now, entry& it) -> bool {
    while (!it.lent.empty() && it.lent.front().until <= now) {
        it.lent.pop_front();
    }
    if (it.lent.empty()) {
        return false;
    }
    if (--it.lent.front().tokens == 0) {
        it.lent.pop_front();
    }
    return true;
}

auto account_limiter::lend(time_point now, const account_id& account, std::uint32_t wanted) -> std::uint32_t {
    const auto found = entries_.find(account);
    if (found == entries_.end() || found->second.limit.rate <= 0 || coordinator_reachable(now)) {
        return 0;
    }
    auto& it = found->second;
    auto lent = std::uint32_t{0};
    while (lent < wanted && admit_locally(now, it)) {
        it.uses.record(now, no_coordinator);
        ++lent;
    }
    return lent;
}

auto account_limiter::take_deputy_requests(time_point now) -> std::vector<token_request> {
    auto requests = std::vector<token_request>{};
    if (coordinator_reachable(now)) {
        return requests;
    }
    for (auto& [id, it] : entries_) {
        if (const auto wanted = std::exchange(it.waiting, 0); wanted > 0) {
            requests.push_back({id, wanted, {}, 0});
        }
    }
    return requests;
}

auto account_limiter::on_lent(time_point now, time_point requested_at,
                              const std::vector<token_response>& responses) -> void {
    const auto until = requested_at + lent_lifetime;
    for (const auto& response : responses) {
        const auto found = entries_.find(response.account);
        if (found != entries_.end() && response.tokens > 0 && until > now) {
            found->second.lent.push_back({until, response.tokens});
        }
    }
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
        if (take_lent(now, it)) {
            return admission::admitted; // counted by the deputy
        }
        if (admit_locally(now, it)) {
            it.uses.record(now, no_coordinator);
            return admission::admitted;
        }
        // All operations that wait are admitted again at one time, so this counts each once.
        it.waiting = (it.waiting_at == now ? it.waiting : 0) + 1;
        it.waiting_at = now;
        return now < deadline ? admission::wait : admission::refused;
    }
    const auto outcome = it.policy->admit(now, deadline);
    if (outcome == admission::admitted) {
        it.uses.record(now, coordinator_);
    } else if (outcome == admission::ask) {
        pending_[account] = true;
    }
    return outcome;
}

auto account_limiter::take_requests(time_point now, std::uint64_t coordinator) -> std::vector<token_request> {
    auto requests = std::vector<token_request>{};
    for (auto& [id, it] : entries_) {
        const auto wanted = pending_.contains(id) ? it.policy->request_size(now) : 0U;
        auto uncounted = it.uses.report(now, coordinator);
        if (wanted > 0 || !uncounted.empty()) {
            requests.push_back({id, wanted, std::move(uncounted), it.uses.reported_total()});
        }
    }
    pending_.clear();
    return requests;
}

auto account_limiter::on_responses(time_point now, time_point requested_at, std::uint64_t coordinator,
                                   const std::vector<token_response>& responses) -> void {
    last_response_at_ = std::max(last_response_at_, requested_at);
    coordinator_ = coordinator;
    for (auto& [id, it] : entries_) {
        it.uses.on_report_answered(coordinator);
    }
    for (const auto& response : responses) {
        const auto found = entries_.find(response.account);
        if (found == entries_.end()) {
            continue;
        }
        auto& it = found->second;
        if (!response.is_share_only) {
            it.policy->on_grant(now, requested_at, response.tokens, response.wait);
        }
        if (response.share > 0) {
            it.share = response.share;
            it.share_until = requested_at + share_lifetime;
        }
    }
}

auto account_limiter::on_request_failed(time_point now, const std::vector<token_request>& requests) -> void {
    last_response_at_ = std::min(last_response_at_, now - coordinator_timeout);
    for (auto& [id, it] : entries_) {
        it.uses.on_report_failed();
    }
    for (const auto& request : requests) {
        const auto it = entries_.find(request.account);
        if (it != entries_.end() && request.wanted > 0) {
            it->second.policy->on_grant_failed(now);
        }
    }
}

} // namespace citronlug
