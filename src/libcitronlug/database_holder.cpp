#include "holder_impl.h"

#include <algorithm>

#include <fmt/format.h>

namespace citronlug {

namespace {

constexpr auto late_result_grace = 100ms; // accepts results that are in transit at the deadline
constexpr auto pipeline_timeout = 2s;     // a statement without a result for this long is abandoned

} // namespace

database_holder::implementation::implementation(database_settings settings, epoch_number epoch,
                                                time_point now)
    : settings_(std::move(settings))
    , epoch_(epoch)
    , view_(now)
    , budget_(now)
    , last_timer_(now)
    , observing_since_(now)
    , primary_missing_since_(now)
    , last_primary_change_(now - 1h)
    , last_promotion_attempt_(now - 1h)
    , next_hand_over_(now) {
    queue_ = plugin_registry<queue_policy>::make(settings_.queue_policy);
    apply_settings(now);
    emit_event("holder-started", fmt::format("epoch {}", epoch_));
}

auto database_holder::implementation::apply_settings(time_point now) -> void {
    read_policy_ = plugin_registry<read_policy>::make(settings_.read_policy);
    promotion_policy_ = plugin_registry<promotion_policy>::make(settings_.promotion_policy);
    if (!queue_ || !read_policy_ || !promotion_policy_) {
        std::abort(); // a build without the policy plug-ins is broken
    }
    view_.set_members(settings_, now);
    pool_.set_limits(settings_.slots, settings_.connections);
    select_connected_members();
    std::erase_if(probes_, [&](const auto& it) { return view_.find(it.first) == nullptr; });
}

auto database_holder::implementation::select_connected_members() -> void {
    auto wanted = std::vector<member_id>{};
    for (const auto& it : view_.members()) {
        if (!it.leaving || &it == view_.primary()) {
            wanted.push_back(it.id);
        }
    }
    pool_.set_desired_members(std::move(wanted));
}

auto database_holder::implementation::update_settings(time_point now, database_settings settings) -> void {
    const auto previous_members = settings_.members;
    settings_ = std::move(settings);
    apply_settings(now);
    for (const auto& member : previous_members) {
        if (view_.find(member) == nullptr) {
            close_member_connections(now, member);
        }
    }
    sync_primary(now);
    hand_over(now); // a leaving primary accepts no new writes from here on
    dispatch(now);
}

auto database_holder::implementation::on_cancel(time_point now, request_handle handle) -> void {
    const auto it = by_handle_.find(handle);
    if (it == by_handle_.end()) {
        return;
    }
    auto& work = work_items_.at(it->second);
    work.cancelled = true;
    if (work.client_request.transaction.epoch == epoch_ &&
        transactions_.contains(work.client_request.transaction.number) && work.kind != work_kind::commit) {
        end_transaction(now, work.client_request.transaction.number, failure_code::transaction_ended,
                        "the caller cancelled the request");
    } else if (work.stage == work_stage::queued) {
        refuse(now, work, failure_code::deadline_exceeded, "the caller cancelled the request");
    }
    dispatch(now);
}

auto database_holder::implementation::on_key_revoked(time_point now, const key_id& key) -> void {
    auto transactions = std::vector<std::uint64_t>{};
    for (const auto& [number, it] : transactions_) {
        if (it.key == key) {
            transactions.push_back(number);
        }
    }
    for (const auto number : transactions) {
        end_transaction(now, number, failure_code::unauthorised, "the key was revoked");
    }
    auto queued = std::vector<std::uint64_t>{};
    for (const auto& [number, it] : work_items_) {
        if (it.client_request.key == key && it.stage == work_stage::queued) {
            queued.push_back(number);
        }
    }
    for (const auto number : queued) {
        if (auto* const work = find(number)) {
            refuse(now, *work, failure_code::unauthorised, "the key was revoked");
        }
    }
    // Prevents a transaction whose BEGIN is in progress from opening after the revocation.
    for (auto& [number, it] : work_items_) {
        it.revoked = it.revoked || it.client_request.key == key;
    }
    dispatch(now);
}

auto database_holder::implementation::on_connected(time_point now, connection_number connection, bool success)
    -> void {
    if (const auto* const it = pool_.find(connection); it != nullptr && success) {
        view_.on_contact(now, it->member);
    }
    pool_.on_connected(now, connection, success);
    dispatch(now);
}

auto database_holder::implementation::on_connection_lost(time_point now, connection_number connection)
    -> void {
    const auto* const it = pool_.find(connection);
    if (it == nullptr) {
        return;
    }
    probe_if_due(now, it->member, 20ms);
    const auto number = it->work;
    auto transaction = std::optional<std::uint64_t>{};
    for (const auto& [id, open] : transactions_) {
        if (open.connection == connection) {
            transaction = id;
        }
    }
    pool_.on_lost(now, connection);
    if (transaction) {
        end_transaction(now, *transaction, failure_code::transaction_ended,
                        "the connection to the backend server failed");
    } else if (auto* const work = find(number)) {
        work->kind == work_kind::read ? handle_lost_read(now, *work) : resolve_in_doubt(now, *work);
    }
    dispatch(now);
}

auto database_holder::implementation::on_pipeline(time_point now, connection_number connection,
                                                  std::uint64_t sequence, pipeline_result outcome) -> void {
    const auto* const it = pool_.find(connection);
    // Ignore results of pipelines other than the one running on the connection.
    if (it == nullptr || it->state != connection_state::busy || it->sequence != sequence) {
        return;
    }
    if (outcome.status == pipeline_status::lost) {
        drop_connection(now, connection);
        return;
    }
    if (outcome.status != pipeline_status::not_sent) {
        view_.on_contact(now, it->member);
    }
    auto* const work = find(it->work);
    pool_.finish(now, connection);
    if (outcome.status != pipeline_status::finished) {
        pool_.close(now, connection); // its session state may not be clean
    }
    if (work != nullptr) {
        record_service_time(*work, now - work->sent_at);
        if (work->stage == work_stage::lookup_running) {
            finish_lookup(now, *work, outcome);
        } else if (work->kind == work_kind::read) {
            finish_read(now, *work, std::move(outcome));
        } else if (work->kind == work_kind::write) {
            finish_write(now, *work, std::move(outcome));
        } else {
            finish_step(now, *work, std::move(outcome));
        }
    }
    dispatch(now);
}

auto database_holder::implementation::on_timer(time_point now) -> void {
    if (now - last_timer_ > 300ms) {
        observing_since_ = now;
    }
    last_timer_ = now;
    pool_.on_timer(now);
    expire_work(now);
    expire_transactions(now);
    monitor_group(now);
    check_confirmations(now);
    dispatch(now);
}

auto database_holder::implementation::expire_work(time_point now) -> void {
    auto due = std::vector<std::uint64_t>{};
    for (const auto& [number, it] : work_items_) {
        const auto running = it.stage == work_stage::running || it.stage == work_stage::lookup_running;
        const auto limit =
            running ? std::min(it.client_request.deadline + late_result_grace, it.sent_at + pipeline_timeout)
                    : it.client_request.deadline;
        if (now >= limit || (it.stage == work_stage::queued && !has_authority(now))) {
            due.push_back(number);
        }
    }
    std::sort(due.begin(), due.end());
    for (const auto number : due) {
        if (auto* const work = find(number)) {
            expire_item(now, *work);
        }
    }
}

auto database_holder::implementation::expire_item(time_point now, work_item& work) -> void {
    switch (work.stage) {
    case work_stage::running:
    case work_stage::lookup_running:
        // An unresponsive connection, or one with an abandoned statement, is not reused.
        drop_connection(now, work.connection);
        return;
    case work_stage::queued:
        if (!has_authority(now)) {
            refuse(now, work, failure_code::no_authority,
                   "this instance currently has no authority over the database");
        } else if (work.no_eligible_member && work.kind == work_kind::read) {
            refuse(now, work, failure_code::too_stale, "no member has sufficiently recent data");
        } else if (view_.primary() == nullptr) {
            refuse(now, work, failure_code::no_primary, "the database currently has no primary");
        } else {
            refuse(now, work, failure_code::deadline_exceeded,
                   "the deadline passed while the request was queued");
        }
        return;
    case work_stage::lookup:
        if (work.known_rolled_back) {
            refuse(now, work, failure_code::transaction_ended, "the transaction was rolled back");
            return;
        }
        answer_unknown(now, work, failure_code::deadline_exceeded,
                       "the deadline passed before the outcome could be determined");
        return;
    case work_stage::confirming:
        answer_unknown(now, work, failure_code::deadline_exceeded, "no replica confirmed the write in time");
        return;
    }
}

auto database_holder::implementation::drop_connection(time_point now, connection_number connection) -> void {
    if (pool_.find(connection) != nullptr) {
        actions_.emplace_back(close_connection{connection});
        on_connection_lost(now, connection);
    }
}

auto database_holder::implementation::find(std::uint64_t number) -> work_item* {
    const auto it = work_items_.find(number);
    return it == work_items_.end() ? nullptr : &it->second;
}

auto database_holder::implementation::deliver(time_point now, work_item& work, answer value) -> void {
    counters_.not_run += value.outcome == verdict::not_run ? 1 : 0;
    counters_.unknown += value.outcome == verdict::unknown ? 1 : 0;
    if (!work.cancelled) {
        actions_.emplace_back(deliver_answer{work.handle, std::move(value)});
    }
    if (work.stage == work_stage::queued) {
        queue_->remove(work.number);
    }
    if (work.stage == work_stage::lookup) {
        std::erase(lookups_, work.number);
    }
    confirming_.erase(work.number);
    if (work.tracked) {
        running_ids_.erase({work.client_request.account, work.client_request.id});
    }
    if (const auto it = transactions_.find(work.client_request.transaction.number);
        it != transactions_.end() && it->second.active_work == work.number) {
        it->second.active_work = 0;
        it->second.last_used = now;
    }
    by_handle_.erase(work.handle);
    work_items_.erase(work.number);
}

auto database_holder::implementation::refuse(time_point now, work_item& work, failure_code code,
                                             std::string message, duration retry_after) -> void {
    auto value = answer{};
    value.outcome = work.may_have_run ? verdict::unknown : verdict::not_run;
    value.error = failure{code, std::move(message), retry_after};
    deliver(now, work, std::move(value));
}

auto database_holder::implementation::answer_unknown(time_point now, work_item& work, failure_code code,
                                                     std::string message) -> void {
    work.may_have_run = true;
    refuse(now, work, code, std::move(message));
}

auto database_holder::implementation::emit_event(std::string kind, std::string detail) -> void {
    actions_.emplace_back(
        holder_event{std::move(kind), fmt::format("database={} {}", settings_.database.value, detail)});
}

auto database_holder::implementation::drained() const -> bool {
    return draining_ && work_items_.empty() && transactions_.empty();
}

auto database_holder::implementation::take_actions() -> std::vector<holder_action> {
    return std::exchange(actions_, {});
}

auto database_holder::implementation::status(time_point now) const -> holder_status {
    auto state = counters_;
    state.database = settings_.database;
    state.primary = view_.primary() != nullptr ? view_.primary()->id : member_id{};
    state.term = view_.term();
    state.queued = queue_->size();
    state.running = work_items_.size() - state.queued;
    state.open_connections = pool_.size();
    state.open_transactions = transactions_.size();
    for (const auto& it : view_.members()) {
        if (const auto complete = view_.complete_at(now, it); complete && &it != view_.primary()) {
            state.lag.emplace_back(it.id, now - *complete);
        }
    }
    return state;
}

database_holder::database_holder(database_settings settings, epoch_number epoch, time_point now)
    : impl_(std::make_unique<implementation>(std::move(settings), epoch, now)) {}
database_holder::~database_holder() = default;
database_holder::database_holder(database_holder&&) noexcept = default;
auto database_holder::operator=(database_holder&&) noexcept -> database_holder& = default;

auto database_holder::set_authority(time_point valid_until) -> void {
    impl_->set_authority(valid_until);
}
auto database_holder::update_settings(time_point now, database_settings settings) -> void {
    impl_->update_settings(now, std::move(settings));
}
auto database_holder::on_request(time_point now, request_handle handle, request incoming) -> void {
    impl_->on_request(now, handle, std::move(incoming));
}
auto database_holder::on_cancel(time_point now, request_handle handle) -> void {
    impl_->on_cancel(now, handle);
}
auto database_holder::on_key_revoked(time_point now, const key_id& key) -> void {
    impl_->on_key_revoked(now, key);
}
auto database_holder::on_connected(time_point now, connection_number connection, bool success) -> void {
    impl_->on_connected(now, connection, success);
}
auto database_holder::on_connection_lost(time_point now, connection_number connection) -> void {
    impl_->on_connection_lost(now, connection);
}
auto database_holder::on_pipeline(time_point now, connection_number connection, std::uint64_t sequence,
                                  pipeline_result outcome) -> void {
    impl_->on_pipeline(now, connection, sequence, std::move(outcome));
}
auto database_holder::on_member_status(time_point now, const member_id& member, std::uint64_t sequence,
                                       std::optional<member_status> status) -> void {
    impl_->on_member_status(now, member, sequence, std::move(status));
}
auto database_holder::on_promoted(time_point now, const member_id& member, bool success, term_number term)
    -> void {
    impl_->on_promoted(now, member, success, term);
}
auto database_holder::on_timer(time_point now) -> void {
    impl_->on_timer(now);
}
auto database_holder::start_drain(time_point /*now*/) -> void {
    impl_->start_drain();
}
auto database_holder::drained() const -> bool {
    return impl_->drained();
}
auto database_holder::take_actions() -> std::vector<holder_action> {
    return impl_->take_actions();
}
auto database_holder::status(time_point now) const -> holder_status {
    return impl_->status(now);
}

} // namespace citronlug
