#pragma once

#include <citronlug/outcome.h>
#include <citronlug/rate_limit.h>
#include <citronlug/request.h>
#include <citronlug/types.h>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citronlug {

/// Requester and reason of a rule, taken from its comment.
struct rule_origin {
    std::string requester;
    std::string reason;
    int line = 0;

    /// Ignores the line number, which changes when other rules are edited.
    auto operator==(const rule_origin& other) const -> bool {
        return requester == other.requester && reason == other.reason;
    }
};

struct database_rule {
    database_id database;
    cell_id cell;
    std::vector<member_id> members;
    std::vector<failure_domain> domains; ///< one per member in the same order, or empty
    int slots = 5;
    int connections = 35;
    rule_origin origin;

    auto operator==(const database_rule&) const -> bool = default;
};

struct route_rule {
    route_id route;
    database_id database;
    access_mode mode = access_mode::read;
    bool idempotent = true; ///< always true for reads
    ack_mode ack = ack_mode::primary;
    std::optional<duration> max_age; ///< maximum age of the data returned
    bool open = false;               ///< accessible without a key
    rule_origin origin;

    auto operator==(const route_rule&) const -> bool = default;
};

struct limit_rule {
    account_id account;
    rate_limit limit;
    rule_origin origin;

    auto operator==(const limit_rule&) const -> bool = default;
};

struct leave_rule {
    member_id server;
    rule_origin origin;

    auto operator==(const leave_rule&) const -> bool = default;
};

/// All rules of a file, indexed by name.
struct rule_set {
    std::map<database_id, database_rule> databases;
    std::map<route_id, route_rule> routes;
    std::map<account_id, limit_rule> limits;
    std::map<member_id, leave_rule> leaves;

    auto operator==(const rule_set&) const -> bool = default;
};

/// Error in a rules file.
struct rule_error {
    int line = 0;   ///< from 1
    int column = 0; ///< from 1
    std::string message;
    std::string accepted; ///< accepted syntax or values
};

/// Parses a rules file. Returns either all rules or the errors of every invalid line.
[[nodiscard]] auto parse_rules(const std::string& text) -> std::variant<rule_set, std::vector<rule_error>>;

/// Serializes rules so that `parse_rules` returns the same rules.
[[nodiscard]] auto format_rules(const rule_set& rules) -> std::string;

/// "line 3, column 7: MESSAGE; accepted: FORMS"
[[nodiscard]] auto format_error(const rule_error& error) -> std::string;

/// One line per added, removed or changed rule, prefixed with "+ ", "- " or "~ ". A changed rule is shown
/// as in `after`.
[[nodiscard]] auto difference(const rule_set& before, const rule_set& after) -> std::vector<std::string>;

} // namespace citronlug
