#include "limit_check.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace citronlug::bench {

namespace {

constexpr auto lowest = std::numeric_limits<double>::lowest();

/// Tree over values that supports an addition to a suffix and the maximum of a suffix.
class suffix_maximum {
public:
    explicit suffix_maximum(std::vector<double> values)
        : values_{std::move(values)}
        , nodes_(4 * values_.size()) {
        build(1, 0, values_.size());
    }

    auto add(std::size_t from, double amount) -> void { add(1, 0, values_.size(), from, amount); }

    /// Largest value from this place on, and its place.
    [[nodiscard]] auto largest(std::size_t from) const -> std::pair<double, std::size_t> {
        return largest(1, 0, values_.size(), from);
    }

private:
    struct node {
        std::pair<double, std::size_t> largest{lowest, 0}; ///< with the additions to this node
        double added = 0;                                  ///< to the whole node
    };

    auto build(std::size_t n, std::size_t begin, std::size_t end) -> void {
        if (end - begin == 1) {
            nodes_[n].largest = {values_[begin], begin};
            return;
        }
        const auto middle = (begin + end) / 2;
        build(2 * n, begin, middle);
        build(2 * n + 1, middle, end);
        nodes_[n].largest = std::max(nodes_[2 * n].largest, nodes_[2 * n + 1].largest);
    }

    auto add(std::size_t n, std::size_t begin, std::size_t end, std::size_t from, double amount) -> void {
        auto& it = nodes_[n];
        if (end <= from) {
            return;
        }
        if (begin >= from) {
            it.added += amount;
            it.largest.first += amount;
            return;
        }
        const auto middle = (begin + end) / 2;
        add(2 * n, begin, middle, from, amount);
        add(2 * n + 1, middle, end, from, amount);
        it.largest = std::max(nodes_[2 * n].largest, nodes_[2 * n + 1].largest);
        it.largest.first += it.added;
    }

    [[nodiscard]] auto largest(std::size_t n, std::size_t begin, std::size_t end, std::size_t from) const
        -> std::pair<double, std::size_t> {
        if (end <= from) {
            return {lowest, 0};
        }
        const auto& it = nodes_[n];
        if (begin >= from) {
            return it.largest;
        }
        const auto middle = (begin + end) / 2;
        auto found = std::max(largest(2 * n, begin, middle, from), largest(2 * n + 1, middle, end, from));
        found.first += found.first == lowest ? 0 : it.added;
        return found;
    }

    std::vector<double> values_;
    std::vector<node> nodes_;
};

/// Tokens that flowed in between the first time and this one.
auto tokens_until(time_point time, time_point first, const std::vector<rate_step>& rates) -> double {
    auto tokens = 0.0;
    for (auto n = std::size_t{0}; n < rates.size(); ++n) {
        const auto begin = n == 0 ? first : std::max(first, rates[n].at);
        const auto end = n + 1 < rates.size() ? std::min(time, rates[n + 1].at) : time;
        if (end > begin) {
            tokens += std::chrono::duration<double>(end - begin).count() * rates[n].rate;
        }
    }
    return tokens;
}

} // namespace

auto find_limit_excess(std::vector<admission_span> spans, const std::vector<rate_step>& rates, double burst)
    -> std::vector<limit_excess> {
    auto found = std::vector<limit_excess>{};
    if (spans.empty()) {
        return found;
    }
    // A window is worth a look only if it begins where a span begins and ends where a span ends.
    std::sort(spans.begin(), spans.end(), [](const auto& a, const auto& b) { return a.from > b.from; });
    const auto first = spans.back().from;
    auto ends = std::vector<time_point>{};
    for (const auto& it : spans) {
        ends.push_back(it.to);
    }
    std::sort(ends.begin(), ends.end());
    auto spare = std::vector<double>{};
    for (const auto end : ends) {
        spare.push_back(-tokens_until(end, first, rates));
    }
    const auto place = [&](time_point end) {
        return static_cast<std::size_t>(std::lower_bound(ends.begin(), ends.end(), end) - ends.begin());
    };
    // The value of an end is the number of spans up to it, less the tokens up to it. The windows begin later
    // first, so all spans entered so far begin within the window.
    auto excess = suffix_maximum{spare};
    auto entered = std::vector<std::size_t>{};
    constexpr auto rounding = 1e-6;
    for (const auto& it : spans) {
        entered.push_back(place(it.to));
        excess.add(entered.back(), 1);
        const auto [value, end] = excess.largest(place(it.from));
        const auto tokens_before = tokens_until(it.from, first, rates);
        if (value + tokens_before <= burst + rounding) {
            continue;
        }
        const auto count = std::count_if(entered.begin(), entered.end(),
                                         [&, last = end](auto n) { return ends[n] <= ends[last]; });
        found.push_back(
            {it.from, ends[end], static_cast<std::size_t>(count), burst - spare[end] - tokens_before});
        for (const auto n : std::exchange(entered, {})) {
            excess.add(n, -1);
        }
    }
    return found;
}

} // namespace citronlug::bench
