#include <citronlug/record_copy.h>

#include <algorithm>

namespace citronlug {

namespace {

auto index_of(copy_source source) -> std::size_t {
    return static_cast<std::size_t>(source);
}

} // namespace

auto record_copy::covers(copy_source by, copy_source source, const statement& it) const -> bool {
    if (!it.as_of) {
        return false;
    }
    // What a source delivers after a statement of its own is not older than what that speaks of. Numbers that
    // rise tell this of any source.
    const auto is_later = held_since_ >= *it.as_of;
    return it.version == held_ ||
           (is_later && (order_ == version_order::rising ? held_ > it.version : by == source));
}

auto record_copy::hold(time_point now, copy_source source, std::uint64_t version) -> void {
    if (version == held_) {
        return;
    }
    held_ = version;
    held_since_ = now;
    for (const auto it : {copy_source::store, copy_source::coordinator}) {
        const auto& last = statements_.at(index_of(it));
        if (covers(source, it, last)) {
            confirmed_at_.at(index_of(it)) = std::max(confirmed_at_.at(index_of(it)), last.as_of);
        }
    }
    // Another list than the named one may be newer than that. The next statement tells.
    if (order_ == version_order::unordered || named_version_ <= held_) {
        behind_since_.reset();
    }
}

auto record_copy::on_statement(time_point now, copy_source source, std::uint64_t version, time_point as_of)
    -> bool {
    if (order_ == version_order::unordered && version == 0) {
        return false;
    }
    auto& last = statements_.at(index_of(source));
    if (order_ == version_order::rising && version < held_) {
        // The source does not know the held version, so later ones may be unknown to it as well.
        last = {};
        return false;
    }
    if (!last.as_of || *last.as_of <= as_of) {
        last = {version, as_of};
    }
    if (version == held_) {
        auto& confirmed = confirmed_at_.at(index_of(source));
        confirmed = std::max(confirmed, std::optional{as_of});
        if (named_version_ == held_) {
            behind_since_.reset();
        }
        return true;
    }
    named_version_ = version;
    behind_since_ = behind_since_.value_or(now);
    return false;
}

auto record_copy::confirmed_at(copy_source source) const -> std::optional<time_point> {
    return confirmed_at_.at(index_of(source));
}

auto record_copy::confirmed_at() const -> std::optional<time_point> {
    return std::max(confirmed_at_.at(0), confirmed_at_.at(1));
}

auto record_copy::age(time_point now) const -> duration {
    const auto at = confirmed_at();
    return at ? now - *at : duration::max();
}

} // namespace citronlug
