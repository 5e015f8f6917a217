#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace citronlug {

/// Follows the framing of Cap'n Proto messages in a stream (a table with the number and the sizes of
/// segments, then the segments), and detects a message that is larger than a limit before its content has
/// been received.
class message_frames {
public:
    explicit message_frames(std::uint64_t max_message_bytes)
        : max_message_bytes_{max_message_bytes} {}

    /// Applies from the next message.
    auto set_limit(std::uint64_t max_message_bytes) -> void { max_message_bytes_ = max_message_bytes; }
    /// Returns false from the first message that is too large.
    [[nodiscard]] auto feed(std::span<const std::byte> data) -> bool;

private:
    /// The first number of the table is the number of segments minus one; then come their sizes in words of 8
    /// bytes, and padding to a whole word.
    auto on_number(std::uint32_t number) -> bool;

    std::uint64_t max_message_bytes_;
    std::uint64_t content_left_ = 0; ///< bytes of the current message
    std::uint64_t content_ = 0;      ///< bytes of the segments in the part of the table that was read
    std::uint64_t numbers_left_ = 0; ///< of the current table; 0: the next number begins a table
    std::uint64_t sizes_left_ = 0;
    std::uint32_t number_ = 0; ///< partly received, little-endian
    unsigned number_bytes_ = 0;
    bool too_large_ = false;
};

} // namespace citronlug
