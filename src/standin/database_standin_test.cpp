// Qt and thread headers use placement new, which the macros of CppUTest would break.
#include "database_standin.h"
#include "standin_fixture.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <thread>

#include <citronlug/testing.h>

#include <libpq-fe.h>

#include <poll.h>

using namespace citronlug;
using namespace citronlug::standin;

namespace {

using result_ptr = std::unique_ptr<PGresult, decltype(&PQclear)>;

/// One blocking libpq connection.
class client {
public:
    explicit client(std::uint16_t port, const std::string& name = "test", bool wait = true)
        : connection_(PQconnectStart(
              fmt::format("host=127.0.0.1 port={} dbname=d user=u application_name={}", port, name)
                  .c_str())) {
        while (wait && PQstatus(connection_) != CONNECTION_OK && PQstatus(connection_) != CONNECTION_BAD) {
            const auto wanted = PQconnectPoll(connection_);
            auto it = pollfd{PQsocket(connection_),
                             static_cast<short>(wanted == PGRES_POLLING_WRITING ? POLLOUT : POLLIN), 0};
            if (wanted == PGRES_POLLING_OK || wanted == PGRES_POLLING_FAILED || poll(&it, 1, 200) != 1) {
                break;
            }
        }
    }
    ~client() { PQfinish(connection_); }
    client(const client&) = delete;
    auto operator=(const client&) -> client& = delete;

    [[nodiscard]] auto open() const -> bool { return PQstatus(connection_) == CONNECTION_OK; }
    [[nodiscard]] auto error() const -> std::string { return PQerrorMessage(connection_); }

    /// First value of the answer, else the command tag, else "error SQLSTATE", else "lost".
    auto run(const std::string& text) -> std::string { return describe(PQexec(connection_, text.c_str())); }

    auto send(const std::string& text) -> void { PQsendQuery(connection_, text.c_str()); }

    /// The answer if it comes within the time.
    auto answer(duration wait) -> std::optional<std::string> {
        const auto end = now_on_machine() + wait;
        while (PQisBusy(connection_) != 0) {
            auto it = pollfd{PQsocket(connection_), POLLIN, 0};
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - now_on_machine());
            if (poll(&it, 1, std::max(0, static_cast<int>(left.count()))) != 1) {
                return std::nullopt;
            }
            if (PQconsumeInput(connection_) == 0) {
                return "lost";
            }
        }
        auto text = describe(PQgetResult(connection_));
        while (auto* more = PQgetResult(connection_)) {
            PQclear(more);
        }
        return text;
    }

    /// Sends the statements as one pipeline and gives their outcomes, "aborted" after an error.
    auto pipeline(const std::vector<std::pair<std::string, std::vector<const char*>>>& statements)
        -> std::vector<std::string> {
        PQenterPipelineMode(connection_);
        for (const auto& [text, parameters] : statements) {
            PQsendQueryParams(connection_, text.c_str(), static_cast<int>(parameters.size()), nullptr,
                              parameters.data(), nullptr, nullptr, 0);
        }
        PQpipelineSync(connection_);
        auto outcomes = std::vector<std::string>{};
        for (auto n = std::size_t{0}; n < statements.size(); ++n) {
            outcomes.push_back(describe(PQgetResult(connection_)));
            PQclear(PQgetResult(connection_)); // the null that separates results
        }
        const auto sync = result_ptr{PQgetResult(connection_), PQclear};
        CHECK(PQresultStatus(sync.get()) == PGRES_PIPELINE_SYNC);
        PQexitPipelineMode(connection_);
        return outcomes;
    }

    [[nodiscard]] auto in_transaction() const -> bool {
        return PQtransactionStatus(connection_) != PQTRANS_IDLE;
    }

private:
    static auto describe(PGresult* raw) -> std::string {
        const auto result = result_ptr{raw, PQclear};
        switch (PQresultStatus(raw)) {
        case PGRES_TUPLES_OK:
            return PQntuples(raw) == 0 ? "no rows" : PQgetvalue(raw, 0, 0);
        case PGRES_COMMAND_OK:
            return PQcmdStatus(raw);
        case PGRES_PIPELINE_ABORTED:
            return "aborted";
        default: {
            const auto* state = PQresultErrorField(raw, PG_DIAG_SQLSTATE);
            return state == nullptr ? "lost" : std::string{"error "} + state;
        }
        }
    }

    PGconn* connection_;
};

auto test_settings() -> database_standin_settings {
    auto settings = database_standin_settings{};
    settings.each.slots = 2;
    settings.each.max_connections = 5;
    settings.each.lock_wait = 100ms;
    settings.schema = std::get<std::vector<sql_statement>>(parse_schema(
        "create table orders (id text primary key, amount int); create table notes (text text);"));
    return settings;
}

} // namespace

/// A group of three members with two tables, used through libpq.
TEST_GROUP_BASE(database_group, citronlug::testing::test_base) {
    standin_thread<database_standin> group{test_settings()};
    std::vector<std::uint16_t> ports;

    void setup() override {
        group.call([this] {
            CHECK(!group.standin().start());
            for (auto n = std::size_t{0}; n < 3; ++n) {
                ports.push_back(group.standin().member(n).port());
            }
        });
    }

    auto fault(const std::string& json)->void {
        group.call([&] {
            const auto body = QJsonDocument::fromJson(QByteArray::fromStdString(json)).object();
            CHECK_TEXT(!group.standin().apply_fault(body), json.c_str());
        });
    }

    /// Runs a statement on a new connection.
    auto run(std::size_t n, const std::string& text)->std::string {
        return client{ports.at(n)}.run(text);
    }

    /// Waits until the statement on a new connection gives the outcome.
    auto eventually(std::size_t n, const std::string& text, const std::string& outcome)->bool {
        for (auto tries = 0; tries < 100; ++tries) {
            if (run(n, text) == outcome) {
                return true;
            }
            std::this_thread::sleep_for(5ms);
        }
        return false;
    }

    const std::string count = "select count(*) from orders";
};

TEST_GROUP_BASE(pipelines, TEST_GROUP_CppUTestGroupdatabase_group){};

// Guards against a stand-in that real libpq cannot use the way that the holder does.
TEST(pipelines, write_transaction_returns_the_position_of_its_commit) {
    auto it = client{ports[0]};
    const auto statements = std::vector<std::pair<std::string, std::vector<const char*>>>{
        {"BEGIN", {}},
        {"INSERT INTO citronlug_requests (account, id, outcome) VALUES ($1, $2, NULL)", {"school", "r1"}},
        {"INSERT INTO orders (id, amount) VALUES ($1, $2)", {"o1", "5"}},
        {"COMMIT", {}},
        {"SELECT citronlug_position()", {}}};
    CHECK((it.pipeline(statements) ==
           std::vector<std::string>{"BEGIN", "INSERT 0 1", "INSERT 0 1", "COMMIT", "1"}));
    CHECK(!it.in_transaction());
    run(0, "insert into notes values ('of another connection')");
    CHECK(it.run("SELECT citronlug_position()") == "1"); // not the later commit
    CHECK(it.run(count) == "1");
    CHECK(it.run("SELECT citronlug_position()") == "2");
}

// Guards against a second run with the same request id, and against a pipeline that goes on after an error.
TEST(pipelines, error_skips_the_rest_and_rolls_back) {
    auto it = client{ports[0]};
    const auto statements = std::vector<std::pair<std::string, std::vector<const char*>>>{
        {"BEGIN", {}},
        {"INSERT INTO orders (id, amount) VALUES ($1, $2)", {"o2", nullptr}},
        {"INSERT INTO citronlug_requests (account, id, outcome) VALUES ($1, $2, 'x')", {"school", "r1"}},
        {"COMMIT", {}}};
    CHECK(it.pipeline(statements)[3] == "COMMIT");
    const auto again = it.pipeline(statements);
    CHECK(again[1] == "error 23505" && again[2] == "aborted" && again[3] == "aborted");
    CHECK(it.in_transaction());
    CHECK(it.run(count) == "error 25P02");
    CHECK(it.run("COMMIT") == "ROLLBACK");
    CHECK(it.run(count) == "1");
    CHECK(it.run("select amount from orders") == "");
}

TEST(pipelines, statements_outside_of_begin_commit_at_sync) {
    auto it = client{ports[0]};
    const auto outcome =
        it.pipeline({{"insert into orders values ('a', '1')", {}}, {"insert into nowhere values ('b')", {}}});
    CHECK(outcome[1] == "error 42P01");
    CHECK(it.run(count) == "0");
    it.pipeline(
        {{"insert into orders values ('a', '1')", {}}, {"update orders set amount = amount + $1", {"2"}}});
    CHECK(run(0, "select amount from orders where id = 'a'") == "3");
}

TEST_GROUP_BASE(limits, TEST_GROUP_CppUTestGroupdatabase_group){};

TEST(limits, connection_over_the_limit_is_refused) {
    auto open = std::vector<std::unique_ptr<client>>{};
    for (auto n = 0; n < 5; ++n) {
        open.push_back(std::make_unique<client>(ports[0]));
        CHECK(open.back()->open());
    }
    const auto refused = client{ports[0]};
    CHECK(!refused.open() && refused.error().find("too many clients") != std::string::npos);
}

// Guards against more statements at once than there are slots.
TEST(limits, statement_over_the_slots_waits) {
    auto clients = std::vector<std::unique_ptr<client>>{};
    for (auto n = 0; n < 3; ++n) {
        clients.push_back(std::make_unique<client>(ports[0]));
        clients.back()->send("select pg_sleep(0.1)");
    }
    std::this_thread::sleep_for(150ms);
    CHECK(clients[0]->answer(0ms) && clients[1]->answer(0ms));
    CHECK(!clients[2]->answer(0ms) && clients[2]->answer(200ms));
}

TEST(limits, wait_for_a_row_lock_ends) {
    auto first = client{ports[0]};
    auto second = client{ports[0]};
    first.run("begin");
    first.run("insert into orders values ('a', '1')");
    CHECK(second.run("insert into orders values ('a', '2')") == "error 55P03");
    second.send("insert into orders values ('a', '3')");
    CHECK(!second.answer(20ms));
    first.run("rollback");
    CHECK(second.answer(90ms) == "INSERT 0 1");
}

TEST_GROUP_BASE(faults, TEST_GROUP_CppUTestGroupdatabase_group){};

TEST(faults, replica_refuses_writes_and_can_be_promoted) {
    CHECK(run(1, "insert into orders values ('a', '1')") == "error 25006");
    CHECK(run(1, "select citronlug_promote(7)") == "error 55000");
    CHECK(run(1, "select citronlug_promote(1)") == "2");
    CHECK(run(1, "insert into orders values ('a', '1')") == "INSERT 0 1");
    CHECK(run(0, fmt::format("select citronlug_follow('127.0.0.1:{}', 2)", ports[1])) == "2");
    CHECK(eventually(0, count, "1"));
    CHECK(run(0, "select * from citronlug_status()") == "replica");
}

TEST(faults, crash_keeps_data_and_drops_connections) {
    auto it = client{ports[0]};
    it.run("insert into orders values ('a', '1')");
    it.run("begin");
    it.run("insert into orders values ('b', '1')");
    fault(R"({"member":0,"kind":"crash"})");
    CHECK(it.run(count) == "lost");
    CHECK(!client{ports[0]}.open());
    fault(R"({"member":0,"kind":"restart"})");
    CHECK(run(0, count) == "1");
}

TEST(faults, silent_connections_never_answer_but_new_ones_work) {
    auto it = client{ports[0]};
    fault(R"({"member":0,"kind":"silent"})");
    it.send(count);
    CHECK(!it.answer(50ms));
    CHECK(run(0, count) == "0");
    fault(R"({"member":0,"kind":"heal"})");
    CHECK(!it.answer(50ms));
}

// Guards against a freeze that loses what was sent to it: a thawed server still works off its input.
TEST(faults, freeze_holds_everything_until_the_thaw) {
    auto it = client{ports[0]};
    fault(R"({"member":0,"kind":"freeze"})");
    it.send("insert into orders values ('a', '1')");
    CHECK(!it.answer(50ms));
    {
        auto fresh = client{ports[0]};
        CHECK(!fresh.open());
        auto gone = client{ports[0], "gone", false};
    }
    fault(R"({"member":0,"kind":"thaw"})");
    CHECK(it.answer(200ms) == "INSERT 0 1");
}

TEST(faults, effect_of_a_client_that_gave_up_during_a_freeze_comes_late) {
    auto it = std::make_unique<client>(ports[0]);
    fault(R"({"member":0,"kind":"freeze"})");
    it->send("insert into orders values ('late', '1')");
    std::this_thread::sleep_for(20ms);
    it.reset();
    fault(R"({"member":0,"kind":"thaw"})");
    CHECK(eventually(0, count, "1"));
}

TEST(faults, partition_stops_replication_only) {
    fault(R"({"member":1,"kind":"partition"})");
    run(0, "insert into orders values ('a', '1')");
    std::this_thread::sleep_for(20ms);
    CHECK(run(1, count) == "0");
    fault(R"({"member":1,"kind":"heal"})");
    CHECK(eventually(1, count, "1"));
}

TEST(faults, isolation_is_by_application_name) {
    auto cut = client{ports[0], "i1"};
    fault(R"({"member":0,"kind":"isolate","clients":["i1"]})");
    cut.send(count);
    CHECK(!cut.answer(50ms));
    CHECK((!client{ports[0], "i1"}.open()));
    CHECK(run(0, count) == "0");
    fault(R"({"member":0,"kind":"heal"})");
    CHECK(cut.answer(200ms) == "0");
    fault(R"({"member":0,"kind":"isolate"})");
    CHECK(!client{ports[0]}.open());
}

TEST(faults, lag_and_delay_and_late_answers) {
    fault(R"({"member":1,"kind":"lag","ms":60})");
    run(0, "insert into orders values ('a', '1')");
    CHECK(run(1, count) == "0");
    CHECK(eventually(1, count, "1"));
    auto it = client{ports[0]};
    fault(R"({"member":0,"kind":"late-answers","n":1,"ms":60})");
    it.send(count);
    CHECK(!it.answer(40ms) && it.answer(100ms));
    it.send(count);
    CHECK(it.answer(40ms) == "1");
    fault(R"({"member":0,"kind":"delay","ms":60})");
    it.send(count);
    CHECK(!it.answer(40ms) && it.answer(100ms));
}

// Guards against a lost answer whose write had no effect: the fault must leave the effect in place.
TEST(faults, lost_answer_leaves_the_effect) {
    auto it = client{ports[0]};
    fault(R"({"member":0,"kind":"lose-answers","n":1})");
    CHECK(it.run("insert into orders values ('a', '1')") == "lost");
    CHECK(run(0, count) == "1");
    CHECK(run(0, "insert into orders values ('b', '1')") == "INSERT 0 1");
}

// Guards against a search for callers' keys that misses startup parameters, statements or parameters.
TEST(faults, received_text_is_recorded) {
    auto it = client{ports[0], "named-app"};
    it.pipeline({{"insert into orders values ($1, 4)", {"ck_1_secret"}}});
    group.call([this] {
        auto found = std::vector<std::string>{};
        for (const auto* word : {"named-app", "into orders", "ck_1"}) {
            for (auto& text : group.standin().received().search(word, 9)) {
                found.push_back(std::move(text));
            }
        }
        const auto wanted = std::vector<std::string>{"application_name=named-app",
                                                     "insert into orders values ($1, 4)", "ck_1_secret"};
        CHECK(found == wanted);
        CHECK_EQUAL(1, group.standin().received().key_like());
    });
}
