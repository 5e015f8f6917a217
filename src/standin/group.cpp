#include "group.h"

#include <algorithm>

#include <fmt/format.h>

namespace citronlug::standin {

auto group_member::history_text() const -> std::string {
    auto text = std::string{};
    for (const auto& it : history) {
        text += fmt::format("{}{}:{}", text.empty() ? "" : ",", it.term, it.start);
    }
    return text;
}

replication_group::replication_group(std::size_t members)
    : members_(members) {
    for (auto n = std::size_t{0}; n < members; ++n) {
        auto& it = members_[n];
        it.primary = n == 0;
        it.known_term = 1;
        it.history = {{1, 0}};
        it.following = n == 0 ? std::nullopt : std::optional{std::size_t{0}};
    }
    auto requests = sql_statement{};
    requests.kind = sql_kind::create_table;
    requests.table = request_table;
    requests.columns = {"account", "id", "outcome"};
    requests.primary_key = {"account", "id"};
    create_table(requests);
}

auto replication_group::create_table(const sql_statement& statement) -> void {
    auto schema = std::make_shared<table_schema>();
    schema->columns = statement.columns;
    for (const auto& name : statement.primary_key) {
        if (const auto place = schema->place(name)) {
            schema->key.push_back(*place);
        }
    }
    for (auto& it : members_) {
        it.data.apply({statement.table, {}, {}, {}, schema});
    }
}

auto replication_group::commit(time_point now, std::size_t n, const transaction& work)
    -> std::variant<log_position, sql_error> {
    auto& member = members_[n];
    if (!member.primary || work.term != member.term()) {
        return sql_error{"25006", "cannot commit: the member is not primary of the transaction's term"};
    }
    auto entry = std::make_shared<log_entry>();
    entry->term = member.term();
    entry->committed = now;
    entry->changes = changes_of(member.data, work);
    for (const auto& change : entry->changes) {
        member.data.apply(change);
        if (change.table == request_table && change.after && !change.before) {
            entry->account = change.after->at(0).value_or("");
            entry->id = change.after->at(1).value_or("");
        }
    }
    member.log.push_back(std::move(entry));
    return member.position();
}

auto replication_group::promote(time_point now, std::size_t n, term_number expected)
    -> std::variant<term_number, sql_error> {
    auto& member = members_[n];
    if (member.known_term != expected) {
        return sql_error{"55000",
                         fmt::format("the member is in term {}, not {}", member.known_term, expected)};
    }
    if (member.term() != expected || member.position() < member.history.back().start) {
        return sql_error{"55000", fmt::format("the member lacks data of term {}", expected)};
    }
    for (auto other = std::size_t{0}; other < members_.size(); ++other) {
        if (linked(n, other) && members_[other].known_term > expected) {
            return sql_error{"55000",
                             fmt::format("another member is in term {}", members_[other].known_term)};
        }
    }
    member.primary = true;
    member.following = std::nullopt;
    member.known_term = expected + 1;
    member.history.push_back({member.known_term, member.position()});
    promotions_.push_back({member.known_term, n, now});
    return member.known_term;
}

auto replication_group::follow(std::size_t n, const std::string& address, term_number term)
    -> std::optional<sql_error> {
    auto& member = members_[n];
    const auto it = std::find_if(members_.begin(), members_.end(),
                                 [&](const auto& other) { return other.address == address; });
    if (it == members_.end() || static_cast<std::size_t>(it - members_.begin()) == n) {
        return sql_error{"22023", "no other member has the address " + address};
    }
    if (term < member.known_term || (member.primary && term == member.known_term)) {
        return sql_error{"55000", fmt::format("the member is already in term {}", member.known_term)};
    }
    member.primary = false;
    member.known_term = term;
    member.following = static_cast<std::size_t>(it - members_.begin());
    return std::nullopt;
}

auto replication_group::linked(std::size_t a, std::size_t b) const -> bool {
    const auto reachable = [](const group_member& it) {
        return it.up && !it.cut_off;
    };
    return a != b && reachable(members_[a]) && reachable(members_[b]);
}

auto replication_group::truncate(group_member& member, std::size_t length) -> void {
    while (member.log.size() > length) {
        const auto entry = member.log.back();
        for (auto it = entry->changes.rbegin(); it != entry->changes.rend(); ++it) {
            member.data.undo(*it);
        }
        member.truncated.push_back({member.position(), entry});
        member.log.pop_back();
    }
}

auto replication_group::replicate_member(time_point now, std::size_t n) -> std::optional<time_point> {
    auto& member = members_[n];
    if (member.primary || !member.following || !linked(n, *member.following)) {
        return std::nullopt;
    }
    const auto& source = members_[*member.following];
    if (!source.primary || source.term() < member.known_term) {
        return std::nullopt;
    }
    if (member.history != source.history) {
        auto common = std::min(member.log.size(), source.log.size());
        while (common > 0 && member.log[common - 1] != source.log[common - 1]) {
            --common;
        }
        truncate(member, common);
        member.history = source.history;
        member.known_term = source.term();
    }
    while (member.log.size() < source.log.size()) {
        const auto& entry = source.log[member.log.size()];
        if (entry->committed + member.lag > now) {
            return entry->committed + member.lag;
        }
        for (const auto& change : entry->changes) {
            member.data.apply(change);
        }
        member.log.push_back(entry);
    }
    return std::nullopt;
}

auto replication_group::replicate(time_point now) -> std::optional<time_point> {
    auto next = std::optional<time_point>{};
    for (auto n = std::size_t{0}; n < members_.size(); ++n) {
        if (const auto due = replicate_member(now, n)) {
            next = next ? std::min(*next, *due) : due;
        }
    }
    return next;
}

} // namespace citronlug::standin
