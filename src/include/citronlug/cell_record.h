#pragma once

#include <citronlug/outcome.h>
#include <citronlug/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronlug {

/// One instance in the table of a cell.
struct cell_member {
    instance_id instance;
    incarnation run = 0;       ///< incarnation that last joined under this id
    std::string peer_address;  ///< "host:port" of the peer RPC
    std::string admin_address; ///< "host:port" of the administration API
    failure_domain domain;
    std::uint64_t renewals = 0; ///< raised by each write of this member, so by each renewal of its lease
    bool leaving = false;       ///< announced by the member; it gets no more roles until it starts again

    auto operator==(const cell_member&) const -> bool = default;
};

/// What a role is about.
enum class role_kind { database, account };

template <>
struct name_table<role_kind> {
    static constexpr std::array<std::string_view, 2> names{"database", "account"};
};

struct role_id {
    role_kind kind = role_kind::database;
    std::string name; ///< database or client account

    auto operator<=>(const role_id&) const = default;
};

/// Who fills an exclusive role.
struct role_entry {
    instance_id holder;
    incarnation run = 0; ///< incarnation of the holder
    epoch_number epoch = 0;
    instance_id standby;

    auto operator==(const role_entry&) const -> bool = default;
};

/// Everything that a cell agrees on. Stored as one JSON object, so that one conditional update covers
/// both the lease entry of a member and the roles that it guards.
struct cell_record {
    std::uint64_t version = 0;       ///< version of the store's object; 0 means it does not exist yet
    std::uint64_t table_version = 1; ///< grows with each change of the set of members
    std::map<std::string, cell_member> members; ///< by instance id
    std::map<role_id, role_entry> roles;

    auto operator==(const cell_record&) const -> bool = default;
};

/// JSON text of the record without `version`, which the store keeps.
[[nodiscard]] auto to_json(const cell_record& record) -> std::string;
/// Reads the JSON text. Fails with `bad_request` if it is malformed.
[[nodiscard]] auto parse_cell_record(const std::string& text, std::uint64_t version) -> result<cell_record>;

} // namespace citronlug
