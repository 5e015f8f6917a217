#include <citronlug/confirming_servers.h>

#include <algorithm>
#include <iterator>

namespace citronlug {

auto confirming_servers::next(time_point now, const primary_record& record,
                              const std::set<server_id>& registered,
                              const std::optional<primary_position>& primary,
                              const std::vector<position>& replicas) -> std::vector<server_id> {
    auto missing = std::set<server_id>{};
    std::set_difference(record.confirming.begin(), record.confirming.end(), registered.begin(),
                        registered.end(), std::inserter(missing, missing.end()));
    if (missing != missing_) {
        missing_ = std::move(missing);
        missing_since_ = now;
        confirmed_.reset();
    }
    if (!confirmed_ && primary && primary->asked_at >= missing_since_) {
        confirmed_ = primary->at;
    }
    const auto is_replaced = confirmed_ && std::any_of(replicas.begin(), replicas.end(), [&](const auto& it) {
                                 return record.history.covers(it, *confirmed_);
                             });
    auto servers = registered;
    if (!is_replaced) {
        servers.insert(missing_.begin(), missing_.end());
    }
    return {servers.begin(), servers.end()};
}

} // namespace citronlug
