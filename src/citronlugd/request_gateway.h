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

/// Handles the callers' requests of one instance: authenticates the key, resolves route and session, applies
/// the rate limit, forwards to the holder and returns the answer. Except where noted, methods are called on
/// the thread of the HTTP server.
class request_gateway {
public:
    request_gateway(const process_settings& settings, control_plane& control,
                    std::vector<std::unique_ptr<holder_shard>>& shards, peer_rpc& peers, metrics& counters,
                    event_sink events);
    ~request_gateway();
    request_gateway(const request_gateway&) = delete;
    auto operator=(const request_gateway&) -> request_gateway& = delete;

    auto handle(const http_request& incoming, std::shared_ptr<http_exchange> exchange) -> void;
    /// True if the Authorization header carries a valid key.
    [[nodiscard]] auto has_valid_key(const QByteArray& authorization) const -> bool;
    /// Called when a new control view has been published. Thread-safe.
    auto on_view_change() -> void;
    /// Refuses all requests that arrive from now on.
    auto refuse_new_requests() -> void { refusing_ = true; }
    [[nodiscard]] auto requests_in_flight() const -> std::size_t { return calls_.size(); }

private:
    struct call;
    using call_pointer = std::shared_ptr<call>;
    /// Rate limit state and waiting requests of one client account.
    struct account_state {
        std::unique_ptr<limit_policy> policy;
        rate_limit limit;
        std::uint32_t instances = 0;
        std::deque<call_pointer> waiting;
        bool tokens_needed = false; ///< the policy needs tokens from the accountant
    };

    auto prepare(const http_request& incoming, call& it) -> std::optional<failure>;
    auto admit(const call_pointer& it) -> void;
    /// Returns true if the request need not wait: it was admitted or refused, or has already finished.
    auto try_admit(const call_pointer& it, account_state& state) -> bool;
    auto request_tokens_if_needed(const account_id& account, account_state& state) -> void;
    /// Tries to admit the waiting requests of the account again, in order of arrival.
    auto retry_waiting(const account_id& account, account_state& state) -> void;
    auto request_tokens(const account_id& account, account_state& state) -> void;
    auto on_grant(const account_id& account, time_point requested_at, std::optional<grant_reply> reply)
        -> void;
    auto dispatch(const call_pointer& it) -> void;
    auto on_reply(const call_pointer& it, execute_reply reply) -> void;
    auto retry_later(const call_pointer& it) -> void;
    auto refuse(const call_pointer& it, failure reason, verdict outcome = verdict::not_run) -> void;
    auto finish(const call_pointer& it, answer value) -> void;
    auto on_timer() -> void;
    auto update_account_state(const account_id& account) -> account_state*;
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
    std::uint64_t generated_ids_ = 0;
};

} // namespace citronlug
