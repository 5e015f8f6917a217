#pragma once

#include <citronlug/message_frames.h>

#include <kj/async-io.h>
#include <kj/debug.h>

#include <cstdint>
#include <functional>

namespace citronlug {

/// Limits of the messages that one connection may receive.
struct receive_limits {
    message_frames frames;
    std::uint64_t total_left; ///< bytes
};

/// Stream that fails reads once the peer exceeds a limit, before the RPC library allocates the announced
/// message. Both references must outlive it.
class limited_stream final : public kj::AsyncIoStream {
public:
    limited_stream(kj::AsyncIoStream& inner, receive_limits& limits, std::function<void()> on_refused)
        : inner_{inner}
        , limits_{limits}
        , on_refused_{std::move(on_refused)} {}
    virtual ~limited_stream() = default;
    KJ_DISALLOW_COPY(limited_stream);

    auto tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes)
        -> kj::Promise<std::size_t> override {
        return inner_.tryRead(buffer, min_bytes, max_bytes).then([this, buffer](std::size_t n) {
            const auto data = std::span{static_cast<const std::byte*>(buffer), n};
            if (n > limits_.total_left || !limits_.frames.feed(data)) {
                on_refused_();
                KJ_FAIL_REQUIRE("the peer sent more than it may");
            }
            limits_.total_left -= n;
            return n;
        });
    }
    auto write(const void* buffer, std::size_t size) -> kj::Promise<void> override {
        return inner_.write(buffer, size);
    }
    auto write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) -> kj::Promise<void> override {
        return inner_.write(pieces);
    }
    auto whenWriteDisconnected() -> kj::Promise<void> override { return inner_.whenWriteDisconnected(); }
    auto shutdownWrite() -> void override { inner_.shutdownWrite(); }
    auto abortRead() -> void override { inner_.abortRead(); }

private:
    kj::AsyncIoStream& inner_;
    receive_limits& limits_;
    std::function<void()> on_refused_;
};

} // namespace citronlug
