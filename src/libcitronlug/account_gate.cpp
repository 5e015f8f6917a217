#include <citronlug/account_gate.h>

#include <citronlug/plugin.h>

#include <algorithm>
#include <cmath>

namespace citronlug {

namespace {

using seconds = std::chrono::duration<double>;

/// Time constant of the average of used tokens.
constexpr auto usage_window = seconds{3};
/// An instance that used nothing lately has this part of an equal share.
constexpr auto idle_part = 0.05;
/// Part of an equal share that an instance uses before the accountant has stated its share.
constexpr auto unknown_part = 0.6;
/// Part of a burst that a new accountant may hand out at once. A window that contains the change of
/// accountant then stays within the permitted excess.
constexpr auto first_part = 0.3;
/// An instance that was not heard for this time is taken to be gone: cut off from the store as well, it has
/// neither permissions nor evidence any more, with which it could serve.
constexpr duration unheard_life = 10s;
/// Most that the accountant keeps free of a rate, however many instances it does not hear.
constexpr auto most_kept = 0.6;

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
    const auto part = it.share > 0 ? it.share * unheard_part : unknown_part / std::max(1U, instances_);
    const auto passed = std::max(0.0, seconds{now - it.own_at}.count());
    it.own_level =
        std::min(std::max(1.0, it.limit.burst * part), it.own_level + passed * it.limit.rate * part);
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
        return admit_alone(now, it) ? admission::admitted
               : now < deadline     ? admission::wait
                                    : admission::refused;
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
            it->second.share = answer.share;
        }
    }
}

auto account_gate::on_no_answer(time_point now, const std::vector<token_question>& asked) -> void {
    answered_at_ = std::min(answered_at_, now - accountant_silence);
    for (const auto& question : asked) {
        const auto it = entries_.find(question.account);
        if (it != entries_.end()) {
            it->second.granted->on_grant_failed(now);
        }
    }
}

auto account_ledger::set_limits(time_point now, const desired_state& rules) -> void {
    std::erase_if(entries_, [&](const auto& it) { return !rules.accounts.contains(it.first); });
    for (const auto& [id, account] : rules.accounts) {
        const auto& limit = account.limit;
        const auto it = entries_.find(id);
        if (it != entries_.end()) {
            it->second.limit = limit;
            it->second.granted.set_limit(now, limit);
            continue;
        }
        entries_.emplace(id, entry{limit, rate_window{limit, window_, now, first_part}, {}});
    }
}

auto account_ledger::present(const usage& it, time_point now) -> double {
    return it.per_s * std::exp(-seconds{now - it.at} / usage_window);
}

auto account_ledger::set_heard(time_point now, const std::set<instance_id>& heard) -> void {
    for (auto& [id, account] : entries_) {
        auto kept = 0.0;
        for (auto it = account.used.begin(); it != account.used.end();) {
            auto& own = it->second;
            own.unheard = !heard.contains(it->first);
            if (!own.unheard) {
                own.heard_at = now;
            } else if (now - own.heard_at > unheard_life) {
                it = account.used.erase(it);
                continue;
            } else {
                kept += own.stated_share;
            }
            ++it;
        }
        account.granted.keep_free(now, std::clamp(kept, 0.0, most_kept));
    }
}

auto account_ledger::take(time_point now, const instance_id& instance, const token_question& asked)
    -> token_answer {
    const auto found = entries_.find(asked.account);
    if (found == entries_.end()) {
        return {asked.account, 0, 100ms, 0}; // rules that know the account have not arrived here yet
    }
    auto& it = found->second;
    const auto tokens = it.granted.take(now, asked.wanted);
    auto& own = it.used.try_emplace(instance, usage{0, now, 0, now, false}).first->second;
    own.per_s = present(own, now) + tokens / usage_window.count();
    own.at = now;
    const auto floor = it.limit.rate * idle_part / static_cast<double>(it.used.size());
    auto all = 0.0;
    for (const auto& [name, used] : it.used) {
        all += present(used, now) + floor;
    }
    const auto share = all > 0 ? (own.per_s + floor) / all : 0;
    // An answer to an instance that is not heard may be lost; it then goes on with an older share.
    own.stated_share = own.unheard ? std::max(own.stated_share, share) : share;
    return {asked.account, tokens, tokens > 0 ? duration{} : it.granted.wait_for_token(now), share};
}

auto account_ledger::reset() -> void {
    entries_.clear();
}

} // namespace citronlug
