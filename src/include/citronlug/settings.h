#pragma once

#include <citronlug/cell_node.h>
#include <citronlug/rate_limit.h>
#include <citronlug/types.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace citronlug {

/// Operator credential for the administration API. The settings contain only the hash of the token.
struct admin_credential {
    std::string name;       ///< recorded as the author of changes
    std::string token_hash; ///< SHA-256 of the token in hexadecimal
};

/// Limits on the connections and requests of callers.
struct caller_limits {
    int connections = 2000;
    int body_bytes = 1'000'000;
    int header_bytes = 16'384;
    duration idle = 60s; ///< a connection without a request is closed after this time
};

/// Settings of one process, read once at startup.
struct process_settings {
    instance_id instance;
    cell_id cell;
    std::string region;
    failure_domain domain;
    std::string caller_address; ///< numeric "IP:port", as all addresses here
    std::string peer_address;
    std::string admin_address;
    std::string store_address;
    std::vector<admin_credential> admin_tokens;
    std::string peer_secret; ///< shared by all instances; authenticates peers
    int shards = 2;          ///< holder threads
    caller_limits limits;
    lease_settings lease;
    std::string read_policy = "evidence";
    std::string queue_policy = "fair";
    std::string limit_policy = "granted";
    std::string promotion_policy = "advanced";
    /// Peer addresses of some instances (seeds) of each other cell.
    std::map<cell_id, std::vector<std::string>> other_cells;
};

/// Error in the settings.
struct setting_error {
    std::string path; ///< for example "limits.connections" or "admin_tokens[1].sha256"
    std::string message;
    std::string accepted; ///< accepted values
};

/// Names of the available policies.
struct policy_names {
    std::vector<std::string> read{"evidence", "primary"};
    std::vector<std::string> queue{"fair", "fifo"};
    std::vector<std::string> limit{"granted", "static_share"};
    std::vector<std::string> promotion{"advanced"};
};

/// Parses the settings. Reports all errors at once; unknown fields are errors.
[[nodiscard]] auto parse_settings(const std::string& text, const policy_names& policies = {})
    -> std::variant<process_settings, std::vector<setting_error>>;

/// "limits.connections: MESSAGE; accepted: VALUES"
[[nodiscard]] auto format_error(const setting_error& error) -> std::string;

} // namespace citronlug
