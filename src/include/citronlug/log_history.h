#pragma once

#include <citronlug/request.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronlug {

/// Start of a term in the log of a group.
struct term_start {
    term_number term = 0;
    log_position start = 0; ///< last position of the previous term

    auto operator==(const term_start&) const -> bool = default;
};

/// Decides which log positions belong to the history of a group.
///
/// Each change of primary ends the log of the earlier terms at what the new primary had received. A server
/// with entries of an earlier term beyond that has a parted log: no later read saw these entries, and
/// promoting the server would bring them back and drop the entries of the terms between. Its position alone
/// does not show that, because it may be the highest one.
class log_history {
public:
    /// Number of terms that are kept. Beyond it, the two oldest are merged, so that some positions of terms
    /// before them no longer belong to the history; a position that does not belong to it never does later.
    static constexpr auto max_terms = std::size_t{16};

    /// A server leads `term` and has the log up to `start`; no entry of the term is written yet.
    auto begin_term(term_number term, log_position start) -> void;

    /// True if a server with this newest position has no entry that a change of primary has rolled back.
    /// Positions of terms before the first known one belong to the history as far as is known.
    [[nodiscard]] auto contains(position at) const -> bool;
    /// True if a server with this newest position has all entries of the history up to `wanted`.
    [[nodiscard]] auto covers(position server, position wanted) const -> bool;
    /// Beginning of the newest term; empty if none is known.
    [[nodiscard]] auto newest_start() const -> std::optional<term_start>;

    /// Oldest term first; terms and their starts increase.
    [[nodiscard]] auto terms() const -> const std::vector<term_start>& { return terms_; }

    auto operator==(const log_history&) const -> bool = default;

private:
    /// End of the log of this term; empty if the term is the newest.
    [[nodiscard]] auto end_of(term_number term) const -> std::optional<log_position>;

    std::vector<term_start> terms_;
};

/// "TERM.START" for each term, separated by blanks.
[[nodiscard]] auto to_text(const log_history& history) -> std::string;
/// Empty if the text is not valid.
[[nodiscard]] auto parse_log_history(std::string_view text) -> std::optional<log_history>;

} // namespace citronlug
