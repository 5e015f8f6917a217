#include <citronlug/testing.h>

#include "sql.h"

using namespace citronlug::standin;

namespace {

auto parsed(std::string_view text) -> sql_statement {
    const auto outcome = parse_sql(text);
    if (const auto* error = std::get_if<sql_error>(&outcome)) {
        FAIL((std::string{text} + ": " + error->message).c_str());
    }
    return std::get<sql_statement>(outcome);
}

auto sqlstate(std::string_view text) -> std::string {
    const auto outcome = parse_sql(text);
    const auto* error = std::get_if<sql_error>(&outcome);
    return error == nullptr ? "" : error->sqlstate;
}

} // namespace

TEST_GROUP_BASE(sql_subset, citronlug::testing::test_base){};

// Guards against table definitions whose types or keys are mistaken for columns.
TEST(sql_subset, table_definitions) {
    const auto plain =
        parsed("CREATE TABLE IF NOT EXISTS t (a Int primary key, b varchar(20) not null, c numeric(4,2))");
    CHECK(plain.ignore_existing);
    CHECK((plain.columns == std::vector<std::string>{"a", "b", "c"}));
    CHECK((plain.primary_key == std::vector<std::string>{"a"}));
    const auto joint = parsed("create table u (x text, y text, primary key (x, y));");
    CHECK((joint.primary_key == std::vector<std::string>{"x", "y"}));
}

TEST(sql_subset, rows_and_conditions) {
    const auto insert =
        parsed("insert into t (a, b) values ($1, 'it''s'), (-2, null) on conflict do nothing");
    CHECK_EQUAL(2, static_cast<int>(insert.rows.size()));
    CHECK_EQUAL(1, insert.parameters);
    CHECK(insert.rows[0][1].literal == "it's");
    CHECK(insert.rows[1][0].literal == "-2" && !insert.rows[1][1].literal);
    CHECK(insert.ignore_existing);
    const auto select = parsed("SELECT a, b FROM t WHERE a = $2 AND b = 'x' ORDER BY b DESC LIMIT 3");
    CHECK_EQUAL(2, static_cast<int>(select.where.size()));
    CHECK(select.order_by == "b" && select.descending && select.limit->literal == "3");
    const auto update = parsed("update t set a = a + $1, b = 'n', c = d where e = 1");
    CHECK(update.assignments[0].base == "a" && update.assignments[1].base.empty() &&
          update.assignments[2].copy);
}

TEST(sql_subset, functions_of_the_group) {
    CHECK(parsed("SELECT * FROM citronlug_status()").kind == sql_kind::status);
    CHECK(parsed("select citronlug_promote(4)").kind == sql_kind::promote);
    CHECK(parsed("SELECT citronlug_follow('h:1', 2)").kind == sql_kind::follow);
    CHECK(parsed("select citronlug_position()").kind == sql_kind::position);
    CHECK(parsed("select 1").kind == sql_kind::constant);
    CHECK(sqlstate("select nothing_known()") == "42883");
}

// Guards against statements that are accepted in part, which would hide a mistake in the tested program.
TEST(sql_subset, statements_outside_of_the_subset_are_refused) {
    for (const auto* text :
         {"selct 1", "select a from", "insert into t values (1", "delete t", "update t set a",
          "select * from t where a > 1", "select 1 select 2", "insert into t values ('x)"}) {
        CHECK_TEXT(sqlstate(text) == "42601", text);
    }
}

// Guards against a split inside of a quoted text.
TEST(sql_subset, simple_queries_are_split_at_semicolons) {
    const auto parts = split_statements("begin; insert into t values ('a;b'); ; commit;");
    CHECK_EQUAL(3, static_cast<int>(parts.size()));
    CHECK(parts[1] == " insert into t values ('a;b')");
}
