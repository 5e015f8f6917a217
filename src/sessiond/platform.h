#pragma once

#include <citronlug/coordination.h>
#include <citronlug/desired_state.h>
#include <citronlug/store_mirror.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// Interfaces that a platform adapter implements: names, formats and calls of the platform, without any
/// policy.
namespace citronlug {

/// First message of a caller's connection.
struct caller_start {
    std::string database;
    std::string key; ///< API key; empty if there is none
};
struct caller_terminate {};
using caller_message = std::variant<caller_start, session_statement, caller_terminate>;

/// Parts of a server's answer; `server_ready` ends it.
struct server_row {
    std::string text;
};
struct server_complete {
    std::string signature;
};
struct server_ready {
    transaction_state state = transaction_state::idle;
    std::optional<position> at;
};
struct unknown_line {};
using server_message = std::variant<server_row, server_complete, session_failure, server_ready, unknown_line>;

/// Line protocol of callers and backend servers. Lines are passed without their terminator and returned with
/// it.
class wire_codec {
public:
    wire_codec() = default;
    wire_codec(const wire_codec&) = delete;
    auto operator=(const wire_codec&) -> wire_codec& = delete;
    virtual ~wire_codec() = default;

    [[nodiscard]] virtual auto decode_caller(std::string_view line) const -> caller_message = 0;
    [[nodiscard]] virtual auto encode_accept() const -> std::string = 0;
    [[nodiscard]] virtual auto encode_reject(const session_failure& reason) const -> std::string = 0;
    [[nodiscard]] virtual auto encode_answer(const session_answer& answer) const -> std::string = 0;

    [[nodiscard]] virtual auto encode_server_start(const backend_server& server,
                                                   const account_id& account) const -> std::string = 0;
    [[nodiscard]] virtual auto encode_server(const server_request& request) const -> std::string = 0;
    [[nodiscard]] virtual auto decode_server(std::string_view line) const -> server_message = 0;
    /// Decodes the row that answers a status request; empty if it is not valid.
    [[nodiscard]] virtual auto decode_status(std::string_view row) const -> std::optional<server_status> = 0;
    /// Maximum length of a line; a longer one ends the connection.
    [[nodiscard]] virtual auto max_line_bytes() const -> std::size_t = 0;
};

/// Decodes the records that operators and backend servers write to the store.
class record_codec {
public:
    record_codec() = default;
    record_codec(const record_codec&) = delete;
    auto operator=(const record_codec&) -> record_codec& = delete;
    virtual ~record_codec() = default;

    /// Name of the record that holds the rules. Other records of that kind mean nothing.
    [[nodiscard]] virtual auto rules_record_name() const -> std::string_view = 0;
    /// Fails if the rules cannot be read or hold a number out of range.
    [[nodiscard]] virtual auto decode_rules(const std::string& value) const -> result<desired_state> = 0;
    /// Fails, with the reason, if the record does not describe a usable server.
    [[nodiscard]] virtual auto decode_server(const std::string& name, const std::string& value) const
        -> result<backend_server> = 0;
};

/// Asynchronous calls to the platform's store. Each handler is called exactly once, on the calling thread,
/// after the call has returned.
class object_store {
public:
    using answer_handler = std::function<void(store_answer)>;

    object_store() = default;
    object_store(const object_store&) = delete;
    auto operator=(const object_store&) -> object_store& = delete;
    virtual ~object_store() = default;

    virtual auto list(record_kind kind, const std::string& after, answer_handler done) -> void = 0;
    virtual auto watch(record_kind kind, std::uint64_t after, duration wait, answer_handler done) -> void = 0;
    /// Creates the record if `expected_revision` is 0, otherwise replaces the record of that revision.
    /// The answer holds the record as it is in the store then, also after a conflict; `revision` is the
    /// record's.
    virtual auto write(record_kind kind, const store_record& record, std::uint64_t expected_revision,
                       answer_handler done) -> void = 0;
    virtual auto set_address(const std::string& address) -> void = 0;
};

/// Service of the platform that promotes backend servers to primary.
class promotion_service {
public:
    promotion_service() = default;
    promotion_service(const promotion_service&) = delete;
    auto operator=(const promotion_service&) -> promotion_service& = delete;
    virtual ~promotion_service() = default;

    /// `fencing_token`: of the coordinator lease. `deadline`: an order without an answer by then is
    /// cancelled; what the network has not delivered is discarded, so that it has no effect later. `done` is
    /// called exactly once, after the call has returned.
    virtual auto promote(const group_id& group, const server_id& server, const instance_id& holder,
                         std::uint64_t fencing_token, time_point deadline,
                         std::function<void(promotion_outcome)> done) -> void = 0;
    /// Cancels all orders without an answer, as at their deadline.
    virtual auto cancel_all() -> void = 0;
    virtual auto set_address(const std::string& address) -> void = 0;
};

/// One platform.
struct platform {
    const wire_codec& wire;
    const record_codec& records;
    object_store& store;
    promotion_service& promotions;
    std::string ready_path; ///< path of the load balancer's readiness check
};

} // namespace citronlug
