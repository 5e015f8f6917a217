#pragma once

#include <citronlug/coordination.h>
#include <citronlug/server_list_order.h>

#include "event_thread.h"
#include "peer_rpc.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace citronlug {

/// Sends reports to the coordinator, over RPC or directly if this instance is the coordinator, and receives
/// the reports of other instances. Must be used on the thread that creates it.
class fleet_link {
public:
    using report_handler = std::function<report_answer(const instance_report&)>;
    using answer_handler = std::function<void(std::optional<report_answer>)>;
    /// Records of the store as text, distributed between instances.
    struct record_text {
        std::uint64_t version = 0; ///< 0: none
        std::string value;
        list_basis basis{}; ///< of servers
    };
    struct handlers {
        report_handler report;
        std::function<void(const coordinator_lease&)> announce; ///< the lease has a new holder
    };

    fleet_link(instance_id self, std::string own_address, handlers on);
    ~fleet_link();
    fleet_link(const fleet_link&) = delete;
    auto operator=(const fleet_link&) -> fleet_link& = delete;

    /// Starts listening on the first call with a non-empty peer secret; later calls have no effect.
    auto start(const std::string& secret) -> void;
    auto report(const std::string& address, const instance_report& report, answer_handler done) -> void;
    auto announce(const std::string& address, const coordinator_lease& lease) -> void;
    /// Connections of peers that were refused so far.
    [[nodiscard]] auto refused_connections() const -> std::uint64_t {
        return rpc_ ? rpc_->counters().refused_connections : 0;
    }
    /// Rules and servers that other instances can fetch from this one.
    auto set_rules(record_text rules) -> void;
    auto set_servers(record_text servers) -> void;
    /// Empty if the instance did not answer.
    using fetch_handler = std::function<void(const std::optional<record_text>&)>;
    /// Fetches rules newer than `version` from an instance; `record_text::version` is 0 if there are none.
    auto fetch_rules(const std::string& address, std::uint64_t version, fetch_handler done) -> void;
    auto fetch_servers(const std::string& address, fetch_handler done) -> void;

private:
    struct offered_records {
        record_text records;
        std::string compressed; ///< made for the first instance that fetches them
    };
    static auto make_reply(offered_records& from) -> config_reply;
    /// Passes a reply of the RPC thread on to this object's thread.
    auto deliver_to(fetch_handler done) -> std::function<void(const std::optional<config_reply>&)>;

    instance_id self_;
    std::string own_address_;
    handlers on_;
    std::mutex mutex_;
    offered_records rules_;   ///< guarded by `mutex_`; read on the RPC thread
    offered_records servers_; ///< as `rules_`
    task_queue tasks_;        ///< moves answers from the RPC thread to this object's thread
    std::unique_ptr<peer_rpc> rpc_;
};

} // namespace citronlug
