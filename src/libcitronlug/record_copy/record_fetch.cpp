#include <citronlug/record_fetch.h>

#include <algorithm>

namespace citronlug {

namespace {

/// Pause after the last source was asked in vain.
constexpr auto turn_pause = duration{1s};

} // namespace

auto record_fetch::is_pending(time_point now) const -> bool {
    return is_pending_ && now - asked_at_ < record_fetch_timeout;
}

auto record_fetch::next(time_point now, const std::vector<std::string>& sources) -> std::optional<request> {
    if (is_pending(now)) {
        return std::nullopt;
    }
    auto it =
        std::find_if(sources.begin(), sources.end(), [&](const auto& at) { return !asked_.contains(at); });
    if (it == sources.end()) {
        is_store_due_ = true;
        if (sources.empty() || now - asked_at_ < turn_pause) {
            return std::nullopt;
        }
        asked_.clear();
        it = sources.begin();
    }
    asked_.insert(*it);
    asked_at_ = now;
    is_pending_ = true;
    return request{++number_, *it};
}

auto record_fetch::on_answer(std::uint64_t number, bool delivered) -> void {
    if (delivered) {
        reset();
    } else if (number == number_) {
        is_pending_ = false;
    }
}

auto record_fetch::reset() -> void {
    is_pending_ = false;
    asked_.clear();
    is_store_due_ = false;
}

} // namespace citronlug
