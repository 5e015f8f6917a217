#pragma once

#include <citronlug/outcome.h>
#include <citronlug/types.h>

#include <map>
#include <string>
#include <vector>

namespace citronlug::bench {

struct instance_target {
    instance_id id;
    std::string caller_url; ///< "http://host:port"
    std::string admin_url;
    int pid = 0;
};

struct database_target {
    database_id id;
    std::string control_url; ///< of the stand-in group
    std::vector<std::string> members;
};

/// The running processes that a run addresses. Written by the start script.
struct cluster {
    std::vector<instance_target> instances;
    std::vector<database_target> databases;
    std::string store_url;
    std::string admin_token;
    std::map<account_id, std::string> keys;
};

/// Reads the JSON file of the start script.
[[nodiscard]] auto read_cluster(const std::string& path) -> result<cluster>;

} // namespace citronlug::bench
