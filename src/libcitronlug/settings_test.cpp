// Qt headers use placement new, which the macros of CppUTest break.
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <citronlug/testing.h>

#include <citronlug/session_settings.h>
#include <citronlug/settings.h>

using namespace citronlug;

namespace {

auto valid_object() -> QJsonObject {
    return {{"instance", "i1"},
            {"cell", "c1"},
            {"region", "north"},
            {"failure_domain", "a"},
            {"caller_address", "127.0.0.1:7101"},
            {"peer_address", "127.0.0.1:7201"},
            {"admin_address", "[::1]:7301"},
            {"store_address", "127.0.0.1:7001"},
            {"admin_tokens", QJsonArray{QJsonObject{{"name", "aino"}, {"sha256", QString{64, QChar{'a'}}}}}},
            {"peer_secret", "0123456789abcdef"}};
}

auto parse(const QJsonObject& object) {
    return parse_settings(QJsonDocument{object}.toJson().toStdString());
}

/// Paths of all reported errors.
auto error_paths(const QJsonObject& object) -> std::multiset<std::string> {
    auto found = std::multiset<std::string>{};
    const auto parsed = parse(object);
    if (const auto* errors = std::get_if<std::vector<setting_error>>(&parsed); errors != nullptr) {
        for (const auto& it : *errors) {
            CHECK(!it.message.empty() && !it.accepted.empty());
            found.insert(it.path);
        }
    }
    return found;
}

using path_list = std::multiset<std::string>;

} // namespace

TEST_GROUP_BASE(process_settings_file, citronlug::testing::test_base){};

TEST(process_settings_file, uses_defaults_for_omitted_fields) {
    const auto parsed = parse(valid_object());
    CHECK(std::holds_alternative<process_settings>(parsed));
    const auto& settings = std::get<process_settings>(parsed);
    CHECK(settings.lease.lease == 2000ms && settings.lease.drift_allowance == 200ms);
    CHECK(settings.read_policy == "evidence");
    CHECK(settings.admin_tokens.at(0).name == "aino" && settings.other_cells.empty());
}

TEST(process_settings_file, reads_configured_values) {
    auto object = valid_object();
    object["lease"] = QJsonObject{{"lease_ms", 3000}, {"heartbeat_ms", 500}};
    object["limits"] = QJsonObject{{"idle_seconds", 5}};
    object["other_cells"] = QJsonObject{{"c2", QJsonArray{"127.0.0.1:8201"}}};
    const auto parsed = parse(object);
    CHECK(std::holds_alternative<process_settings>(parsed));
    const auto& settings = std::get<process_settings>(parsed);
    CHECK(settings.lease.lease == 3s && settings.lease.drift_allowance == 300ms);
    CHECK(settings.limits.idle == 5s);
    CHECK(settings.other_cells.at(cell_id{"c2"}).at(0) == "127.0.0.1:8201");
}

// Guards against a misspelt field that silently leaves its default in force.
TEST(process_settings_file, reports_unknown_fields) {
    auto object = valid_object();
    object["read_polcy"] = "primary";
    object["lease"] = QJsonObject{{"lease", 2000}};
    object["admin_tokens"] = QJsonArray{QJsonObject{{"name", "x"}, {"token", "y"}}};
    CHECK(error_paths(object) ==
          (path_list{"read_polcy", "lease.lease", "admin_tokens[0].sha256", "admin_tokens[0].token"}));
}

// Guards against lease times that would let two instances hold the same role.
TEST(process_settings_file, reports_inconsistent_times) {
    auto object = valid_object();
    object["lease"] = QJsonObject{{"lease_ms", 900}};
    CHECK(error_paths(object) ==
          (path_list{"lease.heartbeat_ms", "lease.store_renewal_ms", "lease.lease_ms"}));
    object["lease"] = QJsonObject{{"drift_ms", 10}};
    CHECK(error_paths(object) == path_list{"lease.drift_ms"});
}

TEST(process_settings_file, reports_conflicting_values) {
    auto object = valid_object();
    object["peer_address"] = object["caller_address"];
    object["other_cells"] = QJsonObject{{"c1", QJsonArray{"127.0.0.1:8201"}}, {"c2", QJsonArray{}}};
    const auto token = object["admin_tokens"].toArray().at(0);
    object["admin_tokens"] = QJsonArray{token, token};
    CHECK(error_paths(object) ==
          (path_list{"peer_address", "other_cells.c1", "other_cells.c2", "admin_tokens[1].name"}));
}

TEST(process_settings_file, reports_the_position_of_a_syntax_error) {
    const auto parsed = parse_settings("{\n  \"instance\": i1\n}");
    CHECK(std::holds_alternative<std::vector<setting_error>>(parsed));
    CHECK(std::get<std::vector<setting_error>>(parsed).at(0).path.starts_with("line 2, column "));
    CHECK(std::holds_alternative<std::vector<setting_error>>(parse_settings("[]")));
}

// Guards against a parser that stops at the first error.
TEST(process_settings_file, reports_all_errors_at_once) {
    citronlug::testing::check_property("each faulty field is reported", [] {
        auto object = valid_object();
        auto expected = path_list{};
        for (const auto& field : valid_object().keys()) {
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                object.remove(field);
                expected.insert(field.toStdString());
                break;
            case 1:
                object[field] =
                    *rc::gen::element(QJsonValue{7}, QJsonValue{""}, QJsonValue{QJsonValue::Null});
                expected.insert(field.toStdString());
                break;
            default:
                break;
            }
        }
        for (const auto* field : {"shards", "read_policy", "queue_policy", "limits"}) {
            if (*rc::gen::arbitrary<bool>()) {
                object[QLatin1String{field}] = -1;
                expected.insert(field);
            }
        }
        RC_ASSERT(error_paths(object) == expected);
    });
}

// Guards against a machine's limits that are ignored, or taken from a text that is no number.
TEST(process_settings_file, of_a_session_instance_can_come_from_the_environment) {
    const auto text = std::string{
        R"({"instance":"a","failure_domain":"z","caller_address":"127.0.0.1:1","ready_address":"127.0.0.1:2",
"peer_address":"127.0.0.1:3","metrics_address":"127.0.0.1:4","store_address":"127.0.0.1:5",
"promotion_address":"127.0.0.1:6","memory_mb":64})"};
    const auto parsed = parse_session_settings(text, {{"evacuation_limit_ms", "5000"}, {"descriptors", ""}});
    const auto& settings = std::get<session_settings>(parsed);
    CHECK(settings.evacuation_limit == duration{5s});
    CHECK_EQUAL(64U, *settings.memory_mb);
    CHECK_FALSE(settings.descriptors.has_value());
    const auto rejected = parse_session_settings(text, {{"memory_mb", "much"}});
    CHECK_EQUAL(std::string{"memory_mb"}, std::get<std::vector<setting_error>>(rejected).front().path);
}
