#pragma once

#include "peer.capnp.h"
#include "peer_rpc.h"

#include <kj/async-io.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace citronlug {

/// Runs a task on the peer thread.
using peer_thread_post = std::function<void(std::function<void()>)>;

/// Derives the key that authenticates peers from the peer secret of the settings.
[[nodiscard]] auto derive_peer_key(const std::string& secret) -> std::string;
/// Computes the message authentication code of the nonce of one connection and the sender's name.
[[nodiscard]] auto make_peer_proof(const std::string& key, kj::ArrayPtr<const kj::byte> nonce,
                                   const std::string& sender) -> std::string;

struct inbound_state {
    peer_services services;
    std::string key;
    peer_thread_post post;
    /// Connections that have not authenticated yet, oldest first, each with what closes it.
    std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<void>>> unauthenticated;
    std::uint64_t last_connection = 0;
    /// Connections closed for newer ones before they authenticated, or for too large messages.
    std::atomic<std::uint64_t> refused_connections = 0;
    unsigned connections = 0;
    std::uint64_t refused_proofs = 0;
};

/// Serves one accepted connection until it closes. A connection that has not authenticated within 2 s is
/// closed.
[[nodiscard]] auto serve_peer(std::shared_ptr<inbound_state> state, kj::Own<kj::AsyncIoStream> stream,
                              kj::Timer& timer) -> kj::Promise<void>;

} // namespace citronlug
