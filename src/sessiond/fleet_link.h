#pragma once

#include <citronlug/coordination.h>

#include "event_thread.h"
#include "peer_rpc.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace citronlug {

/// Reports to the coordinator, over RPC or, if this instance is the coordinator, directly; and reports of others.
/// Lives on the thread that creates it.
class fleet_link {
public:
    using report_handler = std::function<report_answer(const instance_report&)>;
    using answer_handler = std::function<void(std::optional<report_answer>)>;

    fleet_link(instance_id self, std::string own_address, report_handler serve);
    ~fleet_link();
    fleet_link(const fleet_link&) = delete;
    auto operator=(const fleet_link&) -> fleet_link& = delete;

    /// Starts to listen once the secret of the fleet is known.
    auto start(const std::string& secret) -> void;
    auto report(const std::string& address, const instance_report& report, answer_handler done) -> void;

private:
    instance_id self_;
    std::string own_address_;
    report_handler serve_;
    task_queue tasks_; ///< answers come on the RPC thread
    std::unique_ptr<peer_rpc> rpc_;
};

} // namespace citronlug
