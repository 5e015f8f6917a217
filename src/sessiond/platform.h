#pragma once

#include <citronlug/coordination.h>
#include <citronlug/desired_state.h>
#include <citronlug/store_mirror.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// What an adapter to a platform provides: names, formats and calls. It decides nothing.
namespace citronlug {

/// First message of a caller's connection.
struct caller_start {
    std::string database;
    std::string key; ///< empty if there is none
};
struct caller_terminate {};
using caller_message = std::variant<caller_start, session_statement, caller_terminate>;

/// Part of a server's answer. `server_ready` ends an answer.
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

/// Line protocol of callers and backend servers. Lines are passed without their end, and returned with it.
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
    /// The row that answers a status request.
    [[nodiscard]] virtual auto decode_status(std::string_view row) const -> std::optional<server_status> = 0;
    /// Longest line in bytes; a longer one ends the connection.
    [[nodiscard]] virtual auto max_line_bytes() const -> std::size_t = 0;
};

/// Decodes the records that others write into the store.
class record_codec {
public:
    record_codec() = default;
    record_codec(const record_codec&) = delete;
    auto operator=(const record_codec&) -> record_codec& = delete;
    virtual ~record_codec() = default;

    [[nodiscard]] virtual auto decode_rules(const std::string& value) const -> result<desired_state> = 0;
    /// Nothing if the record names no server that can be used.
    [[nodiscard]] virtual auto decode_server(const std::string& name, const std::string& value) const
        -> std::optional<backend_server> = 0;
};

/// Calls to the platform's store. Replies come later, exactly once, on the caller's thread.
class object_store {
public:
    using answer_handler = std::function<void(store_answer)>;

    object_store() = default;
    object_store(const object_store&) = delete;
    auto operator=(const object_store&) -> object_store& = delete;
    virtual ~object_store() = default;

    virtual auto list(record_kind kind, const std::string& after, answer_handler done) -> void = 0;
    virtual auto watch(record_kind kind, std::uint64_t after, duration wait, answer_handler done) -> void = 0;
    /// Creates the record, or replaces it if `expected_revision` is not 0. `store_answer::revision` is the
    /// record's.
    virtual auto write(record_kind kind, const store_record& record, std::uint64_t expected_revision,
                       answer_handler done) -> void = 0;
    virtual auto set_address(const std::string& address) -> void = 0;
};

/// Orders changes of primary.
class promotion_service {
public:
    promotion_service() = default;
    promotion_service(const promotion_service&) = delete;
    auto operator=(const promotion_service&) -> promotion_service& = delete;
    virtual ~promotion_service() = default;

    /// `timeout`: the order is withdrawn, as far as that is possible, if it has no answer by then.
    virtual auto promote(const group_id& group, const server_id& server, const instance_id& holder,
                         std::uint64_t token, duration timeout, std::function<void(promotion_outcome)> done)
        -> void = 0;
    virtual auto set_address(const std::string& address) -> void = 0;
};

/// One platform.
struct platform {
    const wire_codec& wire;
    const record_codec& records;
    object_store& store;
    promotion_service& promotions;
    std::string ready_path; ///< of the load balancer's question whether this instance takes callers
};

} // namespace citronlug
