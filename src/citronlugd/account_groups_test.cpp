#include <citronlug/testing.h>

#include "account_groups.h"

using namespace citronlug;

TEST_GROUP_BASE(account_groups_of_cells, citronlug::testing::test_base) {
    rule_set rules;

    auto setup()->void override {
        for (const auto* name : {"c2", "c1", "c3"}) {
            auto rule = database_rule{};
            rule.database.value = std::string{"orders-"} + name;
            rule.cell.value = name;
            rules.databases.emplace(rule.database, rule);
        }
    }
};

// Guards against a client account whose role is not among the roles of its cell, so that no instance holds
// it.
TEST(account_groups_of_cells, each_account_belongs_to_a_role_of_its_cell) {
    citronlug::testing::check_property("role of an account", [this] {
        const auto account = account_id{*rc::gen::arbitrary<std::string>()};
        const auto role = accountant_role(account, rules);
        RC_ASSERT(role.has_value());
        const auto roles = accountant_roles(cell_of_accountant(*role));
        RC_ASSERT(std::count(roles.begin(), roles.end(), *role) == 1);
    });
}

// Guards against a skewed hash that puts the accounts of a cell into few groups and so loads few instances.
TEST(account_groups_of_cells, accounts_spread_over_all_groups_of_all_cells) {
    auto accounts = std::map<role_id, int>{};
    for (int n = 0; n < 4800; ++n) {
        ++accounts[*accountant_role(account_id{"account-" + std::to_string(n)}, rules)];
    }
    LONGS_EQUAL(3 * account_groups, accounts.size());
    for (const auto& [role, n] : accounts) {
        CHECK(n > 50 && n < 200);
    }
}

// Guards against a role that is assigned before the rules name a cell.
TEST(account_groups_of_cells, rules_without_cells_give_no_role) {
    CHECK(!accountant_role(account_id{"museum"}, rule_set{}).has_value());
}
