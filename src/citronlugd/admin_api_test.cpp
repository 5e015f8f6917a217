// Qt headers come first: they use placement new, which the macros of CppUTest would break.
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <citronlug/testing.h>

#include "admin_api.h"

using namespace citronlug;

namespace {

constexpr auto rules_1 = "database d cell=c members=127.0.0.1:1  # Aino: orders\n"
                         "limit shop rate=5 burst=5  # Sales: contract 1\n";
constexpr auto rules_2 = "database d cell=c members=127.0.0.1:1  # Aino: orders\n"
                         "limit shop rate=9 burst=9  # Sales: contract 2\n";

/// Fault injected into a conditional update.
enum class store_fault {
    none,
    lost_answer,       ///< takes effect, the answer is lost
    lost_request,      ///< has no effect, no answer
    delayed,           ///< no answer; takes effect before the next update
    concurrent_update, ///< another operator's update is applied first
};

/// Daemon with an in-memory store. Each update consumes one entry of `faults`; none are injected after that.
class fake_daemon : public administration {
public:
    auto status(callback<instance_status> done) -> void override { done({.instance = instance_id{"i1"}}); }
    auto events(const timeline_filter& filter, callback<std::vector<timeline_event>> done) -> void override {
        last_filter = filter;
        done({timeline_event{{1, 2, instance_id{"i1"}}, "takeover", "x"}});
    }
    auto metrics_text() -> std::string override { return "queued 1\n"; }
    auto check_change_authority() -> std::optional<failure> override {
        return authority_checks_left-- > 0
                   ? std::nullopt
                   : std::optional{failure{failure_code::no_authority, "no majority", {}}};
    }
    auto current_config() -> configuration override { return stored; }
    auto read_config(callback<result<configuration>> done) -> void override {
        if (failing_reads > 0) {
            --failing_reads;
            return done(failure{failure_code::store_unavailable, "the store does not answer", {}});
        }
        done(stored);
    }
    auto write_config(const configuration& config, std::uint64_t expected,
                      callback<result<std::uint64_t>> done) -> void override {
        apply_delayed_update();
        const auto fault = faults.empty() ? store_fault::none : faults.front();
        if (!faults.empty()) {
            faults.pop_front();
        }
        if (fault == store_fault::concurrent_update) {
            auto other = stored;
            record_change(other, other.rules, "tom", "overtaking change", 7);
            update({other, stored.version});
        }
        const auto unknown = failure{failure_code::store_unavailable, "no answer", {}};
        if (fault == store_fault::delayed) {
            delayed = {config, expected};
            return done(unknown);
        }
        if (fault == store_fault::lost_request) {
            return done(unknown);
        }
        const auto updated = update({config, expected});
        if (fault == store_fault::lost_answer) {
            return done(unknown);
        }
        if (!updated) {
            return done(failure{failure_code::conflict, "another version", {}});
        }
        done(stored.version);
    }
    auto versions(callback<std::vector<instance_version>> done) -> void override {
        done({{instance_id{"i1"}, cell_id{"c"}, stored.version, true}});
    }
    auto wall_seconds() -> std::int64_t override { return 1'780'000'000; }

    /// Applies a delayed update to the store.
    auto apply_delayed_update() -> void {
        if (delayed) {
            update(*delayed);
            delayed.reset();
        }
    }

    configuration stored = initial_configuration();
    std::deque<store_fault> faults;
    int failing_reads = 0;
    int authority_checks_left = 1000; ///< number of authority checks that still succeed
    timeline_filter last_filter;
    int updates = 0;

private:
    struct pending {
        configuration config;
        std::uint64_t expected = 0;
    };

    auto update(const pending& change) -> bool {
        if (change.expected != stored.version) {
            return false;
        }
        ++updates;
        const auto version = stored.version + 1;
        stored = std::get<configuration>(parse_configuration(to_json(change.config), version));
        return true;
    }

    std::optional<pending> delayed;
};

struct admin_api_fixture : citronlug::testing::test_base {
    auto call(const std::string& method, const std::string& path, const QJsonObject& body = {},
              const std::string& token = "Bearer example-token") -> int {
        auto calls = 0;
        auto status = 0;
        const auto text = QJsonDocument{body}.toJson().toStdString();
        api.handle({method, "/admin/v1" + path, query, token, text}, [&](const admin_response& it) {
            ++calls;
            status = it.status;
            answer_text = it.body;
            answer = QJsonDocument::fromJson(QByteArray::fromStdString(it.body)).object();
        });
        CHECK_EQUAL(1, calls);
        return status;
    }

    auto apply(const char* text, int expected, const char* summary = "contract") -> int {
        return call("POST", "/rules", {{"text", text}, {"expected_version", expected}, {"summary", summary}});
    }

    fake_daemon daemon;
    // SHA-256 of "example-token".
    admin_api api{daemon,
                  {{"tom", std::string(64, '0')},
                   {"aino", "4d1566a1d7df42a8517456d60ea06ed284e535cfe4c956aa6ee172dbcdf945f7"}}};
    std::map<std::string, std::string> query;
    std::string answer_text;
    QJsonObject answer;
};

} // namespace

TEST_GROUP_BASE(administration_api, admin_api_fixture){};

// Guards against access to the interface without a valid token.
TEST(administration_api, requires_a_token) {
    for (const auto* it : {"", "Bearer ", "Bearer wrong", "example-token", "Basic example-token"}) {
        CHECK_EQUAL(401, call("GET", "/status", {}, it));
        CHECK_EQUAL(401, call("POST", "/keys", {{"account", "shop"}, {"requester", "x"}}, it));
    }
    CHECK_EQUAL(200, call("GET", "/status"));
    CHECK_EQUAL(0, daemon.updates);
}

TEST(administration_api, serves_read_only_queries) {
    CHECK_EQUAL(200, call("GET", "/versions"));
    CHECK(answer["instances"].toArray().at(0)["instance"].toString() == "i1");
    CHECK_EQUAL(200, call("GET", "/metrics"));
    CHECK_EQUAL(std::string{"queued 1\n"}, answer_text);
    query = {{"database", "orders-1"}, {"limit", "5"}};
    CHECK_EQUAL(200, call("GET", "/timeline"));
    CHECK(daemon.last_filter.database == database_id{"orders-1"} && daemon.last_filter.limit == 5);
    query = {{"databse", "orders-1"}};
    CHECK_EQUAL(400, call("GET", "/timeline"));
    CHECK_EQUAL(404, call("GET", "/nothing"));
    CHECK_EQUAL(404, call("POST", "/keys//withdraw"));
    CHECK_EQUAL(405, call("DELETE", "/rules"));
}

// Guards against rules that operators cannot read during a store outage.
TEST(administration_api, shows_the_rules_in_force_while_the_store_is_down) {
    CHECK_EQUAL(200, apply(rules_1, 0));
    daemon.failing_reads = 1;
    CHECK_EQUAL(200, call("GET", "/rules"));
    CHECK(answer["text"].toString() == rules_1 && !answer["from_store"].toBool());
}

TEST_GROUP_BASE(applying_rules, TEST_GROUP_CppUTestGroupadministration_api){};

TEST(applying_rules, records_author_time_and_difference) {
    CHECK_EQUAL(200, apply(rules_1, 0, "first rules"));
    CHECK_EQUAL(200, apply(rules_2, 1, "new contract"));
    CHECK_EQUAL(2, answer["version"].toInt());
    CHECK_EQUAL(200, call("GET", "/history"));
    const auto last = answer["changes"].toArray().at(1).toObject();
    CHECK(last["author"].toString() == "aino" && last["summary"].toString() == "new contract");
    CHECK(last["time"].toString() == "2026-05-28T20:26:40Z" && last["version"].toInt() == 2);
    CHECK(last["lines"].toArray().at(0).toString() == "~ limit shop rate=9 burst=9  # Sales: contract 2");
}

// Guards against the silent loss of one of two concurrent changes.
TEST(applying_rules, lists_concurrent_changes_in_the_conflict_response) {
    CHECK_EQUAL(200, apply(rules_1, 0));
    CHECK_EQUAL(200, apply(rules_2, 1, "faster"));
    CHECK_EQUAL(409, apply(rules_1, 1));
    const auto other = answer["meanwhile"].toArray().at(0).toObject();
    CHECK(other["author"].toString() == "aino" && other["summary"].toString() == "faster");
    CHECK_EQUAL(1, other["lines"].toArray().size());
    CHECK(answer["meanwhile_complete"].toBool());
    daemon.faults = {store_fault::concurrent_update};
    CHECK_EQUAL(409, apply(rules_1, 2));
    CHECK(answer["meanwhile"].toArray().at(0)["author"].toString() == "tom");
    CHECK_EQUAL(std::string{rules_2}, daemon.stored.rules_text);
}

// Guards against rules that are applied in part.
TEST(applying_rules, rejects_rules_with_any_error) {
    CHECK_EQUAL(422, apply("limit shop rate=5 burst=5  # Sales: contract 1\nlimit x\n", 0));
    CHECK_EQUAL(2, answer["errors"].toArray().at(0)["line"].toInt());
    CHECK_EQUAL(400, call("POST", "/rules", {{"text", rules_1}, {"summary", "no version"}}));
    CHECK_EQUAL(400, apply(rules_1, 0, "two\nlines"));
    CHECK_EQUAL(0, daemon.updates);
}

// Guards against a client account that can send requests without a rate limit.
TEST(applying_rules, refuses_to_drop_the_limit_of_an_account_with_keys) {
    CHECK_EQUAL(200, apply(rules_1, 0));
    CHECK_EQUAL(200, call("POST", "/keys", {{"account", "shop"}, {"requester", "Sales"}}));
    CHECK_EQUAL(422, apply("database d cell=c members=127.0.0.1:1  # Aino: orders\n", 2));
}

// Guards against a change through an instance without contact with a majority of its cell.
TEST(applying_rules, is_refused_without_a_majority) {
    daemon.authority_checks_left = 0;
    CHECK_EQUAL(503, apply(rules_1, 0));
    CHECK(answer["error"].toObject()["code"].toString() == "no-authority");
    daemon.authority_checks_left = 1; // lost while the store was read
    CHECK_EQUAL(503, apply(rules_1, 0));
    CHECK_EQUAL(0, daemon.updates);
    daemon.authority_checks_left = 2; // lost while the store was written
    CHECK_EQUAL(200, apply(rules_1, 0));
    CHECK(!answer["confirmed"].toBool() && !answer["warning"].toString().isEmpty());
}

// Guards against a change that is applied twice because the operator repeats a call whose response was lost.
TEST(applying_rules, applies_a_repeated_change_id_once) {
    const auto rules_body = QJsonObject{
        {"text", rules_1}, {"expected_version", 0}, {"summary", "first"}, {"change_id", "0123456789abcdef"}};
    CHECK_EQUAL(200, call("POST", "/rules", rules_body));
    CHECK_EQUAL(200, call("POST", "/rules", rules_body));
    CHECK(answer["repeated"].toBool() && answer["version"].toInt() == 1);
    const auto key = QJsonObject{{"account", "shop"}, {"requester", "x"}, {"change_id", "fedcba9876543210"}};
    CHECK_EQUAL(200, call("POST", "/keys", key));
    CHECK_EQUAL(200, call("POST", "/keys", key));
    CHECK(!answer.contains("key") && answer["repeated"].toBool());
    CHECK_EQUAL(1U, daemon.stored.keys.size());
    CHECK_EQUAL(400, call("POST", "/keys", {{"account", "shop"}, {"requester", "x"}, {"change_id", "a b"}}));
}

// Guards against an update with a lost response that is reported as failed or as applied without proof.
TEST(applying_rules, reports_an_unknown_outcome_when_the_store_does_not_answer) {
    daemon.faults = {store_fault::lost_answer};
    CHECK_EQUAL(200, apply(rules_1, 0));
    CHECK_EQUAL(1, answer["version"].toInt());
    daemon.faults = std::deque<store_fault>(10, store_fault::lost_request);
    CHECK_EQUAL(503, apply(rules_2, 1));
    CHECK(answer["outcome"].toString() == "unknown" && !answer["change"].toString().isEmpty());
}

// Guards against an accepted change that is missing from the store, a rejected one that is stored, and one
// that is applied twice.
TEST(applying_rules, response_matches_the_stored_configuration) {
    citronlug::testing::check_property("the response matches the store under every fault", [] {
        auto fixture = admin_api_fixture{};
        RC_ASSERT(fixture.apply(rules_1, 0, "first") == 200);
        fixture.daemon.failing_reads = *rc::gen::inRange(0, 3);
        const auto is_key_request = *rc::gen::arbitrary<bool>();
        const auto fault =
            rc::gen::element(store_fault::none, store_fault::lost_answer, store_fault::lost_request,
                             store_fault::delayed, store_fault::concurrent_update);
        const auto faults = *rc::gen::container<std::vector<store_fault>>(fault);
        fixture.daemon.faults = {faults.begin(), faults.end()};
        const auto status =
            is_key_request ? fixture.call("POST", "/keys", {{"account", "shop"}, {"requester", "wanted"}})
                           : fixture.apply(rules_2, 1, "wanted");
        fixture.daemon.apply_delayed_update();
        const auto& history = fixture.daemon.stored.history;
        const auto n = std::count_if(history.begin(), history.end(), [](const auto& it) {
            return it.summary.find("wanted") != std::string::npos;
        });
        const auto unknown = fixture.answer["outcome"].toString() == "unknown";
        RC_ASSERT((status == 200 || status == 409 || status == 503));
        RC_ASSERT((unknown ? n <= 1 : n == (status == 200 ? 1 : 0)));
        RC_ASSERT((static_cast<int>(fixture.daemon.stored.keys.size()) == (is_key_request ? n : 0)));
    });
}

TEST_GROUP_BASE(keys_of_callers, TEST_GROUP_CppUTestGroupadministration_api){};

// Guards against keys that leak through the list or the history, and against withdrawn keys that stay valid.
TEST(keys_of_callers, are_returned_once_and_can_be_withdrawn) {
    CHECK_EQUAL(200, apply(rules_1, 0));
    CHECK_EQUAL(404, call("POST", "/keys", {{"account", "nobody"}, {"requester", "Sales"}}));
    CHECK_EQUAL(200, call("POST", "/keys", {{"account", "shop"}, {"requester", "Sales"}}));
    const auto key = answer["key"].toString().toStdString();
    const auto id = answer["id"].toString().toStdString();
    CHECK(succeeded(key_ring{daemon.stored.keys}.check(key)));
    CHECK_EQUAL(200, call("GET", "/keys"));
    CHECK(answer_text.find(key) == std::string::npos);
    CHECK(answer_text.find(daemon.stored.keys.at(0).secret_hash) == std::string::npos);
    CHECK_EQUAL(200, call("GET", "/history"));
    CHECK(answer_text.find(key) == std::string::npos);
    CHECK_EQUAL(404, call("POST", "/keys/unknown/withdraw", {{"reason", "lost"}}));
    CHECK_EQUAL(400, call("POST", "/keys/" + id + "/withdraw"));
    daemon.faults = {store_fault::concurrent_update}; // a revocation does not depend on the base version
    CHECK_EQUAL(200, call("POST", "/keys/" + id + "/withdraw", {{"reason", "lost"}}));
    CHECK(!succeeded(key_ring{daemon.stored.keys}.check(key)));
    CHECK_EQUAL(200, call("POST", "/keys/" + id + "/withdraw", {{"reason", "again"}}));
    CHECK(answer["already"].toBool());
}
