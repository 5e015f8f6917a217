#include "fleet_link.h"

namespace citronlug {

fleet_link::fleet_link(instance_id self, std::string own_address, report_handler serve)
    : self_{std::move(self)}
    , own_address_{std::move(own_address)}
    , serve_{std::move(serve)} {}

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
        tasks_.post([this, report = std::move(report), done = std::move(done)] { done(serve_(report)); });
    };
    rpc_ = std::make_unique<peer_rpc>(self_, secret, std::move(services));
    rpc_->listen(own_address_);
}

auto fleet_link::report(const std::string& address, const instance_report& report, answer_handler done) -> void {
    if (address == own_address_) {
        tasks_.post([this, report, done = std::move(done)] { done(serve_(report)); });
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

} // namespace citronlug
