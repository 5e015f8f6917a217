#include <citronlug/token_ledger.h>

#include <algorithm>
#include <utility>

namespace citronlug {

auto token_ledger::expire(time_point now) -> void {
    const auto first =
        std::find_if(slots_.begin(), slots_.end(), [&](const slot& it) { return it.end + window_ > now; });
    slots_.erase(slots_.begin(), first);
}

auto token_ledger::record(time_point now, std::uint64_t coordinator) -> void {
    const auto end = now - now.time_since_epoch() % use_resolution + use_resolution;
    if (slots_.empty() || slots_.back().end != end || slots_.back().counted_by != coordinator ||
        slots_.back().is_reported) {
        expire(now);
        slots_.push_back({end, 0, coordinator, 0, false});
    }
    ++slots_.back().tokens;
}

auto token_ledger::total(time_point now) -> std::uint32_t {
    expire(now);
    auto n = std::uint32_t{0};
    for (const auto& it : slots_) {
        n += it.tokens;
    }
    return n;
}

auto token_ledger::report(time_point now, std::uint64_t coordinator) -> std::vector<token_use> {
    expire(now);
    auto uses = std::vector<token_use>{};
    const auto is_new = std::exchange(coordinator_, coordinator) != coordinator;
    reported_total_ = is_new ? 0 : reported_total_;
    for (auto& it : slots_) {
        it.in_total = is_new ? 0 : it.in_total;
        it.is_reported = it.counted_by != coordinator;
        if (it.is_reported) {
            reported_total_ += it.tokens - std::exchange(it.in_total, it.tokens);
            uses.push_back({std::max(duration{}, now - it.end), it.tokens});
        }
    }
    return uses;
}

auto token_ledger::on_report_answered(std::uint64_t coordinator) -> void {
    for (auto& it : slots_) {
        it.counted_by = it.is_reported ? coordinator : it.counted_by;
        it.is_reported = false;
    }
}

auto token_ledger::on_report_failed() -> void {
    for (auto& it : slots_) {
        it.is_reported = false;
    }
}

} // namespace citronlug
