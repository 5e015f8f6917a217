#include <citronlug/message_frames.h>

#include <algorithm>

namespace citronlug {

namespace {

constexpr auto word_bytes = std::uint64_t{8};
/// Limit of the Cap'n Proto library for the number of segments.
constexpr auto max_segments = std::uint64_t{512};

} // namespace

auto message_frames::feed(std::span<const std::byte> data) -> bool {
    while (!data.empty() && !too_large_) {
        if (content_left_ > 0) {
            const auto n = std::min<std::uint64_t>(content_left_, data.size());
            content_left_ -= n;
            data = data.subspan(static_cast<std::size_t>(n));
            continue;
        }
        number_ |= std::to_integer<std::uint32_t>(data.front()) << (8 * number_bytes_);
        data = data.subspan(1);
        if (++number_bytes_ == 4) {
            too_large_ = !on_number(number_);
            number_ = 0;
            number_bytes_ = 0;
        }
    }
    return !too_large_;
}

auto message_frames::on_number(std::uint32_t number) -> bool {
    if (numbers_left_ == 0) {
        sizes_left_ = std::uint64_t{number} + 1;
        if (sizes_left_ > max_segments) {
            return false;
        }
        // The table, including this number, has an even number of numbers.
        numbers_left_ = sizes_left_ + (sizes_left_ % 2 == 0 ? 1 : 0);
        content_ = 0;
        return true;
    }
    if (sizes_left_ > 0) {
        --sizes_left_;
        content_ += number * word_bytes;
        if (content_ > max_message_bytes_) {
            return false;
        }
    }
    if (--numbers_left_ == 0) {
        content_left_ = content_;
    }
    return true;
}

} // namespace citronlug
