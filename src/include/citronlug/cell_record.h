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
    incarnation run = 0;       ///< latest incarnation that joined under this id
    std::string peer_address;  ///< "host:port" of the peer RPC
    std::string admin_address; ///< "host:port" of the administration API
    failure_domain domain;
    std::uint64_t renewals = 0; ///< incremented by each write of this member, so by each lease renewal
    bool leaving = false;       ///< set by the member; it is assigned no roles until it restarts

    auto operator==(const cell_member&) const -> bool = default;
};

/// Kind of object that a role serves.
enum class role_kind { database, account };

template <>
struct name_table<role_kind> {
    static constexpr std::array<std::string_view, 2> names{"database", "account"};
};

/// Exclusive responsibility for one database or client account.
struct role_id {
    role_kind kind = role_kind::database;
    std::string name; ///< name of the database or client account

    auto operator<=>(const role_id&) const = default;
};

/// Assignment of a role.
struct role_entry {
    instance_id holder;     ///< empty if the role is vacant
    incarnation run = 0;    ///< incarnation of the holder
    epoch_number epoch = 0; ///< incremented by each assignment
    instance_id standby;    ///< first candidate for a takeover

    auto operator==(const role_entry&) const -> bool = default;
};

/// Agreed state of a cell. Stored as one JSON object, so that one conditional update covers both the lease
/// entry of a member and the roles that the lease protects.
struct cell_record {
    std::uint64_t version = 0;                  ///< version of the store object; 0: not created yet
    std::uint64_t table_version = 1;            ///< incremented when a member is added or removed
    std::map<std::string, cell_member> members; ///< by instance id
    std::map<role_id, role_entry> roles;

    auto operator==(const cell_record&) const -> bool = default;
};

/// JSON text of the record without `version`, which the store maintains.
[[nodiscard]] auto to_json(const cell_record& record) -> std::string;
/// Parses the JSON text. Fails with `bad_request` if it is malformed.
[[nodiscard]] auto parse_cell_record(const std::string& text, std::uint64_t version) -> result<cell_record>;

} // namespace citronlug
