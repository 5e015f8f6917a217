#include "peer_codec.h"

namespace citronlug {

namespace {

auto text_of(const std::string& value) -> capnp::Text::Reader {
    return {value.c_str(), value.size()};
}

auto data_of(const std::string& value) -> capnp::Data::Reader {
    return {reinterpret_cast<const kj::byte*>(value.data()), value.size()};
}

auto string_of(capnp::Text::Reader value) -> std::string {
    return {value.cStr(), value.size()};
}

auto string_of(capnp::Data::Reader value) -> std::string {
    return {reinterpret_cast<const char*>(value.begin()), value.size()};
}

auto encode_heartbeat(const auto& it, wire::Heartbeat::Builder to) -> void {
    to.setFrom(text_of(it.from.value));
    to.setRun(it.run);
    to.setTableVersion(it.table_version);
    to.setRecordVersion(it.record_version);
    to.setConfigVersion(it.config_version);
    to.setCall(it.call);
}

template <class Message>
auto decode_heartbeat(wire::Heartbeat::Reader from) -> Message {
    auto it = Message{};
    it.from = instance_id{string_of(from.getFrom())};
    it.run = from.getRun();
    it.table_version = from.getTableVersion();
    it.record_version = from.getRecordVersion();
    it.config_version = from.getConfigVersion();
    it.call = from.getCall();
    return it;
}

auto encode_value(const std::optional<std::string>& value, wire::Value::Builder to) -> void {
    if (value) {
        to.setText(data_of(*value));
    } else {
        to.setNull();
    }
}

auto decode_value(wire::Value::Reader from) -> std::optional<std::string> {
    if (from.isText()) {
        return string_of(from.getText());
    }
    return std::nullopt;
}

template <class Enum>
auto decode_enum(std::uint8_t value, Enum& to) -> bool {
    to = static_cast<Enum>(value);
    return value < name_table<Enum>::names.size();
}

struct cell_encoder {
    wire::CellMessage::Builder to;

    auto operator()(const heartbeat_message& it) -> void { encode_heartbeat(it, to.initHeartbeat()); }
    auto operator()(const heartbeat_answer& it) -> void {
        auto part = to.initHeartbeatAnswer();
        encode_heartbeat(it, part);
        part.setAccepted(it.accepted);
    }
    auto operator()(const promise_request& it) -> void {
        auto part = to.initPromiseRequest();
        part.setFrom(text_of(it.from.value));
        part.setRun(it.run);
        part.setTableVersion(it.table_version);
        part.setCall(it.call);
        part.setSubject(text_of(it.subject.value));
        part.setSubjectRun(it.subject_run);
    }
    auto operator()(const promise_answer& it) -> void {
        auto part = to.initPromiseAnswer();
        part.setFrom(text_of(it.from.value));
        part.setCall(it.call);
        part.setGranted(it.granted);
    }
    auto operator()(const table_request& it) -> void {
        auto part = to.initTableRequest();
        part.setFrom(text_of(it.from.value));
        part.setTableVersion(it.table_version);
        part.setCall(it.call);
    }
    auto operator()(const table_answer& it) -> void {
        auto part = to.initTableAnswer();
        part.setFrom(text_of(it.from.value));
        part.setCall(it.call);
        part.setGranted(it.held);
    }
    auto operator()(const record_request& it) -> void {
        auto part = to.initRecordRequest();
        part.setFrom(text_of(it.from.value));
        part.setCall(it.call);
    }
    auto operator()(const record_answer& it) -> void {
        auto part = to.initRecordAnswer();
        part.setFrom(text_of(it.from.value));
        part.setCall(it.call);
        part.setVersion(it.version);
        part.setText(text_of(it.text));
    }
};

} // namespace

auto encode(const peer_message& message, wire::CellMessage::Builder to) -> void {
    std::visit(cell_encoder{to}, message);
}

auto decode(wire::CellMessage::Reader from) -> std::optional<peer_message> {
    switch (from.which()) {
    case wire::CellMessage::HEARTBEAT:
        return decode_heartbeat<heartbeat_message>(from.getHeartbeat());
    case wire::CellMessage::HEARTBEAT_ANSWER: {
        auto it = decode_heartbeat<heartbeat_answer>(from.getHeartbeatAnswer());
        it.accepted = from.getHeartbeatAnswer().getAccepted();
        return it;
    }
    case wire::CellMessage::PROMISE_REQUEST: {
        const auto part = from.getPromiseRequest();
        auto it = promise_request{};
        it.from = instance_id{string_of(part.getFrom())};
        it.run = part.getRun();
        it.table_version = part.getTableVersion();
        it.call = part.getCall();
        it.subject = instance_id{string_of(part.getSubject())};
        it.subject_run = part.getSubjectRun();
        return it;
    }
    case wire::CellMessage::PROMISE_ANSWER: {
        const auto part = from.getPromiseAnswer();
        auto it = promise_answer{};
        it.from = instance_id{string_of(part.getFrom())};
        it.call = part.getCall();
        it.granted = part.getGranted();
        return it;
    }
    case wire::CellMessage::TABLE_REQUEST: {
        const auto part = from.getTableRequest();
        auto it = table_request{};
        it.from = instance_id{string_of(part.getFrom())};
        it.table_version = part.getTableVersion();
        it.call = part.getCall();
        return it;
    }
    case wire::CellMessage::TABLE_ANSWER: {
        const auto part = from.getTableAnswer();
        auto it = table_answer{};
        it.from = instance_id{string_of(part.getFrom())};
        it.call = part.getCall();
        it.held = part.getGranted();
        return it;
    }
    case wire::CellMessage::RECORD_REQUEST: {
        const auto part = from.getRecordRequest();
        auto it = record_request{};
        it.from = instance_id{string_of(part.getFrom())};
        it.call = part.getCall();
        return it;
    }
    case wire::CellMessage::RECORD_ANSWER: {
        const auto part = from.getRecordAnswer();
        auto it = record_answer{};
        it.from = instance_id{string_of(part.getFrom())};
        it.call = part.getCall();
        it.version = part.getVersion();
        it.text = string_of(part.getText());
        return it;
    }
    }
    return std::nullopt;
}

auto encode(const request& work, time_point now, wire::Request::Builder to) -> void {
    to.setId(text_of(work.id.value));
    to.setAccount(text_of(work.account.value));
    to.setKey(text_of(work.key.value));
    to.setRoute(text_of(work.route.value));
    to.setDatabase(text_of(work.database.value));
    to.setMode(static_cast<std::uint8_t>(work.mode));
    to.setIdempotent(work.idempotent);
    to.setAck(static_cast<std::uint8_t>(work.ack));
    to.setRemainingUs((work.deadline - now).count());
    to.setHasSession(work.session.has_value());
    if (work.session) {
        auto part = to.initSession();
        part.setTerm(work.session->term);
        part.setLog(work.session->log);
    }
    to.setMaxAgeUs(work.max_age ? work.max_age->count() : -1);
    to.setStep(static_cast<std::uint8_t>(work.step));
    to.setTransactionEpoch(work.transaction.epoch);
    to.setTransactionNumber(work.transaction.number);
    to.setSql(data_of(work.body.text));
    auto list = to.initParameters(static_cast<unsigned>(work.body.parameters.size()));
    for (auto n = 0U; n < list.size(); ++n) {
        encode_value(work.body.parameters[n], list[n]);
    }
    to.setEntryDomain(text_of(work.entry_domain.value));
}

auto decode(wire::Request::Reader from, time_point now) -> std::optional<request> {
    auto it = request{};
    if (!decode_enum(from.getMode(), it.mode) || !decode_enum(from.getAck(), it.ack) ||
        !decode_enum(from.getStep(), it.step)) {
        return std::nullopt;
    }
    it.id = request_id{string_of(from.getId())};
    it.account = account_id{string_of(from.getAccount())};
    it.key = key_id{string_of(from.getKey())};
    it.route = route_id{string_of(from.getRoute())};
    it.database = database_id{string_of(from.getDatabase())};
    it.idempotent = from.getIdempotent();
    it.deadline = now + duration{from.getRemainingUs()};
    if (from.getHasSession()) {
        it.session = position{from.getSession().getTerm(), from.getSession().getLog()};
    }
    if (from.getMaxAgeUs() >= 0) {
        it.max_age = duration{from.getMaxAgeUs()};
    }
    it.transaction = transaction_id{from.getTransactionEpoch(), from.getTransactionNumber()};
    it.body.text = string_of(from.getSql());
    for (const auto value : from.getParameters()) {
        it.body.parameters.push_back(decode_value(value));
    }
    it.entry_domain = failure_domain{string_of(from.getEntryDomain())};
    return it;
}

auto encode(const answer& value, epoch_number holder_epoch, wire::Answer::Builder to) -> void {
    to.setOutcome(static_cast<std::uint8_t>(value.outcome));
    to.setHasError(value.error.has_value());
    if (value.error) {
        to.setCode(static_cast<std::uint8_t>(value.error->code));
        to.setMessage(text_of(value.error->message));
        to.setRetryAfterUs(value.error->retry_after.count());
    }
    const auto width = value.rows.columns.size();
    auto columns = to.initColumns(static_cast<unsigned>(width));
    for (auto n = 0U; n < columns.size(); ++n) {
        columns.set(n, data_of(value.rows.columns[n]));
    }
    auto cells = to.initCells(static_cast<unsigned>(value.rows.rows.size() * width));
    auto n = 0U;
    for (const auto& row : value.rows.rows) {
        for (auto column = std::size_t{0}; column < width; ++column) {
            encode_value(column < row.size() ? row[column] : std::nullopt, cells[n++]);
        }
    }
    to.setRowCount(static_cast<std::uint32_t>(value.rows.rows.size()));
    to.setAffected(value.rows.affected);
    auto reached = to.initReached();
    reached.setTerm(value.reached.term);
    reached.setLog(value.reached.log);
    to.setServedBy(text_of(value.served_by.value));
    to.setFromReplica(value.from_replica);
    to.setReplayed(value.replayed);
    to.setDataAgeUs(value.data_age.count());
    to.setTransactionEpoch(value.transaction.epoch);
    to.setTransactionNumber(value.transaction.number);
    to.setHolderEpoch(holder_epoch);
}

auto decode(wire::Answer::Reader from, epoch_number& holder_epoch) -> std::optional<answer> {
    auto it = answer{};
    if (!decode_enum(from.getOutcome(), it.outcome)) {
        return std::nullopt;
    }
    if (from.getHasError()) {
        auto error = failure{};
        if (!decode_enum(from.getCode(), error.code)) {
            return std::nullopt;
        }
        error.message = string_of(from.getMessage());
        error.retry_after = duration{from.getRetryAfterUs()};
        it.error = std::move(error);
    }
    for (const auto column : from.getColumns()) {
        it.rows.columns.push_back(string_of(column));
    }
    const auto cells = from.getCells();
    const auto width = it.rows.columns.size();
    const auto height = from.getRowCount();
    if (cells.size() != std::uint64_t{width} * height || (width == 0 && height > 0 && height > 1'000'000)) {
        return std::nullopt;
    }
    it.rows.rows.reserve(height);
    auto n = 0U;
    for (auto row = 0U; row < height; ++row) {
        auto& values = it.rows.rows.emplace_back();
        values.reserve(width);
        for (auto column = std::size_t{0}; column < width; ++column) {
            values.push_back(decode_value(cells[n++]));
        }
    }
    it.rows.affected = from.getAffected();
    it.reached = position{from.getReached().getTerm(), from.getReached().getLog()};
    it.served_by = member_id{string_of(from.getServedBy())};
    it.from_replica = from.getFromReplica();
    it.replayed = from.getReplayed();
    it.data_age = duration{from.getDataAgeUs()};
    it.transaction = transaction_id{from.getTransactionEpoch(), from.getTransactionNumber()};
    holder_epoch = from.getHolderEpoch();
    return it;
}

auto encode(const timeline_filter& filter, wire::EventFilter::Builder to) -> void {
    to.setDatabase(text_of(filter.database.value));
    to.setAccount(text_of(filter.account.value));
    to.setRequest(text_of(filter.request.value));
    to.setSinceUs(filter.since_us);
    to.setLimit(static_cast<std::uint32_t>(filter.limit));
}

auto decode(wire::EventFilter::Reader from) -> timeline_filter {
    return {database_id{string_of(from.getDatabase())}, account_id{string_of(from.getAccount())},
            request_id{string_of(from.getRequest())}, from.getSinceUs(), from.getLimit()};
}

auto encode(const timeline_event& event, wire::Event::Builder to) -> void {
    to.setWallUs(event.at.wall_us);
    to.setCounter(event.at.counter);
    to.setInstance(text_of(event.at.instance.value));
    to.setKind(text_of(event.kind));
    to.setDetail(text_of(event.detail));
    to.setDatabase(text_of(event.database.value));
    to.setAccount(text_of(event.account.value));
    to.setRequest(text_of(event.request.value));
}

auto decode(wire::Event::Reader from) -> timeline_event {
    return {hybrid_time{from.getWallUs(), from.getCounter(), instance_id{string_of(from.getInstance())}},
            string_of(from.getKind()),
            string_of(from.getDetail()),
            database_id{string_of(from.getDatabase())},
            account_id{string_of(from.getAccount())},
            request_id{string_of(from.getRequest())}};
}

} // namespace citronlug
