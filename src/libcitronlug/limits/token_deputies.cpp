#include <citronlug/token_deputies.h>

#include <algorithm>
#include <tuple>

namespace citronlug {

auto choose_deputies(const instance_id& self, const std::vector<instance_report>& recent)
    -> std::vector<token_deputy> {
    auto candidates = std::vector<const instance_report*>{};
    for (const auto& it : recent) {
        if (it.instance != self && it.lends_tokens && !it.leaving && !it.peer_address.empty()) {
            candidates.push_back(&it);
        }
    }
    // By name among equals, so that the choice does not change from one moment to the next.
    std::sort(candidates.begin(), candidates.end(), [](const auto* left, const auto* right) {
        return std::tuple{-left->processor_share, left->instance} <
               std::tuple{-right->processor_share, right->instance};
    });
    auto deputies = std::vector<token_deputy>{};
    for (const auto* it : candidates) {
        if (deputies.size() == max_deputies) {
            break;
        }
        deputies.push_back({it->instance, it->peer_address});
    }
    return deputies;
}

auto deputy_requests::begin(time_point now) -> std::string {
    if (pending_ && now - begun_at_ >= deputy_timeout) {
        on_answer(number_, false);
    }
    if (pending_ || addresses_.empty()) {
        return {};
    }
    pending_ = true;
    begun_at_ = now;
    ++number_;
    return addresses_[next_ % addresses_.size()];
}

auto deputy_requests::on_answer(std::uint64_t number, bool sufficient) -> void {
    if (!pending_ || number != number_) {
        return;
    }
    pending_ = false;
    next_ += sufficient ? 0 : 1;
}

} // namespace citronlug
