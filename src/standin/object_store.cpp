#include "object_store.h"

#include <algorithm>
#include <utility>

namespace citronlug::standin {

auto object_store::get(const std::string& key, bool former) const -> std::optional<stored_object> {
    const auto it = objects_.find(key);
    if (it == objects_.end()) {
        return std::nullopt;
    }
    return former ? it->second.former : it->second.present;
}

auto object_store::put(const std::string& key, std::uint64_t expected, std::string value) -> put_outcome {
    const auto it = objects_.find(key);
    const auto present = it == objects_.end() ? 0 : it->second.present.version;
    if (present != expected) {
        return {false, present};
    }
    auto& target = objects_[key];
    if (present != 0) {
        target.former = std::move(target.present);
    }
    target.present = {++version_, std::move(value)};
    return {true, version_};
}

auto call_rate::take(time_point now) -> bool {
    const auto passed = std::chrono::duration<double>(now - updated_).count();
    level_ = std::min(per_second_, level_ + passed * per_second_);
    updated_ = now;
    if (level_ < 1) {
        return false;
    }
    level_ -= 1;
    return true;
}

auto instance_list::announce(time_point now, announced_instance entry) -> void {
    expire(now);
    auto& it = live_[entry.instance];
    it.announced = now;
    if (it.entry != entry) {
        changes_.push_back({now + lag_, entry.instance, entry});
        it.entry = std::move(entry);
    }
}

auto instance_list::remove(time_point now, const std::string& instance) -> void {
    expire(now);
    if (live_.erase(instance) > 0) {
        changes_.push_back({now + lag_, instance, std::nullopt});
    }
}

auto instance_list::expire(time_point now) -> void {
    // Ends are entered at the time when they occurred, however late the list is asked.
    auto ends = std::vector<change>{};
    for (auto it = live_.begin(); it != live_.end();) {
        const auto end = it->second.announced + expiry_;
        if (end <= now) {
            ends.push_back({end + lag_, it->first, std::nullopt});
            it = live_.erase(it);
        } else {
            ++it;
        }
    }
    if (!ends.empty()) {
        changes_.insert(changes_.end(), ends.begin(), ends.end());
        std::stable_sort(changes_.begin(), changes_.end(),
                         [](const auto& a, const auto& b) { return a.visible_at < b.visible_at; });
    }
}

auto instance_list::list(time_point now) -> std::vector<announced_instance> {
    expire(now);
    while (!changes_.empty() && changes_.front().visible_at <= now) {
        auto& it = changes_.front();
        if (it.entry) {
            visible_[it.instance] = std::move(*it.entry);
        } else {
            visible_.erase(it.instance);
        }
        changes_.pop_front();
    }
    auto result = std::vector<announced_instance>{};
    for (const auto& [name, entry] : visible_) {
        result.push_back(entry);
    }
    return result;
}

} // namespace citronlug::standin
