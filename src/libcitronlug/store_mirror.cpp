#include <citronlug/store_mirror.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace citronlug {

namespace {

/// Pause after a failed call; doubles up to the maximum, because each call costs money.
constexpr auto initial_retry_pause = duration{150ms};
constexpr auto max_retry_pause = duration{600ms};

/// True if the answer holds two states of one record.
auto has_repeated_record(const store_answer& answer) -> bool {
    auto names = std::set<std::string_view>{};
    return std::any_of(answer.records.begin(), answer.records.end(),
                       [&](const store_record& it) { return !names.insert(it.name).second; });
}

} // namespace

store_mirror::store_mirror(duration watch_wait)
    : watch_wait_{watch_wait} {}

auto store_mirror::next_call(time_point now) -> std::optional<mirror_call> {
    if (call_pending_ || now < std::max(not_before_, delayed_until_) || (paused_ && confirmed_at_)) {
        return std::nullopt;
    }
    call_pending_ = true;
    asked_at_ = now;
    ++call_number_;
    if (revision_) {
        return mirror_call{call_number_, true, {}, *revision_, watch_wait_};
    }
    if (list_cursor_.empty()) {
        listing_.clear();
        unreadable_in_listing_ = 0;
        listing_asked_at_ = now;
    }
    return mirror_call{call_number_, false, list_cursor_, 0, {}};
}

auto store_mirror::set_paused(bool paused, time_point resume_at) -> void {
    if (paused_ && !paused) {
        list_again();
        delayed_until_ = resume_at;
    }
    if (paused && confirmed_at_) {
        failures_ = 0; // while paused, no call would show that the store is available again
    }
    paused_ = paused;
}

auto store_mirror::list_again() -> void {
    delayed_until_ = {};
    if (revision_) {
        revision_.reset();
        list_cursor_.clear();
        call_pending_ = false;
        not_before_ = {};
    }
}

auto store_mirror::drop_revisions() -> void {
    revision_.reset();
    list_cursor_.clear();
    call_pending_ = false;
    not_before_ = {};
    for (auto& [name, it] : records_) {
        it.revision = 0; // an equal revision in the next listing would otherwise hide a change
    }
}

auto store_mirror::on_answer(time_point now, std::uint64_t call, const store_answer& answer)
    -> std::vector<change> {
    auto changes = std::vector<change>{};
    if (!call_pending_ || call != call_number_) {
        return changes; // the answer to an abandoned call
    }
    call_pending_ = false;
    if (answer.outcome == store_outcome::gone) {
        revision_.reset();
        list_cursor_.clear();
        not_before_ = now;
        return changes;
    }
    if (answer.outcome != store_outcome::ok) {
        ++failures_;
        revision_.reset();
        list_cursor_.clear();
        not_before_ =
            now + std::min(max_retry_pause, initial_retry_pause * (1U << std::min(failures_ - 1, 4U)));
        return changes;
    }
    failures_ = 0;
    not_before_ = now;
    if (revision_) {
        for (const auto& it : answer.records) {
            auto& known = records_[it.name];
            if (it.revision >= known.revision) {
                known = it;
                changes.push_back({it, false});
            }
        }
        for (const auto& name : answer.removed) {
            records_.erase(name);
            changes.push_back({{name, {}, 0}, true});
        }
        // A change that cannot be read must not be reported by each further watch.
        if (!changes.empty() || answer.unreadable_records > 0) {
            revision_ = std::max(*revision_, answer.revision);
            shown_revision_ = *revision_;
        }
        may_lack_change_ = may_lack_change_ || answer.unreadable_records > 0;
        confirmed_at_ = asked_at_;
        if (has_repeated_record(answer)) {
            // Changes are faster than the answers, which get longer and longer. A listing holds the last one
            // only.
            revision_.reset();
        }
        return changes;
    }
    if (list_cursor_.empty()) {
        // The watch starts at the first page's revision, so it reports changes made while later pages are
        // read.
        listing_revision_ = answer.revision;
    }
    for (const auto& it : answer.records) {
        listing_[it.name] = it;
    }
    unreadable_in_listing_ += answer.unreadable_records;
    if (answer.has_more && !answer.records.empty()) {
        list_cursor_ = answer.records.back().name;
        return changes;
    }
    list_cursor_.clear();
    for (const auto& [name, it] : listing_) {
        const auto known = records_.find(name);
        if (known == records_.end() || known->second.revision != it.revision) {
            changes.push_back({it, false});
        }
    }
    for (const auto& [name, it] : records_) {
        if (!listing_.contains(name)) {
            changes.push_back({{name, {}, 0}, true});
        }
    }
    records_ = std::move(listing_);
    listing_.clear();
    not_before_ = now + first_watch_delay_;
    revision_ = listing_revision_;
    shown_revision_ = listing_revision_;
    confirmed_at_ = listing_asked_at_;
    may_lack_change_ = false;
    unreadable_records_ = unreadable_in_listing_;
    return changes;
}

auto may_call(const std::vector<const store_mirror*>& all, const store_mirror& it) -> bool {
    if (it.is_available()) {
        return true;
    }
    const store_mirror* next = nullptr;
    for (const auto* other : all) {
        if (other->is_available()) {
            continue;
        }
        if (other->has_call_in_flight()) {
            return other == &it;
        }
        if (next == nullptr || other->last_call_at() < next->last_call_at()) {
            next = other;
        }
    }
    return next == &it;
}

auto retry_due_at(const std::vector<const store_mirror*>& all) -> time_point {
    auto due = time_point{};
    for (const auto* it : all) {
        if (!it->is_available()) {
            due = std::max(due, it->pause_ends_at());
        }
    }
    return due;
}

} // namespace citronlug
