#include <citronlug/log_history.h>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace citronlug {

namespace {

auto parse_term_start(std::string_view text) -> std::optional<term_start> {
    auto it = term_start{};
    const auto* end = text.data() + text.size();
    const auto term = std::from_chars(text.data(), end, it.term);
    if (term.ec != std::errc{} || term.ptr == end || *term.ptr != '.') {
        return std::nullopt;
    }
    const auto start = std::from_chars(term.ptr + 1, end, it.start);
    return start.ec == std::errc{} && start.ptr == end ? std::optional{it} : std::nullopt;
}

} // namespace

auto log_history::begin_term(term_number term, log_position start) -> void {
    if (!terms_.empty() && term <= terms_.back().term) {
        return; // the term has begun already
    }
    // A term that begins where a later one does, or beyond it, has no entry left, and the later one ends the
    // log of all terms before it.
    while (!terms_.empty() && terms_.back().start >= start) {
        terms_.pop_back();
    }
    terms_.push_back({term, start});
    if (terms_.size() > max_terms) {
        terms_[1].start = terms_[0].start;
        terms_.erase(terms_.begin());
    }
}

auto log_history::end_of(term_number term) const -> std::optional<log_position> {
    const auto next =
        std::find_if(terms_.begin(), terms_.end(), [&](const auto& it) { return it.term > term; });
    return next == terms_.end() ? std::nullopt : std::optional{next->start};
}

auto log_history::contains(position at) const -> bool {
    const auto end = end_of(at.term);
    return !end || at.log <= *end;
}

auto log_history::covers(position server, position wanted) const -> bool {
    if (!contains(server)) {
        return false;
    }
    const auto wanted_log = std::min(wanted.log, end_of(wanted.term).value_or(wanted.log));
    // Between known terms the numbers alone count: a term without entries has the same log as the one before.
    const auto is_known = !terms_.empty() && terms_.front().term <= wanted.term;
    return server >= position{wanted.term, wanted_log} || (is_known && server.log >= wanted_log);
}

auto log_history::newest_start() const -> std::optional<term_start> {
    return terms_.empty() ? std::nullopt : std::optional{terms_.back()};
}

auto to_text(const log_history& history) -> std::string {
    auto text = std::string{};
    for (const auto& it : history.terms()) {
        text += fmt::format("{}{}.{}", text.empty() ? "" : " ", it.term, it.start);
    }
    return text;
}

auto parse_log_history(std::string_view text) -> std::optional<log_history> {
    auto history = log_history{};
    while (!text.empty()) {
        const auto end = std::min(text.find(' '), text.size());
        const auto it = parse_term_start(text.substr(0, end));
        if (!it) {
            return std::nullopt;
        }
        history.begin_term(it->term, it->start);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return history;
}

} // namespace citronlug
