#include <citronlug/member_view.h>

#include <algorithm>

namespace citronlug {

namespace {

constexpr auto sample_spacing = 10ms;       // bounds the number of samples at high write rates
constexpr auto sample_retention = 30s;      // older samples satisfy no practical accepted age
constexpr auto replica_status_timeout = 1s; // longest age of a replica's status for reads
constexpr auto discovery_timeout = 600ms;   // initial wait for members that do not respond

auto term_of(const member_status& status) -> term_number {
    return status.history.empty() ? status.applied.term
                                  : std::max(status.applied.term, status.history.back().term);
}

auto data_term_of(const member_status& status) -> term_number {
    return status.history.empty() ? status.applied.term : status.history.back().term;
}

/// True if the position lies on the branch that the history describes.
auto on_branch(const std::vector<term_start>& history, term_number newest, position wanted) -> bool {
    if (wanted.term == 0 || (history.empty() && wanted.term == newest)) {
        return true;
    }
    if (wanted.term > newest || history.empty()) {
        return false;
    }
    if (wanted.term < history.front().term) {
        return wanted.log <= history.front().start;
    }
    const auto it = std::find_if(history.begin(), history.end(),
                                 [&](const auto& entry) { return entry.term == wanted.term; });
    if (it == history.end()) {
        return wanted.term == newest; // the reported history may not contain the newest term yet
    }
    // A term ends where the next one starts; its log beyond that point was lost.
    return std::next(it) == history.end() || wanted.log <= std::next(it)->start;
}

} // namespace

auto member_info::term() const -> term_number {
    return status ? term_of(*status) : 0;
}

auto member_info::data_position() const -> position {
    return status ? position{data_term_of(*status), status->applied.log} : position{};
}

auto contains(const member_status& status, position wanted) -> bool {
    return on_branch(status.history, data_term_of(status), wanted) && status.applied.log >= wanted.log;
}

member_view::member_view(time_point now)
    : started_(now) {}

auto member_view::set_members(const database_settings& settings, time_point now) -> void {
    auto updated = std::vector<member_info>{};
    for (std::size_t n = 0; n < settings.members.size(); ++n) {
        const auto* const old = find(settings.members[n]);
        auto it = old != nullptr ? *old : member_info{settings.members[n], {}, false, std::nullopt, now, now};
        it.domain = n < settings.member_domains.size() ? settings.member_domains[n] : failure_domain{};
        it.leaving =
            std::find(settings.leaving.begin(), settings.leaving.end(), it.id) != settings.leaving.end();
        updated.push_back(std::move(it));
    }
    members_ = std::move(updated);
    if (primary_ && find(*primary_) == nullptr) {
        primary_.reset();
    }
}

auto member_view::find(const member_id& member) const -> const member_info* {
    const auto it =
        std::find_if(members_.begin(), members_.end(), [&](const auto& known) { return known.id == member; });
    return it == members_.end() ? nullptr : &*it;
}

auto member_view::find_member(const member_id& member) -> member_info* {
    const auto it =
        std::find_if(members_.begin(), members_.end(), [&](const auto& known) { return known.id == member; });
    return it == members_.end() ? nullptr : &*it;
}

auto member_view::primary() const -> const member_info* {
    return primary_ ? find(*primary_) : nullptr;
}

auto member_view::highest_term() const -> term_number {
    auto highest = std::max(term_, fence_);
    for (const auto& it : members_) {
        highest = std::max(highest, it.term());
    }
    return highest;
}

auto member_view::on_contact(time_point now, const member_id& member) -> void {
    if (auto* const it = find_member(member)) {
        it->last_contact = std::max(it->last_contact, now);
    }
}

auto member_view::on_status(time_point now, const member_id& member, time_point requested_at,
                            member_status status) -> void {
    auto* const it = find_member(member);
    if (it == nullptr) {
        return;
    }
    it->last_contact = std::max(it->last_contact, now);
    if (it->status && requested_at < it->requested_at) {
        return; // a delayed response to an older request
    }
    it->requested_at = requested_at;
    it->status = std::move(status);
    choose_primary(now);
    if (primary_ && *primary_ == member) {
        note_primary_position(requested_at, {term_, it->status->applied.log});
    }
}

auto member_view::choose_primary(time_point now) -> void {
    auto answered = std::size_t{0};
    const member_info* best = nullptr;
    for (const auto& it : members_) {
        answered += it.status ? 1 : 0;
        if (it.status && it.status->role == member_role::primary &&
            (best == nullptr || it.term() > best->term())) {
            best = &it;
        }
    }
    // A new holder must not accept a superseded primary only because it was the first to respond.
    discovered_ = discovered_ || answered == members_.size() ||
                  (now - started_ >= discovery_timeout && answered * 2 > members_.size());
    if (!discovered_) {
        return;
    }
    auto highest = term_number{0};
    for (const auto& it : members_) {
        highest = std::max(highest, it.term());
    }
    const auto* const current = primary();
    const auto superseded =
        current != nullptr && (highest > term_ || (current->status && current->term() >= term_ &&
                                                   current->status->role == member_role::replica));
    if (superseded) {
        primary_.reset();
    }
    if (!primary_ && best != nullptr && accepts(best->id, best->term())) {
        set_primary(best->id, best->term());
        note_primary_position(best->requested_at, {term_, best->status->applied.log});
    }
}

auto member_view::set_primary(const member_id& member, term_number term) -> void {
    primary_ = member;
    term_ = term;
}

auto member_view::clear_primary() -> void {
    primary_.reset();
}

auto member_view::accepts(const member_id& member, term_number term) const -> bool {
    auto highest = term_;
    for (const auto& it : members_) {
        highest = std::max(highest, it.term());
    }
    return term >= highest &&
           (term > fence_ || (fenced_member_ && *fenced_member_ == member && term == fence_));
}

auto member_view::clear_fence(term_number term, const member_id& member) -> void {
    if (term == fence_ && fenced_member_ && *fenced_member_ == member) {
        fence_ = 0;
        fenced_member_.reset();
    }
}

auto member_view::set_fence(term_number term, std::optional<member_id> member) -> void {
    if (term == fence_ && fenced_member_ != member) {
        fenced_member_.reset(); // two members may have taken this term, so neither is accepted
    } else if (term > fence_) {
        fence_ = term;
        fenced_member_ = std::move(member);
    }
}

auto member_view::note_primary_position(time_point requested_at, position at) -> void {
    if (!primary_ || at.term != term_) {
        return;
    }
    if (samples_term_ != term_) {
        samples_.clear();
        samples_term_ = term_;
    }
    if (auto* const it = find_member(*primary_); it != nullptr && it->status && it->term() == term_) {
        it->status->applied.term = term_;
        it->status->applied.log = std::max(it->status->applied.log, at.log);
    }
    if (!samples_.empty() &&
        (requested_at < samples_.back().requested_at + sample_spacing || at.log < samples_.back().log)) {
        return;
    }
    samples_.push_back({requested_at, at.log});
    while (samples_.front().requested_at + sample_retention < requested_at) {
        samples_.pop_front();
    }
}

auto member_view::check(position wanted) const -> history_check {
    if (wanted.term == 0) {
        return history_check::held;
    }
    const auto* const it = primary();
    if (it == nullptr || !it->status || it->term() < term_ || wanted.term > term_) {
        return history_check::later;
    }
    if (!on_branch(it->status->history, term_, wanted)) {
        return history_check::missing;
    }
    return it->status->applied.log >= wanted.log ? history_check::held : history_check::later;
}

auto member_view::replica_has(const member_info& replica, position wanted) const -> bool {
    return replica.status && replica.data_position().term == term_ &&
           replica.status->role == member_role::replica && contains(*replica.status, wanted);
}

auto member_view::complete_at(time_point now, const member_info& replica) const -> std::optional<time_point> {
    if (!replica.status || replica.status->role != member_role::replica ||
        replica.data_position().term != samples_term_ ||
        now - replica.requested_at > replica_status_timeout) {
        return std::nullopt;
    }
    // A replica that has the primary's position as of time t has every write acknowledged up to t.
    const auto it =
        std::upper_bound(samples_.begin(), samples_.end(), replica.status->applied.log,
                         [](log_position log, const position_sample& entry) { return log < entry.log; });
    if (it == samples_.begin()) {
        return std::nullopt;
    }
    return std::prev(it)->requested_at;
}

} // namespace citronlug
