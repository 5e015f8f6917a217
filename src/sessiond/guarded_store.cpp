#include "guarded_store.h"

#include <utility>

namespace citronlug {

guarded_store::guarded_store(object_store& store, observers on)
    : store_{store}
    , on_{std::move(on)} {}

auto guarded_store::list(record_kind kind, const std::string& after, object_store::answer_handler done)
    -> void {
    const auto basis = history_.basis_of_list(kind, after);
    store_.list(kind, after, [this, kind, after, basis, done = std::move(done)](const store_answer& answer) {
        observe(answer);
        const auto dropped = history_.dropped_answers();
        const auto judged = history_.judge_list(kind, after, basis, answer);
        report_dropped(dropped);
        done(judged);
    });
}

auto guarded_store::watch(record_kind kind, std::uint64_t after, duration wait,
                          object_store::answer_handler done) -> void {
    store_.watch(
        kind, after, wait,
        [this, basis = history_.basis_of_watch(), done = std::move(done)](const store_answer& answer) {
            observe(answer);
            const auto dropped = history_.dropped_answers();
            const auto judged = history_.judge_watch(basis, answer);
            report_dropped(dropped);
            done(judged);
        });
}

auto guarded_store::write(record_kind kind, const store_record& record, std::uint64_t expected_revision,
                          object_store::answer_handler done) -> void {
    store_.write(
        kind, record, expected_revision,
        [this, basis = history_.basis_of_write(), done = std::move(done)](const store_answer& answer) {
            observe(answer);
            const auto dropped = history_.dropped_answers();
            const auto judged = history_.judge_write(basis, answer);
            report_dropped(dropped);
            done(judged);
        });
}

auto guarded_store::learn(std::uint64_t era) -> void {
    const auto before = history_.era();
    report_change(before, history_.observe(era));
}

auto guarded_store::observe(const store_answer& answer) -> void {
    const auto before = history_.era();
    report_change(before, history_.observe_answer(answer));
}

auto guarded_store::report_change(std::uint64_t before, bool restored) -> void {
    if (history_.era() != before) {
        on_.on_era(before, history_.era(), restored);
    }
}

auto guarded_store::report_dropped(std::uint64_t before) -> void {
    if (history_.dropped_answers() != before) {
        on_.on_dropped();
    }
}

} // namespace citronlug
