#pragma once

#include "member_server.h"

#include <QHttpServer>

#include <memory>
#include <string>
#include <vector>

class QJsonObject;

namespace citronlug::standin {

struct database_standin_settings {
    std::size_t members = 3;
    std::vector<std::uint16_t> ports; ///< one per member; 0 or missing: chosen by the system
    std::uint16_t control_port = 0;
    member_settings each;
    duration lag{};
    std::uint64_t seed = 1;
    std::vector<sql_statement> schema; ///< CREATE TABLE statements
};

/// One database group with its members' ports and the HTTP control API. It needs an event loop in the thread
/// that owns it.
class database_standin {
public:
    explicit database_standin(database_standin_settings settings);
    ~database_standin();
    database_standin(const database_standin&) = delete;
    auto operator=(const database_standin&) -> database_standin& = delete;

    /// Opens all ports. Returns the reason of a failure.
    [[nodiscard]] auto start() -> std::optional<std::string>;
    [[nodiscard]] auto member(std::size_t n) -> member_server& { return *members_[n]; }
    [[nodiscard]] auto group() -> replication_group& { return shared_.group; }
    [[nodiscard]] auto received() const -> const received_text& { return shared_.received; }
    [[nodiscard]] auto control_port() const -> std::uint16_t { return control_port_; }
    /// Performs one fault request of the control API. Returns the reason of a refusal.
    [[nodiscard]] auto apply_fault(const QJsonObject& fault) -> std::optional<std::string>;

private:
    auto add_routes() -> void;
    /// Replication runs from the event queue, so that no replica has an entry before its commit returned.
    auto plan_replication(time_point due) -> void;
    [[nodiscard]] auto state_json() const -> QJsonObject;
    [[nodiscard]] auto log_json(const QHttpServerRequest& request) const -> QJsonObject;
    [[nodiscard]] auto startups_json(const QHttpServerRequest& request) const -> QJsonObject;

    database_standin_settings settings_;
    group_context shared_;
    std::vector<std::unique_ptr<member_server>> members_;
    std::unique_ptr<QHttpServer> http_;
    std::uint16_t control_port_ = 0;
    time_point planned_ = time_point::max(); ///< next run of the replication
};

/// CREATE TABLE statements of a schema text, separated by semicolons.
[[nodiscard]] auto parse_schema(const std::string& text)
    -> std::variant<std::vector<sql_statement>, std::string>;

} // namespace citronlug::standin
