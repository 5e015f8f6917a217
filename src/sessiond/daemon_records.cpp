#include "session_daemon.h"

#include <citronlug/network_address.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <algorithm>

namespace citronlug {

namespace {

/// Maximum wait of the coordinator's watch of the primaries, which only the coordinator writes.
constexpr auto primaries_watch_coordinator = duration{8s};

/// Maximum waits while the coordinator is unreachable. Answers to watches of the primaries then renew the
/// permissions.
constexpr auto copy_watch_fallback = duration{1900ms};

constexpr auto primaries_watch_fallback = duration{900ms};

/// Delay of calls to the store after the coordinator became unreachable: it, or the next one, often answers
/// within it. Permissions need the primaries within 2 s of the coordinator's last answer.
constexpr auto primaries_resume_delay = duration{400ms};
/// After the coordinator is lost, instances read the evacuations spread over this span before their evidence
/// lapses, less a margin for the call: the stop must follow within the limit of the evidence.
constexpr auto evacuations_resume_spread = duration{800ms};
constexpr auto evacuations_call_margin = duration{200ms};

/// Delay of the first watch after a listing, while this instance does not coordinate.
constexpr auto follower_watch_delay = duration{500ms};

/// A report without an answer by then has failed. The coordinator answers immediately, but its process may
/// have to wait for its share of a core.
constexpr auto report_timeout = duration{600ms};

/// A server whose record disappeared from the store is kept for this time. By then a live server has
/// rewritten a record that expired during an outage of the store.
constexpr auto departed_server_retention = duration{2200ms};

/// Pause after a failed registration; doubles up to the maximum.
constexpr auto registration_retry = duration{300ms};
constexpr auto max_registration_retry = duration{2400ms};

/// An instance that has lacked a version for longer than this logs it.
constexpr auto behind_log_delay = duration{1s};

/// Rejected records that are remembered, so that each is logged once.
constexpr auto max_rejected_records = std::size_t{1000};

/// Address in the record of an instance; empty if there is none.
auto peer_address_in(const store_record& record) -> std::string {
    const auto value = QJsonDocument::fromJson(QByteArray::fromStdString(record.value)).object();
    return value["peer_address"].toString().toStdString();
}

} // namespace

auto session_daemon::on_tick() -> void {
    const auto now = clock_now();
    register_instance(now);
    issue_store_calls(now);
    read_lease(now);
    if (const auto& lease = coordinator_.lease()) {
        fleet_.start(lease->peer_secret);
    }
    if (!departed_servers_.empty()) {
        const auto before = departed_servers_.size();
        std::erase_if(departed_servers_,
                      [&](const auto& it) { return now - it.second.removed_at > departed_server_retention; });
        if (departed_servers_.size() != before) {
            apply_servers(now);
        }
    }
    apply_primaries(now);
    enforce_evacuations(now);
    for (const auto& it : coordinator_.on_tick(now)) {
        perform(now, it);
    }
    if (coordinator_.needs_primaries(now) && !reading_primaries_) {
        reading_primaries_ = true;
        primaries_.mirror.list_again();
        issue_store_calls(now);
    }
    const auto coordinating = coordinator_.is_coordinating(now);
    reading_primaries_ = reading_primaries_ && !coordinating;
    if (coordinating && !is_coordinating_) {
        token_allocator_.begin_term(coordinator_.lease()->fencing_token, proxy_.limiter().last_response_at());
        cold_allocator_.begin_term(now, coordinator_.lease()->fencing_token);
        report_receiver_.reset();
        if (active_rules_) {
            token_allocator_.set_limits(now, *active_rules_);
        }
        list_instances({}, std::make_shared<instance_addresses>());
    }
    if (is_coordinating_ != coordinating) {
        is_coordinating_ = coordinating;
        update_store_watches(now);
        if (coordinating) {
            rules_.mirror.list_again();
            servers_.mirror.list_again();
            evacuated_.mirror.list_again();
        }
    }
    if (coordinating) {
        token_allocator_.set_reachable(now, coordinator_.recent_reporters(now));
        update_deputies(now);
        announce_lease(now);
    }
    proxy_.on_tick(now);
    request_from_deputy(now);
    probes_.on_tick(now);
    enforce_caller_limits(now);
    if (report_pending_ && now - reported_at_ > report_timeout) {
        on_report_answer(report_number_, reported_at_, std::nullopt);
    }
    if (now - reported_at_ >= report_interval || report_due_) {
        send_report(now);
    }
    fetch_lacking_records(now);
    update_store_watches(now);
    measure_copies(now);
    if (leaving_) {
        finish_leaving(now);
    }
    log_.flush(now);
}

auto session_daemon::count_store_call(record_kind kind, const char* call, const char* why) -> void {
    metrics_.count("citronlug_store_calls_total",
                   {{"kind", std::string{name_of(kind)}}, {"call", call}, {"why", why}});
}

auto session_daemon::issue_store_calls(time_point now) -> void {
    auto all = std::vector<const store_mirror*>{&primaries_.mirror, &servers_.mirror, &rules_.mirror};
    auto kinds = std::vector<mirrored_kind*>{&rules_, &servers_, &primaries_};
    if (evacuations_.is_watched()) {
        all.push_back(&evacuated_.mirror);
        kinds.push_back(&evacuated_);
    }
    for (auto* it : kinds) {
        const auto may_retry = it->mirror.is_available() || now >= retry_due_at(all);
        const auto call = may_retry && may_call(all, it->mirror) ? it->mirror.next_call(now) : std::nullopt;
        if (!call) {
            continue;
        }
        auto done = [this, it, number = call->number](const store_answer& answer) {
            on_store_answer(*it, number, answer);
        };
        count_store_call(it->kind, call->is_watch ? "watch" : "list",
                         is_coordinating_            ? "coordinating"
                         : coordinator_reachable_    ? "stale-evidence"
                         : it->mirror.confirmed_at() ? "no-coordinator"
                                                     : "start");
        if (call->is_watch) {
            store_.watch(it->kind, call->revision, call->wait, std::move(done));
        } else {
            store_.list(it->kind, call->after, std::move(done));
        }
    }
}

auto session_daemon::on_store_answer(mirrored_kind& it, std::uint64_t call, const store_answer& answer)
    -> void {
    const auto now = clock_now();
    const auto changes = it.mirror.on_answer(now, call, answer);
    if (it.mirror.is_available() != it.was_available) {
        it.was_available = it.mirror.is_available();
        log(log_level::warning,
            it.was_available ? log_event::dependency_regained : log_event::dependency_lost,
            {{"dependency", "store"},
             {"kind", std::string{name_of(it.kind)}},
             {"outcome", std::string{name_of(answer.outcome)}},
             {"why", answer.problem}});
    }
    if (answer.unreadable_records > 0) {
        log(log_level::warning, log_event::record_rejected,
            {{"kind", std::string{name_of(it.kind)}},
             {"why", fmt::format("{} records have no readable name", answer.unreadable_records)}});
    }
    switch (it.kind) {
    case record_kind::rules:
        on_stored_rules(now, answer.outcome == store_outcome::ok, changes);
        break;
    case record_kind::servers:
        if (answer.outcome == store_outcome::ok && it.mirror.confirmed_at()) {
            on_stored_servers(now, !changes.empty());
        }
        break;
    case record_kind::primaries:
        for (const auto& change : changes) {
            if (change.removed) {
                coordinator_.on_record_removed(now, change.record.name);
            } else {
                coordinator_.on_record(now, change.record.name, change.record.value, change.record.revision);
            }
        }
        if (answer.outcome == store_outcome::ok && it.mirror.confirmed_at()) {
            // Not `asked_at`: the call may be one page of a listing, or abandoned.
            coordinator_.on_primaries_confirmed(*it.mirror.confirmed_at());
            apply_primaries(now);
        }
        break;
    case record_kind::evacuations:
        if (answer.outcome == store_outcome::ok && it.mirror.confirmed_at()) {
            auto list = evacuation_evidence{0, {}, *it.mirror.confirmed_at(), now, answer.era};
            for (const auto& [name, record] : it.mirror.records()) {
                list.domains.push_back(name);
            }
            apply_evacuations(now, list);
        }
        break;
    case record_kind::lease:
    case record_kind::instances:
        break;
    }
    issue_store_calls(now);
}

auto session_daemon::on_store_era(std::uint64_t before, std::uint64_t era, bool restored) -> void {
    const auto now = clock_now();
    metrics_.set("citronlug_store_era", {}, static_cast<double>(era));
    coordinator_.on_store_era(now, era, restored);
    if (!restored) {
        return;
    }
    log(log_level::warning, log_event::store_restored,
        {{"before", std::to_string(before)}, {"era", std::to_string(era)}});
    for (auto* it : {&rules_, &servers_, &primaries_, &evacuated_}) {
        it->mirror.drop_revisions();
    }
    lease_read_due_ = true;
    // Permissions in force last longer than the spread, so callers are served meanwhile.
    registered_ = false;
    registration_revision_ = 0;
    const auto spread = static_cast<std::uint64_t>(registration_spread / 1us);
    register_at_ = now + duration{static_cast<std::int64_t>(random_number() % spread)};
}

auto session_daemon::is_store_available() const -> bool {
    return primaries_.mirror.is_available() || servers_.mirror.is_available() || rules_.mirror.is_available();
}

auto session_daemon::read_lease(time_point now) -> void {
    const auto paused = reading_lease_ || now < next_lease_read_at_;
    const auto wanted =
        (!coordinator_reachable_ || coordinator_.needs_lease_record()) && is_store_available();
    if (leaving_ || !(lease_read_due_ || (wanted && !paused))) {
        return;
    }
    lease_read_due_ = false;
    reading_lease_ = true;
    next_lease_read_at_ = now + lease_read_interval(fleet_size_);
    count_store_call(record_kind::lease, "list", coordinator_.lease() ? "no-coordinator" : "start");
    store_.list(record_kind::lease, {}, [this, now](const store_answer& answer) {
        reading_lease_ = false;
        if (answer.outcome != store_outcome::ok) {
            return; // retried after `lease_read_interval`; the mirrors log that the store is unavailable
        }
        for (const auto& it : answer.records) {
            coordinator_.on_record(clock_now(), it.name, it.value, it.revision);
        }
        coordinator_.on_lease_confirmed(clock_now(), now);
    });
}

auto session_daemon::update_store_watches(time_point now) -> void {
    // While the coordinator is reachable, only the coordinator watches the store; the other instances learn
    // of all changes from its answers.
    const auto follows = coordinator_reachable_ && !is_coordinating_;
    // Only a statement about the version that is in force here is evidence: the coordinator may name a newer
    // one without delivering it.
    const auto pause = [&](store_mirror& mirror, const record_copy& copy, const record_fetch& fetch) {
        const auto evidence_at = copy.confirmed_at(copy_source::coordinator).value_or(time_point{});
        const auto due_at = fetch.is_store_due() ? now : evidence_at + copy_evidence_lifetime;
        mirror.set_paused(follows && now < due_at, is_coordinating_ ? now : due_at);
    };
    pause(rules_.mirror, rules_copy_, rules_fetch_);
    pause(servers_.mirror, servers_copy_, servers_fetch_);
    primaries_.mirror.set_paused(follows, is_coordinating_ ? now : now + primaries_resume_delay);
    const auto evacuations_due_at = evacuations_.due_at();
    const auto early = evacuations_call_margin +
                       duration{static_cast<std::int64_t>(
                           run_ % static_cast<std::uint64_t>(evacuations_resume_spread / duration{1}))};
    evacuated_.mirror.set_paused(follows && now < evacuations_due_at,
                                 is_coordinating_ ? now : evacuations_due_at - early);
    for (auto* it : {&rules_, &servers_, &primaries_, &evacuated_}) {
        it->mirror.set_first_watch_delay(is_coordinating_ ? duration{} : follower_watch_delay);
    }
    rules_.mirror.set_watch_wait(is_coordinating_ ? copy_watch_wait : copy_watch_fallback);
    servers_.mirror.set_watch_wait(is_coordinating_ ? copy_watch_wait : copy_watch_fallback);
    primaries_.mirror.set_watch_wait(is_coordinating_ ? primaries_watch_coordinator
                                                      : primaries_watch_fallback);
}

auto session_daemon::on_stored_rules(time_point now, bool answered,
                                     const std::vector<store_mirror::change>& changes) -> void {
    for (const auto& change : changes) {
        if (change.record.name == platform_.records.rules_record_name()) {
            stored_rules_version_ =
                change.removed ? std::nullopt : apply_rules(now, copy_source::store, change.record.value);
        }
    }
    auto& mirror = rules_.mirror;
    if (mirror.may_lack_change()) {
        mirror.list_again(); // the change that could not be read may be one of the rules
        return;
    }
    if (!answered || !mirror.confirmed_at()) {
        return;
    }
    if (mirror.unreadable_records() == 0 &&
        !mirror.records().contains(std::string{platform_.records.rules_record_name()})) {
        stored_rules_version_ = 0;
    }
    if (stored_rules_version_) {
        rules_copy_.on_statement(now, copy_source::store, *stored_rules_version_, *mirror.confirmed_at());
    }
}

auto session_daemon::apply_rules(time_point now, copy_source from, const std::string& value)
    -> std::optional<std::uint64_t> {
    auto decoded = platform_.records.decode_rules(value);
    if (const auto* reason = std::get_if<failure>(&decoded)) {
        log(log_level::error, log_event::rules_applied, {{"version", "none"}, {"why", reason->message}});
        metrics_.count("citronlug_rules_rejected_total");
        return std::nullopt;
    }
    auto rules = std::make_shared<const desired_state>(std::get<desired_state>(std::move(decoded)));
    if (active_rules_ && rules->version <= active_rules_->version) {
        if (rules->version < active_rules_->version &&
            std::exchange(older_rules_logged_, rules->version) != rules->version) {
            log(log_level::warning, log_event::rules_applied,
                {{"version", std::to_string(active_rules_->version)},
                 {"why", fmt::format("the older version {} was ignored", rules->version)}});
        }
        return rules->version;
    }
    active_rules_ = rules;
    rules_copy_.hold(now, from, rules->version);
    fleet_.set_rules({rules->version, value});
    proxy_.set_rules(now, rules);
    coordinator_.set_groups(rules->groups);
    token_allocator_.set_limits(now, *rules);
    return rules->version;
}

auto session_daemon::measure_copies(time_point now) -> void {
    const auto set_age = [&](record_kind kind, duration age) {
        metrics_.set("citronlug_records_age_seconds", {{"kind", std::string{name_of(kind)}}},
                     std::chrono::duration<double>(std::min(age, now - started_at_)).count());
    };
    proxy_.set_rules_evidence(rules_copy_.confirmed_at().value_or(time_point{}));
    set_age(record_kind::rules, rules_copy_.age(now));
    set_age(record_kind::servers, servers_copy_.age(now));
    if (evacuations_.is_watched()) {
        set_age(record_kind::evacuations, now - evacuations_.evidence_at().value_or(started_at_));
    }
    log_if_behind(now, rules_, rules_copy_, rules_fetch_);
    log_if_behind(now, servers_, servers_copy_, servers_fetch_);
}

auto session_daemon::log_if_behind(time_point now, const mirrored_kind& it, const record_copy& copy,
                                   const record_fetch& fetch) -> void {
    const auto since = copy.behind_since();
    if (!since || now - *since <= behind_log_delay) {
        behind_logged_.erase(it.kind);
        return;
    }
    if (!behind_logged_.insert(it.kind).second) {
        return;
    }
    const auto lease = newest_lease();
    log(log_level::warning, log_event::records_behind,
        {{"kind", std::string{name_of(it.kind)}},
         {"version", std::to_string(copy.version())},
         {"named", std::to_string(copy.named_version())},
         {"age_ms", std::to_string(std::min(copy.age(now), now - started_at_) / 1ms)},
         {"fetching", fetch.is_pending(now) ? "yes" : "no"},
         {"holder", lease ? lease->holder.value : std::string{}},
         {"store", it.mirror.is_available() ? "available" : "unavailable"}});
}

auto session_daemon::log_rejected(record_kind kind, const store_record& record, const std::string& reason)
    -> void {
    if (rejected_records_.size() >= max_rejected_records) {
        rejected_records_.clear();
    }
    const auto [it, is_new] = rejected_records_.try_emplace({kind, record.name}, record.revision);
    if (!is_new && it->second == record.revision) {
        return;
    }
    it->second = record.revision;
    metrics_.count("citronlug_records_rejected_total", {{"kind", std::string{name_of(kind)}}});
    log(log_level::warning, log_event::record_rejected,
        {{"kind", std::string{name_of(kind)}}, {"name", record.name}, {"why", reason}});
}

auto session_daemon::on_stored_servers(time_point now, bool changed) -> void {
    const auto& mirror = servers_.mirror;
    const auto basis = list_basis{store_.era(), mirror.shown_revision()};
    if (changed || !servers_listed_ || servers_order_.present() < basis) {
        servers_listed_ = true;
        if (servers_order_.accept(basis)) {
            replace_servers(now, mirror.records());
        }
    }
    if (servers_order_.present() == basis) {
        servers_copy_.on_statement(now, copy_source::store, servers_version_, *mirror.confirmed_at());
    }
}

auto session_daemon::replace_servers(time_point now, const std::map<std::string, store_record>& records,
                                     std::uint64_t fetched_version) -> void {
    auto next = std::map<server_id, backend_server>{};
    auto text = QJsonObject{};
    std::erase_if(rejected_records_, [&](const auto& it) {
        return it.first.first == record_kind::servers && !records.contains(it.first.second);
    });
    for (const auto& [name, record] : records) {
        auto decoded = platform_.records.decode_server(name, record.value);
        if (const auto* reason = std::get_if<failure>(&decoded)) {
            log_rejected(record_kind::servers, record, reason->message);
            continue;
        }
        auto& server = std::get<backend_server>(decoded);
        text[QString::fromStdString(name)] = QString::fromStdString(record.value);
        departed_servers_.erase(server.id);
        next.emplace(server.id, std::move(server));
    }
    const auto is_changed = next != registered_servers_;
    if (fetched_version != 0) {
        servers_version_ = fetched_version;
    } else if (is_changed || servers_version_ == 0) {
        // A random version is unique to each list, even across changes of coordinator.
        servers_version_ = random_number();
    }
    servers_text_ = QJsonDocument{text}.toJson(QJsonDocument::Compact).toStdString();
    publish_servers(now, fetched_version == 0 ? copy_source::store : copy_source::coordinator);
    if (!is_changed) {
        return;
    }
    for (const auto& [id, it] : registered_servers_) {
        if (!next.contains(id)) {
            departed_servers_.try_emplace(id, departed_server{it, now});
        }
    }
    registered_servers_ = std::move(next);
    apply_servers(now);
}

auto session_daemon::publish_servers(time_point now, copy_source from) -> void {
    servers_copy_.hold(now, from, servers_version_);
    fleet_.set_servers({servers_version_, servers_text_, servers_order_.present()});
}

auto session_daemon::fetch_servers(const record_fetch::request& from) -> void {
    fleet_.fetch_servers(
        from.address, [this, number = from.number](const std::optional<fleet_link::record_text>& fetched) {
            count_fetch(record_kind::servers, fetched);
            const auto is_used = fetched && fetched->version != 0 && coordinator_reachable_ &&
                                 on_fetched_servers(clock_now(), *fetched);
            servers_fetch_.on_answer(number, is_used);
        });
}

auto session_daemon::on_fetched_servers(time_point now, const fleet_link::record_text& servers) -> bool {
    if (servers.value == servers_text_) {
        // Read by both from the store, maybe at different revisions.
        servers_version_ = servers.version;
        publish_servers(now, copy_source::coordinator);
        return true;
    }
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(servers.value));
    if (!document.isObject()) {
        log(log_level::error, log_event::record_rejected,
            {{"kind", std::string{name_of(record_kind::servers)}},
             {"why", "the coordinator's list of servers is not a JSON object"}});
        return false;
    }
    if (!servers_order_.accept_fetched(servers.version, servers.basis)) {
        metrics_.count("citronlug_older_server_lists_total");
        log(log_level::info, log_event::servers_changed,
            {{"why", fmt::format("the coordinator's list of revision {} is older than that of revision {}",
                                 servers.basis.revision, servers_order_.present().revision)}});
        return true;
    }
    auto records = std::map<std::string, store_record>{};
    const auto object = document.object();
    for (auto it = object.begin(); it != object.end(); ++it) {
        auto name = it.key().toStdString();
        records[name] = {name, it.value().toString().toStdString(), 0};
    }
    replace_servers(now, records, servers.version);
    return true;
}

auto session_daemon::apply_servers(time_point now) -> void {
    auto all = std::vector<backend_server>{};
    for (const auto& [id, it] : registered_servers_) {
        all.push_back(it);
    }
    for (const auto& [id, it] : departed_servers_) {
        all.push_back(it.server);
    }
    auto text = std::string{};
    for (const auto& it : all) {
        text += fmt::format("{}{}:{}{}", text.empty() ? "" : " ", it.id.value, it.group.value,
                            it.state == server_state::draining ? ":draining" : "");
    }
    log(log_level::info, log_event::servers_changed, {{"servers", text}});
    proxy_.set_servers(now, all);
    coordinator_.set_servers(now, all);
}

auto session_daemon::apply_primaries(time_point now) -> void {
    const auto coordinating = coordinator_.is_coordinating(now);
    auto evidence = std::map<group_id, reported_primary>{};
    const auto confirmed = primaries_.mirror.confirmed_at();
    for (const auto& [id, record] : coordinator_.records()) {
        // A restored copy may lack a change of primary, so it gives no permission.
        const auto is_evidence =
            coordinating ? !coordinator_.is_collecting(now) : !is_restored(record.era, store_.era());
        evidence[id] = {!is_evidence   ? time_point{}
                        : coordinating ? now
                                       : confirmed.value_or(time_point{}),
                        record};
    }
    for (const auto& [id, it] : reported_primaries_) {
        auto& known = evidence[id];
        if (it.record.generation > known.record.generation ||
            (it.record.generation == known.record.generation && it.record.changing == known.record.changing &&
             it.asked_at > known.asked_at) ||
            (it.record.generation == known.record.generation && !it.record.changing &&
             known.record.changing)) {
            known = it;
        }
    }
    for (const auto& [id, it] : evidence) {
        if (it.record.generation == 0) {
            continue;
        }
        auto view = primary_view{id, it.record.primary, it.record.generation, it.record.changing, {}};
        if (registered_ && !it.record.changing) {
            view.permitted_until = it.asked_at + permission_lifetime;
        }
        proxy_.set_primary(now, view);
        if (it.record.changing && proxy_.has_released(id, it.record.generation)) {
            report_due_ = true;
        }
    }
}

auto session_daemon::register_instance(time_point now) -> void {
    if (registered_ || registering_ || leaving_ || now < register_at_ || !is_store_available()) {
        return;
    }
    registering_ = true;
    count_store_call(record_kind::instances, "write", "start");
    registration_era_ = store_.era();
    const auto era =
        registration_era_ == 0 ? std::string{} : fmt::format(R"(,"era":"{}")", registration_era_);
    const auto record = store_record{
        settings_.instance.value,
        fmt::format(R"({{"peer_address":"{}","run":"{}"{}}})", settings_.peer_address, run_, era), 0};
    store_.write(record_kind::instances, record, registration_revision_, [this](const store_answer& answer) {
        const auto answered_at = clock_now();
        registering_ = false;
        if (answer.outcome != store_outcome::ok && registration_era_ != 0 &&
            registration_era_ != store_.era()) {
            return; // the store came back older meanwhile; written again at `register_at_`
        }
        // The record of an earlier run of this instance, or of this run if the first answer was lost, is
        // as good if it names the same address.
        const auto has_record = answer.outcome == store_outcome::conflict && !answer.records.empty() &&
                                peer_address_in(answer.records.front()) == settings_.peer_address &&
                                !is_restored(era_in(answer.records.front().value), store_.era());
        if (answer.outcome == store_outcome::ok || has_record) {
            registered_ = true;
            registration_revision_ = answer.revision;
        } else if (answer.outcome == store_outcome::conflict) {
            registration_revision_ = answer.revision;
            register_at_ = answered_at;
        } else {
            registration_pause_ =
                std::clamp(registration_pause_ * 2, registration_retry, max_registration_retry);
            register_at_ = answered_at + registration_pause_;
            log(log_level::warning, log_event::dependency_lost,
                {{"dependency", "store"}, {"kind", "instances"}, {"why", answer.problem}});
        }
    });
}

auto session_daemon::list_instances(const std::string& after, std::shared_ptr<instance_addresses> addresses)
    -> void {
    count_store_call(record_kind::instances, "list", "coordinating");
    store_.list(record_kind::instances, after, [this, addresses](const store_answer& answer) {
        if (answer.outcome != store_outcome::ok) {
            return; // repeated while it is needed
        }
        for (const auto& it : answer.records) {
            auto address = peer_address_in(it);
            if (!is_connectable(address)) {
                log_rejected(record_kind::instances, it, "the peer address is not an IP address with a port");
                continue;
            }
            (*addresses)[instance_id{it.name}] = std::move(address);
        }
        if (answer.has_more && !answer.records.empty()) {
            list_instances(answer.records.back().name, addresses);
            return;
        }
        instances_ = *addresses;
        auto names = std::set<instance_id>{};
        for (const auto& [name, address] : instances_) {
            names.insert(name);
        }
        coordinator_.on_instances(clock_now(), names);
    });
}

auto session_daemon::probe(time_point now, const backend_server& server) -> void {
    const auto messages = probes_.is_connected(server) ? 1U : 2U;
    if (cold_allocator_.take_own(now, server.id, messages, proxy_.cold_start().servers())) {
        probes_.probe(now, server);
    } else {
        coordinator_.on_probe_deferred(server.id);
    }
}

auto session_daemon::perform(time_point now, const coordinator_action& action) -> void {
    if (const auto* write = std::get_if<write_record>(&action)) {
        const auto kind = write->name == coordinator_lease_name ? record_kind::lease : record_kind::primaries;
        count_store_call(kind, "write", coordinator_.is_coordinating(now) ? "coordinating" : "lease");
        store_.write(kind, {write->name, write->value, 0}, write->expected_revision,
                     [this, now, name = write->name, value = write->value](const store_answer& answer) {
                         const auto outcome = answer.outcome == store_outcome::ok ? write_outcome::done
                                              : answer.outcome == store_outcome::conflict
                                                  ? write_outcome::conflict
                                                  : write_outcome::unknown;
                         coordinator_.on_written(clock_now(), name, now, outcome, answer.revision);
                         if (leaving_ && name == coordinator_lease_name && outcome == write_outcome::done) {
                             announce_to_all(*parse_coordinator_lease(value));
                         }
                     });
    } else if (std::holds_alternative<struct list_instances>(action)) {
        list_instances({}, std::make_shared<instance_addresses>());
    } else if (const auto* probe = std::get_if<probe_server>(&action)) {
        const auto it = registered_servers_.find(probe->server);
        if (it != registered_servers_.end()) {
            this->probe(now, it->second);
        } else if (const auto gone = departed_servers_.find(probe->server); gone != departed_servers_.end()) {
            this->probe(now, gone->second.server);
        }
    } else if (const auto* order = std::get_if<order_promotion>(&action)) {
        platform_.promotions.promote(order->group, order->server, settings_.instance, order->fencing_token,
                                     order->deadline,
                                     [this, group = order->group](promotion_outcome outcome) {
                                         coordinator_.on_promotion(clock_now(), group, outcome);
                                     });
    } else if (std::holds_alternative<cancel_promotions>(action)) {
        platform_.promotions.cancel_all();
    } else if (const auto* step_down = std::get_if<order_step_down>(&action)) {
        const auto it = registered_servers_.find(step_down->server);
        // An order that finds no token is repeated by the coordinator.
        if (it != registered_servers_.end() &&
            cold_allocator_.take_own(now, it->first, probes_.is_connected(it->second) ? 1 : 2,
                                     proxy_.cold_start().servers())) {
            probes_.step_down(it->second, step_down->term);
        }
    }
}
} // namespace citronlug
