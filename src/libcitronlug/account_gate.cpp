#include <citronlug/account_gate.h>

#include <citronlug/plugin.h>

#include <algorithm>

namespace citronlug {

namespace {

using seconds = std::chrono::duration<double>;

/// Unheard instances for which the accountant keeps nothing free: the permitted excess over a window covers them.
constexpr auto covered_instances = 1.5;
/// Part of a burst that a new accountant may hand out at once. A window that contains the change of accountant then stays
/// within the permitted excess, and accounts within their rate need not wait for the bucket to fill.
constexpr auto first_part = 0.3;
/// Least part of a rate that the accountant hands out, however many instances it does not hear.
constexpr auto least_factor = 0.4;

} // namespace

auto account_gate::set_limits(time_point now, const desired_state& rules) -> void {
    std::erase_if(entries_, [&](const auto& it) { return !rules.accounts.contains(it.first); });
    for (const auto& [id, account] : rules.accounts) {
        auto& it = entries_[id];
        if (!it.granted) {
            it.granted = plugin_registry<limit_policy>::make("granted");
            it.own_at = now;
        }
        it.limit = account.limit;
        it.granted->set_limit(now, account.limit, instances_);
    }
}

auto account_gate::has_accountant(time_point now) const -> bool {
    return now - answered_at_ < accountant_silence;
}

auto account_gate::admit_alone(time_point now, entry& it) const -> bool {
    const auto part = unheard_share / std::max(1U, instances_);
    const auto passed = std::max(0.0, seconds{now - it.own_at}.count());
    it.own_level = std::min(std::max(1.0, it.limit.burst * part), it.own_level + passed * it.limit.rate * part);
    it.own_at = now;
    if (it.own_level < 1) {
        return false;
    }
    it.own_level -= 1;
    return true;
}

auto account_gate::admit(time_point now, const account_id& account, time_point deadline) -> admission {
    const auto found = entries_.find(account);
    if (found == entries_.end() || found->second.limit.rate <= 0) {
        return admission::admitted;
    }
    auto& it = found->second;
    if (!has_accountant(now)) {
        // Also asks, so that the accountant is found again.
        to_ask_[account] = true;
        return admit_alone(now, it) ? admission::admitted : now < deadline ? admission::wait : admission::refused;
    }
    it.own_level = 0;
    it.own_at = now;
    const auto outcome = it.granted->admit(now, deadline);
    if (outcome == admission::ask) {
        to_ask_[account] = true;
    }
    return outcome;
}

auto account_gate::questions(time_point now) -> std::vector<token_question> {
    auto asked = std::vector<token_question>{};
    for (const auto& [id, unused] : to_ask_) {
        const auto it = entries_.find(id);
        if (it != entries_.end()) {
            asked.push_back({id, it->second.granted->ask_size(now)});
        }
    }
    to_ask_.clear();
    return asked;
}

auto account_gate::on_answers(time_point now, time_point asked_at, const std::vector<token_answer>& answers)
    -> void {
    answered_at_ = std::max(answered_at_, asked_at);
    for (const auto& answer : answers) {
        const auto it = entries_.find(answer.account);
        if (it != entries_.end()) {
            it->second.granted->on_grant(now, asked_at, answer.tokens, answer.wait);
        }
    }
}

auto account_gate::on_no_answer(time_point now, const std::vector<token_question>& asked) -> void {
    for (const auto& question : asked) {
        const auto it = entries_.find(question.account);
        if (it != entries_.end()) {
            it->second.granted->on_grant_failed(now);
        }
    }
}

auto account_ledger::reduced(rate_limit limit) const -> rate_limit {
    return {limit.rate * factor_, limit.burst};
}

auto account_ledger::set_limits(time_point now, const desired_state& rules) -> void {
    std::erase_if(buckets_, [&](const auto& it) { return !rules.accounts.contains(it.first); });
    limits_.clear();
    for (const auto& [id, account] : rules.accounts) {
        limits_[id] = account.limit;
        const auto it = buckets_.find(id);
        if (it == buckets_.end()) {
            // A bucket that began to fill this long ago.
            const auto since = account.limit.rate > 0 ? seconds{account.limit.burst * first_part / account.limit.rate}
                                                      : seconds{0};
            buckets_.emplace(
                id, accountant{reduced(account.limit), now - std::chrono::duration_cast<duration>(since), true});
        } else {
            it->second.set_limit(now, reduced(account.limit));
        }
    }
}

auto account_ledger::set_instances(time_point now, std::uint32_t registered, std::uint32_t heard) -> void {
    const auto unheard = static_cast<double>(registered > heard ? registered - heard : 0);
    const auto kept = std::max(0.0, unheard - covered_instances) * unheard_share / std::max(1U, registered);
    const auto factor = std::max(least_factor, 1 - kept);
    if (factor == factor_) {
        return;
    }
    factor_ = factor;
    for (auto& [id, it] : buckets_) {
        it.set_limit(now, reduced(limits_[id]));
    }
}

auto account_ledger::take(time_point now, const token_question& asked) -> token_answer {
    const auto it = buckets_.find(asked.account);
    if (it == buckets_.end()) {
        return {asked.account, 0, 100ms}; // rules that know the account have not arrived here yet
    }
    const auto tokens = it->second.take(now, asked.wanted);
    return {asked.account, tokens, tokens > 0 ? duration{} : it->second.wait_for_token(now)};
}

auto account_ledger::reset() -> void {
    buckets_.clear();
    limits_.clear();
}

} // namespace citronlug
