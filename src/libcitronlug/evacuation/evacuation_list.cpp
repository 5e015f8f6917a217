#include <citronlug/evacuation.h>

#include <algorithm>

namespace citronlug {

namespace {

/// Part of the limit after which servers of an evacuated domain get nothing any more, counted from when this
/// instance knows of the evacuation. The evidence may be 2.9 s old by then, which leaves 0.1 s of 5 s.
constexpr auto stop_numerator = 2;
constexpr auto stop_denominator = 5;
/// The same, counted from the evidence that there was no evacuation yet. The rest of the limit is for
/// messages under way.
constexpr auto late_stop_numerator = 9;
constexpr auto late_stop_denominator = 10;

} // namespace

auto evacuation_list::add(time_point now, const std::string& name) -> bool {
    // An evacuation in the first list may have begun long ago, so it takes effect at once. One that the last
    // list did not hold was acknowledged after that list was read: with fresh evidence a change of primary
    // has time to ask the old primary once more after the permissions of a silent instance have expired.
    const auto limit = limit_.value_or(duration{});
    const auto stop_at = is_known_ ? std::max(now + limit * stop_numerator / stop_denominator,
                                              since_ + limit * late_stop_numerator / late_stop_denominator)
                                   : now;
    const auto [it, is_new] =
        domains_.try_emplace(failure_domain{name}, evacuated_domain{stop_at, std::nullopt});
    it->second.held_until.reset();
    return is_new;
}

auto evacuation_list::apply(time_point now, const evacuation_evidence& list) -> bool {
    const auto is_same_source = list.source == source_;
    if (!limit_ || (is_known_ && !is_same_source && list.until < since_)) {
        return false;
    }
    auto names = std::set<std::string>{list.domains.begin(), list.domains.end()};
    names.erase(std::string{});
    is_cut_ = names.size() > max_evacuated_domains;
    if (is_cut_) {
        names.erase(std::next(names.begin(), max_evacuated_domains), names.end());
    }
    auto changed = false;
    const auto was_known = is_known_;
    for (const auto& it : names) {
        changed = add(now, it) || changed;
    }
    if (was_known && !is_same_source && list.since < until_) {
        return changed; // which of the two lists is newer is not known
    }
    const auto is_restored = era_ != 0 && list.era > era_;
    for (auto it = domains_.begin(); it != domains_.end();) {
        auto& held_until = it->second.held_until;
        const auto is_listed = names.contains(it->first.value);
        if (!is_listed && is_restored && !held_until) {
            held_until = now + evacuation_restore_time;
        }
        const auto stays = is_listed || (held_until && now < *held_until);
        changed = changed || !stays;
        it = stays ? std::next(it) : domains_.erase(it);
    }
    is_known_ = true;
    source_ = list.source;
    era_ = std::max(era_, list.era);
    since_ = was_known ? std::max(since_, list.since) : list.since;
    until_ = was_known ? std::max(until_, list.until) : list.until;
    return changed;
}

auto evacuation_list::on_tick(time_point now) -> bool {
    return std::erase_if(domains_, [&](const auto& it) {
               return it.second.held_until && now >= *it.second.held_until;
           }) > 0;
}

auto evacuation_list::view(time_point now) const -> evacuation_view {
    auto result = evacuation_view{};
    result.is_known = !limit_ || is_known_;
    for (const auto& [domain, it] : domains_) {
        result.domains.insert(domain);
        if (now >= it.stop_at) {
            result.stopped.insert(domain);
        }
    }
    return result;
}

auto describe_domains(const std::set<failure_domain>& domains) -> std::string {
    auto text = std::string{};
    for (const auto& it : domains) {
        text += (text.empty() ? "" : " ") + it.value;
    }
    return text.empty() ? "none" : text;
}

} // namespace citronlug
