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
    rules,     ///< the operators' rules, one record
    servers,   ///< registered backend servers
    primaries, ///< the primary of each group; written by the coordinator
    lease,     ///< who coordinates, one record; written by this system
    instances, ///< running instances; written by this system
};

template <>
struct name_table<record_kind> {
    static constexpr std::array<std::string_view, 5> names{"rules", "servers", "primaries", "duty",
                                                           "instances"};
};

struct store_record {
    std::string name;
    std::string value;
    std::uint64_t revision = 0;
};

enum class store_outcome {
    ok,
    gone,       ///< the history that a watch asked for is not kept any more
    conflict,   ///< the record is not as expected
    refused,    ///< nothing was done
    unanswered, ///< it may have been done, or be done later
};

template <>
struct name_table<store_outcome> {
    static constexpr std::array<std::string_view, 5> names{"ok", "gone", "conflict", "refused", "unanswered"};
};

/// Answer to a listing or a watch.
struct store_answer {
    store_outcome outcome = store_outcome::unanswered;
    std::vector<store_record> records; ///< listed, or changed
    std::vector<std::string> removed;
    bool has_more = false;      ///< a listing goes on after its last record
    std::uint64_t revision = 0; ///< of the store
    std::string problem;        ///< for the log
};

/// Next call of a mirror.
struct mirror_call {
    std::uint64_t number = 0; ///< goes back with the answer
    bool is_watch = false;
    std::string after;          ///< listing: names after this one
    std::uint64_t revision = 0; ///< watch: changes after this one
    duration wait{};            ///< watch: longest wait at the store
};

/// Keeps a copy of all records of one kind by one listing and then watches, one call at a time. Lists anew
/// when the store has dropped its history, and after a watch that failed. A watch continues from the last
/// change of this kind, not from the store's revision at an empty answer, so that a change that an earlier
/// watch did not report is not missed. Not thread-safe.
class store_mirror {
public:
    explicit store_mirror(duration watch_wait);

    /// The call to make now; nothing while one is under way or a pause after a failure lasts.
    [[nodiscard]] auto next_call(time_point now) -> std::optional<mirror_call>;
    struct change {
        store_record record;
        bool removed = false;
    };
    /// Changes that the answer brings, in order.
    [[nodiscard]] auto on_answer(time_point now, std::uint64_t call, const store_answer& answer)
        -> std::vector<change>;

    [[nodiscard]] auto records() const -> const std::map<std::string, store_record>& { return records_; }
    /// Time before which the last answer of the store that shows the present records was asked for.
    [[nodiscard]] auto confirmed_at() const -> std::optional<time_point> { return confirmed_at_; }
    [[nodiscard]] auto is_available() const -> bool { return failures_ == 0; }
    auto set_watch_wait(duration wait) -> void { watch_wait_ = wait; }
    /// Makes no further call, because somebody else tells of changes; the call under way goes on. All records
    /// are listed when the copy is needed again.
    auto set_paused(bool paused) -> void;
    /// This copy lacks a change. The call under way is given up and all records are listed.
    auto list_again() -> void;

private:
    duration watch_wait_;
    std::map<std::string, store_record> records_;
    std::map<std::string, store_record> listing_;
    std::string list_cursor_;
    std::optional<std::uint64_t> revision_; ///< watched from; empty: list first
    std::uint64_t listing_revision_ = 0;
    std::uint64_t call_number_ = 0;
    bool call_pending_ = false;
    bool paused_ = false;
    time_point asked_at_;
    time_point listing_asked_at_;
    std::optional<time_point> confirmed_at_;
    time_point not_before_;
    std::uint32_t failures_ = 0;
};

/// Of the mirrors that the store failed, the first one of `all` tries it, and the others wait until that one
/// has an answer: each call is paid for and loads a store that is in trouble.
[[nodiscard]] auto may_call(const std::vector<const store_mirror*>& all, const store_mirror& it) -> bool;

} // namespace citronlug
