#include "fleet_link.h"

#include <citronlug/compressed_text.h>

namespace citronlug {

fleet_link::fleet_link(instance_id self, std::string own_address, handlers on)
    : self_{std::move(self)}
    , own_address_{std::move(own_address)}
    , on_{std::move(on)} {}

fleet_link::~fleet_link() {
    if (rpc_) {
        rpc_->stop();
    }
}

auto fleet_link::start(const std::string& secret) -> void {
    if (rpc_ || secret.empty()) {
        return;
    }
    auto services = peer_services{};
    services.report = [this](instance_report report, std::function<void(report_answer)> done) {
        tasks_.post([this, report = std::move(report), done = std::move(done)] { done(on_.report(report)); });
    };
    services.announce = [this](const coordinator_lease& lease) {
        tasks_.post([this, lease] { on_.announce(lease); });
    };
    services.fetch_config = [this](std::uint64_t version) {
        const auto lock = std::lock_guard{mutex_};
        return rules_.records.version > version ? make_reply(rules_) : config_reply{};
    };
    services.fetch_servers = [this] {
        const auto lock = std::lock_guard{mutex_};
        return make_reply(servers_);
    };
    rpc_ = std::make_unique<peer_rpc>(self_, secret, std::move(services));
    rpc_->listen(own_address_);
}

auto fleet_link::make_reply(offered_records& from) -> config_reply {
    if (from.compressed.empty()) {
        from.compressed = compress_text(from.records.value);
    }
    return {from.records.version, from.records.value, from.records.basis, from.compressed};
}

auto fleet_link::report(const std::string& address, const instance_report& report, answer_handler done)
    -> void {
    if (address == own_address_) {
        tasks_.post([this, report, done = std::move(done)] { done(on_.report(report)); });
        return;
    }
    if (!rpc_) {
        done(std::nullopt);
        return;
    }
    rpc_->report(address, report, [this, done = std::move(done)](std::optional<report_answer> answer) {
        tasks_.post([done, answer = std::move(answer)] { done(answer); });
    });
}

auto fleet_link::announce(const std::string& address, const coordinator_lease& lease) -> void {
    if (rpc_ && address != own_address_) {
        rpc_->announce(address, lease);
    }
}

auto fleet_link::set_servers(record_text servers) -> void {
    const auto lock = std::lock_guard{mutex_};
    servers_ = {std::move(servers), {}};
}

auto fleet_link::set_rules(record_text rules) -> void {
    const auto lock = std::lock_guard{mutex_};
    rules_ = {std::move(rules), {}};
}

auto fleet_link::fetch_rules(const std::string& address, std::uint64_t version, fetch_handler done) -> void {
    if (!rpc_ || address == own_address_) {
        done(std::nullopt);
        return;
    }
    rpc_->fetch_config(address, version, deliver_to(std::move(done)));
}

auto fleet_link::fetch_servers(const std::string& address, fetch_handler done) -> void {
    if (!rpc_ || address == own_address_) {
        done(std::nullopt);
        return;
    }
    rpc_->fetch_servers(address, deliver_to(std::move(done)));
}

auto fleet_link::deliver_to(fetch_handler done) -> std::function<void(const std::optional<config_reply>&)> {
    return [this, done = std::move(done)](const std::optional<config_reply>& reply) {
        auto found =
            reply ? std::optional{record_text{reply->version, reply->text, reply->basis}} : std::nullopt;
        tasks_.post([done, found = std::move(found)] { done(found); });
    };
}

} // namespace citronlug
