#include "account_groups.h"
#include "control_plane_impl.h"

#include <fmt/format.h>

// The part of the control plane that keeps the configuration: taking over, spreading, reading and writing it.
namespace citronlug {

namespace {

constexpr auto watch_wait = 20s;

} // namespace

auto control_plane::take_config(configuration config) -> bool {
    auto& it = *parts_;
    if (!it.spread.on_content(config.version)) {
        return false;
    }
    auto state = std::make_shared<config_state>();
    state->text = to_json(config);
    state->keys = key_ring{config.keys};
    state->config = std::move(config);
    const auto before = it.config;
    it.config = state;
    it.dirty = true;
    it.node.set_config_version(state->config.version);
    if (before) {
        for (const auto& key : before->config.keys) {
            if (before->keys.is_valid(key.id) && !state->keys.is_valid(key.id)) {
                for (auto& shard : shards_) {
                    shard->revoke(key.id);
                }
            }
        }
    }
    auto roles = std::vector<role_id>{};
    for (const auto& [name, rule] : state->config.rules.databases) {
        if (rule.cell == settings_.cell) {
            roles.push_back({role_kind::database, name.value});
        }
    }
    if (!roles.empty()) {
        const auto groups = accountant_roles(settings_.cell);
        roles.insert(roles.end(), groups.begin(), groups.end());
    }
    open_accounts();
    it.roles = std::set<role_id>{roles.begin(), roles.end()};
    it.node.set_roles(clock_now(), std::move(roles));
    for (const auto& [role, epoch] : it.held) {
        if (role.kind == role_kind::database) {
            if (const auto settings = settings_of(database_id{role.name})) {
                shard_of(settings->database).hold(*settings, epoch);
            }
        }
    }
    events_(
        {.kind = "configuration", .detail = fmt::format("version {} is in force", state->config.version)});
    return true;
}

auto control_plane::on_stored_config(time_point asked_at, const store_reply& reply) -> void {
    auto& it = *parts_;
    if (reply.status == store_status::not_found) {
        it.spread.on_store_read(asked_at, 0);
    } else if (reply.status == store_status::ok) {
        auto parsed = parse_configuration(reply.value, reply.version);
        if (auto* config = std::get_if<configuration>(&parsed)) {
            take_config(std::move(*config));
            it.spread.on_store_read(asked_at, reply.version);
        } else {
            events_({.kind = "configuration-unreadable", .detail = std::get<failure>(parsed).message});
        }
    }
    after_event();
}

auto control_plane::address_of(const instance_id& instance) const -> std::optional<std::string> {
    const auto& members = parts_->node.record().members;
    const auto member = members.find(instance.value);
    if (member != members.end()) {
        return member->second.peer_address;
    }
    for (const auto& listed : parts_->listed) {
        if (listed.instance == instance) {
            return listed.peer_address;
        }
    }
    return std::nullopt;
}

auto control_plane::spread_config() -> void {
    auto& it = *parts_;
    const auto now = clock_now();
    auto read_store = [this, now] {
        parts_->store.get(config_key,
                          [this, now](const store_reply& reply) { on_stored_config(now, reply); });
    };
    if (it.spread.poll_due(now, it.node.has_majority(now))) {
        read_store();
    }
    if (!it.watching && it.spread.is_relay(it.node.live_members(now))) {
        it.watching = true;
        it.store.watch(config_key, it.spread.held(), watch_wait, [this, now](const store_reply& reply) {
            if (reply.status == store_status::ok) {
                on_stored_config(now, reply);
            }
            // A store that does not answer, or has no object to watch, is asked again after a pause.
            const auto asked_long = clock_now() - now > watch_wait / 2;
            if (reply.status == store_status::ok || asked_long) {
                parts_->watching = false;
            } else {
                QTimer::singleShot(500, &parts_->timer, [this] { parts_->watching = false; });
            }
        });
    }
    if (const auto source = it.spread.next_fetch(now)) {
        const auto address = source->peer ? address_of(*source->peer) : std::nullopt;
        if (!address) {
            read_store();
        } else {
            peers_->fetch_config(*address, it.spread.held(), [this](std::optional<config_reply> reply) {
                thread_.post([this, reply = std::move(reply)] {
                    if (!parts_ || !reply || reply->version == 0) {
                        return;
                    }
                    auto parsed = parse_configuration(reply->text, reply->version);
                    if (auto* config = std::get_if<configuration>(&parsed)) {
                        take_config(std::move(*config));
                        after_event();
                    }
                });
            });
        }
    }
    if (const auto other = it.spread.next_exchange(now, it.listed)) {
        peers_->config_version(other->peer_address,
                               [this, from = other->instance](std::optional<std::uint64_t> version) {
                                   thread_.post([this, from, version] {
                                       if (parts_ && version) {
                                           parts_->spread.on_peer_version(clock_now(), from, *version);
                                       }
                                   });
                               });
    }
}

auto control_plane::read_config(std::function<void(result<configuration>)> done) -> void {
    thread_.post([this, done = std::move(done)] {
        parts_->store.get(config_key, [this, done, asked = clock_now()](const store_reply& reply) {
            if (reply.status == store_status::not_found) {
                done(initial_configuration());
                return;
            }
            if (reply.status != store_status::ok) {
                done(failure{failure_code::store_unavailable, "the platform store does not answer", 1s});
                return;
            }
            on_stored_config(asked, reply);
            done(parse_configuration(reply.value, reply.version));
        });
    });
}

auto control_plane::write_config(const configuration& config, std::uint64_t expected_version,
                                 std::function<void(result<std::uint64_t>)> done) -> void {
    thread_.post([this, config, expected_version, done = std::move(done)] {
        parts_->store.put(
            config_key, to_json(config), expected_version, [this, config, done](const store_reply& reply) {
                switch (reply.status) {
                case store_status::ok: {
                    auto written = config;
                    written.version = reply.version;
                    take_config(std::move(written));
                    after_event();
                    done(reply.version);
                    return;
                }
                case store_status::conflict:
                case store_status::not_found:
                    done(
                        failure{failure_code::conflict, "the configuration was changed in the meantime", {}});
                    return;
                case store_status::unavailable:
                    done(failure{failure_code::store_unavailable,
                                 "the platform store did not answer; the change may have taken effect", 1s});
                    return;
                }
            });
    });
}

} // namespace citronlug
