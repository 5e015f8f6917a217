#pragma once

#include <citronlug/cell_node.h>
#include <citronlug/types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace citronlug {

/// Age of a store read up to which it proves that the configuration is current.
inline constexpr duration config_evidence_max_age = 2s;

/// Deciding component for the spread of the configuration: the highest version known, from whom to fetch its
/// content, when serving may start and whether the configuration is current. It performs no I/O. Not
/// thread-safe.
class config_propagation {
public:
    config_propagation(cell_id cell, instance_id self, std::uint64_t seed);

    /// The content of a version is in hand. False if it is not newer than the one held; it must not be
    /// applied then.
    [[nodiscard]] auto on_content(std::uint64_t version) -> bool;
    /// A read of the configuration object at the store, asked at `asked_at`, gave this version (0: no
    /// object). A read that is older than what is known proves nothing.
    auto on_store_read(time_point asked_at, std::uint64_t version) -> void;
    /// A peer of this or another cell stated the version that it holds.
    auto on_peer_version(time_point now, const instance_id& from, std::uint64_t version) -> void;
    /// Takes the version from heartbeats and their answers; other messages are ignored.
    auto on_peer_message(time_point now, const peer_message& message) -> void;

    /// Version whose content is held; never goes back. 0 means none.
    [[nodiscard]] auto held() const -> std::uint64_t { return held_; }
    /// Highest version known to exist.
    [[nodiscard]] auto newest() const -> std::uint64_t { return newest_; }

    struct fetch_source {
        std::optional<instance_id> peer; ///< nothing: the store
        std::uint64_t version = 0;
    };
    /// Where to fetch a newer version from now; nothing if the newest is held or a fetch is under way. A
    /// fetch that brought no content within 500 ms is followed by one from another source.
    [[nodiscard]] auto next_fetch(time_point now) -> std::optional<fetch_source>;

    /// True once this instance holds a version that it read at the store or that more than half of the cell
    /// stated, and nothing newer is known. It stays true.
    [[nodiscard]] auto may_serve(time_point now, const cell_record& record) -> bool;
    /// True while the newest version known is held and is proven current by a store read or by the majority.
    [[nodiscard]] auto is_current(time_point now, bool has_majority) const -> bool;

    /// True if this instance should keep a watch on the configuration object.
    [[nodiscard]] auto is_relay(const std::vector<cell_member>& live) const -> bool;
    /// True if this instance should read the configuration at the store now: while it has no majority.
    [[nodiscard]] auto poll_due(time_point now, bool has_majority) -> bool;
    /// Instance of another cell to exchange versions with now, one each second.
    [[nodiscard]] auto next_exchange(time_point now, const std::vector<listed_instance>& list)
        -> std::optional<listed_instance>;

private:
    struct reported_version {
        std::uint64_t version = 0;
        time_point at;
    };

    cell_id cell_;
    instance_id self_;
    std::mt19937_64 random_;
    std::uint64_t held_ = 0;
    std::uint64_t newest_ = 0;
    std::optional<time_point> last_store_read_;
    std::map<instance_id, reported_version> reported_;
    std::optional<time_point> fetch_started_;
    std::optional<instance_id> fetched_from_;
    std::optional<time_point> last_poll_;
    std::optional<time_point> last_exchange_;
    bool serving_ = false;
};

/// The two relays of a cell: the live member with the lowest id, and the lowest in another failure domain (in
/// any if there is no other).
[[nodiscard]] auto choose_relays(const std::vector<cell_member>& live) -> std::vector<instance_id>;

} // namespace citronlug
