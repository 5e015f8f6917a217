#pragma once

#include <citronlug/database_holder.h>

#include <QSocketNotifier>

#include <libpq-fe.h>

#include <functional>
#include <memory>
#include <string>

namespace citronlug {

/// Connection parameters for backend servers.
struct pg_options {
    std::string user = "citronlug";
    std::string password;
    std::string application; ///< application_name; the instance id
};

/// A non-blocking libpq connection in pipeline mode, driven by the event loop of its thread.
class pg_connection {
public:
    using connected_handler = std::function<void(bool success)>;
    using result_handler = std::function<void(std::uint64_t sequence, pipeline_result outcome)>;
    using lost_handler = std::function<void()>;

    /// Starts connecting. `connected` is called once, after construction. `lost` is called at most once, if
    /// an established connection fails while no pipeline is in flight.
    pg_connection(const member_id& member, const database_id& database, const pg_options& options,
                  time_point now, connected_handler connected, result_handler finished, lost_handler lost);
    ~pg_connection();
    pg_connection(const pg_connection&) = delete;
    auto operator=(const pg_connection&) -> pg_connection& = delete;

    /// Sends the statements as one pipeline; only one may be in flight. The outcome is reported
    /// asynchronously, as `not_sent` if none of the statements can have taken effect.
    auto send_pipeline(std::uint64_t sequence, const std::vector<statement>& statements) -> void;
    /// Fails the connection if connecting takes longer than 1.5 s.
    auto check_connect_timeout(time_point now) -> void;
    [[nodiscard]] auto is_open() const -> bool { return state_ == state::open; }
    [[nodiscard]] auto is_busy() const -> bool { return busy_; }
    /// Replaces the handlers, to transfer an open connection to a new owner.
    auto set_handlers(result_handler finished, lost_handler lost) -> void;
    /// Last error message of the connection or of a statement.
    [[nodiscard]] auto message() const -> const std::string& { return message_; }

private:
    enum class state { connecting, open, failed };

    auto poll_connect() -> void;
    auto set_notifiers(bool read, bool write) -> void;
    auto on_readable() -> void;
    auto on_writable() -> void;
    auto read_results() -> void;
    auto append_result(const PGresult* result) -> void;
    auto fail(const std::string& reason) -> void;
    auto finish(pipeline_status status) -> void;
    auto drop_notifiers() -> void;

    PGconn* connection_ = nullptr;
    state state_ = state::connecting;
    time_point connect_started_;
    connected_handler connected_;
    result_handler finished_;
    lost_handler lost_;
    std::unique_ptr<QSocketNotifier> reader_;
    std::unique_ptr<QSocketNotifier> writer_;
    QObject context_; ///< context object of deferred calls and signals, which end with the connection
    bool busy_ = false;
    bool refused_ = false;
    std::uint64_t sequence_ = 0;
    pipeline_result outcome_;
    std::string message_;
};

/// Parses the result of `SELECT * FROM citronlug_status()`. Returns nothing if it is malformed.
[[nodiscard]] auto parse_member_status(const row_set& rows) -> std::optional<member_status>;

} // namespace citronlug
