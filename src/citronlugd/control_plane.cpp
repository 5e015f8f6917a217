#include "account_groups.h"
#include "control_plane_impl.h"

#include <algorithm>

#include <fmt/format.h>

namespace citronlug {

namespace {

constexpr auto timer_interval_ms = 100;
/// This instance is announced, and a short platform list read, at this interval.
constexpr auto listing_interval = 3s;
/// The list has about this many bytes per instance of the whole fleet. A long one is read more rarely, so
/// that reading it costs each instance no more than the budget, whatever the size of the fleet.
constexpr auto list_entry_bytes = 150;
constexpr auto list_budget_bytes_per_s = 500;
/// A judgement of the timer is used no longer than this, so that a paused process does not act on an old one.
constexpr auto judgement_life = 300ms;
constexpr auto standby_interval = 500ms;
/// Shortest time between two questions for a role of another cell.
constexpr auto remote_question_interval = 100ms;

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

auto list_interval(std::size_t instances) -> duration {
    const auto by_budget = duration{1s} * static_cast<std::int64_t>(instances) * list_entry_bytes;
    // Half an announcement's interval less, so that a short list is read with each announcement.
    return std::max<duration>(listing_interval - listing_interval / 2, by_budget / list_budget_bytes_per_s);
}

auto shard_index(const database_id& database, std::size_t shards) -> std::size_t {
    return stable_hash(database.value) % shards;
}

control_plane::control_plane(const process_settings& settings, incarnation run, peer_rpc*& peers,
                             std::vector<std::unique_ptr<holder_shard>>& shards, event_sink events,
                             std::function<hybrid_time()> stamp)
    : settings_{settings}
    , run_{run}
    , peers_{peers}
    , shards_{shards}
    , events_{std::move(events)}
    , stamp_{std::move(stamp)}
    , view_{std::make_shared<const control_view>()}
    , thread_{"control"} {}

control_plane::~control_plane() {
    stop();
}

auto control_plane::start(std::function<void()> on_change) -> void {
    on_change_ = std::move(on_change);
    thread_.run([this] {
        parts_ = std::make_unique<parts>(settings_, run_);
        QObject::connect(&parts_->timer, &QTimer::timeout, &parts_->timer, [this] { on_timer(); });
        parts_->timer.start(timer_interval_ms);
        on_timer();
    });
}

auto control_plane::stop() -> void {
    if (parts_) {
        thread_.run([this] { parts_.reset(); });
    }
    thread_.stop();
}

auto control_plane::view() const -> std::shared_ptr<const control_view> {
    const auto lock = std::lock_guard{guard_};
    return view_;
}

auto control_plane::authority_until() const -> time_point {
    return time_point{duration{authority_until_.load()}};
}

auto control_plane::config_current_until() const -> time_point {
    return time_point{duration{config_until_.load()}};
}

auto control_plane::locate(const role_id& role) const -> std::optional<role_location> {
    const auto now = view();
    const auto it = now->roles.find(role);
    return it == now->roles.end() ? std::nullopt : std::optional{it->second};
}

auto control_plane::on_timer() -> void {
    const auto now = clock_now();
    parts_->node.on_timer(now);
    if (now >= parts_->next_listing) {
        parts_->next_listing = now + listing_interval;
        refresh_listing();
    }
    spread_config();
    if (now >= parts_->next_standby) {
        parts_->next_standby = now + standby_interval;
        apply_roles();
    }
    after_event();
}

auto control_plane::after_event() -> void {
    auto& it = *parts_;
    for (auto actions = it.node.take_actions(); !actions.empty(); actions = it.node.take_actions()) {
        for (const auto& action : actions) {
            perform(action);
        }
    }
    const auto now = clock_now();
    const auto authority = it.node.authority_until();
    authority_until_ = since_epoch(authority);
    const auto majority = it.node.has_majority(now);
    majority_ = majority;
    const auto current = it.spread.is_current(now, majority) ? now + judgement_life : time_point{};
    config_until_ = since_epoch(current);
    handed_over_ = it.leaving && it.node.handed_over();
    const auto live = it.node.live_members(now).size();
    const auto record = it.node.record().version;
    const auto serving = it.spread.may_serve(now, it.node.record());
    it.dirty = it.dirty || serving != it.serving;
    it.serving = serving;
    if (it.dirty || live != it.seen_live || record != it.seen_record) {
        it.seen_live = live;
        it.seen_record = record;
        it.dirty = false;
        publish();
    }
}

auto control_plane::perform(const cell_action& action) -> void {
    auto& it = *parts_;
    if (const auto* get = std::get_if<store_get>(&action)) {
        it.store.get(get->key, [this, call = get->call](store_reply reply) {
            parts_->node.on_store_reply(clock_now(), call, std::move(reply));
            after_event();
        });
    } else if (const auto* put = std::get_if<store_put>(&action)) {
        it.store.put(put->key, put->value, put->expected_version,
                     [this, call = put->call](store_reply reply) {
                         parts_->node.on_store_reply(clock_now(), call, std::move(reply));
                         after_event();
                     });
    } else if (const auto* send = std::get_if<send_peer>(&action)) {
        if (send->to == it.reply_to && is_answer(send->message)) {
            it.replies.push_back(send->message);
        } else {
            peers_->send_cell_message(send->address, send->message, stamp_());
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
    if (!parts_->config) {
        return std::nullopt;
    }
    const auto& rules = parts_->config->config.rules;
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
    auto& it = *parts_;
    it.held[role.role] = role.epoch;
    it.dirty = true;
    events_(role_event("role-gained", role.role, role.epoch));
    if (role.role.kind == role_kind::account) {
        close_accounts(role.role);
        open_accounts();
        return;
    }
    const auto database = database_id{role.role.name};
    if (const auto settings = settings_of(database)) {
        shard_of(database).hold(*settings, role.epoch);
    }
}

auto control_plane::role_changed(const role_lost& role) -> void {
    auto& it = *parts_;
    it.held.erase(role.role);
    it.dirty = true;
    events_(role_event("role-lost", role.role, role.epoch));
    if (role.role.kind == role_kind::account) {
        close_accounts(role.role);
        return;
    }
    const auto database = database_id{role.role.name};
    shard_of(database).release(database);
}

auto control_plane::open_accounts() -> void {
    auto& it = *parts_;
    if (!it.config) {
        return;
    }
    const auto& rules = it.config->config.rules;
    for (const auto& [account, rule] : rules.limits) {
        const auto role = accountant_role(account, rules);
        const auto found = it.accountants.find(account);
        if (!role || !it.held.contains(*role)) {
            it.accountants.erase(account);
        } else if (found != it.accountants.end()) {
            found->second.set_limit(clock_now(), rule.limit);
        } else {
            it.accountants.emplace(account, token_bucket{rule.limit, clock_now()});
        }
    }
    std::erase_if(it.accountants, [&rules](const auto& held) { return !rules.limits.contains(held.first); });
}

auto control_plane::close_accounts(const role_id& group) -> void {
    const auto& rules = parts_->config->config.rules;
    std::erase_if(parts_->accountants,
                  [&](const auto& held) { return accountant_role(held.first, rules) == group; });
}

auto control_plane::apply_roles() -> void {
    auto& it = *parts_;
    auto standby = std::vector<std::vector<database_settings>>(shards_.size());
    for (const auto& role : it.roles) {
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

auto control_plane::refresh_listing() -> void {
    auto& it = *parts_;
    const auto now = clock_now();
    const auto self = listed_instance{settings_.instance,      settings_.cell,   settings_.peer_address,
                                      settings_.admin_address, settings_.domain, it.leaving};
    it.store.announce(self, [](bool) {});
    if (now < it.next_list_read) {
        return;
    }
    it.next_list_read = now + list_interval(it.listed.size());
    it.store.instances([this](std::optional<std::vector<listed_instance>> list) {
        if (list) {
            parts_->listed = *list;
            parts_->next_list_read = clock_now() + list_interval(list->size());
            parts_->node.on_instance_list(clock_now(), *list);
            after_event();
        }
    });
}

auto control_plane::look_up(const role_id& role) -> void {
    thread_.post([this, role] {
        const auto now = clock_now();
        if (!parts_ || !parts_->config || parts_->roles.contains(role)) {
            return;
        }
        auto& it = *parts_;
        auto& known = it.elsewhere[role];
        if (known.asked != time_point{} && now - known.asked < remote_question_interval) {
            return;
        }
        known.asked = now;
        const auto& rules = it.config->config.rules;
        auto cell = std::optional{cell_of_accountant(role)};
        if (role.kind == role_kind::database) {
            const auto rule = rules.databases.find(database_id{role.name});
            cell = rule == rules.databases.end() ? std::nullopt : std::optional{rule->second.cell};
        }
        if (!cell || *cell == settings_.cell) {
            it.elsewhere.erase(role);
            return;
        }
        auto addresses = std::vector<std::string>{};
        for (const auto& listed : it.listed) {
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
                               if (!parts_ || !found) {
                                   return;
                               }
                               auto& known = parts_->elsewhere[role].location;
                               // An instance that lags behind must not bring back an older holder.
                               if (!known || known->epoch < found->epoch) {
                                   known = found;
                                   parts_->dirty = true;
                                   after_event();
                               }
                           });
                       });
    });
}

auto control_plane::publish() -> void {
    auto& it = *parts_;
    auto next = std::make_shared<control_view>();
    next->config = it.config;
    for (const auto& role : it.roles) {
        if (auto location = it.node.locate(role)) {
            next->roles.emplace(role, std::move(*location));
        }
    }
    for (const auto& [role, found] : it.elsewhere) {
        if (found.location) {
            next->roles.emplace(role, *found.location);
        }
    }
    next->live_instances = static_cast<std::uint32_t>(std::max<std::size_t>(1, it.seen_live));
    next->serving = it.serving && it.config != nullptr;
    next->leaving = it.leaving;
    {
        const auto lock = std::lock_guard{guard_};
        view_ = std::move(next);
    }
    on_change_();
}

auto control_plane::on_peer_message(peer_message message,
                                    std::function<void(std::vector<peer_message>)> reply) -> void {
    thread_.post([this, message = std::move(message), reply = std::move(reply)] {
        if (parts_) {
            parts_->reply_to = std::visit([](const auto& it) { return it.from; }, message);
            const auto now = clock_now();
            parts_->spread.on_peer_message(now, message);
            parts_->node.on_peer_message(now, message);
            after_event();
            parts_->reply_to = instance_id{};
            if (reply) {
                reply(std::move(parts_->replies));
            }
            parts_->replies.clear();
        }
    });
}

auto control_plane::take_grant(const account_id& account, std::uint32_t wanted,
                               std::function<void(grant_reply)> done) -> void {
    thread_.post([this, account, wanted, done = std::move(done)] {
        const auto now = clock_now();
        const auto found =
            parts_ ? parts_->accountants.find(account) : decltype(parts_->accountants.find(account)){};
        if (!parts_ || found == parts_->accountants.end() || parts_->node.authority_until() <= now) {
            done(grant_reply{});
            return;
        }
        const auto tokens = found->second.take(now, wanted);
        done(grant_reply{true, tokens, tokens > 0 ? duration{} : found->second.wait_for_token(now)});
    });
}

auto control_plane::give_back(const account_id& account, std::uint32_t tokens, duration age) -> void {
    thread_.post([this, account, tokens, age] {
        if (!parts_) {
            return;
        }
        const auto found = parts_->accountants.find(account);
        if (found != parts_->accountants.end()) {
            const auto now = clock_now();
            found->second.return_unspent(now, now - age, tokens);
        }
    });
}

auto control_plane::announce_leaving() -> void {
    thread_.post([this] {
        parts_->leaving = true;
        parts_->dirty = true;
        refresh_listing();
        after_event();
    });
}

auto control_plane::hand_over() -> void {
    thread_.post([this] {
        parts_->node.start_leave(clock_now());
        after_event();
    });
}

auto control_plane::status(std::function<void(control_status)> done) -> void {
    thread_.post([this, done = std::move(done)] {
        auto& it = *parts_;
        const auto now = clock_now();
        auto found = control_status{};
        found.authority = it.node.authority_until() > now;
        found.majority = it.node.has_majority(now);
        found.store_answers = it.store.answers();
        found.record_version = it.node.record().version;
        for (const auto& [name, member] : it.node.record().members) {
            found.table.push_back(member);
        }
        for (const auto& member : it.node.live_members(now)) {
            found.live.push_back(member.instance);
        }
        for (const auto& role : it.roles) {
            if (it.node.is_standby(role)) {
                found.standby_for.push_back(role);
            }
        }
        for (const auto& [account, bucket] : it.accountants) {
            found.accounts.push_back(account);
        }
        found.listed = it.listed;
        found.store_calls = it.store.calls();
        done(std::move(found));
    });
}

} // namespace citronlug
