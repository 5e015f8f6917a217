#pragma once

#include "sql.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// Tables of one member, transactions over them, and execution of the table statements. No I/O.
namespace citronlug::standin {

using table_row = std::vector<sql_value>;

struct table_schema {
    std::vector<std::string> columns;
    std::vector<std::size_t> key; ///< places of the primary key; empty: rows get numbers

    [[nodiscard]] auto place(const std::string& column) const -> std::optional<std::size_t>;
};

struct table {
    std::shared_ptr<const table_schema> schema;
    std::map<std::string, table_row> rows; ///< by row key
};

/// One change of a log entry. It holds the former row, so that it can be undone when a log is truncated.
struct row_change {
    std::string table;
    std::string key;
    std::optional<table_row> before;
    std::optional<table_row> after;
    std::shared_ptr<const table_schema> created; ///< the change creates the table
};

/// Committed state of one member.
class database {
public:
    [[nodiscard]] auto find(const std::string& name) const -> const table*;
    auto apply(const row_change& change) -> void;
    auto undo(const row_change& change) -> void;
    /// Key for a row of a table without primary key.
    [[nodiscard]] static auto new_row_key() -> std::string;

private:
    std::unordered_map<std::string, table> tables_;
};

/// Uncommitted changes of one connection.
struct transaction {
    std::uint64_t owner = 0; ///< owner of its locks
    std::uint64_t term = 0;  ///< term of the member at the first write
    std::map<std::string, std::map<std::string, std::optional<table_row>>> changed;
    std::map<std::string, std::shared_ptr<const table_schema>> created;

    [[nodiscard]] auto writes() const -> bool { return !changed.empty() || !created.empty(); }
};

/// Row locks of the writing transactions of one member, held until their end.
class lock_table {
public:
    [[nodiscard]] auto is_free(const std::string& lock, std::uint64_t owner) const -> bool;
    auto acquire(const std::string& lock, std::uint64_t owner) -> void;
    /// True if the owner held a lock.
    auto release_all(std::uint64_t owner) -> bool;

private:
    std::unordered_map<std::string, std::uint64_t> owners_;
    std::unordered_map<std::uint64_t, std::vector<std::string>> held_;
};

/// Rows and command tag of a statement that finished.
struct statement_result {
    std::vector<std::string> columns; ///< empty: the statement has no rows
    std::vector<table_row> rows;
    std::string tag;
};

/// A row is locked by another transaction; execute again after a release.
struct lock_conflict {};

using execution = std::variant<statement_result, sql_error, lock_conflict>;

/// Executes a table statement (CREATE TABLE, INSERT, SELECT, UPDATE, DELETE). Reads see the committed state
/// and the transaction's own changes. A statement that meets a lock has changed nothing.
[[nodiscard]] auto execute(database& data, lock_table& locks, transaction& work,
                           const sql_statement& statement, const std::vector<sql_value>& parameters)
    -> execution;

/// Columns of the rows that a statement will give; empty if it gives none.
[[nodiscard]] auto result_columns(const database& data, const transaction& work,
                                  const sql_statement& statement)
    -> std::variant<std::vector<std::string>, sql_error>;

/// The changes of a transaction, against the committed state.
[[nodiscard]] auto changes_of(const database& data, const transaction& work) -> std::vector<row_change>;

} // namespace citronlug::standin
