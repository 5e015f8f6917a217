#include "holder_impl.h"
#include "sql_states.h"

#include <algorithm>

namespace citronlug {

namespace {

constexpr auto transaction_idle_timeout = 5s;
constexpr std::size_t max_rolled_back_records = 4096;

} // namespace

auto database_holder::implementation::admit_step(time_point now, work_item& work) -> bool {
    const auto& id = work.client_request.transaction;
    const auto it = id.epoch == epoch_ ? transactions_.find(id.number) : transactions_.end();
    if (it != transactions_.end()) {
        if (it->second.account != work.client_request.account || it->second.key != work.client_request.key) {
            refuse(now, work, failure_code::no_route, "there is no such transaction");
            return false;
        }
        if (it->second.active_work != 0) {
            refuse(now, work, failure_code::duplicate_running,
                   "another statement of this transaction is in progress");
            return false;
        }
        it->second.active_work = work.number;
        return true;
    }
    const auto issued_here = id.epoch == epoch_ && id.number < next_transaction_;
    if (work.kind == work_kind::commit) {
        // May be a retry of a commit whose answer was lost; the recorded outcome decides.
        work.known_rolled_back = issued_here && rolled_back_.contains(id.number);
        work.may_have_run = true;
        if (!work.client_request.id.empty()) {
            queue_lookup(work);
            return false;
        }
        work.may_have_run = !work.known_rolled_back;
    }
    refuse(now, work,
           issued_here || id.epoch != epoch_ ? failure_code::transaction_ended : failure_code::no_route,
           "the transaction is not open");
    return false;
}

auto database_holder::implementation::start_step(time_point now, work_item& work) -> void {
    if (work.kind == work_kind::begin) {
        send_pipeline(now, work, work.target, {{"BEGIN", {}}});
        return;
    }
    const auto it = transactions_.find(work.client_request.transaction.number);
    if (it == transactions_.end() || it->second.active_work != work.number) {
        refuse(now, work, failure_code::transaction_ended, "the transaction is not open");
        return;
    }
    auto pipeline = std::vector<statement>{};
    if (work.kind == work_kind::run) {
        pipeline.push_back(work.client_request.body);
    } else if (work.kind == work_kind::rollback) {
        pipeline.push_back({"ROLLBACK", {}});
    } else {
        if (!work.client_request.id.empty()) {
            pipeline.push_back(insert_request(work));
        }
        pipeline.push_back({"COMMIT", {}});
        pipeline.push_back({"SELECT citronlug_position()", {}});
    }
    send_pipeline(now, work, it->second.member, std::move(pipeline));
}

auto database_holder::implementation::finish_step(time_point now, work_item& work, pipeline_result outcome)
    -> void {
    const auto finished = outcome.status == pipeline_status::finished && !outcome.results.empty();
    auto value = answer{};
    value.outcome = verdict::done;
    value.served_by = work.target;
    value.reached = work.client_request.session.value_or(position{});
    value.transaction = work.client_request.transaction;
    const auto number = work.client_request.transaction.number;
    switch (work.kind) {
    case work_kind::begin:
        if (!finished) {
            refuse(now, work, failure_code::statement_failed, "the transaction could not be opened");
            return;
        }
        if (work.cancelled || work.revoked || !has_authority(now) || !sent_to_current_primary(work)) {
            pool_.close(now, work.connection);
            refuse(now, work, work.revoked ? failure_code::unauthorised : failure_code::transaction_ended,
                   "the transaction was rolled back");
            return;
        }
        pool_.pin(now, work.connection);
        value.transaction = {epoch_, next_transaction_++};
        transactions_[value.transaction.number] = {value.transaction,
                                                   work.client_request.account,
                                                   work.client_request.key,
                                                   work.connection,
                                                   work.target,
                                                   work.term,
                                                   now,
                                                   0};
        deliver(now, work, std::move(value));
        return;
    case work_kind::run:
        if (!finished) {
            transactions_.erase(number); // its connection has already been closed
            record_rolled_back(number);
            refuse(now, work, failure_code::statement_failed,
                   outcome.sqlstate + ": " + outcome.message + "; the transaction was rolled back");
            return;
        }
        if (!has_authority(now)) {
            end_transaction(now, number, failure_code::no_authority, "this instance lost its authority");
            return;
        }
        value.rows = std::move(outcome.results.front());
        deliver(now, work, std::move(value));
        return;
    case work_kind::rollback:
        transactions_.erase(number);
        record_rolled_back(number);
        pool_.close(now, work.connection);
        deliver(now, work, std::move(value));
        return;
    default:
        finish_commit(now, work, std::move(outcome));
    }
}

auto database_holder::implementation::finish_commit(time_point now, work_item& work, pipeline_result outcome)
    -> void {
    transactions_.erase(work.client_request.transaction.number);
    const auto commit_index = std::size_t{work.client_request.id.empty() ? 0U : 1U};
    const auto reached =
        outcome.results.size() == commit_index + 2 ? parse_position(outcome.results.back()) : std::nullopt;
    // The caller's statements may have changed session settings, so the connection is not reused.
    pool_.close(now, work.connection);
    if (outcome.status == pipeline_status::finished && reached) {
        auto value = answer{};
        value.outcome = verdict::done;
        value.reached = *reached;
        value.transaction = work.client_request.transaction;
        acknowledge(now, work, std::move(value));
    } else if (outcome.status == pipeline_status::finished || outcome.results.size() > commit_index) {
        resolve_in_doubt(now, work);
    } else if (commit_index == 1 && outcome.results.empty() && outcome.sqlstate == unique_violation) {
        work.may_have_run = true;
        queue_lookup(work);
    } else {
        record_rolled_back(work.client_request.transaction.number);
        refuse(now, work, failure_code::statement_failed,
               outcome.sqlstate + ": " + outcome.message + "; the transaction was rolled back");
    }
}

auto database_holder::implementation::end_transaction(time_point now, std::uint64_t number, failure_code code,
                                                      const std::string& reason) -> void {
    const auto it = transactions_.find(number);
    if (it == transactions_.end()) {
        return;
    }
    const auto ended = it->second;
    transactions_.erase(it);
    pool_.close(now, ended.connection);
    auto* const work = find(ended.active_work);
    if (work != nullptr && work->kind == work_kind::commit && work->stage == work_stage::running) {
        resolve_in_doubt(now, *work);
        return;
    }
    record_rolled_back(number);
    if (work != nullptr) {
        refuse(now, *work, code, reason + "; the transaction was rolled back");
    }
}

auto database_holder::implementation::record_rolled_back(std::uint64_t number) -> void {
    rolled_back_.insert(number);
    if (rolled_back_.size() > max_rolled_back_records) {
        rolled_back_.erase(rolled_back_.begin());
    }
}

auto database_holder::implementation::end_transactions(time_point now, failure_code code,
                                                       const std::string& reason) -> void {
    while (!transactions_.empty()) {
        end_transaction(now, transactions_.begin()->first, code, reason);
    }
}

auto database_holder::implementation::expire_transactions(time_point now) -> void {
    if (!has_authority(now)) {
        end_transactions(now, failure_code::no_authority, "this instance lost its authority");
        return;
    }
    auto due = std::vector<std::uint64_t>{};
    for (const auto& [number, it] : transactions_) {
        if (it.active_work == 0 && now - it.last_used >= transaction_idle_timeout) {
            due.push_back(number);
        }
    }
    for (const auto number : due) {
        end_transaction(now, number, failure_code::transaction_ended,
                        "the transaction was idle for too long");
    }
}

auto database_holder::implementation::transaction_limit_reached(const account_id& account) const -> bool {
    // An open transaction occupies a connection, so one account may use at most half of the pinned limit.
    const auto limit = pool_.pinned_limit();
    const auto own = std::count_if(transactions_.begin(), transactions_.end(),
                                   [&](const auto& it) { return it.second.account == account; });
    return pool_.pinned() >= limit || own >= std::max(limit / 2, 1);
}

} // namespace citronlug
