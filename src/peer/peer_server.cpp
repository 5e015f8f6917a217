#include "peer_server.h"

#include "event_thread.h"
#include "limited_stream.h"
#include "peer_codec.h"

#include <capnp/rpc-twoparty.h>
#include <sodium.h>

#include <limits>

namespace citronlug {

namespace {

constexpr auto max_unauthenticated = 64U;
constexpr auto max_connections = 1000U;
/// A peer that has not authenticated sends four short messages: start, challenge, proof and release.
constexpr auto max_unauthenticated_message = std::uint64_t{4} * 1024;
constexpr auto max_unauthenticated_bytes = 4 * max_unauthenticated_message;
/// Largest message of an authenticated peer; a request body has at most 1 MB.
constexpr auto max_message = std::uint64_t{16} * 1024 * 1024;
constexpr auto traversal_words = max_message / 8;

/// Returns a promise and a function that fulfils it from any thread.
template <class Value>
auto make_reply(const peer_thread_post& post) -> std::pair<kj::Promise<Value>, std::function<void(Value)>> {
    auto pair = kj::newPromiseAndFulfiller<Value>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<Value>>>(kj::mv(pair.fulfiller));
    // The fulfiller belongs to the peer thread, so its last owner must be a task of that thread.
    auto fulfil = [post, fulfiller = std::move(fulfiller)](Value value) mutable {
        auto shared_value = std::make_shared<Value>(std::move(value));
        post([fulfiller = std::move(fulfiller), shared_value] {
            (*fulfiller)->fulfill(std::move(*shared_value));
        });
    };
    return {kj::mv(pair.promise), std::move(fulfil)};
}

struct execute_value {
    answer value;
    epoch_number epoch = 0;
};

template <class Results>
auto encode_records(const config_reply& reply, bool accepts_compressed, Results to) -> void {
    to.setVersion(reply.version);
    if (accepts_compressed && !reply.compressed.empty()) {
        to.setCompressed(
            {reinterpret_cast<const kj::byte*>(reply.compressed.data()), reply.compressed.size()});
    } else {
        to.setText(reply.text);
    }
}

class peer_impl final : public wire::Peer::Server {
public:
    explicit peer_impl(std::shared_ptr<inbound_state> state)
        : state_{std::move(state)} {}
    virtual ~peer_impl() = default;
    KJ_DISALLOW_COPY(peer_impl);

    auto cellMessage(CellMessageContext context) -> kj::Promise<void> override {
        const auto params = context.getParams();
        auto message = decode(params.getMessage());
        if (!message) {
            return kj::READY_NOW;
        }
        auto [promise, fulfil] = make_reply<std::vector<peer_message>>(state_->post);
        state_->services.cell_message(std::move(*message),
                                      hybrid_time{params.getWallUs(), params.getCounter(),
                                                  instance_id{std::string{params.getSender()}}},
                                      std::move(fulfil));
        return promise.then([context](const std::vector<peer_message>& replies) mutable {
            auto list = context.getResults().initReplies(static_cast<unsigned>(replies.size()));
            for (auto n = 0U; n < list.size(); ++n) {
                encode(replies[n], list[n]);
            }
        });
    }

    auto execute(ExecuteContext context) -> kj::Promise<void> override {
        auto work = decode(context.getParams().getRequest(), clock_now());
        context.releaseParams();
        if (!work) {
            auto value = answer{};
            value.error = failure{failure_code::bad_request, "the forwarded request cannot be decoded", {}};
            encode(value, 0, context.getResults().initAnswer());
            return kj::READY_NOW;
        }
        auto [promise, fulfil] = make_reply<execute_value>(state_->post);
        state_->services.execute(std::move(*work),
                                 [fulfil = std::move(fulfil)](answer value, epoch_number epoch) mutable {
                                     fulfil(execute_value{std::move(value), epoch});
                                 });
        return promise.then([context](execute_value it) mutable {
            encode(it.value, it.epoch, context.getResults().initAnswer());
        });
    }

    auto takeGrant(TakeGrantContext context) -> kj::Promise<void> override {
        auto [promise, fulfil] = make_reply<grant_reply>(state_->post);
        const auto params = context.getParams();
        state_->services.take_grant(account_id{std::string{params.getAccount()}}, params.getWanted(),
                                    std::move(fulfil));
        return promise.then([context](grant_reply it) mutable {
            auto results = context.getResults();
            results.setHeld(it.is_accountant);
            results.setTokens(it.tokens);
            results.setWaitUs(it.wait.count());
        });
    }

    auto report(ReportContext context) -> kj::Promise<void> override {
        auto [promise, fulfil] = make_reply<report_answer>(state_->post);
        state_->services.report(decode(context.getParams().getReport()), std::move(fulfil));
        return promise.then(
            [context](const report_answer& it) mutable { encode(it, context.getResults().initAnswer()); });
    }

    auto announce(AnnounceContext context) -> kj::Promise<void> override {
        const auto params = context.getParams();
        state_->services.announce({instance_id{std::string{params.getHolder()}},
                                   params.getRun(),
                                   params.getToken(),
                                   0,
                                   std::string{params.getAddress()},
                                   {}});
        return kj::READY_NOW;
    }

    auto giveBack(GiveBackContext context) -> kj::Promise<void> override {
        const auto params = context.getParams();
        state_->services.return_tokens(account_id{std::string{params.getAccount()}}, params.getTokens(),
                                       duration{params.getAgeUs()});
        return kj::READY_NOW;
    }

    auto fetchConfig(FetchConfigContext context) -> kj::Promise<void> override {
        const auto reply = state_->services.fetch_config(context.getParams().getVersion());
        encode_records(reply, context.getParams().getAcceptsCompressed(), context.getResults());
        return kj::READY_NOW;
    }

    auto fetchServers(FetchServersContext context) -> kj::Promise<void> override {
        const auto reply = state_->services.fetch_servers();
        auto results = context.getResults();
        encode_records(reply, context.getParams().getAcceptsCompressed(), results);
        results.setEra(reply.basis.era);
        results.setRevision(reply.basis.revision);
        return kj::READY_NOW;
    }

    auto locate(LocateContext context) -> kj::Promise<void> override {
        const auto params = context.getParams();
        const auto kind = params.getKind() == 0 ? role_kind::database : role_kind::account;
        const auto found = state_->services.locate(role_id{kind, std::string{params.getName()}});
        auto results = context.getResults();
        results.setFound(found.has_value());
        if (found) {
            results.setInstance(found->holder.value);
            results.setAddress(found->peer_address);
            results.setEpoch(found->epoch);
        }
        return kj::READY_NOW;
    }

    auto timeline(TimelineContext context) -> kj::Promise<void> override {
        const auto events = state_->services.timeline(decode(context.getParams().getFilter()));
        auto list = context.getResults().initEvents(static_cast<unsigned>(events.size()));
        for (auto n = 0U; n < list.size(); ++n) {
            encode(events[n], list[n]);
        }
        return kj::READY_NOW;
    }

    auto ping(PingContext context) -> kj::Promise<void> override {
        context.getResults().setConfigVersion(state_->services.config_version());
        return kj::READY_NOW;
    }

    auto cancel(CancelContext context) -> kj::Promise<void> override {
        const auto params = context.getParams();
        state_->services.cancel(database_id{std::string{params.getDatabase()}},
                                account_id{std::string{params.getAccount()}},
                                request_id{std::string{params.getRequest()}});
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<inbound_state> state_;
};

/// State of one connection, shared by its gate and its authentication timeout.
struct connection_state {
    bool is_authenticated = false;
    std::uint64_t number = 0;
    receive_limits limits{message_frames{max_unauthenticated_message}, max_unauthenticated_bytes};
};

class gate_impl final : public wire::Gate::Server {
public:
    gate_impl(std::shared_ptr<inbound_state> state, std::shared_ptr<connection_state> connection)
        : state_{std::move(state)}
        , connection_{std::move(connection)} {
        randombytes_buf(nonce_, sizeof nonce_);
    }

    virtual ~gate_impl() = default;
    KJ_DISALLOW_COPY(gate_impl);

    auto challenge(ChallengeContext context) -> kj::Promise<void> override {
        context.getResults().setNonce(kj::arrayPtr(nonce_, sizeof nonce_));
        return kj::READY_NOW;
    }

    auto enter(EnterContext context) -> kj::Promise<void> override {
        const auto params = context.getParams();
        const auto expected =
            make_peer_proof(state_->key, kj::arrayPtr(nonce_, sizeof nonce_), std::string{params.getFrom()});
        const auto proof = params.getProof();
        if (connection_->is_authenticated || proof.size() != expected.size() ||
            sodium_memcmp(proof.begin(), expected.data(), expected.size()) != 0) {
            ++state_->refused_proofs;
            return KJ_EXCEPTION(FAILED, "peer authentication failed: invalid proof of the peer secret");
        }
        connection_->is_authenticated = true;
        connection_->limits.frames.set_limit(max_message);
        connection_->limits.total_left = std::numeric_limits<std::uint64_t>::max();
        state_->unauthenticated.erase(connection_->number);
        context.getResults().setPeer(kj::heap<peer_impl>(state_));
        return kj::READY_NOW;
    }

private:
    std::shared_ptr<inbound_state> state_;
    std::shared_ptr<connection_state> connection_;
    kj::byte nonce_[32] = {};
};

/// One accepted connection.
struct inbound_connection {
    inbound_connection(std::shared_ptr<inbound_state> shared, kj::Own<kj::AsyncIoStream> accepted)
        : state{std::move(shared)}
        , connection{std::make_shared<connection_state>()}
        , stream{kj::mv(accepted)}
        , limited{*stream, connection->limits,
                  [this] {
                      ++state->refused_connections;
                  }}
        , network{limited, capnp::rpc::twoparty::Side::SERVER,
                  capnp::ReaderOptions{.traversalLimitInWords = traversal_words, .nestingLimit = 16}}
        , system{capnp::makeRpcServer(network, kj::heap<gate_impl>(state, connection))} {
        connection->number = ++state->last_connection;
        ++state->connections;
    }
    inbound_connection(const inbound_connection&) = delete;
    auto operator=(const inbound_connection&) -> inbound_connection& = delete;
    ~inbound_connection() {
        --state->connections;
        state->unauthenticated.erase(connection->number);
    }

    std::shared_ptr<inbound_state> state;
    std::shared_ptr<connection_state> connection;
    kj::Own<kj::AsyncIoStream> stream;
    limited_stream limited;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

} // namespace

auto derive_peer_key(const std::string& secret) -> std::string {
    auto key = std::string(crypto_auth_KEYBYTES, '\0');
    crypto_generichash(reinterpret_cast<unsigned char*>(key.data()), key.size(),
                       reinterpret_cast<const unsigned char*>(secret.data()), secret.size(), nullptr, 0);
    return key;
}

auto make_peer_proof(const std::string& key, kj::ArrayPtr<const kj::byte> nonce, const std::string& sender)
    -> std::string {
    auto text = std::string{reinterpret_cast<const char*>(nonce.begin()), nonce.size()};
    text += sender;
    auto proof = std::string(crypto_auth_BYTES, '\0');
    crypto_auth(reinterpret_cast<unsigned char*>(proof.data()),
                reinterpret_cast<const unsigned char*>(text.data()), text.size(),
                reinterpret_cast<const unsigned char*>(key.data()));
    return proof;
}

auto serve_peer(std::shared_ptr<inbound_state> state, kj::Own<kj::AsyncIoStream> stream, kj::Timer& timer)
    -> kj::Promise<void> {
    if (state->connections >= max_connections) {
        return kj::READY_NOW; // closes the stream
    }
    if (state->unauthenticated.size() >= max_unauthenticated) {
        // The oldest is closed instead of the new one, so that connections that send nothing keep no peer
        // out.
        const auto oldest = state->unauthenticated.begin();
        auto close = kj::mv(oldest->second);
        state->unauthenticated.erase(oldest);
        ++state->refused_connections;
        close->fulfill();
    }
    auto served = kj::heap<inbound_connection>(state, kj::mv(stream));
    auto connection = served->connection;
    auto closed = served->network.onDisconnect();
    auto evicted = kj::newPromiseAndFulfiller<void>();
    state->unauthenticated.emplace(connection->number, kj::mv(evicted.fulfiller));
    auto timeout = timer.afterDelay(2 * kj::SECONDS).then([connection]() -> kj::Promise<void> {
        if (connection->is_authenticated) {
            return kj::NEVER_DONE;
        }
        return kj::READY_NOW;
    });
    // The fulfiller is dropped at authentication, which must not end the connection.
    auto eviction =
        evicted.promise.then([]() -> kj::Promise<void> { return kj::READY_NOW; },
                             [](kj::Exception&& /*dropped*/) -> kj::Promise<void> { return kj::NEVER_DONE; });
    return closed.exclusiveJoin(kj::mv(timeout)).exclusiveJoin(kj::mv(eviction)).attach(kj::mv(served));
}

} // namespace citronlug
