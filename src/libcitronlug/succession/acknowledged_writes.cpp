#include <citronlug/acknowledged_writes.h>

#include <algorithm>

namespace citronlug {

auto instance_runs::on_report(time_point now, const instance_id& instance, incarnation run) -> void {
    auto& it = runs_[instance];
    if (it.run != run) {
        it = {run, now};
        newest_heard_since_ = now;
    }
}

auto instance_runs::heard_since(const instance_id& instance) const -> std::optional<time_point> {
    const auto it = runs_.find(instance);
    return it == runs_.end() ? std::nullopt : std::optional{it->second.since};
}

auto acknowledged_writes::on_reported(position newest) -> void {
    bound_ = std::max(bound_, newest);
}

auto acknowledged_writes::on_primary_position(time_point asked_at, position at, const instance_runs& runs)
    -> void {
    // A later position than needed would hold up replicas that lack only writes that were not acknowledged.
    if (!covered_until_ || *covered_until_ < runs.newest_heard_since()) {
        bound_ = std::max(bound_, at);
        covered_until_ = std::max(asked_at, covered_until_.value_or(asked_at));
    }
}

auto acknowledged_writes::begin_term(time_point now, position earlier) -> void {
    bound_ = std::max(bound_, earlier);
    covered_until_ = now;
}

auto acknowledged_writes::covers_earlier_runs(const instance_id& instance, const instance_runs& runs) const
    -> bool {
    const auto since = runs.heard_since(instance);
    return since && covered_until_ && *covered_until_ >= *since;
}

} // namespace citronlug
