#include "account_groups.h"

#include <fmt/format.h>

#include <iterator>
#include <set>

namespace citronlug {

namespace {

auto group_role(const cell_id& cell, std::uint64_t group) -> role_id {
    return role_id{role_kind::account, fmt::format("{}/{:02}", cell.value, group)};
}

} // namespace

auto stable_hash(std::string_view text) -> std::uint64_t {
    auto hash = std::uint64_t{14695981039346656037U}; // FNV-1a
    for (const auto c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
    }
    return hash;
}

auto accountant_role(const account_id& account, const rule_set& rules) -> std::optional<role_id> {
    auto cells = std::set<cell_id>{};
    for (const auto& [name, it] : rules.databases) {
        cells.insert(it.cell);
    }
    if (cells.empty()) {
        return std::nullopt;
    }
    const auto hash = stable_hash(account.value);
    const auto n = hash % cells.size();
    const auto& cell = *std::next(cells.begin(), static_cast<std::ptrdiff_t>(n));
    return group_role(cell, hash / cells.size() % account_groups);
}

auto accountant_roles(const cell_id& cell) -> std::vector<role_id> {
    auto roles = std::vector<role_id>{};
    for (std::uint64_t group = 0; group < account_groups; ++group) {
        roles.push_back(group_role(cell, group));
    }
    return roles;
}

auto cell_of_accountant(const role_id& role) -> cell_id {
    return cell_id{role.name.substr(0, role.name.find('/'))};
}

} // namespace citronlug
