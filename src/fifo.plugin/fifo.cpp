#include <citronlug/queue_policy.h>

#include <algorithm>
#include <array>
#include <deque>

namespace citronlug {

namespace {

/// Baseline: first come, first served over all accounts.
class fifo_queue : public queue_policy {
public:
    [[nodiscard]] auto push(queued_work work) -> bool override {
        if (entries_.size() >= max_entries) {
            return false;
        }
        entries_.push_back(std::move(work));
        return true;
    }

    auto remove(std::uint64_t number) -> void override {
        std::erase_if(entries_, [&](const auto& it) { return it.number == number; });
    }

    [[nodiscard]] auto take(const start_checker& check) -> std::optional<std::uint64_t> override {
        auto blocked = std::array<bool, queue_lane_count>{};
        for (auto it = entries_.begin(); it != entries_.end(); ++it) {
            auto& lane_blocked = blocked.at(static_cast<std::size_t>(it->lane));
            if (lane_blocked) {
                continue;
            }
            const auto outcome = check(it->number);
            if (outcome == start_check::start) {
                const auto number = it->number;
                entries_.erase(it);
                return number;
            }
            lane_blocked = outcome == start_check::blocked;
        }
        return std::nullopt;
    }

    [[nodiscard]] auto service_time_ahead(const account_id& /*account*/, queue_lane lane) const
        -> duration override {
        auto sum = duration{};
        for (const auto& it : entries_) {
            sum += competes(it.lane, lane) ? it.cost : duration{};
        }
        return sum;
    }

    [[nodiscard]] auto size() const -> std::size_t override { return entries_.size(); }

private:
    static constexpr std::size_t max_entries = 2048;
    std::deque<queued_work> entries_;
};

const plugin_registration<queue_policy, fifo_queue> registration{"fifo"};

} // namespace

} // namespace citronlug
