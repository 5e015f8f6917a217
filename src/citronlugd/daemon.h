#pragma once

#include "admin_api.h"
#include "administration.h"
#include "control_plane.h"
#include "http_server.h"
#include "peer_rpc.h"
#include "request_gateway.h"

#include <citronlug/log.h>
#include <citronlug/metrics.h>
#include <citronlug/settings.h>
#include <citronlug/timeline.h>

#include <functional>
#include <memory>
#include <vector>

namespace citronlug {

/// One instance: owns its threads and servers and connects them to each other. Created and used on the main
/// thread, whose event loop runs the caller and admin servers.
class daemon final : public administration {
public:
    explicit daemon(process_settings settings);
    ~daemon() override;

    /// Starts serving. Returns an error message on failure.
    [[nodiscard]] auto start() -> std::optional<std::string>;
    /// Shuts down gracefully: drains, hands over the roles, finishes running requests and calls `done`,
    /// within 9 s.
    auto leave(std::function<void()> done) -> void;

    // administration
    auto status(callback<instance_status> done) -> void override;
    auto events(const timeline_filter& filter, callback<std::vector<timeline_event>> done) -> void override;
    [[nodiscard]] auto metrics_text() -> std::string override;
    [[nodiscard]] auto check_change_authority() -> std::optional<failure> override;
    [[nodiscard]] auto current_config() -> configuration override;
    auto read_config(callback<result<configuration>> done) -> void override;
    auto write_config(const configuration& config, std::uint64_t expected_version,
                      callback<result<std::uint64_t>> done) -> void override;
    auto versions(callback<std::vector<instance_version>> done) -> void override;
    [[nodiscard]] auto wall_seconds() -> std::int64_t override;

private:
    auto record(timeline_event event) -> void;
    auto make_peer_services() -> peer_services;
    auto handle_admin(const http_request& incoming, const std::shared_ptr<http_exchange>& exchange) -> void;
    auto continue_leaving() -> void;

    process_settings settings_;
    incarnation incarnation_;
    time_point started_at_;
    metrics metrics_;
    logger log_;
    timeline timeline_;
    std::vector<std::unique_ptr<holder_shard>> shards_;
    peer_rpc* peers_pointer_ = nullptr; ///< the control plane refers to it before `peers_` exists
    std::unique_ptr<control_plane> control_;
    std::unique_ptr<peer_rpc> peers_;
    std::unique_ptr<request_gateway> gateway_;
    std::unique_ptr<admin_api> admin_;
    std::unique_ptr<http_server> caller_server_;
    std::unique_ptr<http_server> admin_server_;
    task_queue queue_;
    QTimer leave_timer_;
    time_point leave_started_;
    int leave_step_ = 0;
    std::function<void()> on_left_;
};

} // namespace citronlug
