#pragma once

#include <citronlug/coordination.h>
#include <citronlug/store_mirror.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace citronlug {

/// Added to a fencing token or a generation that follows a restored copy. More than could be used in the
/// seconds that the copy lacks.
inline constexpr std::uint64_t restored_number_step = 1000;
/// How long a new coordinator collects the records that instances know before it uses restored ones: several
/// report intervals of 250 ms.
inline constexpr duration record_collection_time = 1s;
/// Registrations are written again within this time after a new era is learned. Less than the lifetime of a
/// permission, so that callers are served meanwhile.
inline constexpr duration registration_spread = 1s;

/// Tracks the eras of the store and decides what each answer counts for. The store states a higher era after
/// it has come back from an older copy, with revisions that are given out again. An answer that states no era
/// counts as one of the present era. Performs no I/O. Not thread-safe.
class store_history {
public:
    /// What a call builds on.
    struct call_basis {
        std::uint64_t era = 0;
        bool needs_same_era = false; ///< the call uses a revision, or continues a listing
    };

    [[nodiscard]] auto basis_of_list(record_kind kind, const std::string& after) const -> call_basis;
    [[nodiscard]] auto basis_of_watch() const -> call_basis;
    [[nodiscard]] auto basis_of_write() const -> call_basis;

    /// Takes the era of an answer, or one that another instance has seen, into account. True if the store has
    /// come back older: everything that builds on its revisions must be dropped.
    auto observe(std::uint64_t era) -> bool;
    /// Like `observe` for a store's answer; an answer without an era counts as such.
    auto observe_answer(const store_answer& answer) -> bool;
    /// The answer as it counts, after it was observed:
    /// - an answer of an older era is no answer;
    /// - a watch, or a further page of a listing, that began in another era has to begin again;
    /// - the outcome of a write that began in another era is unknown, since its revision may have matched by
    ///   chance.
    [[nodiscard]] auto judge_list(record_kind kind, const std::string& after, const call_basis& basis,
                                  store_answer answer) -> store_answer;
    [[nodiscard]] auto judge_watch(const call_basis& basis, store_answer answer) -> store_answer;
    [[nodiscard]] auto judge_write(const call_basis& basis, store_answer answer) -> store_answer;

    [[nodiscard]] auto era() const -> std::uint64_t { return era_; }
    [[nodiscard]] auto dropped_answers() const -> std::uint64_t { return dropped_answers_; }

private:
    [[nodiscard]] auto is_usable(const call_basis& basis, const store_answer& answer) -> bool;

    std::uint64_t era_ = 0;
    bool has_unstated_answer_ = false; ///< content was read before the store stated an era
    std::uint64_t dropped_answers_ = 0;
    std::map<record_kind, std::uint64_t> first_page_eras_;
};

/// True if a record that was written in `record_era` is a restored copy in a store of `store_era`.
[[nodiscard]] constexpr auto is_restored(std::uint64_t record_era, std::uint64_t store_era) -> bool {
    return record_era < store_era;
}

/// The primary record that counts when `known` is known and the store has `stored`. Generations never go
/// back, and a restored copy of the same generation may lack the end of its change. The era of the result is
/// lower than `store_era` if the record has to be written again.
[[nodiscard]] auto newer_primary(const primary_record& known, const primary_record& stored,
                                 std::uint64_t store_era) -> primary_record;

/// True if the lease `known` counts and not the one that the store has: a restored copy never supersedes a
/// lease with at least its token, nor any record the lease of a holder (`holds_known`) with a higher token.
[[nodiscard]] auto is_superseded(const coordinator_lease& stored, const coordinator_lease& known,
                                 bool holds_known, std::uint64_t store_era) -> bool;

/// Era in the text of a record; 0 if it states none.
[[nodiscard]] auto era_in(const std::string& record_text) -> std::uint64_t;

} // namespace citronlug
