#include "pg_connection.h"

#include <QTimer>

#include <charconv>

namespace citronlug {

namespace {

constexpr auto connect_timeout = 1500ms;

auto parse_number(std::string_view text) -> std::optional<std::uint64_t> {
    auto n = std::uint64_t{0};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return n;
}

/// Converts a libpq message to a single line.
auto one_line(const char* text) -> std::string {
    auto line = std::string{text == nullptr ? "" : text};
    while (!line.empty() && line.back() == '\n') {
        line.pop_back();
    }
    for (auto& c : line) {
        c = c == '\n' ? ' ' : c;
    }
    return line;
}

} // namespace

pg_connection::pg_connection(const member_id& member, const database_id& database, const pg_options& options,
                             time_point now, connected_handler connected, result_handler finished,
                             lost_handler lost)
    : connect_started_{now}
    , connected_{std::move(connected)}
    , finished_{std::move(finished)}
    , lost_{std::move(lost)} {
    const auto colon = member.value.rfind(':');
    const auto host = member.value.substr(0, colon);
    const auto port = colon == std::string::npos ? std::string{"5432"} : member.value.substr(colon + 1);
    const char* keywords[] = {"hostaddr",        "port",    "user",       "password",
                              "dbname",          "sslmode", "gssencmode", "application_name",
                              "client_encoding", nullptr};
    const char* values[] = {host.c_str(),
                            port.c_str(),
                            options.user.c_str(),
                            options.password.c_str(),
                            database.value.c_str(),
                            "disable",
                            "disable",
                            options.application.c_str(),
                            "UTF8",
                            nullptr};
    connection_ = PQconnectStartParams(keywords, values, 0);
    if (connection_ == nullptr || PQstatus(connection_) == CONNECTION_BAD) {
        QTimer::singleShot(0, &context_, [this] { fail("cannot start to connect"); });
        return;
    }
    set_notifiers(false, true); // libpq requires the socket to be writable before the first PQconnectPoll
}

pg_connection::~pg_connection() {
    drop_notifiers();
    if (connection_ != nullptr) {
        PQfinish(connection_);
    }
}

auto pg_connection::set_handlers(result_handler finished, lost_handler lost) -> void {
    finished_ = std::move(finished);
    lost_ = std::move(lost);
}

auto pg_connection::drop_notifiers() -> void {
    // A notifier may be emitting its signal, so its deletion is deferred.
    for (auto* it : {&reader_, &writer_}) {
        if (*it) {
            (*it)->setEnabled(false);
            (*it)->disconnect();
            it->release()->deleteLater();
        }
    }
}

auto pg_connection::set_notifiers(bool read, bool write) -> void {
    const auto socket = PQsocket(connection_);
    // libpq may switch to another socket while connecting.
    if (!reader_ || reader_->socket() != socket) {
        drop_notifiers();
        reader_ = std::make_unique<QSocketNotifier>(socket, QSocketNotifier::Read);
        QObject::connect(reader_.get(), &QSocketNotifier::activated, &context_, [this] { on_readable(); });
        writer_ = std::make_unique<QSocketNotifier>(socket, QSocketNotifier::Write);
        QObject::connect(writer_.get(), &QSocketNotifier::activated, &context_, [this] { on_writable(); });
    }
    reader_->setEnabled(read);
    writer_->setEnabled(write);
}

auto pg_connection::poll_connect() -> void {
    switch (PQconnectPoll(connection_)) {
    case PGRES_POLLING_READING:
        set_notifiers(true, false);
        return;
    case PGRES_POLLING_WRITING:
        set_notifiers(false, true);
        return;
    case PGRES_POLLING_OK:
        if (PQsetnonblocking(connection_, 1) != 0 || PQenterPipelineMode(connection_) != 1) {
            fail("cannot enter pipeline mode");
            return;
        }
        state_ = state::open;
        set_notifiers(true, false);
        connected_(true); // may destroy this object
        return;
    default:
        fail(one_line(PQerrorMessage(connection_)));
        return;
    }
}

auto pg_connection::check_connect_timeout(time_point now) -> void {
    if (state_ == state::connecting && now - connect_started_ > connect_timeout) {
        fail("no connection within 1.5 s");
    }
}

auto pg_connection::send_pipeline(std::uint64_t sequence, const std::vector<statement>& statements) -> void {
    sequence_ = sequence;
    outcome_ = pipeline_result{};
    refused_ = false;
    busy_ = true;
    auto sent = state_ == state::open;
    auto values = std::vector<const char*>{};
    for (const auto& it : statements) {
        values.clear();
        for (const auto& parameter : it.parameters) {
            values.push_back(parameter ? parameter->c_str() : nullptr);
        }
        sent = sent && PQsendQueryParams(connection_, it.text.c_str(), static_cast<int>(values.size()),
                                         nullptr, values.data(), nullptr, nullptr, 0) == 1;
    }
    if (!sent) {
        // Usually nothing has been sent before PQflush. libpq flushes by itself beyond 8 kB, which only large
        // pipelines reach, but without the final sync message the server does not commit.
        QTimer::singleShot(0, &context_, [this] {
            state_ = state::failed;
            finish(pipeline_status::not_sent);
        });
        return;
    }
    if (PQpipelineSync(connection_) != 1) {
        QTimer::singleShot(0, &context_, [this] { fail("cannot send the pipeline sync message"); });
        return;
    }
    on_writable();
}

auto pg_connection::on_writable() -> void {
    if (state_ == state::connecting) {
        poll_connect();
        return;
    }
    const auto flush_result = PQflush(connection_);
    if (flush_result < 0) {
        drop_notifiers();
        QTimer::singleShot(0, &context_, [this] { fail(one_line(PQerrorMessage(connection_))); });
        return;
    }
    writer_->setEnabled(flush_result == 1);
}

auto pg_connection::on_readable() -> void {
    if (state_ == state::connecting) {
        poll_connect();
        return;
    }
    if (PQconsumeInput(connection_) != 1) {
        fail(one_line(PQerrorMessage(connection_)));
        return;
    }
    if (writer_->isEnabled()) {
        on_writable();
        if (!writer_) {
            return;
        }
    }
    read_results();
}

auto pg_connection::read_results() -> void {
    while (busy_ && PQisBusy(connection_) == 0) {
        auto* result = PQgetResult(connection_);
        if (result == nullptr) {
            if (PQstatus(connection_) == CONNECTION_BAD) {
                fail(one_line(PQerrorMessage(connection_)));
                return;
            }
            // End of one statement's results; the next call returns the result of the next statement.
            continue;
        }
        const auto status = PQresultStatus(result);
        if (status == PGRES_PIPELINE_SYNC) {
            PQclear(result);
            finish(refused_ ? pipeline_status::refused : pipeline_status::finished);
            return; // the handler may have destroyed this object
        }
        const auto lost = PQstatus(connection_) == CONNECTION_BAD;
        append_result(result);
        PQclear(result);
        if (lost) {
            fail(message_);
            return;
        }
    }
    if (!busy_) {
        // Notices and parameter changes may arrive between pipelines. A bad status here means that the server
        // has closed the connection.
        if (PQstatus(connection_) == CONNECTION_BAD) {
            fail(one_line(PQerrorMessage(connection_)));
        }
    }
}

auto pg_connection::append_result(const PGresult* result) -> void {
    switch (PQresultStatus(result)) {
    case PGRES_TUPLES_OK:
    case PGRES_COMMAND_OK: {
        auto rows = row_set{};
        const auto columns = PQnfields(result);
        const auto n = PQntuples(result);
        for (auto column = 0; column < columns; ++column) {
            rows.columns.emplace_back(PQfname(result, column));
        }
        rows.rows.reserve(static_cast<std::size_t>(n));
        for (auto row = 0; row < n; ++row) {
            auto& cells = rows.rows.emplace_back();
            cells.reserve(static_cast<std::size_t>(columns));
            for (auto column = 0; column < columns; ++column) {
                if (PQgetisnull(result, row, column) != 0) {
                    cells.emplace_back(std::nullopt);
                } else {
                    cells.emplace_back(
                        std::string{PQgetvalue(result, row, column),
                                    static_cast<std::size_t>(PQgetlength(result, row, column))});
                }
            }
        }
        if (columns == 0) { // PQcmdTuples also counts the rows of a SELECT, which are not affected rows
            rows.affected = parse_number(PQcmdTuples(const_cast<PGresult*>(result))).value_or(0);
        }
        outcome_.results.push_back(std::move(rows));
        return;
    }
    case PGRES_PIPELINE_ABORTED:
        return;
    default:
        if (!refused_) {
            refused_ = true;
            const auto* sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
            const auto* primary = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);
            outcome_.sqlstate = sqlstate == nullptr ? "" : sqlstate;
            outcome_.message = one_line(primary != nullptr ? primary : PQresultErrorMessage(result));
            message_ = outcome_.message;
        }
    }
}

auto pg_connection::finish(pipeline_status status) -> void {
    busy_ = false;
    auto outcome = std::move(outcome_);
    outcome.status = status;
    finished_(sequence_, std::move(outcome)); // may destroy this object
}

auto pg_connection::fail(const std::string& reason) -> void {
    if (state_ == state::failed) {
        return;
    }
    message_ = reason;
    const auto before = state_;
    state_ = state::failed;
    drop_notifiers();
    if (before == state::connecting) {
        connected_(false);
    } else if (busy_) {
        outcome_.message = reason;
        finish(pipeline_status::lost);
    } else {
        lost_();
    }
}

auto parse_member_status(const row_set& rows) -> std::optional<member_status> {
    if (rows.rows.size() != 1 || rows.rows.front().size() != 4) {
        return std::nullopt;
    }
    const auto& row = rows.rows.front();
    for (const auto& it : row) {
        if (!it) {
            return std::nullopt;
        }
    }
    const auto role = value_of<member_role>(*row[0]);
    const auto term = parse_number(*row[1]);
    const auto log = parse_number(*row[2]);
    if (!role || !term || !log) {
        return std::nullopt;
    }
    auto status = member_status{*role, position{*term, *log}, {}};
    auto text = std::string_view{*row[3]};
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto entry = text.substr(0, comma);
        const auto colon = entry.find(':');
        if (colon == std::string_view::npos) {
            return std::nullopt;
        }
        const auto entry_term = parse_number(entry.substr(0, colon));
        const auto start = parse_number(entry.substr(colon + 1));
        if (!entry_term || !start) {
            return std::nullopt;
        }
        status.history.push_back(term_start{*entry_term, *start});
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    }
    return status;
}

} // namespace citronlug
