#include <citronlug/queue_policy.h>

#include <algorithm>
#include <array>
#include <deque>
#include <limits>
#include <map>
#include <vector>

namespace citronlug {

namespace {

/// Deficit round robin over client accounts. Each account has a bounded queue with one list per lane. The
/// cost of an entry is its expected service time, so an account with slow statements starts fewer of them.
/// Each step of priority halves the credit that an account gets per round.
class fair_queue : public queue_policy {
public:
    [[nodiscard]] auto push(queued_work work) -> bool override {
        auto& queue = accounts_[work.account];
        if (queue.size >= max_entries_per_account) {
            return false;
        }
        queue.priority = work.priority;
        if (queue.size == 0) {
            // An account that was not served within the last round is next: its request then waits for a
            // single slot, not for a full round of accounts that always have work. A round of an account of
            // lower priority is longer.
            const auto round = work.cost * static_cast<std::int64_t>(ring_.size() + 1) *
                               (1 << steps_below_highest(queue, highest_priority(queue.priority)));
            queue.deficit = served_ - queue.last_served >= round ? work.cost : duration{};
            ring_.insert(ring_.begin() + static_cast<std::ptrdiff_t>(std::min(cursor_, ring_.size())),
                         work.account);
        }
        ++queue.size;
        ++size_;
        queue.lanes.at(static_cast<std::size_t>(work.lane)).push_back(std::move(work));
        return true;
    }

    auto remove(std::uint64_t number) -> void override {
        for (auto& [id, queue] : accounts_) {
            for (auto& lane : queue.lanes) {
                const auto it = std::find_if(lane.begin(), lane.end(),
                                             [&](const auto& entry) { return entry.number == number; });
                if (it != lane.end()) {
                    lane.erase(it);
                    remove_entry(id);
                    return;
                }
            }
        }
    }

    [[nodiscard]] auto take(const start_checker& check) -> std::optional<std::uint64_t> override {
        auto blocked = std::array<bool, queue_lane_count>{};
        auto startable = std::vector<candidate>{};
        for (std::size_t n = 0; n < ring_.size(); ++n) {
            const auto at = (cursor_ + n) % ring_.size();
            auto selected = first_startable(accounts_[ring_[at]], check, blocked);
            if (!selected) {
                continue;
            }
            selected->ring = at;
            if (accounts_[ring_[at]].deficit >= selected->cost) {
                return start(*selected);
            }
            startable.push_back(*selected);
        }
        if (startable.empty()) {
            return std::nullopt;
        }
        // No account has enough credit: advance by as many rounds as the first account to reach its cost
        // needs.
        const auto highest = highest_priority(std::numeric_limits<int>::max());
        auto rounds = std::int64_t{0};
        for (const auto& it : startable) {
            const auto& queue = accounts_[ring_[it.ring]];
            const auto missing = it.cost - queue.deficit;
            const auto credit = quantum / (1 << steps_below_highest(queue, highest));
            const auto needed = (missing.count() + credit.count() - 1) / credit.count();
            rounds = rounds == 0 ? needed : std::min(rounds, needed);
        }
        auto best = std::optional<candidate>{};
        for (const auto& it : startable) {
            auto& queue = accounts_[ring_[it.ring]];
            queue.deficit += quantum / (1 << steps_below_highest(queue, highest)) * rounds;
            if (!best && queue.deficit >= it.cost) {
                best = it;
            }
        }
        return start(*best);
    }

    [[nodiscard]] auto service_time_ahead(const account_id& account, queue_lane lane) const
        -> duration override {
        const auto own = queued_cost(account, lane);
        const auto found = accounts_.find(account);
        const auto highest = highest_priority(found == accounts_.end() ? 0 : found->second.priority);
        const auto own_steps = found == accounts_.end() ? 0 : steps_below_highest(found->second, highest);
        auto sum = own;
        for (const auto& it : ring_) {
            if (it != account) {
                // Another account gets at most as much service as this one, plus one entry of the current
                // round, times the ratio of their credits.
                const auto steps = steps_below_highest(accounts_.at(it), highest);
                const auto bound = (own + quantum) * (1 << own_steps) / (1 << steps);
                sum += std::min(queued_cost(it, lane), bound);
            }
        }
        return sum;
    }

    [[nodiscard]] auto size() const -> std::size_t override { return size_; }

private:
    static constexpr std::size_t max_entries_per_account = 256;
    static constexpr std::size_t scan_limit = 64; ///< entries checked per lane if the first ones have to wait
    /// Above this number, accounts are removed when their queue becomes empty.
    static constexpr std::size_t max_accounts = 4096;
    static constexpr duration quantum = 1ms;
    /// An account gets at least an eighth of the credit of the waiting accounts of the highest priority.
    static constexpr int max_priority_steps = 3;

    struct account_queue {
        std::array<std::deque<queued_work>, queue_lane_count> lanes;
        std::size_t size = 0;
        std::size_t next_lane = 0;
        duration deficit{};
        duration last_served = -1h; ///< value of `served_` when its last entry started
        int priority = 0;           ///< of the account as of its newest entry
    };
    struct candidate {
        std::size_t ring = 0;
        std::size_t lane = 0;
        std::size_t index = 0;
        duration cost{};
    };

    static auto first_startable(account_queue& queue, const start_checker& check,
                                std::array<bool, queue_lane_count>& blocked) -> std::optional<candidate> {
        // Statements of open transactions go first, because they hold locks. The other lanes alternate.
        constexpr auto transaction_lane = static_cast<std::size_t>(queue_lane::transaction);
        for (std::size_t n = 0; n <= queue_lane_count; ++n) {
            const auto lane = n == 0 ? transaction_lane : (queue.next_lane + n) % queue_lane_count;
            auto& entries = queue.lanes.at(lane);
            for (std::size_t i = 0; i < std::min(entries.size(), scan_limit) && !blocked.at(lane); ++i) {
                const auto outcome = check(entries[i].number);
                if (outcome == start_check::start) {
                    return candidate{0, lane, i, entries[i].cost};
                }
                blocked.at(lane) = outcome == start_check::blocked;
            }
        }
        return std::nullopt;
    }

    auto start(const candidate& selected) -> std::uint64_t {
        const auto id = ring_[selected.ring];
        auto& queue = accounts_[id];
        auto& lane = queue.lanes.at(selected.lane);
        const auto it = lane.begin() + static_cast<std::ptrdiff_t>(selected.index);
        const auto number = it->number;
        lane.erase(it);
        queue.deficit -= selected.cost;
        served_ += selected.cost;
        queue.last_served = served_;
        queue.next_lane = selected.lane;
        // The next round starts with the next account, so that a free slot does not always go to the same
        // one.
        cursor_ = selected.ring + (queue.deficit >= selected.cost ? 0 : 1);
        remove_entry(id);
        return number;
    }

    auto remove_entry(const account_id& id) -> void {
        --size_;
        if (--accounts_[id].size > 0) {
            return;
        }
        const auto it = std::find(ring_.begin(), ring_.end(), id);
        if (static_cast<std::size_t>(it - ring_.begin()) < cursor_) {
            --cursor_;
        }
        ring_.erase(it);
        if (accounts_.size() > max_accounts) {
            accounts_.erase(id);
        }
    }

    /// The highest priority among the accounts with queued work and `own`.
    [[nodiscard]] auto highest_priority(int own) const -> int {
        auto highest = own;
        for (const auto& it : ring_) {
            highest = std::min(highest, accounts_.at(it).priority);
        }
        return highest;
    }

    [[nodiscard]] static auto steps_below_highest(const account_queue& queue, int highest) -> int {
        return std::clamp(queue.priority - highest, 0, max_priority_steps);
    }

    [[nodiscard]] auto queued_cost(const account_id& account, queue_lane lane) const -> duration {
        auto sum = duration{};
        const auto it = accounts_.find(account);
        for (std::size_t n = 0; it != accounts_.end() && n < queue_lane_count; ++n) {
            const auto& entries = it->second.lanes.at(n);
            if (competes(static_cast<queue_lane>(n), lane) && !entries.empty()) {
                sum += entries.front().cost * static_cast<std::int64_t>(entries.size());
            }
        }
        return sum;
    }

    std::map<account_id, account_queue> accounts_;
    std::vector<account_id> ring_; ///< accounts with queued work
    std::size_t cursor_ = 0;
    std::size_t size_ = 0;
    duration served_{}; ///< expected service time of all entries started so far
};

const plugin_registration<queue_policy, fair_queue> registration{"fair"};

} // namespace

} // namespace citronlug
