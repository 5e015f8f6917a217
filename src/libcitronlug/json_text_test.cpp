#include <citronlug/json_text.h>

#include <rapidcheck.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <string>

#include <CppUTest/TestHarness.h>

using namespace citronlug;

TEST_GROUP(json_text){static auto value_in(const std::string& object, std::string_view name)
                          ->std::string{const auto fields = split_object(object);
CHECK_TRUE(fields.has_value());
return std::string{value_of_field(*fields, name)};
}
}
;

TEST(json_text, splits_an_object_into_its_fields) {
    const auto text = std::string{R"( { "a" : 1 , "b":{"x":[1,"}"]},"c":"\"}" , "d":[] } )"};
    CHECK_EQUAL(std::string{"1"}, value_in(text, "a"));
    CHECK_EQUAL(std::string{R"({"x":[1,"}"]})"}, value_in(text, "b"));
    CHECK_EQUAL(std::string{R"("\"}")"}, value_in(text, "c"));
    CHECK_EQUAL(std::string{"[]"}, value_in(text, "d"));
    CHECK_EQUAL(std::string{}, value_in(text, "e"));
    CHECK_TRUE(split_object("{}")->empty());
    CHECK_TRUE(split_array(" [ ] ")->empty());
}

TEST(json_text, returns_the_last_of_two_fields_with_one_name) {
    CHECK_EQUAL(std::string{"2"}, value_in(R"({"a":1,"a":2})", "a"));
}

// Guards against one value that a parser rejects, or that overflows its stack, hiding the others.
TEST(json_text, passes_over_values_that_a_parser_rejects) {
    const auto deep = std::string(1'000'000, '[') + std::string(1'000'000, ']');
    for (const auto& odd : {deep, std::string{"1e999"}, std::string(400, '9'), std::string{"\"\xff\xfe\""},
                            std::string{"\"\x01\""}, std::string{R"("\ud800")"}, std::string{"NaN"}}) {
        const auto text = "[{\"n\":1}," + odd + ",{\"n\":2}]";
        const auto elements = split_array(text);
        CHECK_TRUE(elements.has_value());
        CHECK_EQUAL(3U, elements->size());
        CHECK_EQUAL(std::string{"{\"n\":2}"}, std::string{elements->back()});
    }
}

TEST(json_text, rejects_what_is_cut_off_or_has_more_behind_it) {
    const auto text = std::string{R"({"items":[{"a":"b\"c"},{"d":[1,2]}],"n":7})"};
    for (std::size_t n = 0; n < text.size(); ++n) {
        CHECK_FALSE(split_object(text.substr(0, n)).has_value());
    }
    for (const auto* damaged : {"{} {}", "{}x", "{\"a\":}", "{\"a\" 1}", "{\"a\":1,}", "{a:1}", "[1}",
                                "{\"a\":[}]}", "{\"a\":1]"}) {
        CHECK_FALSE(split_object(damaged).has_value());
    }
    CHECK_FALSE(split_array("[1,]").has_value());
    CHECK_FALSE(split_array("[[1}]").has_value());
}

// Guards against a split that disagrees with a parser, and against any access out of bounds.
TEST(json_text, agrees_with_a_parser_on_valid_text_and_takes_any_other) {
    CHECK_TRUE(rc::check("damaged text", [] {
        auto text =
            std::string{R"({"items":[{"meta":{"Name":"i-1","Revision":4},"spec":{"a":"x\\"}}],"n":-1.5e3})"};
        const auto changes = *rc::gen::inRange(0, 4);
        for (auto n = 0; n < changes; ++n) {
            const auto at = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(text.size())));
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                text[at] = static_cast<char>(*rc::gen::inRange(0, 256));
                break;
            case 1:
                text.insert(at, *rc::gen::element<std::string>("[", "}", "\"", "\\", "{\"a\":", "1e999"));
                break;
            default:
                text.erase(at, 1);
                break;
            }
        }
        const auto fields = split_object(text);
        const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text));
        if (!document.isObject()) {
            return;
        }
        RC_ASSERT(fields.has_value());
        for (const auto& it : *fields) {
            const auto parsed = QJsonDocument::fromJson(
                '[' + QByteArray{it.value.data(), static_cast<qsizetype>(it.value.size())} + ']');
            RC_ASSERT(parsed.isArray());
            RC_ASSERT(parsed.array().size() == 1);
        }
    }));
}
