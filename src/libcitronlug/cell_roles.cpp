#include "cell_node_impl.h"

#include <algorithm>
#include <tuple>

namespace citronlug {

namespace {

/// Minimum time after any role change before a role is moved for balance, so that restarts cause few moves.
constexpr duration rebalance_delay = 2s;
/// Time of uninterrupted heartbeats after which a member may get roles for balance.
constexpr duration rebalance_min_contact = 5s;
/// Time that a vacant role is reserved for its designated member; each further rank waits this much longer.
constexpr duration vacancy_delay = 1s;
/// Time after joining in which the first heartbeats of the other members arrive.
constexpr duration join_settling_delay = 1s;

/// Number of roles that each member holds, in total and per kind.
class load_table {
public:
    explicit load_table(const cell_record& record) {
        for (const auto& [role, entry] : record.roles) {
            add(role.kind, entry.holder.value);
        }
    }
    auto add(role_kind kind, const std::string& id) -> void {
        ++counts_[{kind, id}];
        ++totals_[id];
    }
    [[nodiscard]] auto count(role_kind kind, const std::string& id) const -> int {
        const auto it = counts_.find({kind, id});
        return it == counts_.end() ? 0 : it->second;
    }
    /// Candidate with the fewest roles of this kind, then the fewest in total; ties go to the highest
    /// rendezvous weight.
    [[nodiscard]] auto least_loaded(const role_id& role, const std::vector<cell_member>& eligible) const
        -> const cell_member* {
        const auto key = [&](const cell_member& it) {
            const auto total = totals_.find(it.instance.value);
            return std::tuple{count(role.kind, it.instance.value), total == totals_.end() ? 0 : total->second,
                              ~rendezvous_weight(role.name, it.instance.value)};
        };
        const auto it = std::min_element(eligible.begin(), eligible.end(),
                                         [&](const auto& a, const auto& b) { return key(a) < key(b); });
        return it == eligible.end() ? nullptr : &*it;
    }

private:
    std::map<std::pair<role_kind, std::string>, int> counts_;
    std::map<std::string, int> totals_;
};

} // namespace

auto rendezvous_weight(const std::string& subject, const std::string& candidate) -> std::uint64_t {
    // FNV-1a: std::hash may differ between builds, and all instances must agree.
    auto hash = std::uint64_t{14695981039346656037U};
    for (const auto part : {&subject, &candidate}) {
        for (const auto it : *part) {
            hash = (hash ^ static_cast<unsigned char>(it)) * 1099511628211U;
        }
        hash = (hash ^ 0xffU) * 1099511628211U;
    }
    return hash ^ (hash >> 29U);
}

/// Live members that may be assigned roles.
auto cell_node::implementation::candidates(time_point now) const -> std::vector<cell_member> {
    auto found = std::vector<cell_member>{};
    for (const auto& it : live_members(now)) {
        const auto listed = listed_.find(it.instance.value);
        const auto leaving = it.leaving || (listed != listed_.end() && listed->second.leaving);
        if (!leaving && !(leaving_ && it.instance == self_.instance)) {
            found.push_back(it);
        }
    }
    if (own_member() == nullptr && !leaving_) {
        found.push_back(self_);
    }
    return found;
}

/// Selects the standby of a holder, in another failure domain if possible. All roles of a holder get the same
/// standby, so that one write can take them all over.
auto cell_node::implementation::standby_for(const cell_member& holder, time_point now) const -> instance_id {
    auto best = instance_id{};
    auto best_key = std::pair{false, std::uint64_t{0}};
    for (const auto& it : candidates(now)) {
        const auto key = std::pair{it.domain != holder.domain,
                                   rendezvous_weight(holder.instance.value, it.instance.value)};
        if (it.instance != holder.instance && (best.empty() || key > best_key)) {
            best = it.instance;
            best_key = key;
        }
    }
    return best;
}

auto cell_node::implementation::assign(cell_record& next, const role_id& role, const cell_member& to,
                                       time_point now) const -> void {
    auto& entry = next.roles[role];
    entry = role_entry{to.instance, to.run, entry.epoch + 1, standby_for(to, now)};
}

auto cell_node::implementation::assign_to_self(cell_record& next, const role_id& role, time_point now) const
    -> void {
    assign(next, role, self_, now);
}

auto cell_node::implementation::plan_roles(time_point now, cell_record& next) -> bool {
    auto changed = plan_own_roles(now, next);
    if (leaving_) {
        return changed;
    }
    for (const auto& [role, entry] : record_.roles) {
        const auto it = takeovers_.find(entry.run);
        if (it != takeovers_.end() && entry.holder == it->second.subject &&
            is_fenced(entry.run, it->second)) {
            assign_to_self(next, role, now);
            changed = true;
        }
    }
    changed = plan_vacant_roles(now, next) || changed;
    return plan_standbys(now, next) || changed;
}

auto cell_node::implementation::plan_own_roles(time_point now, cell_record& next) -> bool {
    auto others = candidates(now);
    std::erase_if(others, [&](const auto& it) { return it.instance == self_.instance; });
    auto load = load_table{record_};
    auto changed = false;
    for (const auto& [role, entry] : record_.roles) {
        if (!is_own(entry)) {
            continue;
        }
        const auto moving = pending_moves_.find(role);
        const auto in_rules = !roles_ || std::binary_search(roles_->begin(), roles_->end(), role);
        const cell_member* to = nullptr;
        if (leaving_) {
            // The standby of a database already has connections to it.
            const auto& named = entry.standby;
            const auto standby = std::find_if(others.begin(), others.end(),
                                              [&named](const auto& it) { return it.instance == named; });
            to = role.kind == role_kind::database && standby != others.end()
                     ? &*standby
                     : load.least_loaded(role, others);
        } else if (moving != pending_moves_.end()) {
            const auto target = std::find_if(others.begin(), others.end(),
                                             [&](const auto& it) { return it.instance == moving->second; });
            to = target != others.end() ? &*target : nullptr;
        }
        if (to != nullptr && in_rules) {
            assign(next, role, *to, now);
            load.add(role.kind, to->instance.value);
        } else if (leaving_ || !in_rules) {
            // Released. The entry is kept so that epochs continue to increase.
            next.roles[role] = role_entry{{}, 0, entry.epoch, {}};
        } else if (!held_roles_.contains(role)) {
            assign_to_self(next, role, now);
        } else {
            continue;
        }
        changed = true;
    }
    return changed;
}

/// Assigns vacant roles of the rules. All members compute the same distribution; a role that its designated
/// member does not take falls to the next rank after a delay.
auto cell_node::implementation::plan_vacant_roles(time_point now, cell_record& next) -> bool {
    auto vacant = std::vector<role_id>{};
    for (const auto& role : roles_.value_or(std::vector<role_id>{})) {
        const auto it = record_.roles.find(role);
        if (it == record_.roles.end() || it->second.holder.empty()) {
            vacant.push_back(role);
            vacant_since_.emplace(role, now);
        }
    }
    std::erase_if(vacant_since_, [&](const auto& it) {
        return !std::binary_search(vacant.begin(), vacant.end(), it.first);
    });
    const auto is_only_member = next.members.size() == 1;
    if (!is_only_member && (own_member() == nullptr || now - member_since_ < join_settling_delay)) {
        return false;
    }
    const auto eligible = candidates(now);
    auto load = load_table{record_};
    auto changed = false;
    for (const auto& role : vacant) {
        const auto* designated = load.least_loaded(role, eligible);
        if (designated == nullptr) {
            return changed;
        }
        load.add(role.kind, designated->instance.value);
        const auto own_weight = rendezvous_weight(role.name, self_.instance.value);
        const auto rank = std::count_if(eligible.begin(), eligible.end(), [&](const auto& it) {
            return rendezvous_weight(role.name, it.instance.value) > own_weight;
        });
        const auto overdue = now - vacant_since_.at(role) >= (rank + 1) * vacancy_delay;
        if (designated->instance == self_.instance || overdue) {
            assign_to_self(next, role, now);
            changed = true;
        }
    }
    return changed;
}

/// Replaces a standby that is unavailable, or that shares the holder's failure domain while another domain
/// has a candidate.
auto cell_node::implementation::plan_standbys(time_point now, cell_record& next) -> bool {
    if (!active_ || now - last_renewal_ < rebalance_delay || now - roles_changed_ < rebalance_delay) {
        return false;
    }
    const auto preferred = standby_for(self_, now);
    const auto preferred_member = record_.members.find(preferred.value);
    if (preferred_member == record_.members.end()) {
        return false;
    }
    auto changed = false;
    for (const auto& [role, epoch] : held_roles_) {
        auto& entry = next.roles[role];
        const auto current = record_.members.find(entry.standby.value);
        const auto other_domain_available = preferred_member->second.domain != self_.domain;
        const auto suitable = current != record_.members.end() && !current->second.leaving &&
                              entry.standby != self_.instance && is_live(now, entry.standby.value) &&
                              (!other_domain_available || current->second.domain != self_.domain);
        if (!suitable && is_own(entry) && entry.epoch == epoch) {
            entry.standby = preferred;
            changed = true;
        }
    }
    return changed;
}

/// Schedules the move of one role to the least loaded member if this instance holds the most roles of that
/// kind and the difference is at least two.
auto cell_node::implementation::plan_rebalance(time_point now) -> void {
    std::erase_if(pending_moves_, [&](const auto& it) { return !is_live(now, it.second.value); });
    if (!active_ || leaving_ || !pending_moves_.empty() || now - roles_changed_ < rebalance_delay ||
        !may_vote(now)) {
        return;
    }
    auto eligible = candidates(now);
    std::erase_if(eligible, [&](const auto& it) {
        const auto received = received_.find(it.instance.value);
        return it.instance == self_.instance || received == received_.end() ||
               now - received->second.since < rebalance_min_contact;
    });
    const auto load = load_table{record_};
    for (const auto kind : {role_kind::database, role_kind::account}) {
        const auto own = load.count(kind, self_.instance.value);
        const auto has_most =
            std::all_of(record_.members.begin(), record_.members.end(), [&](const auto& it) {
                const auto other = load.count(kind, it.first);
                return other < own || (other == own && it.first >= self_.instance.value);
            });
        const auto role = std::find_if(held_roles_.begin(), held_roles_.end(),
                                       [&](const auto& it) { return it.first.kind == kind; });
        const auto* to = role == held_roles_.end() ? nullptr : load.least_loaded(role->first, eligible);
        if (has_most && to != nullptr && own >= load.count(kind, to->instance.value) + 2) {
            pending_moves_.emplace(role->first, to->instance);
            return;
        }
    }
}

} // namespace citronlug
