#include "peer_rpc.h"

#include "event_thread.h"
#include "peer_codec.h"
#include "peer_server.h"

#include <citronlug/compressed_text.h>

#include <capnp/rpc-twoparty.h>
#include <sodium.h>

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

namespace citronlug {

namespace {

/// Limit for connecting and authenticating together.
constexpr auto connect_timeout = 1500ms;
/// Delay before the next connection attempt after a failed connection.
constexpr auto reconnect_backoff = 200ms;
/// The connection is closed if the peer has not answered a short call for this long. With the check
/// interval, a failure is detected within 2 s.
constexpr auto answer_timeout = 1500ms;
/// While only long calls are in flight, a ping is sent after this time without an answer.
constexpr auto ping_delay = 400ms;
constexpr auto check_interval_ms = 200;
/// A call that cannot be sent within this time fails as not sent, so that the caller can choose another
/// instance.
constexpr auto send_timeout = 300ms;
constexpr auto max_waiting_calls = std::size_t{10'000};
/// 64 MB, the maximum size of an answer.
constexpr auto traversal_words = std::uint64_t{1} << 23U;

/// Outgoing connection to one peer.
struct channel {
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;

    explicit channel(kj::Own<kj::AsyncIoStream> connected)
        : stream{kj::mv(connected)}
        , network{*stream, capnp::rpc::twoparty::Side::CLIENT,
                  capnp::ReaderOptions{.traversalLimitInWords = traversal_words, .nestingLimit = 16}}
        , system{capnp::makeRpcClient(network)} {}

    auto gate() -> wire::Gate::Client {
        auto message = capnp::MallocMessageBuilder{8};
        auto id = message.initRoot<capnp::rpc::twoparty::VatId>();
        id.setSide(capnp::rpc::twoparty::Side::SERVER);
        return system.bootstrap(id).castAs<wire::Gate>();
    }
};

/// A call queued until the connection is established. `start` sends it; `fail` reports that it was not sent.
struct waiting_call {
    time_point deadline;
    std::function<void(wire::Peer::Client&)> start;
    std::function<void()> fail;
};

struct link {
    std::string address;
    kj::Own<channel> connection;
    kj::Maybe<wire::Peer::Client> peer;
    kj::Promise<void> connecting = nullptr;
    bool is_connecting = false;
    std::uint64_t generation = 0; ///< incremented when a connection is established or closed
    time_point connecting_since;
    time_point next_attempt_at;
    time_point last_activity; ///< last answer, or first unanswered short call
    unsigned short_calls = 0;
    unsigned long_calls = 0;
    std::vector<waiting_call> waiting;
};

/// Version and text of fetched records; empty if the text cannot be expanded.
template <class Results>
auto decode_records(Results& from) -> std::optional<config_reply> {
    const auto data = from.getCompressed();
    if (data.size() == 0) {
        return config_reply{from.getVersion(), std::string{from.getText()}};
    }
    auto text = expand_text({reinterpret_cast<const char*>(data.begin()), data.size()});
    return text ? std::optional{config_reply{from.getVersion(), std::move(*text)}} : std::nullopt;
}

} // namespace

class peer_rpc::implementation final : public kj::TaskSet::ErrorHandler {
public:
    implementation(instance_id self, const std::string& secret, peer_services services)
        : self_{std::move(self)}
        , inbound_{std::make_shared<inbound_state>()} {
        inbound_->services = std::move(services);
        inbound_->key = derive_peer_key(secret);
        inbound_->post = [this](std::function<void()> task) {
            post(std::move(task));
        };
        if (pipe2(wake_, O_CLOEXEC | O_NONBLOCK) != 0) {
            throw std::runtime_error{"cannot create the wake-up pipe of the peer thread"};
        }
        auto ready = std::promise<void>{};
        thread_ = std::thread{[this, &ready] {
            loop(ready);
        }};
        ready.get_future().wait();
    }
    implementation(const implementation&) = delete;
    auto operator=(const implementation&) -> implementation& = delete;
    virtual ~implementation() { stop(); }

    auto stop() -> void {
        if (thread_.joinable()) {
            post([this] { stopping_->fulfill(); });
            thread_.join();
            close(wake_[0]);
            close(wake_[1]);
        }
    }

    auto post(std::function<void()> task) -> void {
        auto wake = false;
        {
            const auto lock = std::lock_guard{mutex_};
            if (closed_) {
                return;
            }
            wake = tasks_.empty();
            tasks_.push_back(std::move(task));
        }
        if (wake) {
            const auto byte = char{1};
            [[maybe_unused]] const auto n = write(wake_[1], &byte, 1);
        }
    }

    auto listen(const std::string& address) -> std::uint16_t {
        auto port = std::promise<std::uint16_t>{};
        post([this, address, &port] {
            auto& network = io_->provider->getNetwork();
            task_set_->add(network.parseAddress(address.c_str())
                               .then([this, &port](kj::Own<kj::NetworkAddress> parsed) {
                                   listener_ = parsed->listen();
                                   port.set_value(static_cast<std::uint16_t>(listener_->getPort()));
                                   return accept();
                               })
                               .catch_([this, &port](kj::Exception&& /*error*/) {
                                   if (!listener_) {
                                       port.set_value(0);
                                   }
                               }));
        });
        return port.get_future().get();
    }

    /// Sends a call that a working peer answers without delay.
    template <class Start, class Done, class Fail>
    auto call_short(const std::string& address, time_point deadline, Start start, Done done, Fail fail)
        -> void {
        call(address, deadline, false, std::move(start), std::move(done),
             [fail](call_failure /*why*/) { fail(); });
    }

    /// `start(peer)` sends the call and returns the promise of its results; `done(results)` receives them.
    template <class Start, class Done, class Fail>
    auto call(const std::string& address, time_point deadline, bool is_long, Start start, Done done,
              Fail fail) -> void {
        post([=, this, start = std::move(start), done = std::move(done), fail = std::move(fail)]() mutable {
            auto& to = link_to(address);
            auto send = [=, this, &to](wire::Peer::Client& peer) mutable {
                ++calls_;
                const auto now = clock_now();
                if (to.short_calls == 0 && !is_long) {
                    to.last_activity = now;
                }
                if (is_long && to.short_calls == 0 && to.long_calls == 0) {
                    to.last_activity = now;
                }
                ++(is_long ? to.long_calls : to.short_calls);
                const auto generation = to.generation;
                auto answered = [this, &to, generation, is_long] {
                    if (to.generation == generation) {
                        to.last_activity = clock_now();
                        --(is_long ? to.long_calls : to.short_calls);
                    }
                };
                task_set_->add(start(peer).then(
                    [answered, done](auto&& results) mutable {
                        answered();
                        done(results);
                    },
                    [this, answered, fail](kj::Exception&& /*error*/) mutable {
                        answered();
                        ++failed_calls_;
                        fail(call_failure::lost);
                    }));
            };
            KJ_IF_MAYBE (peer, to.peer) {
                send(*peer);
                return;
            }
            if (to.waiting.size() >= max_waiting_calls) {
                fail(call_failure::not_sent);
                return;
            }
            to.waiting.push_back(
                waiting_call{std::min(deadline, clock_now() + send_timeout), send, [fail]() mutable {
                                 fail(call_failure::not_sent);
                             }});
            connect(to);
        });
    }

    auto services() -> const peer_services& { return inbound_->services; }

    auto counters() -> peer_counters {
        return {0,
                calls_.load(),
                failed_calls_.load(),
                connection_attempts_.load(),
                inbound_->refused_proofs,
                inbound_->refused_connections.load()};
    }

private:
    auto loop(std::promise<void>& ready) -> void {
        auto io = kj::setupAsyncIo();
        io_ = &io;
        task_set_ = kj::heap<kj::TaskSet>(*this);
        auto pair = kj::newPromiseAndFulfiller<void>();
        stopping_ = kj::mv(pair.fulfiller);
        wake_stream_ = io.lowLevelProvider->wrapInputFd(wake_[0]);
        task_set_->add(run_tasks());
        task_set_->add(check_links());
        ready.set_value();
        pair.promise.wait(io.waitScope);
        task_set_ = nullptr; // cancels all calls
        {
            const auto lock = std::lock_guard{mutex_};
            closed_ = true;
            tasks_.clear();
        }
        links_.clear();
        listener_ = nullptr;
        wake_stream_ = nullptr;
        stopping_ = nullptr;
    }

    auto run_tasks() -> kj::Promise<void> {
        return wake_stream_->tryRead(wake_buffer_, 1, sizeof wake_buffer_).then([this](std::size_t /*n*/) {
            auto tasks = std::vector<std::function<void()>>{};
            {
                const auto lock = std::lock_guard{mutex_};
                tasks.swap(tasks_);
            }
            for (auto& it : tasks) {
                run_guarded(it);
            }
            return run_tasks();
        });
    }

    /// An exception ends this task only; the thread has to go on with the others.
    template <class Task>
    static auto run_guarded(Task&& task) -> void {
        try {
            task();
        } catch (const std::exception& error) {
            KJ_LOG(ERROR, "a task of the peer thread failed", error.what());
        }
    }

    auto accept() -> kj::Promise<void> {
        return listener_->accept().then([this](kj::Own<kj::AsyncIoStream> stream) {
            auto on = 1;
            stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            task_set_->add(serve_peer(inbound_, kj::mv(stream), io_->provider->getTimer()));
            return accept();
        });
    }

    auto link_to(const std::string& address) -> link& {
        auto& found = links_[address];
        if (!found) {
            found = std::make_unique<link>();
            found->address = address;
        }
        return *found;
    }

    auto connect(link& to) -> void {
        const auto now = clock_now();
        if (to.is_connecting || now < to.next_attempt_at) {
            return;
        }
        to.is_connecting = true;
        to.connecting_since = now;
        ++connection_attempts_;
        auto& network = io_->provider->getNetwork();
        to.connecting =
            network.parseAddress(to.address.c_str())
                .then([](kj::Own<kj::NetworkAddress> address) {
                    auto connected = address->connect();
                    return connected.attach(kj::mv(address));
                })
                .then([this, &to](kj::Own<kj::AsyncIoStream> stream) {
                    auto on = 1;
                    stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                    to.connection = kj::heap<channel>(kj::mv(stream));
                    auto gate = to.connection->gate();
                    return gate.challengeRequest().send().then([this, gate](auto&& challenge) mutable {
                        auto enter = gate.enterRequest();
                        const auto proof = make_peer_proof(inbound_->key, challenge.getNonce(), self_.value);
                        enter.setFrom(self_.value);
                        enter.setProof({reinterpret_cast<const kj::byte*>(proof.data()), proof.size()});
                        return enter.send();
                    });
                })
                .then([this, &to](auto&& entered) {
                    to.peer = entered.getPeer();
                    to.is_connecting = false;
                    ++to.generation;
                    to.short_calls = 0;
                    to.long_calls = 0;
                    to.last_activity = clock_now();
                    // The channel must not be destroyed inside its own promise, so a posted task handles
                    // the disconnect.
                    const auto generation = to.generation;
                    task_set_->add(to.connection->network.onDisconnect().then([this, &to, generation] {
                        post([this, &to, generation] {
                            if (to.generation == generation) {
                                drop(to);
                            }
                        });
                    }));
                    auto waiting = std::move(to.waiting);
                    to.waiting.clear();
                    KJ_IF_MAYBE (peer, to.peer) {
                        for (auto& it : waiting) {
                            it.start(*peer);
                        }
                    }
                })
                .catch_([this, &to](kj::Exception&& /*error*/) {
                    post([this, &to] {
                        drop(to);
                        auto waiting = std::move(to.waiting);
                        to.waiting.clear();
                        for (auto& it : waiting) {
                            it.fail();
                        }
                    });
                })
                .eagerlyEvaluate(nullptr);
    }

    /// Closes the connection; its calls in flight fail as lost.
    auto drop(link& to) -> void {
        to.connecting = nullptr;
        to.is_connecting = false;
        to.peer = nullptr;
        ++to.generation;
        to.connection = nullptr;
        to.short_calls = 0;
        to.long_calls = 0;
        to.next_attempt_at = clock_now() + reconnect_backoff;
    }

    auto check_links() -> kj::Promise<void> {
        return io_->provider->getTimer().afterDelay(check_interval_ms * kj::MILLISECONDS).then([this] {
            const auto now = clock_now();
            for (auto& it : links_) {
                run_guarded([&] { check(*it.second, now); });
            }
            return check_links();
        });
    }

    auto check(link& to, time_point now) -> void {
        if (to.is_connecting && now - to.connecting_since > connect_timeout) {
            drop(to);
        }
        if (to.peer != nullptr) {
            if ((to.short_calls > 0 && now - to.last_activity > answer_timeout)) {
                drop(to);
            } else if (to.long_calls > 0 && to.short_calls == 0 && now - to.last_activity > ping_delay) {
                call_short(
                    to.address, now + 1s, [](wire::Peer::Client& peer) { return peer.pingRequest().send(); },
                    [](auto&) {}, [] {});
            }
        }
        if (!to.waiting.empty()) {
            auto left = std::vector<waiting_call>{};
            auto expired = std::vector<waiting_call>{};
            for (auto& it : to.waiting) {
                (it.deadline <= now ? expired : left).push_back(std::move(it));
            }
            to.waiting = std::move(left);
            for (auto& it : expired) {
                it.fail();
            }
            if (!to.waiting.empty() && to.peer == nullptr) {
                connect(to);
            }
        }
    }

    auto taskFailed(kj::Exception&& /*exception*/) -> void override {}

    instance_id self_;
    std::shared_ptr<inbound_state> inbound_;
    int wake_[2] = {-1, -1};
    std::mutex mutex_;
    std::vector<std::function<void()>> tasks_;
    bool closed_ = false;
    std::atomic<std::uint64_t> calls_ = 0;
    std::atomic<std::uint64_t> failed_calls_ = 0;
    std::atomic<std::uint64_t> connection_attempts_ = 0;
    // Used on the peer thread only.
    kj::AsyncIoContext* io_ = nullptr;
    kj::Own<kj::TaskSet> task_set_;
    kj::Own<kj::PromiseFulfiller<void>> stopping_;
    kj::Own<kj::AsyncInputStream> wake_stream_;
    char wake_buffer_[64] = {};
    kj::Own<kj::ConnectionReceiver> listener_;
    std::map<std::string, std::unique_ptr<link>> links_;
    std::thread thread_;
};

peer_rpc::peer_rpc(instance_id self, const std::string& secret, peer_services services)
    : impl_{std::make_unique<implementation>(std::move(self), secret, std::move(services))} {}

peer_rpc::~peer_rpc() = default;

auto peer_rpc::listen(const std::string& address) -> std::uint16_t {
    return impl_->listen(address);
}

auto peer_rpc::send_cell_message(const std::string& address, peer_message message, hybrid_time at) -> void {
    // A message that cannot be sent in time is dropped; the cell node retransmits where needed.
    impl_->call_short(
        address, clock_now() + 400ms,
        [message = std::move(message), at](wire::Peer::Client& peer) {
            auto it = peer.cellMessageRequest();
            it.setWallUs(at.wall_us);
            it.setCounter(at.counter);
            it.setSender(at.instance.value);
            encode(message, it.initMessage());
            return it.send();
        },
        [this](auto& it) {
            for (const auto reply : it.getReplies()) {
                if (auto decoded = decode(reply)) {
                    impl_->services().cell_reply(std::move(*decoded));
                }
            }
        },
        [] {});
}

auto peer_rpc::execute(const std::string& address, request work, std::function<void(execute_reply)> done)
    -> void {
    const auto deadline = work.deadline;
    impl_->call(
        address, deadline, true,
        [work = std::move(work)](wire::Peer::Client& peer) {
            auto it = peer.executeRequest();
            encode(work, clock_now(), it.initRequest());
            return it.send();
        },
        [done](auto& results) {
            auto epoch = epoch_number{0};
            if (auto value = decode(results.getAnswer(), epoch)) {
                done(std::pair{std::move(*value), epoch});
            } else {
                done(call_failure::lost);
            }
        },
        [done](call_failure reason) { done(reason); });
}

auto peer_rpc::take_grant(const std::string& address, account_id account, std::uint32_t wanted,
                          time_point deadline, std::function<void(std::optional<grant_reply>)> done) -> void {
    impl_->call_short(
        address, deadline,
        [account = std::move(account), wanted, deadline](wire::Peer::Client& peer) {
            auto it = peer.takeGrantRequest();
            it.setAccount(account.value);
            it.setWanted(wanted);
            it.setRemainingUs((deadline - clock_now()).count());
            return it.send();
        },
        [done](auto& it) {
            done(grant_reply{it.getHeld(), it.getTokens(), duration{it.getWaitUs()}});
        },
        [done] { done(std::nullopt); });
}

auto peer_rpc::return_tokens(const std::string& address, account_id account, std::uint32_t tokens,
                             duration age) -> void {
    impl_->call_short(
        address, clock_now() + 200ms,
        [account = std::move(account), tokens, age](wire::Peer::Client& peer) {
            auto it = peer.giveBackRequest();
            it.setAccount(account.value);
            it.setTokens(tokens);
            it.setAgeUs(age.count());
            return it.send();
        },
        [](auto&) {}, [] {});
}

auto peer_rpc::fetch_config(const std::string& address, std::uint64_t version,
                            std::function<void(std::optional<config_reply>)> done) -> void {
    impl_->call_short(
        address, clock_now() + 1s,
        [version](wire::Peer::Client& peer) {
            auto it = peer.fetchConfigRequest();
            it.setVersion(version);
            it.setAcceptsCompressed(true);
            return it.send();
        },
        [done](auto& it) { done(decode_records(it)); }, [done] { done(std::nullopt); });
}

auto peer_rpc::fetch_servers(const std::string& address,
                             std::function<void(std::optional<config_reply>)> done) -> void {
    impl_->call_short(
        address, clock_now() + 300ms,
        [](wire::Peer::Client& peer) {
            auto it = peer.fetchServersRequest();
            it.setAcceptsCompressed(true);
            return it.send();
        },
        [done](auto& it) {
            auto reply = decode_records(it);
            if (reply) {
                reply->basis = {it.getEra(), it.getRevision()};
            }
            done(std::move(reply));
        },
        [done] { done(std::nullopt); });
}

auto peer_rpc::locate(const std::string& address, role_id role,
                      std::function<void(std::optional<role_location>)> done) -> void {
    impl_->call_short(
        address, clock_now() + 1s,
        [role = std::move(role)](wire::Peer::Client& peer) {
            auto it = peer.locateRequest();
            it.setKind(static_cast<std::uint8_t>(role.kind));
            it.setName(role.name);
            return it.send();
        },
        [done](auto& it) {
            if (it.getFound()) {
                done(role_location{instance_id{std::string{it.getInstance()}}, std::string{it.getAddress()},
                                   it.getEpoch()});
            } else {
                done(std::nullopt);
            }
        },
        [done] { done(std::nullopt); });
}

auto peer_rpc::timeline(const std::string& address, timeline_filter filter,
                        std::function<void(std::optional<std::vector<timeline_event>>)> done) -> void {
    impl_->call_short(
        address, clock_now() + 1s,
        [filter = std::move(filter)](wire::Peer::Client& peer) {
            auto it = peer.timelineRequest();
            encode(filter, it.initFilter());
            return it.send();
        },
        [done](auto& it) {
            auto events = std::vector<timeline_event>{};
            for (const auto event : it.getEvents()) {
                events.push_back(decode(event));
            }
            done(std::move(events));
        },
        [done] { done(std::nullopt); });
}

auto peer_rpc::report(const std::string& address, instance_report report,
                      std::function<void(std::optional<report_answer>)> done) -> void {
    impl_->call_short(
        address, clock_now() + 300ms,
        [report = std::move(report)](wire::Peer::Client& peer) {
            auto it = peer.reportRequest();
            encode(report, it.initReport());
            return it.send();
        },
        [done](auto& it) { done(decode(it.getAnswer())); }, [done] { done(std::nullopt); });
}

auto peer_rpc::announce(const std::string& address, const coordinator_lease& lease) -> void {
    impl_->call_short(
        address, clock_now() + 300ms,
        [lease](wire::Peer::Client& peer) {
            auto it = peer.announceRequest();
            it.setHolder(lease.holder.value);
            it.setRun(lease.run);
            it.setToken(lease.fencing_token);
            it.setAddress(lease.peer_address);
            return it.send();
        },
        [](auto&) {}, [] {});
}

auto peer_rpc::config_version(const std::string& address,
                              std::function<void(std::optional<std::uint64_t>)> done) -> void {
    impl_->call_short(
        address, clock_now() + 1s, [](wire::Peer::Client& peer) { return peer.pingRequest().send(); },
        [done](auto& it) { done(it.getConfigVersion()); }, [done] { done(std::nullopt); });
}

auto peer_rpc::cancel(const std::string& address, database_id database, account_id account, request_id id)
    -> void {
    impl_->call_short(
        address, clock_now() + 500ms,
        [=](wire::Peer::Client& peer) {
            auto it = peer.cancelRequest();
            it.setDatabase(database.value);
            it.setAccount(account.value);
            it.setRequest(id.value);
            return it.send();
        },
        [](auto&) {}, [] {});
}

auto peer_rpc::counters() const -> peer_counters {
    return impl_->counters();
}

auto peer_rpc::stop() -> void {
    impl_->stop();
}

} // namespace citronlug
