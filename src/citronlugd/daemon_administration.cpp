#include "daemon.h"

#include <fmt/format.h>

namespace citronlug {

namespace {

/// Collects the results of several asynchronous calls and posts them to the queue once all have completed.
/// Thread-safe.
template <class Value>
class result_collector {
public:
    result_collector(std::size_t expected, task_queue& queue,
                     administration::callback<std::vector<Value>> done)
        : remaining_{expected}
        , queue_{queue}
        , done_{std::move(done)} {}

    auto add(std::optional<Value> value) -> void {
        const auto lock = std::lock_guard{mutex_};
        if (value) {
            values_.push_back(std::move(*value));
        }
        if (--remaining_ == 0) {
            queue_.post([done = std::move(done_), values = std::move(values_)] { done(values); });
        }
    }

private:
    std::mutex mutex_;
    std::size_t remaining_;
    std::vector<Value> values_;
    task_queue& queue_;
    administration::callback<std::vector<Value>> done_;
};

} // namespace

auto daemon::wall_seconds() -> std::int64_t {
    return citronlug::wall_seconds();
}

auto daemon::status(callback<instance_status> done) -> void {
    control_->status([this, done = std::move(done)](const control_status& found) {
        queue_.post([this, done, found] {
            const auto view = control_->view();
            auto status = instance_status{};
            status.instance = settings_.instance;
            status.run = incarnation_;
            status.cell = settings_.cell;
            status.region = settings_.region;
            status.domain = settings_.domain;
            status.uptime = clock_now() - started_at_;
            status.authority = found.authority;
            status.majority = found.majority;
            status.leaving = view->leaving;
            status.store_answers = found.store_answers;
            status.config_version = view->config ? view->config->config.version : 0;
            status.record_version = found.record_version;
            status.table = found.recorded_members;
            status.live = found.live_members;
            for (const auto& it : shards_) {
                for (auto& holder : it->status()) {
                    status.holders.push_back(std::move(holder));
                }
            }
            status.standby_for = found.standby_for;
            status.accounts = found.accounts;
            status.caller_connections = caller_server_->connections();
            done(std::move(status));
        });
    });
}

auto daemon::events(const timeline_filter& filter, callback<std::vector<timeline_event>> done) -> void {
    control_->status([this, filter, done = std::move(done)](const control_status& found) {
        auto peers = std::vector<std::string>{};
        for (const auto& member : found.recorded_members) {
            if (member.instance != settings_.instance) {
                peers.push_back(member.peer_address);
            }
        }
        auto merged = [filter, done](const std::vector<std::vector<timeline_event>>& sources) {
            done(select(merge(sources), filter));
        };
        auto all =
            std::make_shared<result_collector<std::vector<timeline_event>>>(peers.size() + 1, queue_, merged);
        all->add(timeline_.select(filter));
        for (const auto& address : peers) {
            peers_->timeline(address, filter, [all](std::optional<std::vector<timeline_event>> part) {
                all->add(std::move(part));
            });
        }
    });
}

auto daemon::metrics_text() -> std::string {
    const auto peers = peers_->counters();
    metrics_.set("citronlug_peer_calls", {}, static_cast<double>(peers.calls));
    metrics_.set("citronlug_peer_failed_calls", {}, static_cast<double>(peers.failed_calls));
    metrics_.set("citronlug_peer_connects", {}, static_cast<double>(peers.connection_attempts));
    metrics_.set("citronlug_peer_refused_proofs", {}, static_cast<double>(peers.refused_proofs));
    metrics_.set("citronlug_caller_connections", {}, static_cast<double>(caller_server_->connections()));
    metrics_.set("citronlug_http_rejected", {}, static_cast<double>(caller_server_->rejected()));
    metrics_.set("citronlug_requests_in_flight", {}, static_cast<double>(gateway_->requests_in_flight()));
    for (const auto& shard : shards_) {
        for (const auto& it : shard->status()) {
            const auto labels = label_set{{"database", it.database.value}};
            metrics_.set("citronlug_holder_queued", labels, static_cast<double>(it.queued));
            metrics_.set("citronlug_holder_running", labels, static_cast<double>(it.running));
            metrics_.set("citronlug_holder_reads", labels, static_cast<double>(it.reads));
            metrics_.set("citronlug_holder_replica_reads", labels, static_cast<double>(it.replica_reads));
            metrics_.set("citronlug_holder_writes", labels, static_cast<double>(it.writes));
            metrics_.set("citronlug_holder_not_run", labels, static_cast<double>(it.not_run));
            metrics_.set("citronlug_holder_unknown", labels, static_cast<double>(it.unknown));
            metrics_.set("citronlug_holder_promotions", labels, static_cast<double>(it.promotions));
            metrics_.set("citronlug_holder_connections", labels, static_cast<double>(it.open_connections));
            metrics_.set("citronlug_holder_transactions", labels, static_cast<double>(it.open_transactions));
        }
    }
    return metrics_.text();
}

auto daemon::check_change_authority() -> std::optional<failure> {
    if (control_->has_majority() && control_->authority_until() > clock_now()) {
        return std::nullopt;
    }
    return failure{failure_code::no_authority,
                   "this instance has no contact with more than half of its cell; use another one", 1s};
}

auto daemon::current_config() -> configuration {
    const auto view = control_->view();
    return view->config ? view->config->config : configuration{};
}

auto daemon::read_config(callback<result<configuration>> done) -> void {
    control_->read_config([this, done = std::move(done)](const result<configuration>& found) {
        queue_.post([done, found] { done(found); });
    });
}

auto daemon::write_config(const configuration& config, std::uint64_t expected_version,
                          callback<result<std::uint64_t>> done) -> void {
    control_->write_config(config, expected_version,
                           [this, done = std::move(done)](const result<std::uint64_t>& found) {
                               queue_.post([done, found] { done(found); });
                           });
}

auto daemon::versions(callback<std::vector<instance_version>> done) -> void {
    control_->status([this, done = std::move(done)](const control_status& found) {
        struct target {
            cell_id cell;
            std::string address;
        };
        auto targets = std::map<instance_id, target>{};
        for (const auto& it : found.listed_instances) {
            targets[it.instance] = {it.cell, it.peer_address};
        }
        for (const auto& it : found.recorded_members) {
            targets[it.instance] = {settings_.cell, it.peer_address};
        }
        targets[settings_.instance] = {settings_.cell, settings_.peer_address};
        auto all = std::make_shared<result_collector<instance_version>>(targets.size(), queue_, done);
        const auto view = control_->view();
        const auto own = view->config ? view->config->config.version : 0;
        for (const auto& [instance, to] : targets) {
            if (instance == settings_.instance) {
                all->add(instance_version{instance, to.cell, own, true});
                continue;
            }
            peers_->config_version(
                to.address, [all, instance = instance, cell = to.cell](std::optional<std::uint64_t> version) {
                    all->add(instance_version{instance, cell, version.value_or(0), version.has_value()});
                });
        }
    });
}

} // namespace citronlug
