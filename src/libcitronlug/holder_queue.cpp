#include "holder_impl.h"
#include "statement_check.h"

#include <algorithm>

#include <fmt/format.h>

namespace citronlug {

namespace {

constexpr auto max_service_sample = 1s; // limits the influence of one slow statement on the expected wait
constexpr auto service_time_weight = 0.05;
constexpr auto on_demand_probe_interval = 20ms; // between probes triggered by waiting requests

auto kind_of(const request& incoming) -> work_kind {
    switch (incoming.step) {
    case transaction_step::begin:
        return work_kind::begin;
    case transaction_step::run:
        return work_kind::run;
    case transaction_step::commit:
        return work_kind::commit;
    case transaction_step::rollback:
        return work_kind::rollback;
    case transaction_step::none:
        break;
    }
    return incoming.mode == access_mode::read ? work_kind::read : work_kind::write;
}

auto is_new_work(work_kind kind) -> bool {
    return kind == work_kind::read || kind == work_kind::write || kind == work_kind::begin;
}

} // namespace

auto database_holder::implementation::validate(const request& incoming) const -> std::optional<failure> {
    switch (kind_of(incoming)) {
    case work_kind::begin:
    case work_kind::commit:
    case work_kind::rollback:
        if (!incoming.body.text.empty()) {
            return failure{failure_code::bad_request, "begin, commit and rollback take no statement", {}};
        }
        return std::nullopt;
    case work_kind::write:
        if (!incoming.idempotent && incoming.id.empty()) {
            return failure{
                failure_code::bad_request, "a write that is not idempotent needs a request id", {}};
        }
        return check_statement(incoming.body.text, access_mode::write);
    case work_kind::run:
        return check_statement(incoming.body.text, access_mode::write);
    case work_kind::read:
        return check_statement(incoming.body.text, access_mode::read);
    }
    return std::nullopt;
}

auto database_holder::implementation::on_request(time_point now, request_handle handle, request incoming)
    -> void {
    last_request_ = now;
    const auto number = next_number_++;
    auto& work = work_items_[number];
    work.number = number;
    work.handle = handle;
    work.kind = kind_of(incoming);
    work.stage = work_stage::running; // not in the queue yet
    work.client_request = std::move(incoming);
    work.arrived_at = now;
    by_handle_[handle] = number;
    budget_.on_request();
    if (auto error = validate(work.client_request)) {
        refuse(now, work, error->code, std::move(error->message));
        return;
    }
    if (!has_authority(now)) {
        refuse(now, work, failure_code::no_authority,
               "this instance currently has no authority over the database");
        return;
    }
    if (draining_ && is_new_work(work.kind)) {
        refuse(now, work, failure_code::shutting_down, "the instance is shutting down");
        return;
    }
    if (now >= work.client_request.deadline) {
        refuse(now, work, failure_code::deadline_exceeded,
               "the deadline had passed when the request arrived");
        return;
    }
    if ((work.kind == work_kind::write || work.kind == work_kind::commit) &&
        !work.client_request.id.empty()) {
        if (!running_ids_.emplace(std::pair{work.client_request.account, work.client_request.id}, number)
                 .second) {
            answer_unknown(now, work, failure_code::duplicate_running,
                           "a request with this id is already in progress");
            return;
        }
        work.tracked = true;
    }
    if (is_new_work(work.kind) || admit_step(now, work)) {
        if (!enqueue(now, work)) {
            return;
        }
    }
    dispatch(now);
}

auto database_holder::implementation::lane_of(const work_item& work) const -> queue_lane {
    switch (work.kind) {
    case work_kind::read:
        return work.client_request.max_age ? queue_lane::replica_read : queue_lane::fresh_read;
    case work_kind::write:
    case work_kind::begin:
        return queue_lane::write;
    default:
        return queue_lane::transaction;
    }
}

auto database_holder::implementation::expected_wait(time_point now, const work_item& work) const -> duration {
    const auto lane = lane_of(work);
    auto servers = std::int64_t{0};
    for (const auto& it : view_.members()) {
        servers += lane == queue_lane::replica_read && !it.leaving && view_.complete_at(now, it) ? 1 : 0;
    }
    return queue_->service_time_ahead(work.client_request.account, lane) /
           (std::max<std::int64_t>(servers, 1) * std::max(settings_.slots, 1));
}

auto database_holder::implementation::enqueue(time_point now, work_item& work) -> bool {
    const auto lane = lane_of(work);
    const auto cost = duration{static_cast<std::int64_t>(service_us_.at(static_cast<std::size_t>(lane))) + 1};
    const auto wait = expected_wait(now, work);
    if (wait > duration{} && now + wait + cost > work.client_request.deadline) {
        refuse(now, work, failure_code::overloaded, "the deadline cannot be met: too much work is queued",
               wait);
        return false;
    }
    if (!queue_->push({work.number, work.client_request.account, lane, cost})) {
        refuse(now, work, failure_code::overloaded, "the queue of this client account is full",
               std::max<duration>(wait, 100ms));
        return false;
    }
    work.stage = work_stage::queued;
    return true;
}

auto database_holder::implementation::requeue(time_point now, work_item& work) -> void {
    static_cast<void>(enqueue(now, work));
}

auto database_holder::implementation::dispatch(time_point now) -> void {
    // Without authority nothing starts; on_timer() refuses the queued requests.
    if (closing_member_connections_ || !has_authority(now)) {
        return;
    }
    start_lookups(now);
    const auto check = [&](std::uint64_t number) {
        return check_start(now, work_items_.at(number));
    };
    while (const auto number = queue_->take(check)) {
        auto& work = work_items_.at(*number);
        work.stage = work_stage::running;
        start(now, work);
    }
}

auto database_holder::implementation::check_start(time_point now, work_item& work) -> start_check {
    if (now >= work.client_request.deadline) {
        return start_check::skip; // refused by on_timer()
    }
    if (!is_new_work(work.kind)) {
        const auto it = transactions_.find(work.client_request.transaction.number);
        return it == transactions_.end() || pool_.has_slot(now, it->second.member) ? start_check::start
                                                                                   : start_check::blocked;
    }
    if (const auto session_check = check_session(now, work)) {
        return *session_check;
    }
    return work.kind == work_kind::read && work.client_request.max_age ? check_read(now, work)
                                                                       : check_primary(now, work);
}

auto database_holder::implementation::check_session(time_point now, work_item& work)
    -> std::optional<start_check> {
    if (!work.client_request.session) {
        return std::nullopt;
    }
    const auto& wanted = *work.client_request.session;
    const auto* const primary = view_.primary();
    switch (view_.check(wanted)) {
    case history_check::held:
        work.no_eligible_member = false;
        return std::nullopt;
    case history_check::missing:
        work.lost_session = true;
        return start_check::start;
    case history_check::later:
        break;
    }
    if (primary == nullptr) {
        // A replica of the last term may still have the position.
        return work.kind == work_kind::read && work.client_request.max_age ? std::nullopt
                                                                           : std::optional{start_check::skip};
    }
    // A probe sent after the request arrived shows that the primary lacks the position: the data was lost.
    if (primary->status && primary->term() == view_.term() && primary->requested_at > work.arrived_at &&
        wanted.term == view_.term()) {
        work.lost_session = true;
        return start_check::start;
    }
    work.no_eligible_member = true;
    probe_all(now);
    return start_check::skip;
}

auto database_holder::implementation::check_primary(time_point now, work_item& work) -> start_check {
    const auto* const primary = view_.primary();
    if (primary == nullptr || (hand_over_started_ && work.kind != work_kind::read)) {
        return start_check::blocked;
    }
    if (!pool_.has_slot(now, primary->id)) {
        return start_check::blocked;
    }
    if (work.kind == work_kind::begin && transaction_limit_reached(work.client_request.account)) {
        return start_check::skip;
    }
    if (!pool_.has_idle(primary->id)) {
        pool_.request_connection(now, primary->id);
        return start_check::blocked;
    }
    work.target = primary->id;
    return start_check::start;
}

auto database_holder::implementation::check_read(time_point now, work_item& work) -> start_check {
    const auto candidates = read_candidates(now, work);
    const auto replica_eligible = std::any_of(candidates.begin(), candidates.end(),
                                              [](const auto& it) { return it.eligible && !it.primary; });
    if (!replica_eligible) {
        probe_all(now); // newer positions may make a replica eligible for the next read
    }
    if (const auto n = read_policy_->choose(candidates)) {
        work.target = candidates[*n].member;
        return start_check::start;
    }
    const auto any_eligible =
        std::any_of(candidates.begin(), candidates.end(), [](const auto& it) { return it.eligible; });
    work.no_eligible_member = !any_eligible;
    const auto any_available =
        std::any_of(candidates.begin(), candidates.end(), [](const auto& it) { return it.available; });
    return any_available ? start_check::skip : start_check::blocked;
}

auto database_holder::implementation::start(time_point now, work_item& work) -> void {
    if (work.lost_session) {
        refuse(now, work, failure_code::session_lost,
               "data written by this session is missing from the current history of the database");
        return;
    }
    switch (work.kind) {
    case work_kind::read:
        start_read(now, work);
        return;
    case work_kind::write:
        start_write(now, work);
        return;
    default:
        start_step(now, work);
    }
}

auto database_holder::implementation::send_pipeline(time_point now, work_item& work, const member_id& member,
                                                    std::vector<statement> statements) -> void {
    const auto it = transactions_.find(work.client_request.transaction.number);
    const auto pinned = it != transactions_.end() && it->second.active_work == work.number;
    const auto& chosen =
        pinned ? pool_.continue_pinned(now, it->second.connection, work.number, std::move(statements))
               : pool_.start(now, member, work.number, std::move(statements));
    work.target = member;
    work.term = view_.term();
    work.connection = chosen.number;
    work.sent_at = now;
}

auto database_holder::implementation::start_lookups(time_point now) -> void {
    const auto* const primary = view_.primary();
    while (!lookups_.empty() && primary != nullptr && pool_.has_slot(now, primary->id)) {
        if (!pool_.has_idle(primary->id)) {
            pool_.request_connection(now, primary->id);
            return;
        }
        auto& work = work_items_.at(lookups_.front());
        lookups_.pop_front();
        work.stage = work_stage::lookup_running;
        send_pipeline(now, work, primary->id,
                      {{"SELECT outcome FROM citronlug_requests WHERE account = $1 AND id = $2",
                        {work.client_request.account.value, work.client_request.id.value}},
                       {"SELECT citronlug_position()", {}}});
    }
}

auto database_holder::implementation::probe_all(time_point now) -> void {
    for (const auto& it : view_.members()) {
        probe_if_due(now, it.id, on_demand_probe_interval);
    }
}

auto database_holder::implementation::record_service_time(const work_item& work, duration service_time)
    -> void {
    auto& average = service_us_.at(static_cast<std::size_t>(lane_of(work)));
    const auto us = static_cast<double>(std::min<duration>(service_time, max_service_sample).count());
    average += (us - average) * service_time_weight;
}

} // namespace citronlug
