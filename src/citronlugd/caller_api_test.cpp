#include "caller_api.h"

#include <citronlug/testing.h> // its macros for operator new must follow Qt headers

using namespace citronlug;

TEST_GROUP_BASE(caller_interface, citronlug::testing::test_base){
    static auto message(const QByteArray& text, transaction_step step = transaction_step::none)
        ->std::string{const auto parsed = parse_body(text, step);
const auto* error = std::get_if<failure>(&parsed);
return error == nullptr ? "" : error->message;
}
static auto has(const std::string& text, const char* part) -> bool {
    return text.find(part) != std::string::npos;
}
}
;

// Guards against errors that do not name the invalid field, and against a wrong type that is read as a
// default.
TEST(caller_interface, names_the_invalid_field) {
    CHECK(has(message("{"), "not valid JSON"));
    CHECK(has(message("[1]"), "must be a JSON object"));
    CHECK(has(message("{}"), "sql"));
    CHECK(has(message(R"({"sql":5})"), "sql must be a string"));
    CHECK(has(message(R"({"sql":"S","deadline_ms":"5"})"), "deadline_ms"));
    CHECK(has(message(R"({"sql":"S","deadline_ms":0})"), "deadline_ms"));
    CHECK(has(message(R"({"sql":"S","deadline_ms":1.5})"), "deadline_ms"));
    CHECK(has(message(R"({"sql":"S","max_age_ms":-1})"), "max_age_ms"));
    CHECK(has(message(R"({"sql":"S","request_id":""})"), "request_id"));
    CHECK(has(message(R"({"sql":"S","session":{}})"), "session"));
    CHECK(has(message(R"({"sql":"S","parameters":{}})"), "parameters"));
    CHECK(has(message(R"({"sql":"S","parameters":[[1]]})"), "parameters[0]"));
    CHECK(has(message(R"({"sql":"S","paramters":[]})"), "unknown field"));
    CHECK(has(message(R"({"sql":"S"})", transaction_step::commit), "unknown field"));
    CHECK(has(message(QByteArray{R"({"sql":"a\u0000b"})"}), "zero character"));
}

TEST(caller_interface, converts_parameters_to_text) {
    const auto parsed = parse_body(R"({"sql":"S","parameters":[1,2.5,true,null,"x"],"request_id":"r"})",
                                   transaction_step::none);
    CHECK(succeeded(parsed));
    const auto& values = std::get<caller_body>(parsed).body.parameters;
    CHECK(values == (std::vector<std::optional<std::string>>{"1", "2.5", "true", std::nullopt, "x"}));
}

TEST(caller_interface, parses_request_paths) {
    const auto route = parse_target("/v1/routes/orders");
    CHECK(std::get<caller_target>(route).route == route_id{"orders"});
    CHECK(std::get<caller_target>(parse_target("/v1/routes/orders/transactions")).step ==
          transaction_step::begin);
    CHECK(std::get<caller_target>(parse_target("/v1/transactions/T/commit")).step ==
          transaction_step::commit);
    for (const auto* path :
         {"/", "/v1/routes/", "/v1/routes/a/b", "/v1/transactions/T", "/v2/routes/a", "/v1"}) {
        CHECK(!succeeded(parse_target(path)));
    }
}

// Guards against an unknown outcome that the status code reports as a success or as not run.
TEST(caller_interface, maps_outcomes_to_http_status) {
    auto value = answer{};
    value.outcome = verdict::unknown;
    LONGS_EQUAL(504, http_status(value));
    value.outcome = verdict::done;
    LONGS_EQUAL(200, http_status(value));
    value.outcome = verdict::not_run;
    value.error = failure{failure_code::rate_limited, "m", 1s};
    LONGS_EQUAL(429, http_status(value));
    CHECK(has(format_answer(value, "", "").toStdString(), R"("retry_after_ms":1000)"));
}
