#pragma once

#include <citronlug/types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronlug {

/// Kinds of records in the platform's store.
enum class record_kind {
    rules,       ///< the operators' rules, one record
    servers,     ///< registered backend servers
    primaries,   ///< the primary of each group; written by the coordinator
    lease,       ///< the coordinator lease, one record; written by instances
    instances,   ///< running instances; each writes its own record
    evacuations, ///< failure domains that operators evacuate; the name of a record is the domain
};

template <>
struct name_table<record_kind> {
    static constexpr std::array<std::string_view, 6> names{"rules", "servers",   "primaries",
                                                           "duty",  "instances", "evacuations"};
};

struct store_record {
    std::string name;
    std::string value;
    std::uint64_t revision = 0;
};

enum class store_outcome {
    ok,
    gone,       ///< the store no longer has the history from the watch's revision on
    conflict,   ///< the record does not have the expected revision
    refused,    ///< the call had no effect
    unanswered, ///< no answer; the call may take effect, even later
};

template <>
struct name_table<store_outcome> {
    static constexpr std::array<std::string_view, 5> names{"ok", "gone", "conflict", "refused", "unanswered"};
};

/// Answer to a listing or a watch.
struct store_answer {
    store_outcome outcome = store_outcome::unanswered;
    std::vector<store_record> records;    ///< listed or changed records
    std::vector<std::string> removed;     ///< names of removed records
    bool has_more = false;                ///< the listing has another page, after its last record
    std::uint64_t revision = 0;           ///< of the store
    std::uint32_t unreadable_records = 0; ///< entries left out because they have no readable name
    std::string problem;                  ///< description of a failure, for the log
    /// Number of the store's history, which rises when the store comes back from an older copy. 0: not
    /// stated.
    std::uint64_t era = 0;
};

/// A store call that a mirror requests.
struct mirror_call {
    std::uint64_t number = 0; ///< passed back with the answer
    bool is_watch = false;
    std::string after;          ///< listing: only names after this one
    std::uint64_t revision = 0; ///< watch: only changes after this one
    duration wait{};            ///< watch: maximum wait at the store
};

/// Keeps a copy of all records of one kind by a listing and subsequent watches, one call at a time. Lists
/// again when the store has dropped its history and after a failed watch. A watch continues from the last
/// change of this kind and not from the store's revision in an empty answer, so that a change which an
/// earlier watch did not report is not missed. Not thread-safe.
class store_mirror {
public:
    explicit store_mirror(duration watch_wait);

    /// The call to make now; empty while a call is in flight, during the pause after a failure, or while
    /// paused.
    [[nodiscard]] auto next_call(time_point now) -> std::optional<mirror_call>;
    struct change {
        store_record record;
        bool removed = false;
    };
    /// Applies the answer and returns the changes to the records, in order.
    [[nodiscard]] auto on_answer(time_point now, std::uint64_t call, const store_answer& answer)
        -> std::vector<change>;

    [[nodiscard]] auto records() const -> const std::map<std::string, store_record>& { return records_; }
    /// When the call was made whose answer last confirmed the present records.
    [[nodiscard]] auto confirmed_at() const -> std::optional<time_point> { return confirmed_at_; }
    /// The records show all changes up to this revision of the store; 0 before the first listing.
    [[nodiscard]] auto shown_revision() const -> std::uint64_t { return shown_revision_; }
    /// True if a watch since the last listing reported a change that could not be read.
    [[nodiscard]] auto may_lack_change() const -> bool { return may_lack_change_; }
    /// Entries of the last listing that were left out because they have no readable name.
    [[nodiscard]] auto unreadable_records() const -> std::uint32_t { return unreadable_records_; }
    [[nodiscard]] auto is_available() const -> bool { return failures_ == 0; }
    [[nodiscard]] auto has_call_in_flight() const -> bool { return call_pending_; }
    [[nodiscard]] auto last_call_at() const -> time_point { return asked_at_; }
    /// End of the pause after the last call.
    [[nodiscard]] auto pause_ends_at() const -> time_point { return not_before_; }
    auto set_watch_wait(duration wait) -> void { watch_wait_ = wait; }
    /// Delay between a listing and the first watch after it, in case the other source answers meanwhile.
    auto set_first_watch_delay(duration delay) -> void { first_watch_delay_ = delay; }
    /// Pauses further calls while changes arrive from another source. The call in flight continues. Resuming
    /// lists all records again, but not before `resume_at`.
    auto set_paused(bool paused, time_point resume_at) -> void;
    /// Abandons the watch in flight and lists all records again, at once, because this copy may lack a
    /// change.
    auto list_again() -> void;
    /// The store has come back from an older copy, and its revisions are given out again: abandons the call
    /// in flight and lists all records. The present records stay until that listing is complete.
    auto drop_revisions() -> void;

private:
    duration watch_wait_;
    std::map<std::string, store_record> records_;
    std::map<std::string, store_record> listing_;
    std::string list_cursor_;
    std::optional<std::uint64_t> revision_; ///< the next watch starts here; empty: a listing is due
    std::uint64_t listing_revision_ = 0;
    std::uint64_t shown_revision_ = 0;
    std::uint64_t call_number_ = 0;
    bool call_pending_ = false;
    bool may_lack_change_ = false;
    std::uint32_t unreadable_records_ = 0;
    std::uint32_t unreadable_in_listing_ = 0; ///< in the pages so far
    bool paused_ = false;
    time_point asked_at_;
    time_point listing_asked_at_;
    std::optional<time_point> confirmed_at_;
    time_point not_before_;
    time_point delayed_until_; ///< set when calls resume
    duration first_watch_delay_{};
    std::uint32_t failures_ = 0;
};

/// True if `it` is available, or if it is its turn among the unavailable mirrors in `all`. Only one of these
/// retries at a time, because each call costs money and adds load to a failing store. They take turns,
/// because the calls of one may fail for a reason that does not concern the others.
[[nodiscard]] auto may_call(const std::vector<const store_mirror*>& all, const store_mirror& it) -> bool;
/// When the next of the unavailable mirrors may retry: after the pauses of all of them, so that several kinds
/// of records do not try a failing store more often than one.
[[nodiscard]] auto retry_due_at(const std::vector<const store_mirror*>& all) -> time_point;

} // namespace citronlug
