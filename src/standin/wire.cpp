#include "wire.h"

#include <utility>

namespace citronlug::standin {

namespace {

constexpr std::uint32_t protocol_version = 196608;
constexpr std::uint32_t cancel_code = 80877102;
constexpr std::uint32_t ssl_code = 80877103;
constexpr std::uint32_t gss_code = 80877104;
constexpr std::uint32_t largest_message = 16U << 20U;
constexpr std::int32_t text_type = 25; ///< OID of the type text

auto big_endian(std::string_view bytes) -> std::uint32_t {
    auto value = std::uint32_t{0};
    for (const auto byte : bytes) {
        value = (value << 8U) | static_cast<unsigned char>(byte);
    }
    return value;
}

} // namespace

auto frontend_reader::append(std::string_view bytes) -> void {
    if (start_ == buffer_.size()) {
        buffer_.clear();
        start_ = 0;
    }
    buffer_.append(bytes);
}

auto frontend_reader::pending() const -> std::string_view {
    return std::string_view{buffer_}.substr(start_);
}

auto frontend_reader::consume(std::size_t n) -> void {
    start_ += n;
    constexpr std::size_t compact_above = 1U << 16U;
    if (start_ > compact_above) {
        buffer_.erase(0, start_);
        start_ = 0;
    }
}

auto frontend_reader::next_startup() -> std::optional<startup_packet> {
    const auto input = pending();
    if (malformed_ || input.size() < 8) {
        return std::nullopt;
    }
    const auto length = big_endian(input.substr(0, 4));
    if (length < 8 || length > largest_message) {
        malformed_ = true;
        return startup_packet{};
    }
    if (input.size() < length) {
        return std::nullopt;
    }
    auto packet = startup_packet{};
    switch (big_endian(input.substr(4, 4))) {
    case ssl_code:
        packet.kind = startup_kind::ssl_request;
        break;
    case gss_code:
        packet.kind = startup_kind::gss_request;
        break;
    case cancel_code:
        packet.kind = startup_kind::cancel_request;
        break;
    case protocol_version: {
        packet.kind = startup_kind::startup;
        auto fields = field_reader{input.substr(8, length - 8)};
        for (auto name = fields.text(); fields.ok() && !name.empty(); name = fields.text()) {
            packet.parameters[name] = fields.text();
        }
        break;
    }
    default:
        malformed_ = true;
    }
    consume(length);
    return packet;
}

auto frontend_reader::next_message() -> std::optional<frontend_message> {
    const auto input = pending();
    if (malformed_ || input.size() < 5) {
        return std::nullopt;
    }
    const auto length = big_endian(input.substr(1, 4));
    if (length < 4 || length > largest_message) {
        malformed_ = true;
        return std::nullopt;
    }
    if (input.size() < length + 1U) {
        return std::nullopt;
    }
    auto message = frontend_message{input.front(), std::string{input.substr(5, length - 4)}};
    consume(length + 1U);
    return message;
}

auto field_reader::text() -> std::string {
    const auto end = rest_.find('\0');
    if (end == std::string_view::npos) {
        ok_ = false;
        rest_ = {};
        return {};
    }
    auto value = std::string{rest_.substr(0, end)};
    rest_.remove_prefix(end + 1);
    return value;
}

auto field_reader::number(std::size_t n) -> std::uint32_t {
    if (rest_.size() < n) {
        ok_ = false;
        rest_ = {};
        return 0;
    }
    const auto value = big_endian(rest_.substr(0, n));
    rest_.remove_prefix(n);
    return value;
}

auto field_reader::int16() -> std::int16_t {
    return static_cast<std::int16_t>(number(2));
}

auto field_reader::int32() -> std::int32_t {
    return static_cast<std::int32_t>(number(4));
}

auto field_reader::byte() -> char {
    return static_cast<char>(number(1));
}

auto field_reader::bytes(std::size_t n) -> std::string {
    if (rest_.size() < n) {
        ok_ = false;
        rest_ = {};
        return {};
    }
    auto value = std::string{rest_.substr(0, n)};
    rest_.remove_prefix(n);
    return value;
}

auto read_parse(std::string_view body) -> std::optional<parse_message> {
    auto fields = field_reader{body};
    auto message = parse_message{};
    message.name = fields.text();
    message.text = fields.text();
    return fields.ok() ? std::optional{std::move(message)} : std::nullopt;
}

auto read_bind(std::string_view body) -> std::optional<bind_message> {
    auto fields = field_reader{body};
    auto message = bind_message{};
    message.portal = fields.text();
    message.prepared = fields.text();
    const auto formats = fields.int16();
    for (auto n = 0; n < formats; ++n) {
        message.binary_parameters |= fields.int16() != 0;
    }
    const auto count = fields.int16();
    for (auto n = 0; n < count && fields.ok(); ++n) {
        const auto length = fields.int32();
        if (length < 0) {
            message.parameters.emplace_back(std::nullopt);
        } else {
            message.parameters.emplace_back(fields.bytes(static_cast<std::size_t>(length)));
        }
    }
    return fields.ok() ? std::optional{std::move(message)} : std::nullopt;
}

auto backend_writer::int16(std::int32_t value) -> void {
    const auto bits = static_cast<std::uint32_t>(value);
    out_ += static_cast<char>(bits >> 8U);
    out_ += static_cast<char>(bits);
}

auto backend_writer::int32(std::int32_t value) -> void {
    const auto bits = static_cast<std::uint32_t>(value);
    int16(static_cast<std::int32_t>(bits >> 16U));
    int16(static_cast<std::int32_t>(bits));
}

auto backend_writer::text(std::string_view value) -> void {
    out_.append(value);
    out_ += '\0';
}

auto backend_writer::open(char type) -> void {
    out_ += type;
    length_at_ = out_.size();
    out_.append(4, '\0');
}

auto backend_writer::close() -> void {
    const auto length = static_cast<std::uint32_t>(out_.size() - length_at_);
    for (auto n = 0U; n < 4; ++n) {
        out_[length_at_ + n] = static_cast<char>(length >> (24U - 8U * n));
    }
}

auto backend_writer::empty_message(char type) -> void {
    open(type);
    close();
}

auto backend_writer::authentication_ok() -> void {
    open('R');
    int32(0);
    close();
}

auto backend_writer::parameter_status(std::string_view name, std::string_view value) -> void {
    open('S');
    text(name);
    text(value);
    close();
}

auto backend_writer::backend_key(std::int32_t process, std::int32_t secret) -> void {
    open('K');
    int32(process);
    int32(secret);
    close();
}

auto backend_writer::ready(transaction_state state) -> void {
    open('Z');
    out_ += static_cast<char>(state);
    close();
}

auto backend_writer::parameter_description(int count) -> void {
    open('t');
    int16(count);
    for (auto n = 0; n < count; ++n) {
        int32(text_type);
    }
    close();
}

auto backend_writer::row_description(const std::vector<std::string>& columns) -> void {
    open('T');
    int16(static_cast<std::int32_t>(columns.size()));
    for (const auto& name : columns) {
        text(name);
        int32(0); // table
        int16(0); // column of the table
        int32(text_type);
        int16(-1); // variable length
        int32(-1); // no type modifier
        int16(0);  // text format
    }
    close();
}

auto backend_writer::data_row(const std::vector<sql_value>& values) -> void {
    open('D');
    int16(static_cast<std::int32_t>(values.size()));
    for (const auto& value : values) {
        int32(value ? static_cast<std::int32_t>(value->size()) : -1);
        if (value) {
            out_.append(*value);
        }
    }
    close();
}

auto backend_writer::command_complete(std::string_view tag) -> void {
    open('C');
    text(tag);
    close();
}

auto backend_writer::error(std::string_view severity, std::string_view sqlstate, std::string_view message)
    -> void {
    open('E');
    out_ += 'S';
    text(severity);
    out_ += 'V';
    text(severity);
    out_ += 'C';
    text(sqlstate);
    out_ += 'M';
    text(message);
    out_ += '\0';
    close();
}

auto backend_writer::take() -> std::string {
    return std::exchange(out_, {});
}

} // namespace citronlug::standin
