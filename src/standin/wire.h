#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Server side of the PostgreSQL wire protocol, version 3: decoding of frontend messages and encoding of
/// backend messages. No I/O.
namespace citronlug::standin {

/// Text value; an empty optional is SQL NULL.
using sql_value = std::optional<std::string>;

/// First packet of a connection.
enum class startup_kind { ssl_request, gss_request, cancel_request, startup, malformed };

struct startup_packet {
    startup_kind kind = startup_kind::malformed;
    std::map<std::string, std::string> parameters; ///< user, database, application_name, ...
};

struct frontend_message {
    char type = 0; ///< for example 'Q', 'P', 'B', 'E', 'S'
    std::string body;
};

/// Cuts the byte stream of a connection into messages.
class frontend_reader {
public:
    auto append(std::string_view bytes) -> void;
    [[nodiscard]] auto next_startup() -> std::optional<startup_packet>;
    [[nodiscard]] auto next_message() -> std::optional<frontend_message>;
    /// True after a length field that cannot be right. The connection must be closed.
    [[nodiscard]] auto malformed() const -> bool { return malformed_; }

private:
    [[nodiscard]] auto pending() const -> std::string_view;
    auto consume(std::size_t n) -> void;

    std::string buffer_;
    std::size_t start_ = 0;
    bool malformed_ = false;
};

/// Reads the fields of one message body. After a read past the end all fields are empty and `ok()` is false.
class field_reader {
public:
    explicit field_reader(std::string_view body)
        : rest_(body) {}

    [[nodiscard]] auto text() -> std::string; ///< zero-terminated
    [[nodiscard]] auto int16() -> std::int16_t;
    [[nodiscard]] auto int32() -> std::int32_t;
    [[nodiscard]] auto byte() -> char;
    [[nodiscard]] auto bytes(std::size_t n) -> std::string;
    [[nodiscard]] auto ok() const -> bool { return ok_; }

private:
    [[nodiscard]] auto number(std::size_t n) -> std::uint32_t;

    std::string_view rest_;
    bool ok_ = true;
};

struct parse_message {
    std::string name;
    std::string text;
};
struct bind_message {
    std::string portal;
    std::string prepared;
    std::vector<sql_value> parameters;
    bool binary_parameters = false;
};
[[nodiscard]] auto read_parse(std::string_view body) -> std::optional<parse_message>;
[[nodiscard]] auto read_bind(std::string_view body) -> std::optional<bind_message>;

/// State of the transaction in ReadyForQuery.
enum class transaction_state : char { idle = 'I', open = 'T', failed = 'E' };

/// Collects backend messages.
class backend_writer {
public:
    auto authentication_ok() -> void;
    auto parameter_status(std::string_view name, std::string_view value) -> void;
    auto backend_key(std::int32_t process, std::int32_t secret) -> void;
    auto ready(transaction_state state) -> void;
    auto parse_complete() -> void { empty_message('1'); }
    auto bind_complete() -> void { empty_message('2'); }
    auto close_complete() -> void { empty_message('3'); }
    auto no_data() -> void { empty_message('n'); }
    auto empty_query() -> void { empty_message('I'); }
    auto parameter_description(int count) -> void;
    auto row_description(const std::vector<std::string>& columns) -> void;
    auto data_row(const std::vector<sql_value>& values) -> void;
    auto command_complete(std::string_view tag) -> void;
    auto error(std::string_view severity, std::string_view sqlstate, std::string_view message) -> void;
    /// Answer to an SSL or GSS request.
    auto refuse_encryption() -> void { out_ += 'N'; }

    [[nodiscard]] auto take() -> std::string;
    [[nodiscard]] auto size() const -> std::size_t { return out_.size(); }

private:
    auto empty_message(char type) -> void;
    auto open(char type) -> void;
    auto close() -> void;
    auto int16(std::int32_t value) -> void;
    auto int32(std::int32_t value) -> void;
    auto text(std::string_view value) -> void;

    std::string out_;
    std::size_t length_at_ = 0;
};

} // namespace citronlug::standin
