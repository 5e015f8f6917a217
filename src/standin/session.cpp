#include "session.h"

#include <charconv>
#include <unordered_map>
#include <utility>

#include <fmt/format.h>

namespace citronlug::standin {

namespace {

/// Parses through a cache, since callers repeat a small number of texts.
auto parse_cached(const std::string& text) -> std::variant<std::shared_ptr<const sql_statement>, sql_error> {
    static auto cache = std::unordered_map<std::string, std::shared_ptr<const sql_statement>>{};
    if (const auto it = cache.find(text); it != cache.end()) {
        return it->second;
    }
    auto outcome = parse_sql(text);
    if (const auto* error = std::get_if<sql_error>(&outcome)) {
        return *error;
    }
    constexpr std::size_t cache_size = 4096;
    if (cache.size() >= cache_size) {
        cache.clear();
    }
    auto statement = std::make_shared<const sql_statement>(std::get<sql_statement>(std::move(outcome)));
    cache.emplace(text, statement);
    return statement;
}

template <class Number>
auto to_number(const sql_value& text) -> std::optional<Number> {
    auto value = Number{};
    if (!text) {
        return std::nullopt;
    }
    const auto* const end = text->data() + text->size();
    const auto [it, ec] = std::from_chars(text->data(), end, value);
    return ec == std::errc{} && it == end ? std::optional{value} : std::nullopt;
}

/// Statements that occupy a slot. The others do no work on rows.
auto needs_service(const sql_statement& statement, const transaction& work) -> bool {
    switch (statement.kind) {
    case sql_kind::create_table:
    case sql_kind::insert:
    case sql_kind::select:
    case sql_kind::update:
    case sql_kind::remove:
    case sql_kind::constant:
    case sql_kind::sleep:
        return true;
    case sql_kind::commit:
        return work.writes();
    default:
        return false;
    }
}

auto argument(const sql_statement& statement, std::size_t n, const std::vector<sql_value>& parameters)
    -> sql_value {
    const auto& it = statement.rows.front()[n];
    return it.parameter == 0 ? it.literal : parameters.at(static_cast<std::size_t>(it.parameter) - 1);
}

auto missing_parameters(int wanted) -> sql_error {
    return {"08P01", fmt::format("the statement needs {} parameters", wanted)};
}

} // namespace

session::session(std::uint64_t number, session_host& host)
    : number_(number)
    , host_(host) {
    work_.owner = number;
}

session::~session() {
    roll_back();
}

auto session::application_name() const -> std::string {
    const auto it = startup_.find("application_name");
    return it == startup_.end() ? std::string{} : it->second;
}

auto session::transaction_status() const -> transaction_state {
    return failed_     ? transaction_state::failed
           : explicit_ ? transaction_state::open
                       : transaction_state::idle;
}

auto session::run() -> void {
    if (state_ == session_state::startup) {
        read_startup();
    }
    while (state_ == session_state::ready) {
        if (running_) {
            continue_running();
        } else if (in_simple_) {
            next_simple();
        } else if (const auto message = reader_.next_message()) {
            handle(*message);
        } else {
            break;
        }
    }
    if (reader_.malformed()) {
        state_ = session_state::closed;
    }
}

auto session::read_startup() -> void {
    while (state_ == session_state::startup) {
        auto packet = reader_.next_startup();
        if (!packet) {
            return;
        }
        switch (packet->kind) {
        case startup_kind::ssl_request:
        case startup_kind::gss_request:
            out_.refuse_encryption();
            break;
        case startup_kind::startup:
            startup_ = std::move(packet->parameters);
            for (const auto& [name, value] : startup_) {
                host_.record(name + "=" + value);
            }
            state_ = session_state::opening;
            break;
        default:
            state_ = session_state::closed;
        }
    }
}

auto session::open() -> void {
    out_.authentication_ok();
    out_.parameter_status("server_version", "15.0");
    out_.parameter_status("server_encoding", "UTF8");
    out_.parameter_status("client_encoding", "UTF8");
    out_.parameter_status("standard_conforming_strings", "on");
    out_.parameter_status("integer_datetimes", "on");
    out_.backend_key(static_cast<std::int32_t>(number_), 0);
    out_.ready(transaction_state::idle);
    state_ = session_state::ready;
}

auto session::refuse(std::string_view sqlstate, std::string_view message) -> void {
    out_.error("FATAL", sqlstate, message);
    state_ = session_state::closed;
}

auto session::on_served() -> void {
    if (state_ == session_state::serving) {
        state_ = session_state::ready;
    }
}

auto session::on_lock_released() -> void {
    if (state_ == session_state::locked) {
        state_ = session_state::ready;
    }
}

auto session::on_lock_timeout() -> void {
    if (state_ == session_state::locked) {
        state_ = session_state::ready;
        fail({"55P03", "canceling statement due to lock timeout"});
    }
}

auto session::handle(const frontend_message& message) -> void {
    switch (message.type) {
    case 'X':
        state_ = session_state::closed;
        return;
    case 'S':
        sync();
        return;
    case 'Q': {
        if (skipping_) {
            return;
        }
        const auto text = field_reader{message.body}.text();
        host_.record(text);
        for (auto& part : split_statements(text)) {
            simple_.push_back(std::move(part));
        }
        in_simple_ = true;
        if (simple_.empty()) {
            out_.empty_query();
        }
        return;
    }
    default:
        if (!skipping_) {
            handle_extended(message);
        }
    }
}

auto session::handle_extended(const frontend_message& message) -> void {
    switch (message.type) {
    case 'P':
        return parse(message.body);
    case 'B':
        return bind(message.body);
    case 'D':
        return describe(message.body);
    case 'C':
        return close_object(message.body);
    case 'E': {
        const auto name = field_reader{message.body}.text();
        const auto it = portals_.find(name);
        if (it == portals_.end()) {
            return fail({"34000", "portal \"" + name + "\" does not exist"});
        }
        return start(it->second, false);
    }
    case 'H':
        return; // output is sent after each run
    default:
        fail({"08P01", fmt::format("invalid frontend message type {}", static_cast<int>(message.type))});
    }
}

auto session::parse(std::string_view body) -> void {
    auto message = read_parse(body);
    if (!message) {
        return fail({"08P01", "malformed Parse message"});
    }
    host_.record(message->text);
    auto outcome = parse_cached(message->text);
    if (const auto* error = std::get_if<sql_error>(&outcome)) {
        return fail(*error);
    }
    if (!message->name.empty() && prepared_.contains(message->name)) {
        return fail({"42P05", "prepared statement \"" + message->name + "\" already exists"});
    }
    prepared_[message->name] = std::get<parsed>(std::move(outcome));
    out_.parse_complete();
}

auto session::bind(std::string_view body) -> void {
    auto message = read_bind(body);
    if (!message) {
        return fail({"08P01", "malformed Bind message"});
    }
    const auto it = prepared_.find(message->prepared);
    if (it == prepared_.end()) {
        return fail({"26000", "prepared statement \"" + message->prepared + "\" does not exist"});
    }
    if (message->binary_parameters) {
        return fail({"0A000", "binary parameters are not supported"});
    }
    if (static_cast<int>(message->parameters.size()) < it->second->parameters) {
        return fail(missing_parameters(it->second->parameters));
    }
    for (const auto& value : message->parameters) {
        host_.record(value.value_or(""));
    }
    portals_[message->portal] = {it->second, std::move(message->parameters)};
    out_.bind_complete();
}

auto session::describe(std::string_view body) -> void {
    auto fields = field_reader{body};
    const auto kind = fields.byte();
    const auto name = fields.text();
    if (kind == 'S') {
        const auto it = prepared_.find(name);
        if (it == prepared_.end()) {
            return fail({"26000", "prepared statement \"" + name + "\" does not exist"});
        }
        out_.parameter_description(it->second->parameters);
        return describe_columns(*it->second);
    }
    const auto it = portals_.find(name);
    if (it == portals_.end()) {
        return fail({"34000", "portal \"" + name + "\" does not exist"});
    }
    describe_columns(*it->second.statement);
}

auto session::describe_columns(const sql_statement& statement) -> void {
    if (failed_ && statement.kind != sql_kind::commit && statement.kind != sql_kind::rollback) {
        return fail({"25P02", "current transaction is aborted"});
    }
    const auto& data = host_.group().member(host_.member_number()).data;
    const auto outcome = result_columns(data, work_, statement);
    if (const auto* error = std::get_if<sql_error>(&outcome)) {
        return fail(*error);
    }
    const auto& columns = std::get<std::vector<std::string>>(outcome);
    if (columns.empty()) {
        out_.no_data();
    } else {
        out_.row_description(columns);
    }
}

auto session::close_object(std::string_view body) -> void {
    auto fields = field_reader{body};
    const auto kind = fields.byte();
    const auto name = fields.text();
    if (kind == 'S') {
        prepared_.erase(name);
    } else {
        portals_.erase(name);
    }
    out_.close_complete();
}

auto session::sync() -> void {
    if (!explicit_ && work_.writes()) {
        // Statements outside of BEGIN form one transaction that ends at Sync.
        if (const auto error = commit_work()) {
            out_.error("ERROR", error->sqlstate, error->message);
        }
    }
    if (state_ == session_state::closed) {
        return;
    }
    skipping_ = false;
    out_.ready(transaction_status());
    answers_ += std::exchange(used_table_, false) ? 1 : 0;
}

auto session::next_simple() -> void {
    if (simple_.empty()) {
        in_simple_ = false;
        sync();
        return;
    }
    const auto text = std::move(simple_.front());
    simple_.pop_front();
    auto outcome = parse_cached(text);
    if (const auto* error = std::get_if<sql_error>(&outcome)) {
        return fail(*error);
    }
    const auto statement = std::get<parsed>(std::move(outcome));
    if (statement->parameters > 0) {
        return fail({"42P02", "a simple query has no parameters"});
    }
    start({statement, {}}, true);
}

auto session::start(portal work, bool simple) -> void {
    ++statements_;
    running_ = running_statement{std::move(work), simple, false};
    continue_running();
}

auto session::continue_running() -> void {
    const auto& statement = *running_->work.statement;
    if (failed_ && statement.kind != sql_kind::commit && statement.kind != sql_kind::rollback) {
        return fail(
            {"25P02", "current transaction is aborted, commands ignored until end of transaction block"});
    }
    if (!running_->served) {
        running_->served = true;
        auto extra = duration{};
        if (statement.kind == sql_kind::sleep) {
            const auto seconds = to_number<double>(argument(statement, 0, running_->work.parameters));
            extra = duration{static_cast<std::int64_t>(seconds.value_or(0) * 1e6)};
        }
        if (needs_service(statement, work_) && !host_.serve(number_, extra)) {
            state_ = session_state::serving;
            return;
        }
    }
    auto outcome = perform(running_->work);
    if (state_ == session_state::closed) {
        return;
    }
    if (std::holds_alternative<lock_conflict>(outcome)) {
        state_ = session_state::locked;
        host_.wait_for_lock(number_);
        return;
    }
    if (const auto* error = std::get_if<sql_error>(&outcome)) {
        return fail(*error);
    }
    const auto& result = std::get<statement_result>(outcome);
    if (running_->simple && !result.columns.empty()) {
        out_.row_description(result.columns);
    }
    for (const auto& row : result.rows) {
        out_.data_row(row);
    }
    if (statement.kind == sql_kind::empty) {
        out_.empty_query();
    } else {
        out_.command_complete(result.tag);
    }
    running_.reset();
}

auto session::perform(const portal& work) -> execution {
    const auto kind = work.statement->kind;
    if (kind != sql_kind::position) {
        last_commit_.reset();
        used_table_ = used_table_ || !work.statement->table.empty();
    }
    switch (kind) {
    case sql_kind::empty:
        return statement_result{};
    case sql_kind::begin:
        explicit_ = true;
        return statement_result{{}, {}, "BEGIN"};
    case sql_kind::commit:
    case sql_kind::rollback:
        return end_transaction(kind == sql_kind::commit);
    case sql_kind::discard:
        if (explicit_) {
            return sql_error{"25001", "DISCARD ALL cannot run inside a transaction block"};
        }
        prepared_.clear();
        portals_.clear();
        return statement_result{{}, {}, "DISCARD ALL"};
    case sql_kind::set:
        return statement_result{{}, {}, "SET"};
    case sql_kind::create_table:
    case sql_kind::insert:
    case sql_kind::select:
    case sql_kind::update:
    case sql_kind::remove:
        return perform_table(work);
    default:
        return perform_function(work);
    }
}

auto session::perform_table(const portal& work) -> execution {
    auto& member = host_.group().member(host_.member_number());
    if (is_write(work.statement->kind)) {
        if (!member.primary) {
            return sql_error{"25006", "cannot execute a write in a read-only transaction"};
        }
        if (!work_.writes()) {
            work_.term = member.term();
        }
    }
    return execute(member.data, member.locks, work_, *work.statement, work.parameters);
}

auto session::perform_function(const portal& work) -> execution {
    auto& group = host_.group();
    const auto& member = group.member(host_.member_number());
    const auto one_row = [](std::vector<std::string> columns, table_row row) {
        return statement_result{std::move(columns), {std::move(row)}, "SELECT 1"};
    };
    const auto& statement = *work.statement;
    switch (statement.kind) {
    case sql_kind::constant:
        return one_row({"?column?"}, {argument(statement, 0, work.parameters)});
    case sql_kind::sleep:
        return one_row({"pg_sleep"}, {""});
    case sql_kind::status:
        return one_row({"role", "term", "position", "history"},
                       {member.primary ? "primary" : "replica", std::to_string(member.term()),
                        std::to_string(member.position()), member.history_text()});
    case sql_kind::position: {
        const auto [log, term] = last_commit_.value_or(std::pair{member.position(), member.term()});
        return one_row({"position", "term"}, {std::to_string(log), std::to_string(term)});
    }
    case sql_kind::promote: {
        const auto expected = to_number<term_number>(argument(statement, 0, work.parameters));
        if (!expected) {
            return sql_error{"22P02", "the expected term is no number"};
        }
        const auto outcome = group.promote(host_.now(), host_.member_number(), *expected);
        if (const auto* error = std::get_if<sql_error>(&outcome)) {
            return *error;
        }
        host_.roles_changed();
        return one_row({"term"}, {std::to_string(std::get<term_number>(outcome))});
    }
    default: {
        const auto term = to_number<term_number>(argument(statement, 1, work.parameters));
        if (!term) {
            return sql_error{"22P02", "the term is no number"};
        }
        const auto address = argument(statement, 0, work.parameters).value_or("");
        if (const auto error = group.follow(host_.member_number(), address, *term)) {
            return *error;
        }
        host_.roles_changed();
        return one_row({"term"}, {std::to_string(*term)});
    }
    }
}

auto session::end_transaction(bool commit) -> execution {
    const auto failed = std::exchange(failed_, false);
    explicit_ = false;
    if (!commit || failed) {
        roll_back();
        return statement_result{{}, {}, "ROLLBACK"};
    }
    if (work_.writes()) {
        if (const auto error = commit_work()) {
            return *error;
        }
    }
    return statement_result{{}, {}, "COMMIT"};
}

auto session::commit_work() -> std::optional<sql_error> {
    auto& group = host_.group();
    const auto n = host_.member_number();
    const auto outcome = group.commit(host_.now(), n, work_);
    roll_back();
    if (const auto* error = std::get_if<sql_error>(&outcome)) {
        return *error;
    }
    last_commit_ = {std::get<log_position>(outcome), group.member(n).term()};
    if (host_.committed()) {
        dropped_ = true;
        state_ = session_state::closed;
    }
    return std::nullopt;
}

auto session::roll_back() -> void {
    work_.changed.clear();
    work_.created.clear();
    if (host_.group().member(host_.member_number()).locks.release_all(number_)) {
        host_.locks_released();
    }
}

auto session::fail(const sql_error& error) -> void {
    out_.error("ERROR", error.sqlstate, error.message);
    roll_back();
    failed_ = explicit_;
    running_.reset();
    if (in_simple_) {
        simple_.clear();
    } else {
        skipping_ = true;
    }
}

} // namespace citronlug::standin
