#include "holder_impl.h"
#include "sql_states.h"
#include "statement_check.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace citronlug {

namespace {

/// Replicas are probed continuously for this long, then every `slow_confirmation_interval`.
constexpr auto fast_confirmation_window = 50ms;
constexpr auto slow_confirmation_interval = 10ms;

auto parse_number(const std::optional<std::string>& text) -> std::optional<std::uint64_t> {
    auto value = std::uint64_t{0};
    if (!text) {
        return std::nullopt;
    }
    const auto* const end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional{value} : std::nullopt;
}

} // namespace

auto parse_position(const row_set& rows) -> std::optional<position> {
    if (rows.rows.size() != 1 || rows.rows.front().size() != rows.columns.size()) {
        return std::nullopt;
    }
    auto term = std::optional<std::uint64_t>{};
    auto log = std::optional<std::uint64_t>{};
    for (std::size_t n = 0; n < rows.columns.size(); ++n) {
        if (rows.columns[n] == "term") {
            term = parse_number(rows.rows.front()[n]);
        } else if (rows.columns[n] == "position") {
            log = parse_number(rows.rows.front()[n]);
        }
    }
    return term && log ? std::optional{position{*term, *log}} : std::nullopt;
}

auto database_holder::implementation::insert_request(const work_item& work) const -> statement {
    return {"INSERT INTO citronlug_requests (account, id, outcome) VALUES ($1, $2, $3)",
            {work.client_request.account.value, work.client_request.id.value,
             "done:" + fingerprint(work.client_request)}};
}

auto database_holder::implementation::start_write(time_point now, work_item& work) -> void {
    auto pipeline = std::vector<statement>{{"BEGIN", {}}};
    if (!work.client_request.id.empty()) {
        pipeline.push_back(insert_request(work));
    }
    pipeline.push_back(work.client_request.body);
    pipeline.push_back({"COMMIT", {}});
    pipeline.push_back({"SELECT citronlug_position()", {}});
    send_pipeline(now, work, work.target, std::move(pipeline));
}

auto database_holder::implementation::finish_write(time_point now, work_item& work, pipeline_result outcome)
    -> void {
    const auto statement_index = std::size_t{work.client_request.id.empty() ? 1U : 2U};
    const auto commit_index = statement_index + 1;
    if (outcome.status == pipeline_status::finished && outcome.results.size() == commit_index + 2) {
        const auto reached = parse_position(outcome.results.back());
        if (!reached) {
            resolve_in_doubt(now, work);
            return;
        }
        auto value = answer{};
        value.outcome = verdict::done;
        value.rows = std::move(outcome.results[statement_index]);
        value.reached = *reached;
        acknowledge(now, work, std::move(value));
        return;
    }
    if (outcome.status == pipeline_status::finished || outcome.results.size() > commit_index) {
        resolve_in_doubt(now, work); // committed, but the position is missing
        return;
    }
    if (outcome.status == pipeline_status::refused && outcome.sqlstate == unique_violation &&
        statement_index == 2 && outcome.results.size() <= 1) {
        work.may_have_run = true; // the id is recorded, so an earlier attempt has run
        queue_lookup(work);
        return;
    }
    const auto retryable = outcome.status == pipeline_status::not_sent || is_transient(outcome.sqlstate);
    if (!retryable) {
        refuse(now, work, failure_code::statement_failed, outcome.sqlstate + ": " + outcome.message);
    } else if (now < work.client_request.deadline && budget_.take(now)) {
        probe_if_due(now, work.target, slow_confirmation_interval);
        requeue(now, work); // the write had no effect
    } else {
        refuse(now, work, failure_code::no_primary, "the primary did not accept the write");
    }
}

auto database_holder::implementation::sent_to_current_primary(const work_item& work) const -> bool {
    return view_.primary() != nullptr && view_.primary()->id == work.target && view_.term() == work.term;
}

auto database_holder::implementation::acknowledge(time_point now, work_item& work, answer value) -> void {
    value.served_by = work.target;
    if (!has_authority(now)) {
        answer_unknown(now, work, failure_code::no_authority,
                       "this instance lost its authority while the write ran");
        return;
    }
    if (!sent_to_current_primary(work) || value.reached.term != work.term) {
        // Committed by a superseded primary; the current one may not have the write.
        resolve_in_doubt(now, work);
        return;
    }
    view_.note_primary_position(work.sent_at, value.reached);
    work.pending_answer = std::move(value);
    if (!is_confirmed(work)) {
        work.stage = work_stage::confirming;
        confirming_.insert(work.number);
        probe_for_confirmation(now, duration{});
        return;
    }
    ++counters_.writes;
    const auto session = work.client_request.session.value_or(position{});
    if (view_.check(session) == history_check::missing) {
        // The primary changed while the write ran, and an earlier write of the session was lost. Keeping the
        // old position makes the next request of the session report the loss.
        work.pending_answer.reached = session;
    } else {
        work.pending_answer.reached = std::max(work.pending_answer.reached, session);
    }
    deliver(now, work, std::move(work.pending_answer));
}

auto database_holder::implementation::is_confirmed(const work_item& work) const -> bool {
    const auto& reached = work.pending_answer.reached;
    const auto session = work.client_request.session.value_or(position{});
    if (session.term < reached.term && view_.check(session) == history_check::later) {
        return false; // the history of the new term has not been reported yet
    }
    return work.client_request.ack == ack_mode::primary ||
           std::any_of(view_.members().begin(), view_.members().end(), [&](const auto& it) {
               return it.id != work.target && view_.replica_has(it, reached);
           });
}

auto database_holder::implementation::check_confirmations(time_point now) -> void {
    auto shortest_wait = duration::max();
    for (const auto number : std::vector<std::uint64_t>(confirming_.begin(), confirming_.end())) {
        auto* const work = find(number);
        if (work == nullptr || work->stage != work_stage::confirming) {
            continue;
        }
        if (!is_confirmed(*work)) {
            shortest_wait = std::min<duration>(shortest_wait, now - work->sent_at);
            continue;
        }
        confirming_.erase(number);
        auto value = std::move(work->pending_answer);
        work->stage = work_stage::running;
        acknowledge(now, *work, std::move(value));
    }
    if (shortest_wait != duration::max()) {
        probe_for_confirmation(now, shortest_wait < fast_confirmation_window
                                        ? duration{}
                                        : duration{slow_confirmation_interval});
    }
}

auto database_holder::implementation::probe_for_confirmation(time_point now, duration min_interval) -> void {
    for (const auto& it : view_.members()) {
        if (&it != view_.primary() || it.term() < view_.term()) {
            probe_if_due(now, it.id, min_interval);
        }
    }
}

auto database_holder::implementation::queue_lookup(work_item& work) -> void {
    work.stage = work_stage::lookup;
    lookups_.push_back(work.number);
}

auto database_holder::implementation::resolve_in_doubt(time_point now, work_item& work) -> void {
    confirming_.erase(work.number);
    if (work.kind == work_kind::begin) {
        refuse(now, work, failure_code::connection_lost,
               "the connection failed before the transaction was opened");
        return;
    }
    work.may_have_run = true;
    if (!has_authority(now)) {
        answer_unknown(now, work, failure_code::no_authority,
                       "this instance lost its authority while the write ran");
    } else if (now >= work.client_request.deadline) {
        answer_unknown(now, work, failure_code::deadline_exceeded, "the deadline passed while the write ran");
    } else if (work.kind == work_kind::write && work.client_request.idempotent && budget_.take(now)) {
        requeue(now, work);
    } else if (!work.client_request.id.empty()) {
        queue_lookup(work);
    } else {
        answer_unknown(now, work, failure_code::connection_lost, "the connection failed while the write ran");
    }
}

auto database_holder::implementation::finish_lookup(time_point now, work_item& work,
                                                    const pipeline_result& outcome) -> void {
    if (outcome.status == pipeline_status::not_sent ||
        (!sent_to_current_primary(work) && now < work.client_request.deadline)) {
        queue_lookup(work);
        return;
    }
    const auto reached = outcome.results.size() == 2 ? parse_position(outcome.results.back()) : std::nullopt;
    if (outcome.status != pipeline_status::finished || !reached) {
        answer_unknown(now, work, failure_code::connection_lost, "the recorded outcome could not be read");
        return;
    }
    const auto& rows = outcome.results.front().rows;
    if (rows.empty() || rows.front().empty()) {
        if (work.known_rolled_back) {
            work.may_have_run = false;
            refuse(now, work, failure_code::transaction_ended, "the transaction was rolled back");
        } else {
            // The statement may still be in transit on the old connection.
            answer_unknown(now, work, failure_code::connection_lost,
                           "no outcome is recorded for this request id yet");
        }
        return;
    }
    if (rows.front().front() != "done:" + fingerprint(work.client_request)) {
        work.may_have_run = false;
        refuse(now, work, failure_code::bad_request,
               "the request id was already used for a different request");
        return;
    }
    auto value = answer{};
    value.outcome = verdict::done;
    value.replayed = true;
    value.reached = *reached;
    acknowledge(now, work, std::move(value));
}

} // namespace citronlug
