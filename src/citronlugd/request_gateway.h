#pragma once

#include "caller_api.h"
#include "control_plane.h"
#include "event_thread.h"
#include "holder_shard.h"
#include "http_server.h"
#include "peer_rpc.h"

#include <citronlug/metrics.h>
#include <citronlug/rate_limit.h>

#include <QTimer>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>

namespace citronlug {

/// Callers' requests of one instance: key, route, session, rate, holder, answer. All methods are called on
/// the thread of the HTTP server.
class entry {
public:
    entry(const process_settings& settings, control_plane& control,
          std::vector<std::unique_ptr<holder_shard>>& shards, peer_rpc& peers, metrics& counters,
          event_sink events);
    ~entry();
    entry(const entry&) = delete;
    auto operator=(const entry&) -> entry& = delete;

    auto handle(const http_request& incoming, std::shared_ptr<http_exchange> exchange) -> void;
    /// True if the header carries a valid key.
    [[nodiscard]] auto knows_key(const QByteArray& authorization) const -> bool;
    /// A new view was published. Thread-safe.
    auto on_change() -> void;
    /// New requests are refused from now on.
    auto refuse_new() -> void { refusing_ = true; }
    [[nodiscard]] auto requests_in_flight() const -> std::size_t { return calls_.size(); }

private:
    struct call;
    using call_pointer = std::shared_ptr<call>;
    /// Tokens and waiting requests of one client account.
    struct account_state {
        std::unique_ptr<limit_policy> policy;
        rate_limit limit;
        std::uint32_t instances = 0;
        std::deque<call_pointer> waiting;
        bool wanted = false; ///< the policy wants the accountant asked
    };

    auto prepare(const http_request& incoming, call& it) -> std::optional<failure>;
    auto admit(const call_pointer& it) -> void;
    /// True if the request is no longer waiting: it was admitted, refused or has ended.
    auto try_tokens(const call_pointer& it, account_state& state) -> bool;
    auto ask_if_wanted(const account_id& account, account_state& state) -> void;
    /// Tries the waiting requests again, in order.
    auto pump(const account_id& account, account_state& state) -> void;
    auto ask(const account_id& account, account_state& state) -> void;
    auto on_grant(const account_id& account, time_point asked_at, std::optional<grant_reply> reply) -> void;
    auto dispatch(const call_pointer& it) -> void;
    auto on_reply(const call_pointer& it, execute_reply reply) -> void;
    auto retry_later(const call_pointer& it) -> void;
    auto refuse(const call_pointer& it, failure why, verdict outcome = verdict::not_run) -> void;
    auto finish(const call_pointer& it, answer value) -> void;
    auto on_timer() -> void;
    auto state_of(const account_id& account) -> account_state*;
    auto health(http_exchange& exchange) -> void;

    instance_id self_;
    failure_domain domain_;
    std::string limit_policy_;
    control_plane& control_;
    std::vector<std::unique_ptr<holder_shard>>& shards_;
    peer_rpc& peers_;
    metrics& counters_;
    event_sink events_;
    task_queue queue_;
    QTimer timer_;
    std::shared_ptr<const control_view> view_;
    std::unordered_map<call*, call_pointer> calls_;
    std::vector<call_pointer> retrying_;
    std::map<account_id, account_state> accounts_;
    bool refusing_ = false;
    std::uint64_t generated_ = 0;
};

} // namespace citronlug
