#pragma once

#include <citronlug/coordination.h>

#include "event_thread.h"
#include "peer_rpc.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace citronlug {

/// Reports to the coordinator, over RPC or, if this instance is the coordinator, directly; and reports of
/// others. Lives on the thread that creates it.
class fleet_link {
public:
    using report_handler = std::function<report_answer(const instance_report&)>;
    using answer_handler = std::function<void(std::optional<report_answer>)>;
    /// Records of the store as text, passed on from instance to instance.
    struct record_text {
        std::uint64_t version = 0; ///< 0: none
        std::string value;
    };
    struct handlers {
        report_handler report;
        std::function<void(const coordinator_lease&)> announce; ///< somebody has taken the coordinator's duty
    };

    fleet_link(instance_id self, std::string own_address, handlers on);
    ~fleet_link();
    fleet_link(const fleet_link&) = delete;
    auto operator=(const fleet_link&) -> fleet_link& = delete;

    /// Starts to listen once the secret of the fleet is known.
    auto start(const std::string& secret) -> void;
    auto report(const std::string& address, const instance_report& report, answer_handler done) -> void;
    auto announce(const std::string& address, const coordinator_lease& lease) -> void;
    /// What other instances are given when they ask for rules or servers.
    auto set_rules(record_text rules) -> void;
    auto set_servers(record_text servers) -> void;
    /// Asks an instance for rules newer than `version`.
    auto fetch_rules(const std::string& address, std::uint64_t version, std::function<void(record_text)> done)
        -> void;
    auto fetch_servers(const std::string& address, std::function<void(record_text)> done) -> void;

private:
    instance_id self_;
    std::string own_address_;
    handlers on_;
    std::mutex mutex_;
    record_text rules_; ///< under the guard, like the next; read on the RPC thread
    record_text servers_;
    task_queue tasks_; ///< answers come on the RPC thread
    std::unique_ptr<peer_rpc> rpc_;
};

} // namespace citronlug
