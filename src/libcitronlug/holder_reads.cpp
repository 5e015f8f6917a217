#include "holder_impl.h"
#include "sql_states.h"

#include <algorithm>

namespace citronlug {

auto database_holder::implementation::read_candidates(time_point now, const work_item& work)
    -> std::vector<read_candidate> {
    auto found = std::vector<read_candidate>{};
    const auto wanted = work.body.session.value_or(position{});
    for (const auto& it : view_.members()) {
        auto candidate = read_candidate{it.id};
        candidate.primary = view_.primary() == &it;
        const auto usable = pool_.is_connected(it.id) && work.avoid != it.id;
        if (candidate.primary) {
            candidate.eligible = usable && view_.check(wanted) == history_check::held;
        } else if (const auto complete = view_.complete_at(now, it); complete && usable && !it.leaving) {
            candidate.data_age = now - *complete;
            candidate.eligible = candidate.data_age <= *work.body.max_age &&
                                 (wanted.term == 0 || view_.replica_has(it, wanted));
        }
        candidate.same_domain = !it.domain.empty() && it.domain == work.body.entry_domain;
        candidate.in_flight = pool_.in_flight(now, it.id);
        const auto slot = pool_.has_slot(now, it.id);
        candidate.available = slot && pool_.has_idle(it.id);
        if (candidate.eligible && slot && !candidate.available) {
            pool_.request_connection(now, it.id);
        }
        found.push_back(std::move(candidate));
    }
    return found;
}

auto database_holder::implementation::start_read(time_point now, work_item& work) -> void {
    const auto* const primary = view_.primary();
    const auto* const member = view_.find(work.target);
    work.complete.reset();
    work.floor = member->data_position();
    if (primary != member) {
        work.complete = view_.complete_at(now, *member);
    } else if (work.body.max_age) {
        // A read that accepts stale data and fell back to the primary must not bar the replicas from the next
        // read.
        work.floor = position{};
        for (const auto& it : view_.members()) {
            if (&it != primary && it.data_position().term == view_.term()) {
                work.floor = std::max(work.floor, it.data_position());
            }
        }
    }
    launch(now, work, work.target, {work.body.body});
}

auto database_holder::implementation::finish_read(time_point now, work_item& work, pipeline_result outcome)
    -> void {
    if (outcome.status == pipeline_status::refused && !is_transient(outcome.sqlstate)) {
        refuse(now, work, failure_code::statement_failed, outcome.sqlstate + ": " + outcome.message);
        return;
    }
    if (outcome.status != pipeline_status::finished || outcome.results.empty()) {
        read_lost(now, work);
        return;
    }
    if (!has_authority(now)) {
        refuse(now, work, failure_code::no_authority, "this instance may not act for the database now");
        return;
    }
    if (!work.complete && !is_current(work)) {
        read_lost(now, work); // from a superseded primary, whose data may be old
        return;
    }
    auto value = answer{};
    value.outcome = verdict::done;
    value.rows = std::move(outcome.results.front());
    value.reached = std::max(work.body.session.value_or(position{}), work.floor);
    value.served_by = work.target;
    value.from_replica = work.complete.has_value();
    value.data_age = now - work.complete.value_or(work.sent);
    ++counters_.reads;
    counters_.replica_reads += value.from_replica ? 1 : 0;
    deliver(now, work, std::move(value));
}

auto database_holder::implementation::read_lost(time_point now, work_item& work) -> void {
    if (now >= work.body.deadline) {
        refuse(now, work, failure_code::deadline_exceeded,
               "the deadline passed before the read was answered");
    } else if (work.cancelled || !budget_.take(now)) {
        refuse(now, work, failure_code::connection_lost, "the connection to the backend server failed");
    } else {
        work.avoid = work.body.max_age ? std::optional{work.target} : std::nullopt;
        requeue(now, work);
    }
}

} // namespace citronlug
