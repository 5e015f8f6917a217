#include "storage.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <limits>

#include <fmt/format.h>

namespace citronlug::standin {

namespace {

auto to_integer(const std::string& text) -> std::optional<std::int64_t> {
    auto value = std::int64_t{0};
    const auto* const end = text.data() + text.size();
    const auto [it, ec] = std::from_chars(text.data(), end, value);
    return ec == std::errc{} && it == end ? std::optional{value} : std::nullopt;
}

/// Separator of key parts. Text values of the wire protocol contain no zero byte.
constexpr char key_separator = '\0';

auto lock_name(const std::string& table, const std::string& key) -> std::string {
    return table + key_separator + key;
}

/// One execution of a statement.
class executor {
public:
    executor(database& data, lock_table& locks, transaction& work, const sql_statement& statement,
             const std::vector<sql_value>& parameters)
        : data_(data)
        , locks_(locks)
        , work_(work)
        , statement_(statement)
        , parameters_(parameters) {}

    auto run() -> execution {
        if (statement_.parameters > static_cast<int>(parameters_.size())) {
            return sql_error{"08P01",
                             fmt::format("the statement needs {} parameters", statement_.parameters)};
        }
        if (statement_.kind == sql_kind::create_table) {
            return create();
        }
        if (const auto created = work_.created.find(statement_.table); created != work_.created.end()) {
            schema_ = created->second;
        } else if (committed_ = data_.find(statement_.table); committed_ != nullptr) {
            schema_ = committed_->schema;
        } else {
            return sql_error{"42P01", "relation \"" + statement_.table + "\" does not exist"};
        }
        switch (statement_.kind) {
        case sql_kind::insert:
            return insert();
        case sql_kind::select:
            return select();
        default:
            return change();
        }
    }

private:
    auto value_of(const operand& it) const -> const sql_value& {
        return it.parameter == 0 ? it.literal : parameters_[static_cast<std::size_t>(it.parameter) - 1];
    }

    static auto unknown_column(const std::string& name) -> sql_error {
        return {"42703", "column \"" + name + "\" does not exist"};
    }

    auto create() -> execution {
        if (data_.find(statement_.table) != nullptr || work_.created.contains(statement_.table)) {
            if (statement_.ignore_existing) {
                return statement_result{{}, {}, "CREATE TABLE"};
            }
            return sql_error{"42P07", "relation \"" + statement_.table + "\" already exists"};
        }
        const auto lock = lock_name(statement_.table, "");
        if (!locks_.is_free(lock, work_.owner)) {
            return lock_conflict{};
        }
        auto schema = std::make_shared<table_schema>();
        schema->columns = statement_.columns;
        for (const auto& name : statement_.primary_key) {
            const auto place = schema->place(name);
            if (!place) {
                return unknown_column(name);
            }
            schema->key.push_back(*place);
        }
        locks_.acquire(lock, work_.owner);
        work_.created[statement_.table] = std::move(schema);
        return statement_result{{}, {}, "CREATE TABLE"};
    }

    auto own_change(const std::string& key) const -> const std::optional<table_row>* {
        const auto rows = work_.changed.find(statement_.table);
        if (rows == work_.changed.end()) {
            return nullptr;
        }
        const auto it = rows->second.find(key);
        return it == rows->second.end() ? nullptr : &it->second;
    }

    auto find_row(const std::string& key) const -> const table_row* {
        if (const auto* own = own_change(key)) {
            return own->has_value() ? &**own : nullptr;
        }
        if (committed_ == nullptr) {
            return nullptr;
        }
        const auto it = committed_->rows.find(key);
        return it == committed_->rows.end() ? nullptr : &it->second;
    }

    auto key_of(const table_row& values) const -> std::string {
        auto key = std::string{};
        for (const auto place : schema_->key) {
            key += *values[place];
            key += key_separator;
        }
        return key;
    }

    auto insert() -> execution {
        auto places = std::vector<std::size_t>{};
        for (const auto& name : statement_.columns) {
            const auto place = schema_->place(name);
            if (!place) {
                return unknown_column(name);
            }
            places.push_back(*place);
        }
        for (auto n = std::size_t{0}; statement_.columns.empty() && n < schema_->columns.size(); ++n) {
            places.push_back(n);
        }
        auto fresh = std::map<std::string, table_row>{};
        for (const auto& values : statement_.rows) {
            if (values.size() != places.size()) {
                return sql_error{"42601", "INSERT has another number of values than of columns"};
            }
            auto row = table_row(schema_->columns.size());
            for (auto n = std::size_t{0}; n < places.size(); ++n) {
                row[places[n]] = value_of(values[n]);
            }
            for (const auto place : schema_->key) {
                if (!row[place]) {
                    return sql_error{"23502", "null value in column \"" + schema_->columns[place] + "\""};
                }
            }
            const auto key = schema_->key.empty() ? data_.new_row_key() : key_of(row);
            if (!locks_.is_free(lock_name(statement_.table, key), work_.owner)) {
                return lock_conflict{};
            }
            if (find_row(key) != nullptr || fresh.contains(key)) {
                if (statement_.ignore_existing) {
                    continue;
                }
                return sql_error{"23505", "duplicate key value violates unique constraint \"" +
                                              statement_.table + "_pkey\""};
            }
            fresh.emplace(key, std::move(row));
        }
        const auto count = fresh.size();
        for (auto& [key, row] : fresh) {
            locks_.acquire(lock_name(statement_.table, key), work_.owner);
            work_.changed[statement_.table][key] = std::move(row);
        }
        return statement_result{{}, {}, fmt::format("INSERT 0 {}", count)};
    }

    auto matches(const table_row& row, const std::vector<std::size_t>& places) const -> bool {
        for (auto n = std::size_t{0}; n < places.size(); ++n) {
            const auto& wanted = value_of(statement_.where[n].value);
            if (!wanted || row[places[n]] != wanted) {
                return false;
            }
        }
        return true;
    }

    /// The primary key, if WHERE states all of it.
    auto wanted_key(const std::vector<std::size_t>& places) const -> std::optional<std::string> {
        if (schema_->key.empty()) {
            return std::nullopt;
        }
        auto key = std::string{};
        for (const auto place : schema_->key) {
            const auto it = std::find(places.begin(), places.end(), place);
            if (it == places.end()) {
                return std::nullopt;
            }
            const auto& part =
                value_of(statement_.where[static_cast<std::size_t>(it - places.begin())].value);
            key += part.value_or("");
            key += key_separator;
        }
        return key;
    }

    /// Visits the rows that WHERE selects, in the order of their keys. The visitor returns false to stop.
    auto visit(const std::function<bool(const std::string&, const table_row&)>& visitor)
        -> std::optional<sql_error> {
        auto places = std::vector<std::size_t>{};
        for (const auto& it : statement_.where) {
            const auto place = schema_->place(it.column);
            if (!place) {
                return unknown_column(it.column);
            }
            places.push_back(*place);
        }
        if (const auto key = wanted_key(places)) {
            const auto* row = find_row(*key);
            if (row != nullptr && matches(*row, places)) {
                visitor(*key, *row);
            }
            return std::nullopt;
        }
        static const auto no_changes = std::map<std::string, std::optional<table_row>>{};
        static const auto no_rows = std::map<std::string, table_row>{};
        const auto changed = work_.changed.find(statement_.table);
        const auto& own = changed == work_.changed.end() ? no_changes : changed->second;
        const auto& rows = committed_ == nullptr ? no_rows : committed_->rows;
        auto mine = own.begin();
        for (auto it = rows.begin(); it != rows.end() || mine != own.end();) {
            const table_row* row = nullptr;
            const std::string* key = nullptr;
            if (mine != own.end() && (it == rows.end() || mine->first <= it->first)) {
                it = it != rows.end() && mine->first == it->first ? std::next(it) : it;
                key = &mine->first;
                row = mine->second ? &*mine->second : nullptr;
                ++mine;
            } else {
                key = &it->first;
                row = &it->second;
                ++it;
            }
            if (row != nullptr && matches(*row, places) && !visitor(*key, *row)) {
                break;
            }
        }
        return std::nullopt;
    }

    auto select() -> execution {
        auto result = statement_result{};
        auto places = std::vector<std::size_t>{};
        const auto& columns = statement_.columns.empty() ? schema_->columns : statement_.columns;
        for (const auto& name : columns) {
            const auto place = schema_->place(name);
            if (!place) {
                return unknown_column(name);
            }
            places.push_back(*place);
        }
        auto order = std::optional<std::size_t>{};
        if (!statement_.order_by.empty()) {
            order = schema_->place(statement_.order_by);
            if (!order) {
                return unknown_column(statement_.order_by);
            }
        }
        auto limit = std::numeric_limits<std::size_t>::max();
        if (statement_.limit) {
            const auto number = to_integer(value_of(*statement_.limit).value_or(""));
            if (!number || *number < 0) {
                return sql_error{"2201W", "LIMIT must not be negative"};
            }
            limit = static_cast<std::size_t>(*number);
        }
        auto count = std::size_t{0};
        auto found = std::vector<const table_row*>{};
        const auto error = visit([&](const std::string&, const table_row& row) {
            ++count;
            if (!statement_.count && (order || found.size() < limit)) {
                found.push_back(&row);
            }
            return statement_.count || order || found.size() < limit;
        });
        if (error) {
            return *error;
        }
        if (statement_.count) {
            return statement_result{{"count"}, {{std::to_string(count)}}, "SELECT 1"};
        }
        if (order) {
            sort(found, *order);
        }
        result.columns = columns;
        for (auto n = std::size_t{0}; n < std::min(limit, found.size()); ++n) {
            auto row = table_row{};
            for (const auto place : places) {
                row.push_back((*found[n])[place]);
            }
            result.rows.push_back(std::move(row));
        }
        result.tag = fmt::format("SELECT {}", result.rows.size());
        return result;
    }

    /// Integers are ordered by value, other values as text, NULL last.
    auto sort(std::vector<const table_row*>& rows, std::size_t place) const -> void {
        const auto less = [place](const table_row* a, const table_row* b) {
            const auto& x = (*a)[place];
            const auto& y = (*b)[place];
            if (!x || !y) {
                return x.has_value() && !y.has_value();
            }
            const auto i = to_integer(*x);
            const auto j = to_integer(*y);
            return i && j ? *i < *j : *x < *y;
        };
        std::stable_sort(rows.begin(), rows.end(), [&](const auto* a, const auto* b) {
            return statement_.descending ? less(b, a) : less(a, b);
        });
    }

    /// Row after the assignments of UPDATE.
    auto assigned(const table_row& row) const -> std::variant<table_row, sql_error> {
        auto result = row;
        for (const auto& it : statement_.assignments) {
            const auto target = schema_->place(it.column);
            if (!target) {
                return unknown_column(it.column);
            }
            const auto& value = value_of(it.value);
            if (it.base.empty()) {
                result[*target] = value;
                continue;
            }
            const auto base = schema_->place(it.base);
            if (!base) {
                return unknown_column(it.base);
            }
            if (it.copy || !row[*base] || !value) {
                result[*target] = it.copy ? row[*base] : std::nullopt;
                continue;
            }
            const auto left = to_integer(*row[*base]);
            const auto right = to_integer(*value);
            if (!left || !right) {
                return sql_error{"22P02", "invalid input syntax for type integer"};
            }
            auto sum = std::int64_t{0};
            if (it.subtract ? __builtin_sub_overflow(*left, *right, &sum)
                            : __builtin_add_overflow(*left, *right, &sum)) {
                return sql_error{"22003", "bigint out of range"};
            }
            result[*target] = std::to_string(sum);
        }
        return result;
    }

    auto change() -> execution {
        auto changed = std::vector<std::pair<std::string, std::optional<table_row>>>{};
        auto failure = std::optional<execution>{};
        const auto error = visit([&](const std::string& key, const table_row& row) {
            if (!locks_.is_free(lock_name(statement_.table, key), work_.owner)) {
                failure = lock_conflict{};
                return false;
            }
            if (statement_.kind == sql_kind::remove) {
                changed.emplace_back(key, std::nullopt);
                return true;
            }
            auto after = assigned(row);
            if (const auto* wrong = std::get_if<sql_error>(&after)) {
                failure = *wrong;
                return false;
            }
            auto& values = std::get<table_row>(after);
            if (!schema_->key.empty() && key_of(values) != key) {
                failure = sql_error{"0A000", "change of a primary key is not supported"};
                return false;
            }
            changed.emplace_back(key, std::move(values));
            return true;
        });
        if (error) {
            return *error;
        }
        if (failure) {
            return *failure;
        }
        for (auto& [key, row] : changed) {
            locks_.acquire(lock_name(statement_.table, key), work_.owner);
            work_.changed[statement_.table][key] = std::move(row);
        }
        const auto* verb = statement_.kind == sql_kind::update ? "UPDATE" : "DELETE";
        return statement_result{{}, {}, fmt::format("{} {}", verb, changed.size())};
    }

    database& data_;
    lock_table& locks_;
    transaction& work_;
    const sql_statement& statement_;
    const std::vector<sql_value>& parameters_;
    std::shared_ptr<const table_schema> schema_;
    const table* committed_ = nullptr;
};

} // namespace

auto table_schema::place(const std::string& column) const -> std::optional<std::size_t> {
    const auto it = std::find(columns.begin(), columns.end(), column);
    return it == columns.end() ? std::nullopt : std::optional{static_cast<std::size_t>(it - columns.begin())};
}

auto database::find(const std::string& name) const -> const table* {
    const auto it = tables_.find(name);
    return it == tables_.end() ? nullptr : &it->second;
}

auto database::apply(const row_change& change) -> void {
    auto& target = tables_[change.table];
    if (change.created) {
        target.schema = change.created;
        return;
    }
    if (change.after) {
        target.rows[change.key] = *change.after;
    } else {
        target.rows.erase(change.key);
    }
}

auto database::undo(const row_change& change) -> void {
    if (change.created) {
        tables_.erase(change.table);
    } else if (change.before) {
        tables_[change.table].rows[change.key] = *change.before;
    } else {
        tables_[change.table].rows.erase(change.key);
    }
}

auto database::new_row_key() -> std::string {
    // All members of a process share the numbers, so that a new primary cannot reuse one.
    static auto next = std::uint64_t{1};
    return fmt::format("#{:016x}", next++);
}

auto lock_table::is_free(const std::string& lock, std::uint64_t owner) const -> bool {
    const auto it = owners_.find(lock);
    return it == owners_.end() || it->second == owner;
}

auto lock_table::acquire(const std::string& lock, std::uint64_t owner) -> void {
    if (owners_.emplace(lock, owner).second) {
        held_[owner].push_back(lock);
    }
}

auto lock_table::release_all(std::uint64_t owner) -> bool {
    const auto it = held_.find(owner);
    if (it == held_.end()) {
        return false;
    }
    for (const auto& lock : it->second) {
        owners_.erase(lock);
    }
    held_.erase(it);
    return true;
}

auto execute(database& data, lock_table& locks, transaction& work, const sql_statement& statement,
             const std::vector<sql_value>& parameters) -> execution {
    return executor{data, locks, work, statement, parameters}.run();
}

auto result_columns(const database& data, const transaction& work, const sql_statement& statement)
    -> std::variant<std::vector<std::string>, sql_error> {
    switch (statement.kind) {
    case sql_kind::constant:
        return std::vector<std::string>{"?column?"};
    case sql_kind::sleep:
        return std::vector<std::string>{"pg_sleep"};
    case sql_kind::status:
        return std::vector<std::string>{"role", "term", "position", "history"};
    case sql_kind::promote:
    case sql_kind::follow:
        return std::vector<std::string>{"term"};
    case sql_kind::position:
        return std::vector<std::string>{"position", "term"};
    case sql_kind::select:
        break;
    default:
        return std::vector<std::string>{};
    }
    if (statement.count) {
        return std::vector<std::string>{"count"};
    }
    if (!statement.columns.empty()) {
        return statement.columns;
    }
    if (const auto created = work.created.find(statement.table); created != work.created.end()) {
        return created->second->columns;
    }
    if (const auto* found = data.find(statement.table)) {
        return found->schema->columns;
    }
    return sql_error{"42P01", "relation \"" + statement.table + "\" does not exist"};
}

auto changes_of(const database& data, const transaction& work) -> std::vector<row_change> {
    auto changes = std::vector<row_change>{};
    for (const auto& [name, schema] : work.created) {
        changes.push_back({name, {}, {}, {}, schema});
    }
    for (const auto& [name, rows] : work.changed) {
        const auto* committed = data.find(name);
        for (const auto& [key, row] : rows) {
            auto before = std::optional<table_row>{};
            if (committed != nullptr) {
                const auto it = committed->rows.find(key);
                before = it == committed->rows.end() ? std::nullopt : std::optional{it->second};
            }
            changes.push_back({name, key, std::move(before), row, nullptr});
        }
    }
    return changes;
}

} // namespace citronlug::standin
