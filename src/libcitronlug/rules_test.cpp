#include <citronlug/testing.h>

#include <citronlug/config.h>
#include <citronlug/rules.h>

using namespace citronlug;

namespace {

constexpr auto valid_file =
    "# sample\n"
    "database orders-1 cell=c1 members=127.0.0.1:6001,127.0.0.1:6002  # Aino: orders\n"
    "\n"
    "route catalogue database=orders-1 mode=read max-age=5s open=yes  # Web: shop pages\n"
    "route print-order database=orders-1 mode=write idempotent=no ack=replica # Print: maps\n"
    "limit school-shop rate=50 burst=100  # Sales: contract 12: renewed\r\n"
    "leave server=127.0.0.1:6002  # Platform: disk replaced on Friday";

auto rules_of(const std::string& text) -> rule_set {
    auto parsed = parse_rules(text);
    CHECK(std::holds_alternative<rule_set>(parsed));
    return std::get<rule_set>(parsed);
}

auto errors_of(const std::string& text) -> std::vector<rule_error> {
    auto parsed = parse_rules(text);
    CHECK(std::holds_alternative<std::vector<rule_error>>(parsed));
    return std::get<std::vector<rule_error>>(parsed);
}

/// True if `line`, after a database rule, has exactly one error, at `column`.
auto fails_at(const std::string& line, int column) -> bool {
    const auto errors =
        errors_of("database d cell=c members=127.0.0.1:1,127.0.0.1:2  # A: b\n" + line + "\n");
    return errors.size() == 1 && errors[0].line == 2 && errors[0].column == column &&
           !errors[0].accepted.empty() && !errors[0].message.empty();
}

/// Generates a name of at most 20 characters; the parser accepts up to 64.
auto gen_name() -> rc::Gen<std::string> {
    return rc::gen::resize(
        20, rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::elementOf(std::string{"abcxyz019"}))));
}

auto gen_origin() -> rule_origin {
    return {*gen_name() + " " + *gen_name(), *gen_name() + ": " + *gen_name()};
}

/// Generates rules with valid references. Names are few, so that two rule sets share some.
auto gen_rules() -> rule_set {
    auto rules = rule_set{};
    for (auto n = 0, count = *rc::gen::inRange(1, 4); n < count; ++n) {
        auto it = database_rule{database_id{"d" + std::to_string(n)}, cell_id{*gen_name()}};
        for (auto m = 0, members = *rc::gen::inRange(2, 4); m < members; ++m) {
            it.members.push_back(member_id{"127.0.0.1:" + std::to_string(6000 + n * 10 + m)});
            it.domains.push_back(failure_domain{*gen_name()});
        }
        it.slots = *rc::gen::inRange(1, 9);
        it.connections = it.slots + 4 + *rc::gen::inRange(0, 50);
        it.origin = gen_origin();
        if (*rc::gen::arbitrary<bool>()) {
            rules.leaves[it.members[0]] = {it.members[0], gen_origin()};
        }
        rules.databases[it.database] = it;
    }
    for (auto n = 0, count = *rc::gen::inRange(0, 4); n < count; ++n) {
        auto it = route_rule{route_id{"r" + std::to_string(n)}, database_id{"d0"}};
        it.mode = *rc::gen::element(access_mode::read, access_mode::write);
        if (it.mode == access_mode::read) {
            it.max_age = std::chrono::milliseconds{*rc::gen::inRange(1, 200'000)};
            it.open = *rc::gen::arbitrary<bool>();
        } else {
            it.idempotent = *rc::gen::arbitrary<bool>();
            it.ack = *rc::gen::element(ack_mode::primary, ack_mode::replica);
        }
        it.origin = gen_origin();
        rules.routes[it.route] = it;
    }
    for (auto n = 0, count = *rc::gen::inRange(0, 4); n < count; ++n) {
        const auto account = account_id{"a" + std::to_string(n)};
        rules.limits[account] = {
            account, {*rc::gen::inRange(1, 9999) / 8.0, *rc::gen::inRange(8, 9999) / 8.0}, gen_origin()};
    }
    return rules;
}

/// Kind and name of a rule: the first two tokens of its line.
auto rule_key(const std::string& line) -> std::string {
    return line.substr(0, line.find(' ', line.find(' ') + 1));
}

auto apply_difference(const rule_set& before, const std::vector<std::string>& changes) -> std::string {
    auto lines = std::map<std::string, std::string>{};
    auto in = std::istringstream{format_rules(before)};
    for (auto line = std::string{}; std::getline(in, line);) {
        lines[rule_key(line)] = line;
    }
    for (const auto& it : changes) {
        const auto line = it.substr(2);
        RC_ASSERT((it[0] == '+') == (lines.count(rule_key(line)) == 0));
        lines[rule_key(line)] = it[0] == '-' ? "" : line;
    }
    auto text = std::string{};
    for (const auto& [name, line] : lines) {
        text += line + "\n";
    }
    return text;
}

} // namespace

TEST_GROUP_BASE(rules_file, citronlug::testing::test_base){};

TEST_GROUP_BASE(valid_rules_file, TEST_GROUP_CppUTestGrouprules_file){};

// Guards against options that are parsed but not stored.
TEST(valid_rules_file, parses_every_rule_with_its_origin) {
    const auto rules = rules_of(valid_file);
    const auto& database = rules.databases.at(database_id{"orders-1"});
    CHECK_EQUAL(2U, database.members.size());
    CHECK_EQUAL(5, database.slots);
    const auto& read = rules.routes.at(route_id{"catalogue"});
    CHECK(read.max_age == 5s && read.open && read.idempotent && read.mode == access_mode::read);
    const auto& write = rules.routes.at(route_id{"print-order"});
    CHECK(!write.idempotent && write.ack == ack_mode::replica && write.mode == access_mode::write &&
          !write.max_age);
    const auto& limit = rules.limits.at(account_id{"school-shop"});
    CHECK(limit.limit == (rate_limit{50, 100}));
    CHECK(limit.origin == (rule_origin{"Sales", "contract 12: renewed"}));
    CHECK_EQUAL(6, limit.origin.line);
    CHECK(rules.leaves.count(member_id{"127.0.0.1:6002"}) == 1);
}

TEST(valid_rules_file, round_trips_through_format_rules) {
    citronlug::testing::check_property("parse(format(rules)) == rules", [] {
        const auto rules = gen_rules();
        const auto parsed = parse_rules(format_rules(rules));
        RC_ASSERT(std::holds_alternative<rule_set>(parsed));
        RC_ASSERT(std::get<rule_set>(parsed) == rules);
        RC_ASSERT(difference(rules, std::get<rule_set>(parsed)).empty());
    });
}

TEST(valid_rules_file, results_from_applying_a_difference) {
    citronlug::testing::check_property("before + difference(before, after) == after", [] {
        const auto before = gen_rules();
        const auto after = gen_rules();
        const auto parsed = parse_rules(apply_difference(before, difference(before, after)));
        RC_ASSERT(std::holds_alternative<rule_set>(parsed));
        RC_ASSERT(std::get<rule_set>(parsed) == after);
    });
}

TEST_GROUP_BASE(invalid_rules_file, TEST_GROUP_CppUTestGrouprules_file){};

// Guards against rules that cannot be traced to a requester and a reason.
TEST(invalid_rules_file, lacks_requester_or_reason) {
    CHECK(fails_at("limit a rate=1 burst=1", 23));
    CHECK(fails_at("limit a rate=1 burst=1  # contract 12", 25));
    CHECK(fails_at("limit a rate=1 burst=1  # : why", 25));
    CHECK(fails_at("limit a rate=1 burst=1  # Sales:  ", 25));
}

TEST(invalid_rules_file, has_bad_values) {
    CHECK(fails_at("limit a rate=fast burst=1  # A: b", 14));
    CHECK(fails_at("limit a rate=nan burst=1  # A: b", 14));
    CHECK(fails_at("limit a rate=-1 burst=1  # A: b", 14));
    CHECK(fails_at("limit a rate=1 burst=0.5  # A: b", 22));
    CHECK(fails_at("route r database=d mode=read max-age=5  # A: b", 38));
    CHECK(fails_at("route r database=d mode=read max-age=5h  # A: b", 38));
    CHECK(fails_at("route r database=d mode=read max-age=0s  # A: b", 38));
    CHECK(fails_at("route r database=d mode=delete  # A: b", 25));
    CHECK(fails_at("leave server=backend-1:5432  # A: b", 14));
    CHECK(fails_at("leave server=127.0.0.1:70000  # A: b", 14));
    CHECK(fails_at("route r! database=d mode=read  # A: b", 7));
}

TEST(invalid_rules_file, has_bad_options) {
    CHECK(fails_at("routes r database=d mode=read  # A: b", 1));
    CHECK(fails_at("route database=d mode=read  # A: b", 6));
    CHECK(fails_at("route r database=d mode=read maxage=5s  # A: b", 30));
    CHECK(fails_at("route r database=d mode=read mode=read  # A: b", 30));
    CHECK(fails_at("limit a rate=1  # A: b", 15));
    CHECK(fails_at("limit a rate=1 burst=1 now  # A: b", 24));
    CHECK(fails_at(std::string{"limit a rate=1 burst=1  # A: b\x1b[2J"}, 31));
}

TEST(invalid_rules_file, has_inconsistent_rules) {
    CHECK(fails_at("route r database=e mode=read  # A: b", 18));
    CHECK(fails_at("route r database=d mode=read idempotent=no  # A: b", 41));
    CHECK(fails_at("route r database=d mode=write max-age=5s  # A: b", 39));
    CHECK(fails_at("route r database=d mode=write open=yes  # A: b", 36));
    CHECK(fails_at("leave server=127.0.0.1:9  # A: b", 7));
    CHECK(fails_at("database d cell=c members=127.0.0.1:3  # A: b", 10));
    CHECK(fails_at("database e cell=c members=127.0.0.1:1  # A: b", 10));
    CHECK(fails_at("database e cell=c members=127.0.0.1:3 slots=9 connections=12  # A: b", 59));
    CHECK(fails_at("database e cell=c members=127.0.0.1:3 domains=x,y  # A: b", 47));
    CHECK_EQUAL(1U, errors_of("limit a rate=1 burst=1 # A: b\nlimit a rate=2 burst=1 # A: b").size());
    CHECK_EQUAL(
        1U,
        errors_of("database e cell=c members=127.0.0.1:3 # A: b\nleave server=127.0.0.1:3 # A: b").size());
}

// Guards against a file that is partly applied, and against errors that are not reported.
TEST(invalid_rules_file, reports_every_invalid_line) {
    citronlug::testing::check_property("bad lines are all reported", [] {
        const auto bad_lines = std::vector<std::string>{"limit", "route x", "leave server=", "databse d",
                                                        "limit z rate=1 burst=1"};
        auto in = std::istringstream{format_rules(gen_rules())};
        auto text = std::string{};
        auto expected = std::set<int>{};
        auto number = 0;
        for (auto line = std::string{}; std::getline(in, line);) {
            if (*rc::gen::inRange(0, 3) == 0) {
                text += *rc::gen::elementOf(bad_lines) + "\n";
                expected.insert(++number);
            }
            text += line + "\n";
            ++number;
        }
        RC_PRE(!expected.empty());
        const auto parsed = parse_rules(text);
        RC_ASSERT(std::holds_alternative<std::vector<rule_error>>(parsed));
        for (const auto& it : std::get<std::vector<rule_error>>(parsed)) {
            RC_ASSERT(it.line >= 1 && it.line <= number && it.column >= 1);
            expected.erase(it.line);
        }
        RC_ASSERT(expected.empty());
    });
}

TEST_GROUP_BASE(configuration_object, citronlug::testing::test_base){};

// Guards against fields that are lost in serialization.
TEST(configuration_object, round_trips_through_json) {
    citronlug::testing::check_property("configuration round trip", [] {
        auto config = initial_configuration();
        config.rules = gen_rules();
        config.rules_text = format_rules(config.rules);
        config.keys = {issue_key(account_id{"a1"}, "Sales").entry, issue_key(account_id{"a2"}, "Web").entry};
        config.keys[0].state = *rc::gen::element(key_state::valid, key_state::revoked);
        for (auto n = 0, count = *rc::gen::inRange(1, 25); n < count; ++n) {
            record_change(config, {}, "aino", "summary", n);
        }
        config.version = *rc::gen::inRange<std::uint64_t>(1, 1ULL << 62U);
        config.history.back().version = config.version;
        RC_ASSERT(config.history.size() <= max_history_entries);
        const auto parsed = parse_configuration(to_json(config), config.version);
        RC_ASSERT(succeeded(parsed));
        RC_ASSERT(std::get<configuration>(parsed) == config);
    });
}

TEST(configuration_object, rejects_malformed_text) {
    CHECK(!succeeded(parse_configuration("", 1)));
    CHECK(!succeeded(parse_configuration("{}", 1)));
    const auto text = to_json(initial_configuration());
    CHECK(succeeded(parse_configuration(text, 1)));
    CHECK(!succeeded(parse_configuration(text.substr(0, text.size() / 2), 1)));
    auto config = initial_configuration();
    config.rules_text = "limit a";
    CHECK(!succeeded(parse_configuration(to_json(config), 1)));
}
