#include <citronlug/caller_resources.h>

#include <algorithm>
#include <tuple>

namespace citronlug {

namespace {

constexpr auto log_interval = duration{1s};

auto beyond_free(std::size_t bytes) -> std::size_t {
    return bytes > free_bytes_per_caller ? bytes - free_bytes_per_caller : 0;
}

} // namespace

auto make_caller_limits(const session_settings& settings) -> caller_resource_limits {
    auto connections = settings.max_callers;
    if (settings.descriptors) {
        const auto left = *settings.descriptors - reserved_file_descriptors - reserved_link_descriptors;
        connections = std::clamp(left, 1, connections);
    }
    auto it = caller_resource_limits{};
    it.connections = static_cast<std::size_t>(connections);
    it.per_address = static_cast<std::size_t>(std::max(settings.max_callers / 4, min_callers_per_address));
    it.unfinished = std::max<std::size_t>(it.connections / 2, 1);
    it.memory = settings.memory_mb ? *settings.memory_mb * 1024 * 1024 / caller_memory_divisor
                                   : default_caller_memory;
    return it;
}

caller_admission::caller_admission(caller_resource_limits limits)
    : limits_{limits} {}

auto caller_admission::on_connected(time_point now, caller_id id, const std::string& address,
                                    std::size_t closing) -> decision {
    const auto same = per_address_.find(address);
    if (same != per_address_.end() && same->second >= limits_.per_address) {
        return {caller_refusal::address, {}};
    }
    auto it = decision{};
    if (unfinished_.size() >= limits_.unfinished || addresses_.size() + closing >= limits_.connections) {
        if (unfinished_.empty()) {
            return {caller_refusal::connections, {}};
        }
        it.close = unfinished_.begin()->first;
        on_closed(*it.close);
    }
    if (addresses_.size() + closing >= limits_.connections) {
        it.refused = caller_refusal::connections;
        return it;
    }
    addresses_[id] = address;
    ++per_address_[address];
    unfinished_[id] = now;
    return it;
}

auto caller_admission::on_started(caller_id id) -> void {
    unfinished_.erase(id);
}

auto caller_admission::on_closed(caller_id id) -> void {
    const auto it = addresses_.find(id);
    if (it == addresses_.end()) {
        return;
    }
    const auto same = per_address_.find(it->second);
    if (--same->second == 0) {
        per_address_.erase(same);
    }
    addresses_.erase(it);
    unfinished_.erase(id);
}

auto caller_admission::expired(time_point now) const -> std::vector<caller_id> {
    auto result = std::vector<caller_id>{};
    for (const auto& [id, since] : unfinished_) {
        if (now - since < start_timeout) {
            break;
        }
        result.push_back(id);
    }
    return result;
}

auto caller_admission::may_log(time_point now, caller_refusal why) -> bool {
    const auto [it, is_first] = logged_at_.try_emplace(why, now);
    if (!is_first && now - it->second < log_interval) {
        return false;
    }
    it->second = now;
    return true;
}

memory_budget::memory_budget(std::uint64_t total)
    : total_{total} {}

auto memory_budget::holder::total() const -> std::size_t {
    return bytes[0] + bytes[1] + bytes[2] + bytes[3];
}

auto memory_budget::fits(const holder& it, std::size_t more) const -> bool {
    const auto before = beyond_free(it.total());
    const auto after = beyond_free(it.total() + more);
    const auto shared = shared_ - before + after;
    return after == before || (shared <= total_ && after <= total_ - shared);
}

auto memory_budget::set(time_point now, caller_id id, memory_use use, std::size_t bytes) -> void {
    const auto index = static_cast<std::size_t>(use);
    const auto found = holders_.try_emplace(id);
    auto& it = found.first->second;
    if (found.second) {
        it.progress_at = now;
    }
    if (it.bytes.at(index) == bytes) {
        return;
    }
    const auto before = beyond_free(it.total());
    held_.at(index) = held_.at(index) - it.bytes.at(index) + bytes;
    it.bytes.at(index) = bytes;
    shared_ = shared_ - before + beyond_free(it.total());
    it.progress_at = now;
}

auto memory_budget::request(time_point now, caller_id id, std::size_t more) -> bool {
    const auto found = holders_.try_emplace(id);
    auto& it = found.first->second;
    if (found.second) {
        it.progress_at = now;
    }
    const auto granted = fits(it, more);
    waiting_ -= it.asked > 0 ? 1 : 0;
    it.asked = granted ? 0 : more;
    waiting_ += it.asked > 0 ? 1 : 0;
    return granted;
}

auto memory_budget::remove(caller_id id) -> void {
    const auto found = holders_.find(id);
    if (found == holders_.end()) {
        return;
    }
    const auto& it = found->second;
    shared_ -= beyond_free(it.total());
    for (auto n = std::size_t{0}; n < held_.size(); ++n) {
        held_.at(n) -= it.bytes.at(n);
    }
    waiting_ -= it.asked > 0 ? 1 : 0;
    holders_.erase(found);
}

auto memory_budget::resumable() -> std::vector<caller_id> {
    if (waiting_ == 0) {
        return {};
    }
    auto found = std::vector<std::pair<std::size_t, caller_id>>{};
    for (auto& [id, it] : holders_) {
        if (it.asked > 0 && fits(it, it.asked)) {
            found.emplace_back(it.total() + std::exchange(it.asked, 0), id);
            --waiting_;
        }
    }
    std::sort(found.begin(), found.end());
    auto result = std::vector<caller_id>{};
    for (const auto& it : found) {
        result.push_back(it.second);
    }
    return result;
}

auto memory_budget::next_to_close(time_point now) const -> std::optional<caller_id> {
    if (waiting_ == 0) {
        return std::nullopt;
    }
    auto found = std::pair<std::size_t, caller_id>{};
    for (const auto& [id, it] : holders_) {
        // A statement in progress is not the caller's delay.
        if (now - it.progress_at >= memory_stall_timeout && it.of(memory_use::statements) == 0 &&
            it.total() + it.asked > free_bytes_per_caller) {
            found = std::max(found, {it.total() + it.asked, id});
        }
    }
    return found.second != 0 ? std::optional{found.second} : std::nullopt;
}

auto memory_budget::over_budget(time_point now) const -> std::optional<caller_id> {
    if (shared_ <= total_) {
        return std::nullopt;
    }
    auto found = std::tuple<std::chrono::seconds, std::size_t, caller_id>{};
    for (const auto& [id, it] : holders_) {
        const auto unsent = it.of(memory_use::answers);
        if (unsent > free_bytes_per_caller) {
            const auto idle = std::chrono::duration_cast<std::chrono::seconds>(now - it.progress_at);
            found = std::max(found, {idle, unsent, id});
        }
    }
    return std::get<2>(found) != 0 ? std::optional{std::get<2>(found)} : std::nullopt;
}

auto memory_budget::held(memory_use use) const -> std::uint64_t {
    return held_.at(static_cast<std::size_t>(use));
}

} // namespace citronlug
