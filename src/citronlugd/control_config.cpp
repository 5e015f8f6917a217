#include "account_groups.h"
#include "control_plane_impl.h"

#include <fmt/format.h>

// Configuration handling of the control plane: applying, propagating, reading and writing it.
namespace citronlug {

namespace {

constexpr auto watch_wait = 20s;

} // namespace

auto control_plane::apply_config(configuration config) -> bool {
    auto& it = *impl_;
    if (!it.propagation.on_content(config.version)) {
        return false;
    }
    auto state = std::make_shared<config_state>();
    state->text = to_json(config);
    state->keys = key_ring{config.keys};
    state->config = std::move(config);
    const auto before = it.config;
    it.config = state;
    it.view_dirty = true;
    it.node.set_config_version(state->config.version);
    if (before) {
        for (const auto& key : before->config.keys) {
            if (before->keys.is_valid(key.id) && !state->keys.is_valid(key.id)) {
                for (auto& shard : shards_) {
                    shard->revoke_key(key.id);
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
    sync_accountants();
    it.cell_roles = std::set<role_id>{roles.begin(), roles.end()};
    it.node.set_roles(clock_now(), std::move(roles));
    for (const auto& [role, epoch] : it.held_roles) {
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

auto control_plane::on_config_read(time_point requested_at, const store_reply& reply) -> void {
    auto& it = *impl_;
    if (reply.status == store_status::not_found) {
        it.propagation.on_store_read(requested_at, 0);
    } else if (reply.status == store_status::ok) {
        auto parsed = parse_configuration(reply.value, reply.version);
        if (auto* config = std::get_if<configuration>(&parsed)) {
            apply_config(std::move(*config));
            it.propagation.on_store_read(requested_at, reply.version);
        } else {
            events_({.kind = "configuration-unreadable", .detail = std::get<failure>(parsed).message});
        }
    }
    after_event();
}

auto control_plane::address_of(const instance_id& instance) const -> std::optional<std::string> {
    const auto& members = impl_->node.record().members;
    const auto member = members.find(instance.value);
    if (member != members.end()) {
        return member->second.peer_address;
    }
    for (const auto& listed : impl_->listed_instances) {
        if (listed.instance == instance) {
            return listed.peer_address;
        }
    }
    return std::nullopt;
}

auto control_plane::propagate_config() -> void {
    auto& it = *impl_;
    const auto now = clock_now();
    auto read_store = [this, now] {
        impl_->store.get(config_key, [this, now](const store_reply& reply) { on_config_read(now, reply); });
    };
    if (it.propagation.poll_due(now, it.node.has_majority(now))) {
        read_store();
    }
    if (!it.store_watch_active && it.propagation.is_relay(it.node.live_members(now))) {
        it.store_watch_active = true;
        it.store.watch(config_key, it.propagation.held(), watch_wait, [this, now](const store_reply& reply) {
            if (reply.status == store_status::ok) {
                on_config_read(now, reply);
            }
            // Without this delay, a store that fails at once or has no configuration object would be called
            // in a tight loop.
            const auto waited_long = clock_now() - now > watch_wait / 2;
            if (reply.status == store_status::ok || waited_long) {
                impl_->store_watch_active = false;
            } else {
                QTimer::singleShot(500, &impl_->timer, [this] { impl_->store_watch_active = false; });
            }
        });
    }
    if (const auto source = it.propagation.next_fetch(now)) {
        const auto address = source->peer ? address_of(*source->peer) : std::nullopt;
        if (!address) {
            read_store();
        } else {
            peers_->fetch_config(*address, it.propagation.held(), [this](std::optional<config_reply> reply) {
                thread_.post([this, reply = std::move(reply)] {
                    if (!impl_ || !reply || reply->version == 0) {
                        return;
                    }
                    auto parsed = parse_configuration(reply->text, reply->version);
                    if (auto* config = std::get_if<configuration>(&parsed)) {
                        apply_config(std::move(*config));
                        after_event();
                    }
                });
            });
        }
    }
    if (const auto other = it.propagation.next_exchange(now, it.listed_instances)) {
        peers_->config_version(other->peer_address,
                               [this, from = other->instance](std::optional<std::uint64_t> version) {
                                   thread_.post([this, from, version] {
                                       if (impl_ && version) {
                                           impl_->propagation.on_peer_version(clock_now(), from, *version);
                                       }
                                   });
                               });
    }
}

auto control_plane::read_config(std::function<void(result<configuration>)> done) -> void {
    thread_.post([this, done = std::move(done)] {
        impl_->store.get(config_key, [this, done, requested_at = clock_now()](const store_reply& reply) {
            if (reply.status == store_status::not_found) {
                done(initial_configuration());
                return;
            }
            if (reply.status != store_status::ok) {
                done(failure{failure_code::store_unavailable, "the platform store does not answer", 1s});
                return;
            }
            on_config_read(requested_at, reply);
            done(parse_configuration(reply.value, reply.version));
        });
    });
}

auto control_plane::write_config(const configuration& config, std::uint64_t expected_version,
                                 std::function<void(result<std::uint64_t>)> done) -> void {
    thread_.post([this, config, expected_version, done = std::move(done)] {
        impl_->store.put(
            config_key, to_json(config), expected_version, [this, config, done](const store_reply& reply) {
                switch (reply.status) {
                case store_status::ok: {
                    auto written = config;
                    written.version = reply.version;
                    apply_config(std::move(written));
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
