#pragma once

#include "storage.h"

#include <citronlug/types.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Model of a replicated database group: roles, terms, logs and asynchronous replication. No I/O.
namespace citronlug::standin {

/// One committed writing transaction.
struct log_entry {
    term_number term = 0;
    time_point committed;
    std::string account; ///< from the row inserted into citronlug_requests; empty if there was none
    std::string id;
    std::vector<row_change> changes;
};

/// Start of a term: the last position of the term before it.
struct history_entry {
    term_number term = 0;
    log_position start = 0;

    auto operator==(const history_entry&) const -> bool = default;
};

/// Entry that a member removed when it followed a new primary.
struct truncated_entry {
    log_position position = 0;
    std::shared_ptr<const log_entry> entry;
};

struct group_member {
    std::string address; ///< "host:port"
    bool primary = false;
    term_number known_term = 0;                        ///< newest term that it was told
    std::vector<history_entry> history;                ///< of the data that it holds
    std::optional<std::size_t> following;              ///< member that it replicates from
    duration lag{};                                    ///< delay from commit to application
    bool up = true;                                    ///< runs, for replication
    bool cut_off = false;                              ///< partitioned from the other members
    std::vector<std::shared_ptr<const log_entry>> log; ///< position n is at place n - 1
    std::vector<truncated_entry> truncated;
    database data;
    lock_table locks;

    [[nodiscard]] auto term() const -> term_number { return history.back().term; }
    [[nodiscard]] auto position() const -> log_position { return log.size(); }
    [[nodiscard]] auto history_text() const -> std::string; ///< "term:start,term:start"
};

/// A member became primary of a term.
struct promotion {
    term_number term = 0;
    std::size_t member = 0;
    time_point at;
};

/// Table that records the ids of requests, present from the start.
inline constexpr const char* request_table = "citronlug_requests";

class replication_group {
public:
    /// Member 0 is the primary of term 1; the others follow it.
    explicit replication_group(std::size_t members);

    [[nodiscard]] auto size() const -> std::size_t { return members_.size(); }
    [[nodiscard]] auto member(std::size_t n) -> group_member& { return members_[n]; }
    [[nodiscard]] auto member(std::size_t n) const -> const group_member& { return members_[n]; }

    /// Creates a table on all members outside of the log; only before the first commit.
    auto create_table(const sql_statement& statement) -> void;
    /// Appends the changes of a transaction to the log of the primary and applies them. Returns the position
    /// reached. A transaction that began its writes in another term fails with 25006.
    [[nodiscard]] auto commit(time_point now, std::size_t n, const transaction& work)
        -> std::variant<log_position, sql_error>;
    /// Makes the member primary of `expected + 1`.
    [[nodiscard]] auto promote(time_point now, std::size_t n, term_number expected)
        -> std::variant<term_number, sql_error>;
    [[nodiscard]] auto promotions() const -> const std::vector<promotion>& { return promotions_; }
    /// Makes the member a replica of the member with this address, which must be primary of `term` or later
    /// before anything is replicated.
    [[nodiscard]] auto follow(std::size_t n, const std::string& address, term_number term)
        -> std::optional<sql_error>;
    /// Applies what is due on all replicas. Returns the time when the next entry is due, if one is known.
    auto replicate(time_point now) -> std::optional<time_point>;

private:
    [[nodiscard]] auto linked(std::size_t a, std::size_t b) const -> bool;
    auto replicate_member(time_point now, std::size_t n) -> std::optional<time_point>;
    static auto truncate(group_member& member, std::size_t length) -> void;

    std::vector<group_member> members_;
    std::vector<promotion> promotions_;
};

} // namespace citronlug::standin
