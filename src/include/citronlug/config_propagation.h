#pragma once

#include <citronlug/cell_node.h>
#include <citronlug/types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace citronlug {

/// Maximum age of a store read that proves the configuration current.
inline constexpr duration config_evidence_max_age = 2s;

/// Propagation of the configuration between instances: tracks the newest version, selects the source to fetch
/// it from and decides when serving may start and whether the configuration is current. Performs no I/O. Not
/// thread-safe.
class config_propagation {
public:
    config_propagation(cell_id cell, instance_id self, std::uint64_t seed);

    /// Records that the content of a version has arrived. Returns false if it is not newer than the held
    /// version; the content must then be discarded.
    [[nodiscard]] auto on_content(std::uint64_t version) -> bool;
    /// Records the version returned by a read of the store's configuration object that was sent at `asked_at`
    /// (0: no such object). A version below the newest known one is stale and ignored.
    auto on_store_read(time_point asked_at, std::uint64_t version) -> void;
    /// Records the version held by a peer of this or another cell.
    auto on_peer_version(time_point now, const instance_id& from, std::uint64_t version) -> void;
    /// Records the version carried by heartbeats and their answers; ignores other messages.
    auto on_peer_message(time_point now, const peer_message& message) -> void;

    /// Version whose content this instance holds; never decreases. 0: none.
    [[nodiscard]] auto held() const -> std::uint64_t { return held_; }
    /// Highest version known to exist.
    [[nodiscard]] auto newest() const -> std::uint64_t { return newest_; }

    /// Source to fetch content from and the version expected there.
    struct fetch_source {
        std::optional<instance_id> peer; ///< empty: fetch from the store
        std::uint64_t version = 0;
    };
    /// Source to fetch a newer version from now; empty if the newest is held or a fetch is in progress. A
    /// fetch that delivered no content within 500 ms is retried from another source.
    [[nodiscard]] auto next_fetch(time_point now) -> std::optional<fetch_source>;

    /// True once this instance holds the newest known version and has either read the store or received
    /// reports from more than half of the cell. Stays true from then on.
    [[nodiscard]] auto may_serve(time_point now, const cell_record& record) -> bool;
    /// True while the newest known version is held and proven current by a recent store read or the majority.
    [[nodiscard]] auto is_current(time_point now, bool has_majority) const -> bool;

    /// True if this instance should watch the store's configuration object.
    [[nodiscard]] auto is_relay(const std::vector<cell_member>& live) const -> bool;
    /// True if this instance should read the configuration from the store now, which it does every 500 ms
    /// while it has no majority.
    [[nodiscard]] auto poll_due(time_point now, bool has_majority) -> bool;
    /// Instance of another cell to exchange versions with now; at most one per second, chosen at random.
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

/// Selects the two relays of a cell: the live member with the lowest id, and the lowest in another failure
/// domain, or in the same one if there is no other.
[[nodiscard]] auto choose_relays(const std::vector<cell_member>& live) -> std::vector<instance_id>;

} // namespace citronlug
