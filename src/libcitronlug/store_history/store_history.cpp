#include <citronlug/store_history.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace citronlug {

namespace {

auto without_content(store_answer answer, store_outcome outcome, const char* problem) -> store_answer {
    auto empty = store_answer{};
    empty.outcome = outcome;
    empty.problem = problem;
    empty.era = answer.era;
    return empty;
}

auto is_from_store(const store_answer& answer) -> bool {
    return answer.outcome == store_outcome::ok || answer.outcome == store_outcome::conflict ||
           answer.outcome == store_outcome::gone;
}

constexpr auto older_era = "the answer is of an older era of the store";
constexpr auto changed_era = "the store came back older during the call";

} // namespace

auto store_history::basis_of_list(record_kind kind, const std::string& after) const -> call_basis {
    const auto first = first_page_eras_.find(kind);
    return after.empty() || first == first_page_eras_.end() ? call_basis{era_, false}
                                                            : call_basis{first->second, true};
}

auto store_history::basis_of_watch() const -> call_basis {
    return {era_, true};
}

auto store_history::basis_of_write() const -> call_basis {
    return {era_, true};
}

auto store_history::observe(std::uint64_t era) -> bool {
    if (era <= era_) {
        return false;
    }
    const auto is_first = era_ == 0 && !has_unstated_answer_;
    era_ = era;
    return !is_first;
}

auto store_history::observe_answer(const store_answer& answer) -> bool {
    if (answer.era == 0 && era_ == 0 && is_from_store(answer)) {
        has_unstated_answer_ = true;
    }
    return observe(answer.era);
}

auto store_history::is_usable(const call_basis& basis, const store_answer& answer) -> bool {
    // A call that began before any era was known is answered in the first one unless content was read before.
    const auto basis_era = basis.era == 0 && !has_unstated_answer_ ? era_ : basis.era;
    return !basis.needs_same_era || !is_from_store(answer) || basis_era == era_;
}

auto store_history::judge_list(record_kind kind, const std::string& after, const call_basis& basis,
                               store_answer answer) -> store_answer {
    if (answer.era != 0 && answer.era < era_) {
        ++dropped_answers_;
        return without_content(std::move(answer), store_outcome::unanswered, older_era);
    }
    if (!is_usable(basis, answer)) {
        return without_content(std::move(answer), store_outcome::gone, changed_era);
    }
    if (after.empty() && answer.outcome == store_outcome::ok) {
        first_page_eras_[kind] = era_;
    }
    return answer;
}

auto store_history::judge_watch(const call_basis& basis, store_answer answer) -> store_answer {
    if (answer.era != 0 && answer.era < era_) {
        ++dropped_answers_;
        return without_content(std::move(answer), store_outcome::unanswered, older_era);
    }
    return is_usable(basis, answer) ? std::move(answer)
                                    : without_content(std::move(answer), store_outcome::gone, changed_era);
}

auto store_history::judge_write(const call_basis& basis, store_answer answer) -> store_answer {
    if (answer.era != 0 && answer.era < era_) {
        ++dropped_answers_;
        return without_content(std::move(answer), store_outcome::unanswered, older_era);
    }
    return is_usable(basis, answer)
               ? std::move(answer)
               : without_content(std::move(answer), store_outcome::unanswered, changed_era);
}

auto newer_primary(const primary_record& known, const primary_record& stored, std::uint64_t store_era)
    -> primary_record {
    const auto is_newer = stored.generation > known.generation ||
                          (stored.generation == known.generation && !is_restored(stored.era, store_era));
    auto result = is_newer ? stored : known;
    result.era = is_newer ? stored.era : 0;
    return result;
}

auto is_superseded(const coordinator_lease& stored, const coordinator_lease& known, bool holds_known,
                   std::uint64_t store_era) -> bool {
    if (store_era == 0) {
        return false;
    }
    // A record without an era may be of an instance of the previous version, which renews it.
    const auto is_older_copy =
        is_restored(stored.era, store_era) && known.era != 0 && stored.fencing_token <= known.fencing_token;
    return is_older_copy || (holds_known && stored.fencing_token < known.fencing_token);
}

auto era_in(const std::string& record_text) -> std::uint64_t {
    return QJsonDocument::fromJson(QByteArray::fromStdString(record_text))
        .object()["era"]
        .toString()
        .toULongLong();
}

} // namespace citronlug
