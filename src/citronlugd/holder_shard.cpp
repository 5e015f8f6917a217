#include "holder_shard.h"

#include <fmt/format.h>

namespace citronlug {

namespace {

constexpr auto timer_interval_ms = 40;
/// Timer interval without a held database, when only standby connections need maintenance.
constexpr auto idle_interval_ms = 200;
/// Connections that a standby keeps open to each member, so that a takeover can use them at once.
constexpr auto standby_connections_per_member = 2;
constexpr auto standby_retry = 2s;

auto refusal(failure_code code, std::string message) -> answer {
    auto value = answer{};
    value.error = failure{code, std::move(message), {}};
    return value;
}

} // namespace

struct holder_shard::held_database {
    struct pending_request {
        answer_handler done;
        account_id account;
        request_id id;
    };
    struct probe_state {
        std::unique_ptr<pg_connection> connection;
        std::uint64_t sequence = 0;
        bool pending = false; ///< the probe is sent once the connection is open
    };

    held_database(const database_settings& initial_settings, epoch_number initial_epoch, time_point now,
                  std::uint64_t number)
        : settings{initial_settings}
        , epoch{initial_epoch}
        , generation{number}
        , logic{initial_settings, initial_epoch, now} {}

    database_settings settings;
    epoch_number epoch;
    std::uint64_t generation;
    database_holder logic;
    request_handle next_handle = 1;
    std::unordered_map<request_handle, pending_request> requests;
    std::unordered_map<connection_number, std::unique_ptr<pg_connection>> connections;
    std::map<member_id, probe_state> probes;
    std::uint64_t next_control_number = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<pg_connection>> control_connections;
    bool performing = false;
};

struct holder_shard::standby_connection {
    member_id member;
    database_id database;
    std::unique_ptr<pg_connection> connection;
    bool failed = false;
    time_point since;
};

holder_shard::holder_shard(const std::string& name, pg_options options, std::function<time_point()> authority,
                           event_sink events)
    : name_{name}
    , options_{std::move(options)}
    , events_{std::move(events)}
    , authority_{std::move(authority)}
    , thread_{name} {
    thread_.run([this] {
        timer_ = std::make_unique<QTimer>();
        timer_->setTimerType(Qt::PreciseTimer);
        QObject::connect(timer_.get(), &QTimer::timeout, timer_.get(), [this] { on_timer(); });
        timer_->start(timer_interval_ms);
    });
}

holder_shard::~holder_shard() {
    stop();
}

auto holder_shard::stop() -> void {
    if (timer_) {
        thread_.run([this] {
            timer_.reset();
            standby_connections_.clear();
            const auto lock = std::lock_guard{mutex_};
            holders_.clear();
            retired_.clear();
        });
        thread_.stop();
    }
}

auto holder_shard::find(const database_id& database, std::uint64_t generation) -> held_database* {
    const auto it = holders_.find(database);
    return it == holders_.end() || it->second->generation != generation ? nullptr : it->second.get();
}

auto holder_shard::hold(const database_settings& settings, epoch_number epoch) -> void {
    thread_.post([this, settings, epoch] {
        const auto now = clock_now();
        auto it = holders_.find(settings.database);
        if (it != holders_.end() && it->second->epoch == epoch) {
            it->second->settings = settings;
            it->second->logic.update_settings(now, settings);
        } else {
            const auto lock = std::lock_guard{mutex_};
            auto fresh = std::make_unique<held_database>(settings, epoch, now, ++next_generation_);
            it = holders_.insert_or_assign(settings.database, std::move(fresh)).first;
        }
        it->second->logic.set_authority(authority_());
        timer_->setInterval(timer_interval_ms);
        perform_actions(*it->second);
    });
}

auto holder_shard::release(const database_id& database) -> void {
    thread_.post([this, database] {
        const auto it = holders_.find(database);
        if (it == holders_.end()) {
            return;
        }
        // Without authority, the holder answers all of its requests and takes no further action.
        it->second->logic.set_authority(time_point{});
        it->second->logic.on_timer(clock_now());
        perform_actions(*it->second);
        auto released = std::unique_ptr<held_database>{};
        {
            const auto lock = std::lock_guard{mutex_};
            released = std::move(it->second);
            holders_.erase(it);
        }
        for (auto& [handle, pending] : released->requests) {
            auto value = refusal(failure_code::not_holder, "this instance no longer holds the database");
            value.outcome = verdict::unknown;
            pending.done(std::move(value), released->epoch);
        }
    });
}

auto holder_shard::execute(request work, answer_handler done) -> void {
    thread_.post([this, work = std::move(work), done = std::move(done)]() mutable {
        const auto it = holders_.find(work.database);
        if (it == holders_.end()) {
            done(refusal(failure_code::not_holder, "this instance does not hold the database"), 0);
            return;
        }
        auto& holder = *it->second;
        const auto handle = holder.next_handle++;
        holder.requests.emplace(handle,
                                held_database::pending_request{std::move(done), work.account, work.id});
        holder.logic.set_authority(authority_());
        holder.logic.on_request(clock_now(), handle, std::move(work));
        perform_actions(holder);
    });
}

auto holder_shard::cancel(const database_id& database, const account_id& account, const request_id& id)
    -> void {
    thread_.post([this, database, account, id] {
        const auto it = holders_.find(database);
        if (it == holders_.end()) {
            return;
        }
        for (const auto& [handle, pending] : it->second->requests) {
            if (pending.id == id && pending.account == account) {
                it->second->logic.on_cancel(clock_now(), handle);
                break;
            }
        }
        perform_actions(*it->second);
    });
}

auto holder_shard::revoke_key(const key_id& key) -> void {
    thread_.post([this, key] {
        for (auto& [name, it] : holders_) {
            it->logic.on_key_revoked(clock_now(), key);
            perform_actions(*it);
        }
    });
}

auto holder_shard::start_drain() -> void {
    thread_.post([this] {
        for (auto& [name, it] : holders_) {
            it->logic.start_drain(clock_now());
            perform_actions(*it);
        }
    });
}

auto holder_shard::drained() const -> bool {
    auto all = true;
    const_cast<event_thread&>(thread_).run([this, &all] {
        for (const auto& [name, it] : holders_) {
            all = all && it->logic.drained() && it->requests.empty();
        }
    });
    return all;
}

auto holder_shard::status() const -> std::vector<holder_status> {
    auto found = std::vector<holder_status>{};
    const_cast<event_thread&>(thread_).run([this, &found] {
        for (const auto& [name, it] : holders_) {
            found.push_back(it->logic.status(clock_now()));
        }
    });
    return found;
}

auto holder_shard::on_timer() -> void {
    const auto now = clock_now();
    retired_.clear();
    timer_->setInterval(holders_.empty() ? idle_interval_ms : timer_interval_ms);
    for (auto& [name, it] : holders_) {
        for (auto& [number, connection] : it->connections) {
            connection->check_connect_timeout(now);
        }
        for (auto& [member, probe] : it->probes) {
            if (probe.connection) {
                probe.connection->check_connect_timeout(now);
            }
        }
        it->logic.set_authority(authority_());
        it->logic.on_timer(now);
        perform_actions(*it);
    }
    keep_standby_connections(now);
}

auto holder_shard::perform_actions(held_database& holder) -> void {
    // An action may call back into the holder synchronously, for example when a connection is refused. The
    // outer loop then performs the resulting actions.
    if (holder.performing) {
        return;
    }
    holder.performing = true;
    for (auto actions = holder.logic.take_actions(); !actions.empty();
         actions = holder.logic.take_actions()) {
        for (const auto& it : actions) {
            perform_action(holder, it);
        }
    }
    holder.performing = false;
}

auto holder_shard::perform_action(held_database& holder, const holder_action& action) -> void {
    if (const auto* it = std::get_if<deliver_answer>(&action)) {
        const auto found = holder.requests.find(it->handle);
        if (found != holder.requests.end()) {
            auto done = std::move(found->second.done);
            holder.requests.erase(found);
            done(it->value, holder.epoch);
        }
    } else if (const auto* it = std::get_if<run_pipeline>(&action)) {
        const auto found = holder.connections.find(it->connection);
        if (found != holder.connections.end() && found->second->is_open() && !found->second->is_busy()) {
            found->second->send_pipeline(it->sequence, it->statements);
        } else {
            holder.logic.on_pipeline(clock_now(), it->connection, it->sequence, pipeline_result{});
        }
    } else if (const auto* it = std::get_if<open_connection>(&action)) {
        open(holder, *it);
    } else if (const auto* it = std::get_if<close_connection>(&action)) {
        const auto found = holder.connections.find(it->connection);
        if (found != holder.connections.end()) {
            retired_.push_back(std::move(found->second));
            holder.connections.erase(found);
        }
    } else if (const auto* it = std::get_if<probe_member>(&action)) {
        probe(holder, *it);
    } else if (const auto* it = std::get_if<promote_member>(&action)) {
        const auto member = it->member;
        control_statement(
            holder, member, fmt::format("SELECT citronlug_promote({})", it->expected_term),
            [member, term = it->expected_term](held_database& h, const pipeline_result& result) {
                const auto success = result.status == pipeline_status::finished;
                h.logic.on_promoted(clock_now(), member, success, success ? term + 1 : 0);
            });
    } else if (const auto* it = std::get_if<follow_primary>(&action)) {
        control_statement(holder, it->member,
                          fmt::format("SELECT citronlug_follow('{}', {})", it->primary.value, it->term),
                          [](held_database&, const pipeline_result&) {});
    } else if (const auto* it = std::get_if<holder_event>(&action)) {
        events_({.kind = it->kind, .detail = it->detail, .database = holder.settings.database});
    }
}

auto holder_shard::open(held_database& holder, const open_connection& action) -> void {
    const auto database = holder.settings.database;
    const auto generation = holder.generation;
    const auto number = action.connection;
    auto with_holder = [this, database, generation](auto&& use) {
        if (auto* found = find(database, generation)) {
            use(*found);
            perform_actions(*found);
        }
    };
    auto connected = [=](bool success) {
        with_holder([&](held_database& h) { h.logic.on_connected(clock_now(), number, success); });
    };
    auto finished = [=](std::uint64_t sequence, pipeline_result outcome) {
        with_holder([&](held_database& h) {
            const auto status = outcome.status;
            h.logic.on_pipeline(clock_now(), number, sequence, std::move(outcome));
            if (status == pipeline_status::lost || status == pipeline_status::not_sent) {
                h.logic.on_connection_lost(clock_now(), number);
            }
        });
    };
    auto lost = [=] {
        with_holder([&](held_database& h) { h.logic.on_connection_lost(clock_now(), number); });
    };
    // After a takeover, reuse the connections that this instance opened as standby.
    for (auto it = standby_connections_.begin(); it != standby_connections_.end(); ++it) {
        if ((*it)->database == database && (*it)->member == action.member && (*it)->connection->is_open()) {
            auto reused = std::move((*it)->connection);
            standby_connections_.erase(it);
            reused->set_handlers(finished, lost);
            holder.connections[number] = std::move(reused);
            thread_.post([connected] { connected(true); });
            return;
        }
    }
    holder.connections[number] = std::make_unique<pg_connection>(action.member, database, options_,
                                                                 clock_now(), connected, finished, lost);
}

auto holder_shard::probe(held_database& holder, const probe_member& action) -> void {
    auto& state = holder.probes[action.member];
    const auto database = holder.settings.database;
    const auto generation = holder.generation;
    const auto member = action.member;
    state.sequence = action.sequence;
    static const auto status_query = std::vector{statement{"SELECT * FROM citronlug_status()", {}}};
    if (action.fresh_connection && state.connection) {
        retired_.push_back(std::move(state.connection));
        state.connection = nullptr;
    }
    if (state.connection) {
        if (!state.connection->is_busy() && state.connection->is_open()) {
            state.connection->send_pipeline(action.sequence, status_query);
        }
        state.pending = !state.connection->is_open();
        return; // a probe in flight reports the sequence number it was sent with
    }
    state.pending = true;
    auto report = [this, database, generation, member](std::uint64_t sequence,
                                                       std::optional<member_status> status, bool drop) {
        auto* found = find(database, generation);
        if (found == nullptr) {
            return;
        }
        if (drop) {
            auto& probe = found->probes[member];
            retired_.push_back(std::move(probe.connection));
            probe.connection = nullptr;
        }
        found->logic.on_member_status(clock_now(), member, sequence, std::move(status));
        perform_actions(*found);
    };
    auto sequence_now = [this, database, generation, member]() -> std::uint64_t {
        auto* found = find(database, generation);
        return found == nullptr ? 0 : found->probes[member].sequence;
    };
    state.connection = std::make_unique<pg_connection>(
        member, database, options_, clock_now(),
        [=, this](bool success) {
            auto* found = find(database, generation);
            if (!success || found == nullptr) {
                report(sequence_now(), std::nullopt, true);
                return;
            }
            auto& probe = found->probes[member];
            if (probe.pending) {
                probe.pending = false;
                probe.connection->send_pipeline(probe.sequence, status_query);
            }
        },
        [=](std::uint64_t sequence, const pipeline_result& outcome) {
            const auto valid = outcome.status == pipeline_status::finished && outcome.results.size() == 1;
            report(sequence, valid ? parse_member_status(outcome.results.front()) : std::nullopt,
                   outcome.status == pipeline_status::lost || outcome.status == pipeline_status::not_sent);
        },
        [=] { report(sequence_now(), std::nullopt, true); });
}

auto holder_shard::control_statement(held_database& holder, const member_id& member, const std::string& sql,
                                     std::function<void(held_database&, const pipeline_result&)> done)
    -> void {
    const auto database = holder.settings.database;
    const auto generation = holder.generation;
    const auto number = holder.next_control_number++;
    auto finish = [this, database, generation, number, done](const pipeline_result& outcome) {
        auto* found = find(database, generation);
        if (found == nullptr) {
            return;
        }
        const auto it = found->control_connections.find(number);
        if (it != found->control_connections.end()) {
            retired_.push_back(std::move(it->second));
            found->control_connections.erase(it);
        }
        done(*found, outcome);
        perform_actions(*found);
    };
    holder.control_connections[number] = std::make_unique<pg_connection>(
        member, database, options_, clock_now(),
        [=, this](bool success) {
            auto* found = find(database, generation);
            if (!success || found == nullptr) {
                finish(pipeline_result{});
                return;
            }
            found->control_connections[number]->send_pipeline(1, {statement{sql, {}}});
        },
        [=](std::uint64_t /*sequence*/, const pipeline_result& outcome) { finish(outcome); },
        [=] { finish(pipeline_result{}); });
}

auto holder_shard::set_standby(const std::vector<database_settings>& databases) -> void {
    thread_.post([this, databases] {
        standby_ = databases;
        std::erase_if(standby_connections_, [&](const auto& it) {
            return std::none_of(databases.begin(), databases.end(), [&](const auto& database) {
                return database.database == it->database &&
                       std::find(database.members.begin(), database.members.end(), it->member) !=
                           database.members.end();
            });
        });
    });
}

auto holder_shard::keep_standby_connections(time_point now) -> void {
    for (auto& it : standby_connections_) {
        it->connection->check_connect_timeout(now);
    }
    std::erase_if(standby_connections_,
                  [&](const auto& it) { return it->failed && now - it->since > standby_retry; });
    for (const auto& database : standby_) {
        if (holders_.contains(database.database)) {
            continue;
        }
        for (const auto& member : database.members) {
            auto n =
                std::count_if(standby_connections_.begin(), standby_connections_.end(), [&](const auto& it) {
                    return it->database == database.database && it->member == member;
                });
            for (; n < standby_connections_per_member; ++n) {
                auto fresh = std::make_unique<standby_connection>();
                auto* raw = fresh.get();
                fresh->member = member;
                fresh->database = database.database;
                fresh->since = now;
                auto mark_failed = [raw] {
                    raw->failed = true;
                    raw->since = clock_now();
                };
                fresh->connection = std::make_unique<pg_connection>(
                    member, database.database, options_, now,
                    [mark_failed](bool success) {
                        if (!success) {
                            mark_failed();
                        }
                    },
                    [](std::uint64_t, const pipeline_result&) {}, mark_failed);
                standby_connections_.push_back(std::move(fresh));
            }
        }
    }
}

} // namespace citronlug
