#include "account_groups.h"
#include "control_plane_impl.h"

#include <algorithm>

#include <fmt/format.h>

namespace citronlug {

namespace {

constexpr auto timer_interval_ms = 100;
/// Interval at which this instance announces itself and, while the instance list is short, reads that list.
constexpr auto announce_interval = 3s;
/// Approximate size of one list entry. The list has an entry for each instance of the fleet, so the read
/// interval grows with its length to keep the traffic of each instance within the budget.
constexpr auto list_entry_bytes = 150;
constexpr auto list_budget_bytes_per_s = 500;
/// How long the result of a currency check stays valid, so that a process resumed after a pause does not act
/// on an outdated one.
constexpr auto config_check_validity = 300ms;
constexpr auto standby_interval = 500ms;
/// Minimum interval between lookups of the same role in another cell.
constexpr auto remote_lookup_interval = 100ms;

auto since_epoch(time_point time) -> std::int64_t {
    return time.time_since_epoch().count();
}

auto role_event(const char* kind, const role_id& role, epoch_number epoch) -> timeline_event {
    auto event = timeline_event{};
    event.kind = kind;
    event.detail = fmt::format("{} {} epoch {}", name_of(role.kind), role.name, epoch);
    if (role.kind == role_kind::database) {
        event.database = database_id{role.name};
    }
    return event;
}

auto is_answer(const peer_message& message) -> bool {
    return std::holds_alternative<heartbeat_answer>(message) ||
           std::holds_alternative<promise_answer>(message) || std::holds_alternative<table_answer>(message) ||
           std::holds_alternative<record_answer>(message);
}

} // namespace

auto list_read_interval(std::size_t instances) -> duration {
    const auto by_budget = duration{1s} * static_cast<std::int64_t>(instances) * list_entry_bytes;
    // The minimum is half the announce interval, so that a short list is read with every announcement.
    return std::max<duration>(announce_interval - announce_interval / 2, by_budget / list_budget_bytes_per_s);
}

auto shard_index(const database_id& database, std::size_t shards) -> std::size_t {
    return stable_hash(database.value) % shards;
}

control_plane::control_plane(const process_settings& settings, incarnation own_incarnation, peer_rpc*& peers,
                             std::vector<std::unique_ptr<holder_shard>>& shards, event_sink events,
                             std::function<hybrid_time()> hybrid_now)
    : settings_{settings}
    , incarnation_{own_incarnation}
    , peers_{peers}
    , shards_{shards}
    , events_{std::move(events)}
    , hybrid_now_{std::move(hybrid_now)}
    , view_{std::make_shared<const control_view>()}
    , thread_{"control"} {}

control_plane::~control_plane() {
    stop();
}

auto control_plane::start(std::function<void()> on_view_change) -> void {
    on_view_change_ = std::move(on_view_change);
    thread_.run([this] {
        impl_ = std::make_unique<impl>(settings_, incarnation_);
        QObject::connect(&impl_->timer, &QTimer::timeout, &impl_->timer, [this] { on_timer(); });
        impl_->timer.start(timer_interval_ms);
        on_timer();
    });
}

auto control_plane::stop() -> void {
    if (impl_) {
        thread_.run([this] { impl_.reset(); });
    }
    thread_.stop();
}

auto control_plane::view() const -> std::shared_ptr<const control_view> {
    const auto lock = std::lock_guard{view_mutex_};
    return view_;
}

auto control_plane::authority_until() const -> time_point {
    return time_point{duration{authority_until_.load()}};
}

auto control_plane::config_current_until() const -> time_point {
    return time_point{duration{config_current_until_.load()}};
}

auto control_plane::locate(const role_id& role) const -> std::optional<role_location> {
    const auto now = view();
    const auto it = now->roles.find(role);
    return it == now->roles.end() ? std::nullopt : std::optional{it->second};
}

auto control_plane::on_timer() -> void {
    const auto now = clock_now();
    impl_->node.on_timer(now);
    if (now >= impl_->next_announcement) {
        impl_->next_announcement = now + announce_interval;
        refresh_instance_list();
    }
    propagate_config();
    if (now >= impl_->next_standby_update) {
        impl_->next_standby_update = now + standby_interval;
        update_standby();
    }
    after_event();
}

auto control_plane::after_event() -> void {
    auto& it = *impl_;
    for (auto actions = it.node.take_actions(); !actions.empty(); actions = it.node.take_actions()) {
        for (const auto& action : actions) {
            perform_action(action);
        }
    }
    const auto now = clock_now();
    const auto authority = it.node.authority_until();
    authority_until_ = since_epoch(authority);
    const auto majority = it.node.has_majority(now);
    majority_ = majority;
    const auto current =
        it.propagation.is_current(now, majority) ? now + config_check_validity : time_point{};
    config_current_until_ = since_epoch(current);
    handed_over_ = it.leaving && it.node.handed_over();
    const auto live = it.node.live_members(now).size();
    const auto record = it.node.record().version;
    const auto serving = it.propagation.may_serve(now, it.node.record());
    it.view_dirty = it.view_dirty || serving != it.serving;
    it.serving = serving;
    if (it.view_dirty || live != it.published_live_count || record != it.published_record_version) {
        it.published_live_count = live;
        it.published_record_version = record;
        it.view_dirty = false;
        publish();
    }
}

auto control_plane::perform_action(const cell_action& action) -> void {
    auto& it = *impl_;
    if (const auto* get = std::get_if<store_get>(&action)) {
        it.store.get(get->key, [this, call = get->call](store_reply reply) {
            impl_->node.on_store_reply(clock_now(), call, std::move(reply));
            after_event();
        });
    } else if (const auto* put = std::get_if<store_put>(&action)) {
        it.store.put(put->key, put->value, put->expected_version,
                     [this, call = put->call](store_reply reply) {
                         impl_->node.on_store_reply(clock_now(), call, std::move(reply));
                         after_event();
                     });
    } else if (const auto* send = std::get_if<send_peer>(&action)) {
        if (send->to == it.current_sender && is_answer(send->message)) {
            it.replies.push_back(send->message);
        } else {
            peers_->send_cell_message(send->address, send->message, hybrid_now_());
        }
    } else if (const auto* gained = std::get_if<role_gained>(&action)) {
        role_changed(*gained);
    } else if (const auto* lost = std::get_if<role_lost>(&action)) {
        role_changed(*lost);
    } else if (const auto* event = std::get_if<cell_event>(&action)) {
        events_({.kind = event->kind, .detail = event->detail});
    }
}

auto control_plane::settings_of(const database_id& database) const -> std::optional<database_settings> {
    if (!impl_->config) {
        return std::nullopt;
    }
    const auto& rules = impl_->config->config.rules;
    const auto rule = rules.databases.find(database);
    if (rule == rules.databases.end()) {
        return std::nullopt;
    }
    auto settings = database_settings{};
    settings.database = database;
    settings.members = rule->second.members;
    settings.member_domains = rule->second.domains;
    settings.slots = rule->second.slots;
    settings.connections = rule->second.connections;
    settings.read_policy = settings_.read_policy;
    settings.queue_policy = settings_.queue_policy;
    settings.promotion_policy = settings_.promotion_policy;
    for (const auto& member : settings.members) {
        if (rules.leaves.contains(member)) {
            settings.leaving.push_back(member);
        }
    }
    return settings;
}

auto control_plane::shard_of(const database_id& database) -> holder_shard& {
    return *shards_[shard_index(database, shards_.size())];
}

auto control_plane::role_changed(const role_gained& role) -> void {
    auto& it = *impl_;
    it.held_roles[role.role] = role.epoch;
    it.view_dirty = true;
    events_(role_event("role-gained", role.role, role.epoch));
    if (role.role.kind == role_kind::account) {
        remove_accountants(role.role);
        sync_accountants();
        return;
    }
    const auto database = database_id{role.role.name};
    if (const auto settings = settings_of(database)) {
        shard_of(database).hold(*settings, role.epoch);
    }
}

auto control_plane::role_changed(const role_lost& role) -> void {
    auto& it = *impl_;
    it.held_roles.erase(role.role);
    it.view_dirty = true;
    events_(role_event("role-lost", role.role, role.epoch));
    if (role.role.kind == role_kind::account) {
        remove_accountants(role.role);
        return;
    }
    const auto database = database_id{role.role.name};
    shard_of(database).release(database);
}

auto control_plane::sync_accountants() -> void {
    auto& it = *impl_;
    if (!it.config) {
        return;
    }
    const auto& rules = it.config->config.rules;
    for (const auto& [account, rule] : rules.limits) {
        const auto role = accountant_role(account, rules);
        const auto found = it.accountants.find(account);
        if (!role || !it.held_roles.contains(*role)) {
            it.accountants.erase(account);
        } else if (found != it.accountants.end()) {
            found->second.set_limit(clock_now(), rule.limit);
        } else {
            it.accountants.emplace(account, token_bucket{rule.limit, clock_now()});
        }
    }
    std::erase_if(it.accountants, [&rules](const auto& held) { return !rules.limits.contains(held.first); });
}

auto control_plane::remove_accountants(const role_id& group) -> void {
    const auto& rules = impl_->config->config.rules;
    std::erase_if(impl_->accountants,
                  [&](const auto& held) { return accountant_role(held.first, rules) == group; });
}

auto control_plane::update_standby() -> void {
    auto& it = *impl_;
    auto standby = std::vector<std::vector<database_settings>>(shards_.size());
    for (const auto& role : it.cell_roles) {
        if (role.kind == role_kind::database && it.node.is_standby(role)) {
            if (auto settings = settings_of(database_id{role.name})) {
                standby[shard_index(settings->database, shards_.size())].push_back(std::move(*settings));
            }
        }
    }
    for (auto n = std::size_t{0}; n < shards_.size(); ++n) {
        shards_[n]->set_standby(standby[n]);
    }
}

auto control_plane::refresh_instance_list() -> void {
    auto& it = *impl_;
    const auto now = clock_now();
    const auto self = listed_instance{settings_.instance,      settings_.cell,   settings_.peer_address,
                                      settings_.admin_address, settings_.domain, it.leaving};
    it.store.announce(self, [](bool) {});
    if (now < it.next_list_read) {
        return;
    }
    it.next_list_read = now + list_read_interval(it.listed_instances.size());
    it.store.instances([this](std::optional<std::vector<listed_instance>> list) {
        if (list) {
            impl_->listed_instances = *list;
            impl_->next_list_read = clock_now() + list_read_interval(list->size());
            impl_->node.on_instance_list(clock_now(), *list);
            after_event();
        }
    });
}

auto control_plane::resolve_remote_role(const role_id& role) -> void {
    thread_.post([this, role] {
        const auto now = clock_now();
        if (!impl_ || !impl_->config || impl_->cell_roles.contains(role)) {
            return;
        }
        auto& it = *impl_;
        auto& known = it.remote_roles[role];
        if (known.requested_at != time_point{} && now - known.requested_at < remote_lookup_interval) {
            return;
        }
        known.requested_at = now;
        const auto& rules = it.config->config.rules;
        auto cell = std::optional{cell_of_accountant(role)};
        if (role.kind == role_kind::database) {
            const auto rule = rules.databases.find(database_id{role.name});
            cell = rule == rules.databases.end() ? std::nullopt : std::optional{rule->second.cell};
        }
        if (!cell || *cell == settings_.cell) {
            it.remote_roles.erase(role);
            return;
        }
        auto addresses = std::vector<std::string>{};
        for (const auto& listed : it.listed_instances) {
            if (listed.cell == *cell && !listed.leaving) {
                addresses.push_back(listed.peer_address);
            }
        }
        const auto seeds = settings_.other_cells.find(*cell);
        if (addresses.empty() && seeds != settings_.other_cells.end()) {
            addresses = seeds->second;
        }
        if (addresses.empty()) {
            return;
        }
        peers_->locate(addresses[it.random() % addresses.size()], role,
                       [this, role](std::optional<role_location> found) {
                           thread_.post([this, role, found = std::move(found)] {
                               if (!impl_ || !found) {
                                   return;
                               }
                               auto& known = impl_->remote_roles[role].location;
                               // A lagging instance may report an earlier holder; ignore older epochs.
                               if (!known || known->epoch < found->epoch) {
                                   known = found;
                                   impl_->view_dirty = true;
                                   after_event();
                               }
                           });
                       });
    });
}

auto control_plane::publish() -> void {
    auto& it = *impl_;
    auto next = std::make_shared<control_view>();
    next->config = it.config;
    for (const auto& role : it.cell_roles) {
        if (auto location = it.node.locate(role)) {
            next->roles.emplace(role, std::move(*location));
        }
    }
    for (const auto& [role, found] : it.remote_roles) {
        if (found.location) {
            next->roles.emplace(role, *found.location);
        }
    }
    next->live_instances = static_cast<std::uint32_t>(std::max<std::size_t>(1, it.published_live_count));
    next->serving = it.serving && it.config != nullptr;
    next->leaving = it.leaving;
    {
        const auto lock = std::lock_guard{view_mutex_};
        view_ = std::move(next);
    }
    on_view_change_();
}

auto control_plane::on_peer_message(peer_message message,
                                    std::function<void(std::vector<peer_message>)> reply) -> void {
    thread_.post([this, message = std::move(message), reply = std::move(reply)] {
        if (impl_) {
            impl_->current_sender = std::visit([](const auto& it) { return it.from; }, message);
            const auto now = clock_now();
            impl_->propagation.on_peer_message(now, message);
            impl_->node.on_peer_message(now, message);
            after_event();
            impl_->current_sender = instance_id{};
            if (reply) {
                reply(std::move(impl_->replies));
            }
            impl_->replies.clear();
        }
    });
}

auto control_plane::take_grant(const account_id& account, std::uint32_t wanted,
                               std::function<void(grant_reply)> done) -> void {
    thread_.post([this, account, wanted, done = std::move(done)] {
        const auto now = clock_now();
        const auto found =
            impl_ ? impl_->accountants.find(account) : decltype(impl_->accountants.find(account)){};
        if (!impl_ || found == impl_->accountants.end() || impl_->node.authority_until() <= now) {
            done(grant_reply{});
            return;
        }
        const auto tokens = found->second.take(now, wanted);
        done(grant_reply{true, tokens, tokens > 0 ? duration{} : found->second.wait_for_token(now)});
    });
}

auto control_plane::return_tokens(const account_id& account, std::uint32_t tokens, duration age) -> void {
    thread_.post([this, account, tokens, age] {
        if (!impl_) {
            return;
        }
        const auto found = impl_->accountants.find(account);
        if (found != impl_->accountants.end()) {
            const auto now = clock_now();
            found->second.return_unspent(now, now - age, tokens);
        }
    });
}

auto control_plane::announce_leaving() -> void {
    thread_.post([this] {
        impl_->leaving = true;
        impl_->view_dirty = true;
        refresh_instance_list();
        after_event();
    });
}

auto control_plane::hand_over() -> void {
    thread_.post([this] {
        impl_->node.start_leave(clock_now());
        after_event();
    });
}

auto control_plane::status(std::function<void(control_status)> done) -> void {
    thread_.post([this, done = std::move(done)] {
        auto& it = *impl_;
        const auto now = clock_now();
        auto found = control_status{};
        found.authority = it.node.authority_until() > now;
        found.majority = it.node.has_majority(now);
        found.store_answers = it.store.last_call_answered();
        found.record_version = it.node.record().version;
        for (const auto& [name, member] : it.node.record().members) {
            found.recorded_members.push_back(member);
        }
        for (const auto& member : it.node.live_members(now)) {
            found.live_members.push_back(member.instance);
        }
        for (const auto& role : it.cell_roles) {
            if (it.node.is_standby(role)) {
                found.standby_for.push_back(role);
            }
        }
        for (const auto& [account, bucket] : it.accountants) {
            found.accounts.push_back(account);
        }
        found.listed_instances = it.listed_instances;
        found.store_calls = it.store.calls();
        done(std::move(found));
    });
}

} // namespace citronlug
