#pragma once

#include <citronlug/cell_record.h>
#include <citronlug/rules.h>
#include <citronlug/types.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace citronlug {

/// Number of client account groups per cell. The accountant role is assigned per group rather than per client
/// account, because the cell record is sent to every member on each change and would otherwise grow with the
/// number of client accounts: 800 accounts made a record of 110 KB.
inline constexpr std::uint64_t account_groups = 16;

/// Hash with the same value on all instances and in all versions of the program.
[[nodiscard]] auto stable_hash(std::string_view text) -> std::uint64_t;

/// Accountant role for a client account, named "<cell>/<group>". A hash of the account selects the cell from
/// the sorted cell names in the rules; `std::nullopt` if the rules name no cell.
[[nodiscard]] auto accountant_role(const account_id& account, const rule_set& rules)
    -> std::optional<role_id>;

/// All accountant roles of a cell.
[[nodiscard]] auto accountant_roles(const cell_id& cell) -> std::vector<role_id>;

/// Cell that the name of an accountant role contains.
[[nodiscard]] auto cell_of_accountant(const role_id& role) -> cell_id;

} // namespace citronlug
