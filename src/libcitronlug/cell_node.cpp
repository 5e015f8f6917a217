#include "cell_node_impl.h"

#include <algorithm>

namespace citronlug {

cell_node::implementation::implementation(cell_id cell, cell_member self, lease_settings settings,
                                          std::uint64_t seed, time_point now)
    : cell_{std::move(cell)}
    , self_{std::move(self)}
    , settings_{settings}
    , random_{seed}
    , started_{now}
    , now_{now}
    , table_since_{now}
    , next_heartbeat_{now}
    , next_store_call_{now}
    , last_store_success_{now - 1h}
    , last_renewal_{now - 1h}
    , roles_changed_{now}
    , confirmation_requested_at_{now - 1h}
    , record_requested_at_{now - 1h} {}

auto cell_node::implementation::on_timer(time_point now) -> void {
    advance_clock(now);
    if (superseded_) {
        return;
    }
    if (now >= next_heartbeat_) {
        send_heartbeats(now);
    }
    check_holders(now);
    request_confirmation(now);
    plan_rebalance(now);
    advance_store_calls(now);
}

auto cell_node::implementation::on_peer_message(time_point now, const peer_message& message) -> void {
    advance_clock(now);
    if (!superseded_) {
        std::visit([&](const auto& it) { on_message(now, it); }, message);
    }
}

auto cell_node::implementation::on_instance_list(time_point now, const std::vector<listed_instance>& list)
    -> void {
    advance_clock(now);
    listed_.clear();
    for (const auto& it : list) {
        if (it.cell == cell_) {
            listed_.emplace(it.instance.value, it);
        }
    }
}

auto cell_node::implementation::set_roles(time_point now, std::vector<role_id> roles) -> void {
    advance_clock(now);
    std::sort(roles.begin(), roles.end());
    roles_ = std::move(roles);
    advance_store_calls(now);
}

auto cell_node::implementation::start_leave(time_point now) -> void {
    advance_clock(now);
    if (!leaving_) {
        leaving_ = true;
        emit_event("leaving", self_.instance.value);
    }
    while (!held_roles_.empty()) {
        stop_role(held_roles_.begin()->first);
    }
    advance_store_calls(now);
}

auto cell_node::implementation::handed_over() const -> bool {
    return leaving_ && held_roles_.empty() && store_phase_ != store_phase::writing &&
           std::none_of(record_.roles.begin(), record_.roles.end(),
                        [&](const auto& it) { return is_own(it.second); });
}

auto cell_node::implementation::locate(const role_id& role) const -> std::optional<role_location> {
    const auto it = record_.roles.find(role);
    if (it == record_.roles.end() || it->second.holder.empty()) {
        return std::nullopt;
    }
    const auto member = record_.members.find(it->second.holder.value);
    if (member == record_.members.end() || member->second.run != it->second.run) {
        return std::nullopt;
    }
    return role_location{it->second.holder, member->second.peer_address, it->second.epoch};
}

auto cell_node::implementation::is_standby(const role_id& role) const -> bool {
    const auto it = record_.roles.find(role);
    return it != record_.roles.end() && it->second.standby == self_.instance;
}

auto cell_node::implementation::own_member() const -> const cell_member* {
    const auto it = record_.members.find(self_.instance.value);
    return it != record_.members.end() && it->second.run == self_.run ? &it->second : nullptr;
}

auto cell_node::implementation::is_own(const role_entry& entry) const -> bool {
    return entry.holder == self_.instance && entry.run == self_.run;
}

auto cell_node::implementation::address_of(const instance_id& id) const -> std::string {
    if (const auto it = record_.members.find(id.value); it != record_.members.end()) {
        return it->second.peer_address;
    }
    const auto it = listed_.find(id.value);
    return it != listed_.end() ? it->second.peer_address : std::string{};
}

auto cell_node::implementation::send(const instance_id& to, peer_message message) -> void {
    actions_.emplace_back(send_peer{to, address_of(to), std::move(message)});
}

auto cell_node::implementation::emit_event(std::string kind, std::string detail) -> void {
    actions_.emplace_back(cell_event{std::move(kind), std::move(detail)});
}

cell_node::cell_node(cell_id cell, cell_member self, lease_settings settings, std::uint64_t seed,
                     time_point now)
    : impl_{std::make_unique<implementation>(std::move(cell), std::move(self), settings, seed, now)} {}
cell_node::~cell_node() = default;
cell_node::cell_node(cell_node&&) noexcept = default;
auto cell_node::operator=(cell_node&&) noexcept -> cell_node& = default;

auto cell_node::on_timer(time_point now) -> void {
    impl_->on_timer(now);
}
auto cell_node::on_store_reply(time_point now, std::uint64_t call, store_reply reply) -> void {
    impl_->on_store_reply(now, call, std::move(reply));
}
auto cell_node::on_peer_message(time_point now, const peer_message& message) -> void {
    impl_->on_peer_message(now, message);
}
auto cell_node::on_instance_list(time_point now, const std::vector<listed_instance>& list) -> void {
    impl_->on_instance_list(now, list);
}
auto cell_node::set_roles(time_point now, std::vector<role_id> roles) -> void {
    impl_->set_roles(now, std::move(roles));
}
auto cell_node::set_config_version(std::uint64_t version) -> void {
    impl_->set_config_version(version);
}
auto cell_node::start_leave(time_point now) -> void {
    impl_->start_leave(now);
}
auto cell_node::handed_over() const -> bool {
    return impl_->handed_over();
}
auto cell_node::authority_until() const -> time_point {
    return impl_->authority_until();
}
auto cell_node::has_majority(time_point now) const -> bool {
    return impl_->has_majority(now);
}
auto cell_node::locate(const role_id& role) const -> std::optional<role_location> {
    return impl_->locate(role);
}
auto cell_node::is_standby(const role_id& role) const -> bool {
    return impl_->is_standby(role);
}
auto cell_node::record() const -> const cell_record& {
    return impl_->record();
}
auto cell_node::peer_config_version() const -> std::uint64_t {
    return impl_->peer_config_version();
}
auto cell_node::live_members(time_point now) const -> std::vector<cell_member> {
    return impl_->live_members(now);
}
auto cell_node::take_actions() -> std::vector<cell_action> {
    return impl_->take_actions();
}

} // namespace citronlug
