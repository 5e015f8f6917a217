#pragma once

#include "wire.h"

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// The SQL subset of the database stand-in. docs/standins.md lists the accepted forms.
namespace citronlug::standin {

struct sql_error {
    std::string sqlstate;
    std::string message;
};

/// Literal, NULL or parameter ($1 has number 1; 0 means a literal).
struct operand {
    int parameter = 0;
    sql_value literal;
};

/// `column = value`, `column = base`, `column = base + value` or `column = base - value`.
struct assignment {
    std::string column;
    std::string base; ///< empty: plain value
    bool subtract = false;
    bool copy = false; ///< only the base
    operand value;
};

/// `column = value` in WHERE.
struct condition {
    std::string column;
    operand value;
};

enum class sql_kind {
    empty,
    create_table,
    insert,
    select,
    update,
    remove,
    begin,
    commit,
    rollback,
    discard, ///< DISCARD ALL
    set,     ///< SET ..., accepted without effect
    constant,
    sleep,
    status,
    promote,
    follow,
    position,
};

struct sql_statement {
    sql_kind kind = sql_kind::empty;
    std::string table;
    std::vector<std::string> columns; ///< of CREATE, INSERT, SELECT; empty in SELECT means all
    std::vector<std::string> primary_key;
    std::vector<std::vector<operand>> rows; ///< of INSERT; arguments of a function or constant
    std::vector<assignment> assignments;
    std::vector<condition> where;
    std::string order_by;
    bool descending = false;
    bool count = false;           ///< SELECT count(*)
    bool ignore_existing = false; ///< IF NOT EXISTS, ON CONFLICT DO NOTHING
    std::optional<operand> limit;
    int parameters = 0; ///< highest parameter number
};

/// Parses one statement.
[[nodiscard]] auto parse_sql(std::string_view text) -> std::variant<sql_statement, sql_error>;
/// Splits the text of a simple query at semicolons outside of quotes. Empty statements are left out.
[[nodiscard]] auto split_statements(std::string_view text) -> std::vector<std::string>;

/// True for statements that change rows or tables.
[[nodiscard]] auto is_write(sql_kind kind) -> bool;

} // namespace citronlug::standin
