#pragma once

#include <citronlug/cell_record.h>
#include <citronlug/rules.h>
#include <citronlug/types.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace citronlug {

/// Groups of client accounts per cell. The accountant's role is held per group, because the cell record,
/// which travels to each member at each change, would otherwise grow with the number of client accounts: 800
/// accounts made a record of 110 KB.
inline constexpr std::uint64_t account_groups = 16;

/// The same on all instances and in all versions of the program.
[[nodiscard]] auto stable_hash(std::string_view text) -> std::uint64_t;

/// Role of the accountant of a client account, "<cell>/<group>". The cell follows from a hash over the sorted
/// cell names of the rules; nothing if the rules name no cell.
[[nodiscard]] auto accountant_role(const account_id& account, const rule_set& rules)
    -> std::optional<role_id>;

/// All accountants' roles of a cell.
[[nodiscard]] auto accountant_roles(const cell_id& cell) -> std::vector<role_id>;

/// Cell in the name of an accountant's role.
[[nodiscard]] auto cell_of_accountant(const role_id& role) -> cell_id;

} // namespace citronlug
