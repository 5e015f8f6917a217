#include <citronlug/token_allocator.h>

#include <algorithm>
#include <cmath>

namespace citronlug {

namespace {

using seconds = std::chrono::duration<double>;

/// Time constant of the moving average of used tokens.
constexpr auto usage_window = seconds{3};
/// A share exceeds recent use by this factor, because use varies.
constexpr auto share_headroom = 1.25;
/// Part of an equal share that an instance without recent use has.
constexpr auto idle_share_factor = 0.05;
/// If there are deputies, an instance is announced no share that yields fewer tokens per second: an operation
/// waits for a token for 0.25 s at most, and most would find none.
constexpr auto min_share_rate = 10.0;
/// Part of a burst that a new coordinator may grant at once, after a time without a coordinator and after a
/// hand-over. A window that spans the change then stays within the permitted excess, even if the instances
/// that used most of its tokens have restarted and report nothing.
constexpr auto initial_burst_fraction = 0.3;
constexpr auto handed_over_burst_fraction = 0.1;
/// The previous coordinator granted tokens until this time before a hand-over, at most.
constexpr auto hand_over_time = duration{1s};
/// Maximum relative drift between the clocks of two machines during the lifetime of a share.
constexpr auto max_clock_drift_fraction = 0.06;
/// Time after which a share that was announced now has expired at its instance, on this machine's clock.
constexpr auto share_expiry =
    std::chrono::duration_cast<duration>(share_lifetime * (1 + max_clock_drift_fraction));
/// An instance unreachable for this time is forgotten; its shares have expired.
constexpr auto unreachable_expiry = duration{10s};
/// Minimum time between two updates of the instances that are reachable.
constexpr auto reachable_interval = duration{100ms};

} // namespace

auto token_allocator::share_bound::announce(time_point now, double share) -> void {
    if (now >= until_) {
        share_ = std::exchange(next_, 0);
        until_ = next_until_;
    }
    const auto expires_at = now + share_expiry;
    if (share >= at(now)) {
        share_ = share;
        until_ = expires_at;
        next_ = 0;
        return;
    }
    next_ = std::max(next_, share);
    next_until_ = expires_at;
}

auto token_allocator::share_bound::at(time_point now) const -> double {
    return now < until_ ? share_ : now < next_until_ ? next_ : 0;
}

auto token_allocator::share_bound::expires_at() const -> time_point {
    return std::max(until_, next_until_);
}

auto token_allocator::set_limits(time_point now, const desired_state& rules) -> void {
    std::erase_if(entries_, [&](const auto& it) { return !rules.accounts.contains(it.first); });
    const auto burst_fraction =
        now - predecessor_at_ < hand_over_time ? handed_over_burst_fraction : initial_burst_fraction;
    for (const auto& [id, account] : rules.accounts) {
        const auto& limit = account.limit;
        const auto it = entries_.find(id);
        if (it != entries_.end()) {
            it->second.limit = limit;
            it->second.window.set_limit(now, limit);
            continue;
        }
        entries_.emplace(
            id, entry{limit, rate_window{limit, window_, now, burst_fraction}, now + share_expiry, {}});
    }
}

auto token_allocator::current_rate(const usage& it, time_point now) -> double {
    return it.tokens_per_s * std::exp(-seconds{now - it.at} / usage_window);
}

auto token_allocator::charge_share(time_point now, entry& account, usage& own) -> void {
    const auto until = std::min(now, own.share.expires_at());
    const auto span = std::max(duration{}, until - own.charged_at);
    const auto tokens =
        own.share.at(own.charged_at) * rate_without_coordinator(account.limit) * seconds{span}.count();
    own.charged_at = std::max(own.charged_at, until);
    if (tokens > 0) {
        account.window.charge(now, tokens);
        own.prepaid += tokens;
        own.prepaid_at = now;
    }
}

auto token_allocator::set_reachable(time_point now, const std::set<instance_id>& reachable) -> void {
    if (now - reachable_set_at_ < reachable_interval) {
        return;
    }
    reachable_set_at_ = now;
    for (auto& [id, account] : entries_) {
        for (auto& [instance, own] : account.used) {
            if (reachable.contains(instance)) {
                own.heard_at = now;
                own.charged_at = now;
            } else {
                charge_share(now, account, own);
            }
        }
        std::erase_if(account.used,
                      [&](const auto& it) { return now - it.second.heard_at > unreachable_expiry; });
    }
}

auto token_allocator::count_uses(time_point now, entry& account, usage& own, incarnation run,
                                 const token_request& request) -> void {
    if (own.run != run) {
        own.run = run;
        own.counted_total = 0;
    }
    if (now - own.prepaid_at > window_) {
        own.prepaid = 0;
    }
    // A request that was repeated, because its answer was lost, lists uses that are counted already.
    auto left =
        static_cast<double>(request.uncounted_total - std::min(own.counted_total, request.uncounted_total));
    own.counted_total = request.uncounted_total;
    auto total = 0.0;
    for (auto it = request.uncounted.rbegin(); it != request.uncounted.rend() && left > 0; ++it) {
        const auto n = std::min(left, static_cast<double>(it->tokens));
        const auto prepaid = std::min(own.prepaid, n);
        account.window.count_past(now, it->age, use_resolution, n - prepaid);
        own.prepaid -= prepaid;
        left -= n;
        total += n;
    }
    own.prepaid = 0;
    own.tokens_per_s = current_rate(own, now) + total / usage_window.count();
    own.at = now;
}

auto token_allocator::set_deputies(std::set<instance_id> deputies) -> void {
    deputies_ = std::move(deputies);
    std::erase_if(announced_to_deputies_, [&](const auto& it) { return !deputies_.contains(it.first); });
}

auto token_allocator::deputy_share(time_point now, const entry& account, const usage& own) const -> double {
    auto held_by_others = 0.0;
    auto held_by_users = 0.0;
    for (const auto& [name, it] : account.used) {
        const auto share = it.share.at(now);
        held_by_others += &it == &own ? 0 : share;
        held_by_users += deputies_.contains(name) ? 0 : share;
    }
    return std::min((1 - held_by_users) / static_cast<double>(deputies_.size()), 1 - held_by_others);
}

auto token_allocator::announce_deputy_shares(time_point now, const instance_id& instance)
    -> std::vector<token_response> {
    auto responses = std::vector<token_response>{};
    if (!deputies_.contains(instance)) {
        return responses;
    }
    auto& announced_at = announced_to_deputies_.try_emplace(instance, now - 1h).first->second;
    if (now - announced_at < deputy_announcement_interval) {
        return responses;
    }
    announced_at = now;
    for (auto& [id, account] : entries_) {
        if (account.limit.rate <= 0) {
            continue;
        }
        auto& own = account.used.try_emplace(instance, usage{}).first->second;
        if (own.heard_at == time_point{}) {
            own.heard_at = now;
            own.charged_at = now;
        }
        if (const auto share = announce_share(now, account, instance, own); share > 0) {
            responses.push_back({id, 0, {}, share, true});
        }
    }
    return responses;
}

auto token_allocator::announce_share(time_point now, entry& account, const instance_id& instance, usage& own)
    -> double {
    if (now < account.shares_from) {
        return 0;
    }
    if (deputies_.contains(instance)) {
        const auto share = deputy_share(now, account, own);
        if (!(share > 0)) {
            return 0;
        }
        own.share.announce(now, share);
        return share;
    }
    const auto floor = account.limit.rate * idle_share_factor / static_cast<double>(account.used.size());
    auto total_rate = 0.0;
    auto held_by_others = 0.0;
    for (const auto& [name, it] : account.used) {
        total_rate += current_rate(it, now) + floor;
        held_by_others += &it == &own ? 0 : it.share.at(now);
    }
    // An instance is given what it needs to go on as before. What it does not need is left for others, whose
    // demand may be known later.
    const auto needed = (own.tokens_per_s + floor) * share_headroom / rate_without_coordinator(account.limit);
    if (!deputies_.empty() && needed * rate_without_coordinator(account.limit) < min_share_rate) {
        return 0;
    }
    const auto fair = (own.tokens_per_s + floor) / total_rate;
    const auto share = std::min({needed, fair, 1 - held_by_others});
    if (!(share > 0)) {
        return 0;
    }
    own.share.announce(now, share);
    return share;
}

auto token_allocator::take(time_point now, const instance_id& instance, incarnation run,
                           const token_request& request) -> token_response {
    const auto found = entries_.find(request.account);
    if (found == entries_.end()) {
        return {request.account, 0, 100ms, 0}; // the rules that define the account have not arrived yet
    }
    auto& account = found->second;
    auto& own = account.used.try_emplace(instance, usage{}).first->second;
    if (own.heard_at == time_point{}) {
        own.heard_at = now;
        own.charged_at = now;
    }
    count_uses(now, account, own, run, request);
    if (request.wanted == 0) {
        return {request.account, 0, {}, 0};
    }
    const auto tokens = account.window.take(now, request.wanted);
    own.tokens_per_s = current_rate(own, now) + tokens / usage_window.count();
    own.at = now;
    const auto share = announce_share(now, account, instance, own);
    return {request.account, tokens, tokens > 0 ? duration{} : account.window.wait_for_token(now), share};
}

auto token_allocator::begin_term(std::uint64_t fencing_token, time_point predecessor_at) -> void {
    if (std::exchange(fencing_token_, fencing_token) != fencing_token) {
        entries_.clear();
        predecessor_at_ = predecessor_at;
    }
}

} // namespace citronlug
