#pragma once

#include <citronlug/database_holder.h>
#include <citronlug/types.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace citronlug {

/// Newest knowledge about one member.
struct member_info {
    member_id id;
    failure_domain domain;
    bool leaving = false;
    std::optional<member_status> status; ///< newest answer
    time_point requested_at;             ///< when the question for `status` was sent
    time_point last_contact;             ///< when anything was last received from it

    /// Newest term that the member knows; 0 if it never answered.
    [[nodiscard]] auto term() const -> term_number;
    /// Term of the newest data that the member holds. A member that was told to follow a new primary may hold
    /// data of an old branch for a while.
    [[nodiscard]] auto data_position() const -> position;
};

/// How a position relates to the history of the present term.
enum class history_check {
    held,   ///< in the history, and the primary has it
    later,  ///< not known yet: newer than the last answer of the primary
    missing ///< not in the history; the write was lost
};

template <>
struct name_table<history_check> {
    static constexpr std::array<std::string_view, 3> names{"held", "later", "missing"};
};

/// True if a log with this history, which reached `at`, contains position `wanted`.
[[nodiscard]] auto contains(const member_status& status, position wanted) -> bool;

/// Members of one database group: role, term, position, history and the evidence for the age of replicas.
/// Not thread-safe.
class member_view {
public:
    explicit member_view(time_point now);

    auto set_members(const database_settings& settings, time_point now) -> void;
    /// Answer to a question sent at `requested_at`.
    auto on_status(time_point now, const member_id& member, time_point requested_at, member_status status)
        -> void;
    /// The primary reported this position in answer to a question sent at `requested_at`.
    auto note_primary_position(time_point requested_at, position at) -> void;
    /// The member became primary of this term by our order.
    auto set_primary(const member_id& member, term_number term) -> void;
    auto clear_primary() -> void;
    /// Only a primary of a term above `term` counts, or of `term` itself if it is `member`: an order for this
    /// term was sent to `member` and its result is not known.
    auto set_fence(term_number term, std::optional<member_id> member) -> void;
    /// The member refused the order for this term, so it will not take the term.
    auto clear_fence(term_number term, const member_id& member) -> void;
    /// True if this member counts as primary in this term.
    [[nodiscard]] auto accepts(const member_id& member, term_number term) const -> bool;

    [[nodiscard]] auto primary() const -> const member_info*;
    [[nodiscard]] auto term() const -> term_number { return term_; }
    /// Highest term reported by any member or ordered by us.
    [[nodiscard]] auto highest_term() const -> term_number;
    [[nodiscard]] auto find(const member_id& member) const -> const member_info*;
    [[nodiscard]] auto members() const -> const std::vector<member_info>& { return members_; }
    auto on_contact(time_point now, const member_id& member) -> void;

    /// Relation of a session position to the present history. `later` if there is no primary.
    [[nodiscard]] auto check(position wanted) const -> history_check;
    /// True if a replica follows the present term and has the position.
    [[nodiscard]] auto replica_has(const member_info& replica, position wanted) const -> bool;
    /// Time at which the replica's data was surely complete; nothing without evidence younger than 1 s.
    [[nodiscard]] auto complete_at(time_point now, const member_info& replica) const
        -> std::optional<time_point>;

private:
    struct position_sample {
        time_point requested_at;
        log_position log = 0;
    };

    auto find_member(const member_id& member) -> member_info*;
    auto choose_primary(time_point now) -> void;

    std::vector<member_info> members_;
    std::optional<member_id> primary_;
    term_number term_ = 0;
    term_number samples_term_ = 0; ///< term of the entries of `samples_`
    term_number fence_ = 0;
    std::optional<member_id> fenced_member_;
    std::deque<position_sample> samples_; ///< ascending
    time_point started_;
    bool discovered_ = false;
};

} // namespace citronlug
