#pragma once

#include "administration.h"

#include <citronlug/settings.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace citronlug {

/// A parsed HTTP request to the administration API.
struct admin_request {
    std::string method;
    std::string path;                         ///< without query, percent-decoded
    std::map<std::string, std::string> query; ///< parameters, percent-decoded
    std::string authorization;                ///< value of the Authorization header
    std::string body;
};

struct admin_response {
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
};

/// Administration API, version 1, under /admin/v1. Not thread-safe: all calls must be made on the thread of
/// the HTTP server. Must outlive its pending calls to `administration`.
class admin_api {
public:
    using reply = std::function<void(admin_response)>;

    admin_api(administration& daemon, std::vector<admin_credential> credentials);
    ~admin_api();
    admin_api(const admin_api&) = delete;
    auto operator=(const admin_api&) -> admin_api& = delete;

    /// Handles the request; calls `done` exactly once, possibly before returning.
    auto handle(const admin_request& request, reply done) -> void;

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace citronlug
