#pragma once

#include <citronlug/desired_state.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronlug {

/// An instance whose evidence about the evacuations is older reads them from the store itself.
inline constexpr auto evacuation_evidence_lifetime = duration{3s};

/// Maximum wait of a watch of the evacuations. Shortly before its answer the evidence is twice as old. The
/// coordinator's has to leave 2.6 s of a limit of 5 s until the stop: permissions of an instance that does
/// not answer last 2.1 s, and the old primary has to be asked after them.
inline constexpr auto evacuation_watch_wait = duration{600ms};

/// More evacuated domains than this are a mistake of an operator; the first by name apply.
inline constexpr auto max_evacuated_domains = std::size_t{64};

/// A domain that is missing in the first list of a new history of the store stays evacuated for this time, in
/// which operators write their entries again.
inline constexpr auto evacuation_restore_time = duration{3s};

/// Which servers may be used in view of the evacuations, as of one time.
struct evacuation_view {
    bool is_known = true;             ///< false: the evacuations were not read yet; nothing may be sent
    std::set<failure_domain> domains; ///< evacuated: their replicas get nothing new
    std::set<failure_domain> stopped; ///< those of `domains` whose servers get nothing any more

    [[nodiscard]] auto is_evacuated(const backend_server& server) const -> bool {
        return domains.contains(server.domain);
    }
    /// True if no message at all may be sent to the server.
    [[nodiscard]] auto is_stopped(const backend_server& server) const -> bool {
        return !is_known || stopped.contains(server.domain);
    }
    /// True if new statements and connections may go to the server. The primary of an evacuated domain still
    /// serves until the stop.
    [[nodiscard]] auto may_use(const backend_server& server, bool as_primary) const -> bool {
        return !is_stopped(server) && (as_primary || !is_evacuated(server));
    }
    auto operator==(const evacuation_view&) const -> bool = default;
};

/// A list of the evacuations, as a source states it.
struct evacuation_evidence {
    /// 0: the store, read by this instance. Otherwise the fencing token of the coordinator that passed the
    /// list on. The lists of one source arrive in order.
    std::uint64_t source = 0;
    std::vector<std::string> domains;
    /// The list is that of the store at some time in this span.
    time_point since;
    time_point until;
    std::uint64_t era = 0; ///< of the store's history; 0: not stated
};

/// The failure domains that operators evacuate, as this instance knows them, and since when. Without a limit,
/// evacuations are not watched and everything may be used. Not thread-safe.
class evacuation_list {
public:
    explicit evacuation_list(std::optional<duration> limit)
        : limit_{limit} {}

    [[nodiscard]] auto is_watched() const -> bool { return limit_.has_value(); }
    /// Takes the list over if its evidence is newer. A list of another source whose evidence overlaps only
    /// adds domains, because it may be the older one. Returns true if the evacuated domains changed.
    auto apply(time_point now, const evacuation_evidence& list) -> bool;
    /// Ends the time for which missing domains stay evacuated. Returns true if the evacuated domains changed.
    auto on_tick(time_point now) -> bool;

    [[nodiscard]] auto view(time_point now) const -> evacuation_view;
    /// The list is that of the store at this time or later; empty: it was never read.
    [[nodiscard]] auto evidence_at() const -> std::optional<time_point> {
        return is_known_ ? std::optional{since_} : std::nullopt;
    }
    /// When this instance has to read the list itself unless it learns of newer evidence.
    [[nodiscard]] auto due_at() const -> time_point {
        return is_known_ ? since_ + evacuation_evidence_lifetime : time_point{};
    }
    /// True if the last list held too many domains.
    [[nodiscard]] auto is_cut() const -> bool { return is_cut_; }

private:
    struct evacuated_domain {
        time_point stop_at;
        std::optional<time_point> held_until; ///< set while it is missing in the store
    };
    auto add(time_point now, const std::string& name) -> bool;

    std::optional<duration> limit_;
    std::map<failure_domain, evacuated_domain> domains_;
    bool is_known_ = false;
    bool is_cut_ = false;
    std::uint64_t source_ = 0;
    std::uint64_t era_ = 0;
    time_point since_;
    time_point until_;
};

/// Domain names for the log, separated by blanks.
[[nodiscard]] auto describe_domains(const std::set<failure_domain>& domains) -> std::string;

} // namespace citronlug
