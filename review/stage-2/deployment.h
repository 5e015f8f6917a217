// A small deployment on loopback: three session instances, one service of three members, one client account.
#pragma once

#include "stage.h"

namespace stage {

struct deployment {
    platform_store store;
    std::unique_ptr<database_service> service;
    std::vector<std::unique_ptr<instance>> instances;

    explicit deployment(int sync_replicas, const std::vector<string>& names = {"front-a-1", "front-b-1", "front-c-1"}) {
        store.on_promotion = [this](const string& body, const string& holder, const string& token) {
            const auto at = body.find("\"Id\":\"") + 6;
            return service->promote(body.substr(at, body.find('"', at) - at), holder, token);
        };
        service = std::make_unique<database_service>(store, "hire1", sync_replicas);
        publish(1, sync_replicas);
        for (const auto& name : names) {
            auto it = std::make_unique<instance>();
            it->name = name;
            it->zone = "zone-" + name.substr(6, 1);
            it->store_port = store.open_address();
            instances.push_back(std::move(it));
        }
    }
    auto publish(int version, int sync_replicas) -> void {
        const auto route = [](const char* database, const char* type, int staleness) {
            return format("{\"Name\":\"r-%s\",\"DatabaseName\":\"%s\",\"PathPrefix\":\"/\",\"RouteType\":\"%s\","
                          "\"TimeoutMs\":1000,\"TargetLatencyMs\":200,\"Priority\":1,\"Service\":\"hire1\","
                          "\"MaxAttempts\":2,\"MaxStalenessMs\":%d,\"Public\":false}",
                          database, database, type, staleness);
        };
        store.put("config", "main",
                  format("{\"Version\":%d,\"Routes\":[%s,%s,%s],\"Services\":[{\"Name\":\"hire1\",\"HealthCheckPath\":"
                         "\"/healthz\",\"MaxConnections\":39,\"Protocol\":\"h1\",\"Tls\":false,\"SyncReplicas\":%d}],"
                         "\"Limits\":{\"TxIdleMs\":3000},\"Tenants\":[{\"Name\":\"nypu920\",\"ApiKeys\":[\"u6wsjnba\"],"
                         "\"Priority\":1,\"RatePerS\":142,\"Burst\":142}]}",
                         version, route("bookings", "primary", 0).c_str(),
                         route("stock", "bounded_staleness", 1500).c_str(),
                         route("accounts", "read_your_writes", 2500).c_str(), sync_replicas));
    }
    auto start() -> void {
        for (auto& it : instances) {
            it->start();
        }
        for (auto& it : instances) {
            it->wait_ready();
        }
        for (const auto until = steady::now() + 15s; coordinator() == nullptr || primary_record().empty(); pause(50ms)) {
            if (steady::now() > until) {
                cannot_run("no coordinator");
            }
        }
        pause(3s); // limits are handed out, and the primary is known everywhere
    }
    /// The instance that the lease in the store names.
    auto coordinator() -> instance* {
        const auto lease = store.get("citronlug-duty", "duty");
        for (auto& it : instances) {
            if (lease.find("\"holder\":\"" + it->name + "\"") != string::npos) {
                return it.get();
            }
        }
        return nullptr;
    }
    auto primary_record() -> string { return store.get("citronlug-primaries", "group-" + service->name()); }
};

} // namespace stage
