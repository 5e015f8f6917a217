#pragma once

#include <citronlug/database_holder.h>
#include <citronlug/types.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace citronlug {

/// Last reported state of one member.
struct member_info {
    member_id id;
    failure_domain domain;
    bool leaving = false;
    std::optional<member_status> status; ///< from the newest response
    time_point requested_at;             ///< when the request for `status` was sent
    time_point last_contact;             ///< when a message was last received from it

    /// Newest term that the member reported; 0 if it never responded.
    [[nodiscard]] auto term() const -> term_number;
    /// Position of the newest data on the member. Its term can be older than `term()`: a member that was
    /// ordered to follow a new primary may hold data of an old branch for a while.
    [[nodiscard]] auto data_position() const -> position;
};

/// How a position relates to the history of the current term.
enum class history_check {
    held,   ///< in the history, and the primary has it
    later,  ///< undetermined: newer than the primary's last response
    missing ///< not in the history; the write was lost
};

template <>
struct name_table<history_check> {
    static constexpr std::array<std::string_view, 3> names{"held", "later", "missing"};
};

/// True if the log of a member with this status contains position `wanted`.
[[nodiscard]] auto contains(const member_status& status, position wanted) -> bool;

/// Members of one database group: role, term, position and history of each, and samples of the primary's
/// position that bound the age of replicas. Not thread-safe.
class member_view {
public:
    explicit member_view(time_point now);

    auto set_members(const database_settings& settings, time_point now) -> void;
    /// Response to a status request sent at `requested_at`. One that is older than the recorded status counts
    /// as contact only.
    auto on_status(time_point now, const member_id& member, time_point requested_at, member_status status)
        -> void;
    /// The primary reported this position in response to a request sent at `requested_at`.
    auto note_primary_position(time_point requested_at, position at) -> void;
    /// The member was promoted to primary of this term by this instance.
    auto set_primary(const member_id& member, term_number term) -> void;
    auto clear_primary() -> void;
    /// Rejects primaries of terms up to `term`, except `member` in `term` itself: a promotion to this term
    /// was sent to `member` and its result is unknown.
    auto set_fence(term_number term, std::optional<member_id> member) -> void;
    /// The member refused the promotion to this term, so it will not take the term.
    auto clear_fence(term_number term, const member_id& member) -> void;
    /// True if this member is acceptable as primary in this term.
    [[nodiscard]] auto accepts(const member_id& member, term_number term) const -> bool;

    [[nodiscard]] auto primary() const -> const member_info*;
    [[nodiscard]] auto term() const -> term_number { return term_; }
    /// Highest term that any member reported or that this instance ordered.
    [[nodiscard]] auto highest_term() const -> term_number;
    [[nodiscard]] auto find(const member_id& member) const -> const member_info*;
    [[nodiscard]] auto members() const -> const std::vector<member_info>& { return members_; }
    auto on_contact(time_point now, const member_id& member) -> void;

    /// Compares a session's position with the history of the current term. `later` if there is no primary.
    [[nodiscard]] auto check(position wanted) const -> history_check;
    /// True if a replica follows the current term and has the position.
    [[nodiscard]] auto replica_has(const member_info& replica, position wanted) const -> bool;
    /// Time up to which the replica's data is known to be complete; nothing without a status younger than 1 s
    /// that has a sampled position.
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
