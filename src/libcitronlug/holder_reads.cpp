#include "holder_impl.h"
#include "sql_states.h"

#include <algorithm>

namespace citronlug {

auto database_holder::implementation::read_candidates(time_point now, const work_item& work)
    -> std::vector<read_candidate> {
    auto found = std::vector<read_candidate>{};
    const auto wanted = work.client_request.session.value_or(position{});
    for (const auto& it : view_.members()) {
        auto candidate = read_candidate{it.id};
        candidate.primary = view_.primary() == &it;
        const auto usable = pool_.is_connected(it.id) && work.excluded_member != it.id;
        if (candidate.primary) {
            candidate.eligible = usable && view_.check(wanted) == history_check::held;
        } else if (const auto complete = view_.complete_at(now, it); complete && usable && !it.leaving) {
            candidate.data_age = now - *complete;
            candidate.eligible = candidate.data_age <= *work.client_request.max_age &&
                                 (wanted.term == 0 || view_.replica_has(it, wanted));
        }
        candidate.same_domain = !it.domain.empty() && it.domain == work.client_request.entry_domain;
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
    work.complete_as_of.reset();
    work.min_position = member->data_position();
    if (primary != member) {
        work.complete_as_of = view_.complete_at(now, *member);
    } else if (work.client_request.max_age) {
        // A read that accepts stale data but fell back to the primary must not raise the session position
        // beyond what the replicas have; otherwise the next read could not use them.
        work.min_position = position{};
        for (const auto& it : view_.members()) {
            if (&it != primary && it.data_position().term == view_.term()) {
                work.min_position = std::max(work.min_position, it.data_position());
            }
        }
    }
    send_pipeline(now, work, work.target, {work.client_request.body});
}

auto database_holder::implementation::finish_read(time_point now, work_item& work, pipeline_result outcome)
    -> void {
    if (outcome.status == pipeline_status::refused && !is_transient(outcome.sqlstate)) {
        refuse(now, work, failure_code::statement_failed, outcome.sqlstate + ": " + outcome.message);
        return;
    }
    if (outcome.status != pipeline_status::finished || outcome.results.empty()) {
        handle_lost_read(now, work);
        return;
    }
    if (!has_authority(now)) {
        refuse(now, work, failure_code::no_authority,
               "this instance currently has no authority over the database");
        return;
    }
    if (!work.complete_as_of && !sent_to_current_primary(work)) {
        handle_lost_read(now, work); // from a superseded primary, whose data may be stale
        return;
    }
    auto value = answer{};
    value.outcome = verdict::done;
    value.rows = std::move(outcome.results.front());
    value.reached = std::max(work.client_request.session.value_or(position{}), work.min_position);
    value.served_by = work.target;
    value.from_replica = work.complete_as_of.has_value();
    value.data_age = now - work.complete_as_of.value_or(work.sent_at);
    ++counters_.reads;
    counters_.replica_reads += value.from_replica ? 1 : 0;
    deliver(now, work, std::move(value));
}

auto database_holder::implementation::handle_lost_read(time_point now, work_item& work) -> void {
    if (now >= work.client_request.deadline) {
        refuse(now, work, failure_code::deadline_exceeded,
               "the deadline passed before the read was answered");
    } else if (work.cancelled || !budget_.take(now)) {
        refuse(now, work, failure_code::connection_lost, "the connection to the backend server failed");
    } else {
        work.excluded_member = work.client_request.max_age ? std::optional{work.target} : std::nullopt;
        requeue(now, work);
    }
}

} // namespace citronlug
