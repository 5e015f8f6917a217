#include "holder_impl.h"
#include "sql_states.h"
#include "statement_check.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace citronlug {

namespace {

constexpr auto fast_confirmation =
    50ms; // a replica is asked without pause for so long, then each slow_spacing
constexpr auto slow_spacing = 10ms;

auto number_in(const std::optional<std::string>& text) -> std::optional<std::uint64_t> {
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
            term = number_in(rows.rows.front()[n]);
        } else if (rows.columns[n] == "position") {
            log = number_in(rows.rows.front()[n]);
        }
    }
    return term && log ? std::optional{position{*term, *log}} : std::nullopt;
}

auto database_holder::implementation::insert_request(const work_item& work) const -> statement {
    return {"INSERT INTO citronlug_requests (account, id, outcome) VALUES ($1, $2, $3)",
            {work.body.account.value, work.body.id.value, "done:" + fingerprint(work.body)}};
}

auto database_holder::implementation::start_write(time_point now, work_item& work) -> void {
    auto pipeline = std::vector<statement>{{"BEGIN", {}}};
    if (!work.body.id.empty()) {
        pipeline.push_back(insert_request(work));
    }
    pipeline.push_back(work.body.body);
    pipeline.push_back({"COMMIT", {}});
    pipeline.push_back({"SELECT citronlug_position()", {}});
    launch(now, work, work.target, std::move(pipeline));
}

auto database_holder::implementation::finish_write(time_point now, work_item& work, pipeline_result outcome)
    -> void {
    const auto body = std::size_t{work.body.id.empty() ? 1U : 2U};
    const auto commit = body + 1;
    if (outcome.status == pipeline_status::finished && outcome.results.size() == commit + 2) {
        const auto reached = parse_position(outcome.results.back());
        if (!reached) {
            resolve_doubt(now, work);
            return;
        }
        auto value = answer{};
        value.outcome = verdict::done;
        value.rows = std::move(outcome.results[body]);
        value.reached = *reached;
        acknowledge(now, work, std::move(value));
        return;
    }
    if (outcome.status == pipeline_status::finished || outcome.results.size() > commit) {
        resolve_doubt(now, work); // committed, but the position is missing
        return;
    }
    if (outcome.status == pipeline_status::refused && outcome.sqlstate == unique_violation && body == 2 &&
        outcome.results.size() <= 1) {
        work.maybe_ran = true; // the id is recorded: an earlier attempt has run
        look_up(work);
        return;
    }
    const auto again = outcome.status == pipeline_status::not_sent || is_transient(outcome.sqlstate);
    if (!again) {
        refuse(now, work, failure_code::statement_failed, outcome.sqlstate + ": " + outcome.message);
    } else if (now < work.body.deadline && budget_.take(now)) {
        probe_soon(now, work.target, slow_spacing);
        requeue(now, work); // certainly not run
    } else {
        refuse(now, work, failure_code::no_primary, "the primary does not take writes now");
    }
}

auto database_holder::implementation::is_current(const work_item& work) const -> bool {
    return view_.primary() != nullptr && view_.primary()->id == work.target && view_.term() == work.term;
}

auto database_holder::implementation::acknowledge(time_point now, work_item& work, answer value) -> void {
    value.served_by = work.target;
    if (!has_authority(now)) {
        give_unknown(now, work, failure_code::no_authority,
                     "this instance lost its authority while the write ran");
        return;
    }
    if (!is_current(work) || value.reached.term != work.term) {
        resolve_doubt(now, work); // a superseded primary has committed it, which the present one may not have
        return;
    }
    view_.note_primary_position(work.sent, value.reached);
    work.pending = std::move(value);
    if (!is_confirmed(work)) {
        work.stage = work_stage::confirming;
        confirming_.insert(work.number);
        probe_for_confirmation(now, duration{});
        return;
    }
    ++counters_.writes;
    const auto session = work.body.session.value_or(position{});
    if (view_.check(session) == history_check::missing) {
        // The primary changed while the write ran, and data that the session wrote earlier is lost. The
        // session keeps its position, so that its next read reports that.
        work.pending.reached = session;
    } else {
        work.pending.reached = std::max(work.pending.reached, session);
    }
    deliver(now, work, std::move(work.pending));
}

auto database_holder::implementation::is_confirmed(const work_item& work) const -> bool {
    const auto& reached = work.pending.reached;
    const auto session = work.body.session.value_or(position{});
    if (session.term < reached.term && view_.check(session) == history_check::later) {
        return false; // the history of the new term is not known yet
    }
    return work.body.ack == ack_mode::primary ||
           std::any_of(view_.members().begin(), view_.members().end(), [&](const auto& it) {
               return it.id != work.target && view_.replica_has(it, reached);
           });
}

auto database_holder::implementation::check_confirmations(time_point now) -> void {
    auto waiting = duration::max();
    for (const auto number : std::vector<std::uint64_t>(confirming_.begin(), confirming_.end())) {
        auto* const work = find(number);
        if (work == nullptr || work->stage != work_stage::confirming) {
            continue;
        }
        if (!is_confirmed(*work)) {
            waiting = std::min<duration>(waiting, now - work->sent);
            continue;
        }
        confirming_.erase(number);
        auto value = std::move(work->pending);
        work->stage = work_stage::running;
        acknowledge(now, *work, std::move(value));
    }
    if (waiting != duration::max()) {
        probe_for_confirmation(now, waiting < fast_confirmation ? duration{} : duration{slow_spacing});
    }
}

auto database_holder::implementation::probe_for_confirmation(time_point now, duration spacing) -> void {
    for (const auto& it : view_.members()) {
        if (&it != view_.primary() || it.term() < view_.term()) {
            probe_soon(now, it.id, spacing);
        }
    }
}

auto database_holder::implementation::look_up(work_item& work) -> void {
    work.stage = work_stage::lookup;
    lookups_.push_back(work.number);
}

auto database_holder::implementation::resolve_doubt(time_point now, work_item& work) -> void {
    confirming_.erase(work.number);
    if (work.kind == work_kind::begin) {
        refuse(now, work, failure_code::connection_lost,
               "the connection failed before the transaction was open");
        return;
    }
    work.maybe_ran = true;
    if (!has_authority(now)) {
        give_unknown(now, work, failure_code::no_authority,
                     "this instance lost its authority while the write ran");
    } else if (now >= work.body.deadline) {
        give_unknown(now, work, failure_code::deadline_exceeded, "the deadline passed while the write ran");
    } else if (work.kind == work_kind::write && work.body.idempotent && budget_.take(now)) {
        requeue(now, work);
    } else if (!work.body.id.empty()) {
        look_up(work);
    } else {
        give_unknown(now, work, failure_code::connection_lost, "the connection failed while the write ran");
    }
}

auto database_holder::implementation::finish_lookup(time_point now, work_item& work,
                                                    const pipeline_result& outcome) -> void {
    if (outcome.status == pipeline_status::not_sent || (!is_current(work) && now < work.body.deadline)) {
        look_up(work);
        return;
    }
    const auto reached = outcome.results.size() == 2 ? parse_position(outcome.results.back()) : std::nullopt;
    if (outcome.status != pipeline_status::finished || !reached) {
        give_unknown(now, work, failure_code::connection_lost, "the recorded outcome could not be read");
        return;
    }
    const auto& rows = outcome.results.front().rows;
    if (rows.empty() || rows.front().empty()) {
        if (work.surely_ended) {
            work.maybe_ran = false;
            refuse(now, work, failure_code::transaction_ended, "the transaction was rolled back");
        } else {
            // The statement may still be on its way on the old connection.
            give_unknown(now, work, failure_code::connection_lost, "the request is not recorded yet");
        }
        return;
    }
    if (rows.front().front() != "done:" + fingerprint(work.body)) {
        work.maybe_ran = false;
        refuse(now, work, failure_code::bad_request, "the request id belongs to another request");
        return;
    }
    auto value = answer{};
    value.outcome = verdict::done;
    value.replayed = true;
    value.reached = *reached;
    acknowledge(now, work, std::move(value));
}

} // namespace citronlug
