#pragma once

#include <citronlug/types.h>

#include <array>
#include <cstdint>
#include <optional>

namespace citronlug {

/// Who states that a version of the operators' rules, or of the list of servers, is the newest.
enum class copy_source {
    store,       ///< read by this instance
    coordinator, ///< in an answer to a report
};

/// A statement counts for this time. Then an instance asks the store itself: the coordinator may be cut off
/// from it, or may not deliver what it names.
inline constexpr auto copy_evidence_lifetime = duration{1800ms};

/// Longest wait of the coordinator's watches of the rules and servers at the store. A watch without events
/// confirms the copy as of when it was sent, so shortly before its answer the evidence is twice as old as
/// this wait. Twice the wait, a report interval and the calls' own times have to stay below
/// `copy_evidence_lifetime`; otherwise each instance lists the records at the store by itself once in each
/// watch.
inline constexpr auto copy_watch_wait = duration{600ms};

/// How versions of a copy compare.
enum class version_order {
    rising,    ///< a newer version has a higher number; 0: there are no records
    unordered, ///< a version only identifies its content; 0: unknown
};

/// How old an instance's copy of some records may be. A source states that a version was the newest at some
/// time; this is evidence for the copy only if it is a copy of that version. Not thread-safe.
class record_copy {
public:
    explicit record_copy(version_order order)
        : order_{order} {}

    /// The copy is of this version since `now`; `source` delivered it.
    auto hold(time_point now, copy_source source, std::uint64_t version) -> void;
    /// `version` was the newest at `as_of`, by the word of `source`. Returns false if the copy is of another
    /// version. The statement then counts as soon as the copy is of that version.
    auto on_statement(time_point now, copy_source source, std::uint64_t version, time_point as_of) -> bool;

    [[nodiscard]] auto version() const -> std::uint64_t { return held_; }
    /// The copy was the newest at this time, by the word of one source; empty: never.
    [[nodiscard]] auto confirmed_at(copy_source source) const -> std::optional<time_point>;
    /// The same by the word of any source.
    [[nodiscard]] auto confirmed_at() const -> std::optional<time_point>;
    /// Time since the copy was the newest; `duration::max()`: never.
    [[nodiscard]] auto age(time_point now) const -> duration;
    /// Since when a source has named another version that is not held yet.
    [[nodiscard]] auto behind_since() const -> std::optional<time_point> { return behind_since_; }
    /// That version; meaningful while `behind_since()` is set.
    [[nodiscard]] auto named_version() const -> std::uint64_t { return named_version_; }

private:
    struct statement {
        std::uint64_t version = 0;
        std::optional<time_point> as_of;
    };
    /// True if a copy of `held_`, delivered by `by`, shows all that a statement of `source` speaks of.
    [[nodiscard]] auto covers(copy_source by, copy_source source, const statement& it) const -> bool;

    version_order order_;
    std::uint64_t held_ = 0;
    time_point held_since_;
    std::array<statement, 2> statements_;                     ///< by source: the last one
    std::array<std::optional<time_point>, 2> confirmed_at_{}; ///< by source
    std::optional<time_point> behind_since_;
    std::uint64_t named_version_ = 0;
};

} // namespace citronlug
