#include "checker.h"

#include "limit_check.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

#include <fmt/format.h>

namespace citronlug::bench {

namespace {

using request_name = std::tuple<database_id, account_id, request_id>;
using row_name = std::pair<database_id, std::string>;
using cell_value = std::optional<std::string>;

struct attempt {
    const request_sent* sent = nullptr;
    const answer_received* answer = nullptr; ///< null: none came

    [[nodiscard]] auto done() const -> bool { return answer != nullptr && answer->outcome == verdict::done; }
};

/// Where a request took effect.
struct effects {
    std::vector<const log_item*> final;   ///< in the log that counts at the end
    std::vector<const log_item*> removed; ///< only in other or truncated logs
};

/// Writes to one row that are in a log.
struct row_history {
    std::map<cell_value, time_point> latest; ///< last commit of each value, in any log
    std::vector<time_point> commits;         ///< in the log that counts, ascending
};

constexpr auto never = time_point::min();

/// Newest of the writes that a session has had acknowledged up to a time.
struct own_write {
    time_point answered;
    time_point committed;
    const request_sent* newest = nullptr; ///< the one committed last
    log_position reached = 0;
};

class checker {
public:
    checker(const std::vector<history_record>& history, const check_settings& settings)
        : settings_{settings} {
        for (const auto& it : history) {
            std::visit([this](const auto& record) { add(record); }, it);
        }
        read_logs();
        collect_requests();
    }

    auto run() -> check_report {
        for (const auto& [number, it] : attempts_) {
            if (it.sent != nullptr && it.sent->mode == access_mode::read && it.done() &&
                !it.sent->row.empty()) {
                check_session(it);
                check_age(it);
            }
            if (it.sent != nullptr && it.done()) {
                check_key(it);
            }
        }
        for (const auto& [name, sendings] : requests_) {
            check_effects(name, sendings);
        }
        for (const auto& [account, limits] : limits_) {
            check_limit(account, limits);
        }
        check_rows_of_single_requests();
        return std::move(report_);
    }

private:
    auto add(const request_sent& it) -> void { attempts_[it.attempt].sent = &it; }
    auto add(const answer_received& it) -> void { attempts_[it.attempt].answer = &it; }
    auto add(const member_log& it) -> void { logs_[it.database].push_back(&it); }
    auto add(const key_revoked& it) -> void {
        const auto known = revoked_.emplace(it.key, it.at);
        known.first->second = std::min(known.first->second, it.at);
    }
    auto add(const account_limit& it) -> void { limits_[it.account].push_back(&it); }
    auto add(const term_superseded& it) -> void {
        const auto known = superseded_.emplace(std::pair{it.database, it.term}, it.at);
        known.first->second = std::min(known.first->second, it.at);
    }

    auto report(violation_kind kind, time_point at, const request_name& name, std::string detail) -> void {
        const auto& [database, account, id] = name;
        report_.violations.push_back({kind, at, database, account, id, std::move(detail)});
    }
    auto examined(violation_kind kind) -> void { ++report_.examined[kind]; }

    static auto name_of_request(const request_sent& it) -> request_name {
        return {it.database, it.account, it.id};
    }

    /// The log that counts is the one of the newest term; within a term the longest one.
    auto read_logs() -> void {
        for (const auto& group : logs_) {
            const auto& database = group.first;
            const auto& members = group.second;
            const auto rank = [](const member_log* it) {
                return std::pair{it->term, it->entries.empty() ? log_position{0} : it->entries.back().at.log};
            };
            const auto* const last =
                *std::max_element(members.begin(), members.end(),
                                  [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
            auto seen = std::set<std::tuple<position, time_point, request_id>>{};
            const auto enter = [&](const log_item& it, bool final) {
                // One entry is in the logs of several members.
                if (!seen.emplace(it.at, it.committed, it.id).second) {
                    return;
                }
                auto& target = effects_[{database, it.account, it.id}];
                (final ? target.final : target.removed).push_back(&it);
                for (const auto& row : it.rows) {
                    final_changes_[{database, row}] += final ? 1 : 0;
                }
            };
            for (const auto& it : last->entries) {
                enter(it, true);
            }
            for (const auto* member : members) {
                for (const auto& it : member->entries) {
                    enter(it, false);
                }
                for (const auto& it : member->truncated) {
                    enter(it, false);
                }
            }
        }
    }

    auto collect_requests() -> void {
        for (const auto& [number, it] : attempts_) {
            if (it.sent == nullptr) {
                continue;
            }
            if (it.sent->mode == access_mode::write) {
                requests_[name_of_request(*it.sent)].push_back(it);
            }
            if (it.sent->mode == access_mode::write && !it.sent->session.empty() && it.done()) {
                own_writes_[{it.sent->database, it.sent->session, it.sent->row}].push_back(
                    {it.answer->at, commit_of_request(*it.sent), it.sent, it.answer->reached.log});
            }
        }
        for (auto& [name, writes] : own_writes_) {
            std::sort(writes.begin(), writes.end(),
                      [](const auto& a, const auto& b) { return a.answered < b.answered; });
            for (auto it = std::next(writes.begin()); it != writes.end(); ++it) {
                const auto& before = *std::prev(it);
                if (before.committed > it->committed) {
                    it->committed = before.committed;
                    it->newest = before.newest;
                }
                it->reached = std::max(it->reached, before.reached);
            }
        }
        for (const auto& [name, sendings] : requests_) {
            const auto& sent = *sendings.front().sent;
            if (sent.row.empty()) {
                continue;
            }
            writers_[{sent.database, sent.row}].insert(name);
            const auto found = effects_.find(name);
            if (found == effects_.end()) {
                continue;
            }
            auto& row = row_histories_[{sent.database, sent.row}];
            auto& latest = row.latest.emplace(sent.value, never).first->second;
            for (const auto* it : found->second.final) {
                row.commits.push_back(it->committed);
                latest = std::max(latest, it->committed);
            }
            for (const auto* it : found->second.removed) {
                latest = std::max(latest, it->committed);
            }
        }
        for (auto& [name, row] : row_histories_) {
            std::sort(row.commits.begin(), row.commits.end());
        }
    }

    static auto value_read(const attempt& it) -> cell_value {
        const auto& rows = it.answer->rows.rows;
        return rows.empty() || rows.front().empty() ? std::nullopt : rows.front().front();
    }

    /// Time of the latest write of this value, `never` if it is the initial one.
    auto commit_of_value(const row_name& row, const cell_value& value) const -> time_point {
        const auto found = row_histories_.find(row);
        if (found == row_histories_.end()) {
            return never;
        }
        const auto it = found->second.latest.find(value);
        return it == found->second.latest.end() ? never : it->second;
    }

    /// Commit of an acknowledged write; if no log has it, the time of its sending is a lower bound.
    auto commit_of_request(const request_sent& sent) const -> time_point {
        const auto found = effects_.find(name_of_request(sent));
        if (found == effects_.end()) {
            return sent.at;
        }
        auto earliest = time_point::max();
        for (const auto* list : {&found->second.final, &found->second.removed}) {
            for (const auto* it : *list) {
                earliest = std::min(earliest, it->committed);
            }
        }
        return earliest == time_point::max() ? sent.at : earliest;
    }

    auto check_session(const attempt& read) -> void {
        const auto& sent = *read.sent;
        const auto found = own_writes_.find({sent.database, sent.session, sent.row});
        if (sent.session.empty() || found == own_writes_.end()) {
            return;
        }
        const auto& writes = found->second;
        const auto later =
            std::lower_bound(writes.begin(), writes.end(), sent.at,
                             [](const own_write& it, time_point at) { return it.answered < at; });
        if (later == writes.begin()) {
            return; // none was acknowledged when the read was sent
        }
        examined(violation_kind::own_write_missing);
        const auto& write = *std::prev(later);
        const auto value = value_read(read);
        const auto older = logs_.contains(sent.database) && value != write.newest->value &&
                           commit_of_value({sent.database, sent.row}, value) < write.committed;
        const auto reached = read.answer->reached.log;
        if (older || (reached != 0 && reached < write.reached)) {
            report(violation_kind::own_write_missing, sent.at, name_of_request(sent),
                   fmt::format("session {} read {} of {} after its write {} was acknowledged", sent.session,
                               value.value_or("nothing"), sent.row, write.newest->id.value));
        }
    }

    /// True if a write that followed the value was committed before `limit`.
    auto is_overwritten(const row_name& row, const cell_value& value, time_point limit) const -> bool {
        const auto found = row_histories_.find(row);
        if (found == row_histories_.end()) {
            return false;
        }
        const auto& commits = found->second.commits;
        const auto next = std::upper_bound(commits.begin(), commits.end(), commit_of_value(row, value));
        return next != commits.end() && *next < limit;
    }

    auto check_age(const attempt& read) -> void {
        const auto& sent = *read.sent;
        const auto row = row_name{sent.database, sent.row};
        const auto value = value_read(read);
        // The read ran after it was sent, so data as old as accepted has all that was committed before this.
        const auto accepted = sent.max_age.value_or(duration{});
        if (row_histories_.contains(row)) {
            examined(violation_kind::stale_read);
        }
        if (is_overwritten(row, value, sent.at - accepted)) {
            report(violation_kind::stale_read, sent.at, name_of_request(sent),
                   fmt::format("{} of {} is older than {} ms", value.value_or("nothing"), sent.row,
                               accepted.count() / 1000));
            return;
        }
        if (!read.answer->data_age) {
            return;
        }
        if (row_histories_.contains(row)) {
            examined(violation_kind::understated_age);
        }
        if (is_overwritten(row, value, sent.at - *read.answer->data_age)) {
            report(violation_kind::understated_age, sent.at, name_of_request(sent),
                   fmt::format("{} of {} is older than the stated {} ms{}", value.value_or("nothing"),
                               sent.row, read.answer->data_age->count() / 1000,
                               read.answer->from_replica ? ", from a replica" : ""));
        }
    }

    auto check_key(const attempt& it) -> void {
        const auto found = revoked_.find(it.sent->key);
        if (found == revoked_.end()) {
            return;
        }
        examined(violation_kind::revoked_key);
        if (it.sent->at > found->second + settings_.revocation_limit) {
            report(violation_kind::revoked_key, it.sent->at, name_of_request(*it.sent),
                   fmt::format("key {} sent and served after its revocation", it.sent->key.value));
        }
    }

    auto check_effects(const request_name& name, const std::vector<attempt>& sendings) -> void {
        static const auto none = effects{};
        const auto found = effects_.find(name);
        const auto& where = found == effects_.end() ? none : found->second;
        const auto& sent = *sendings.front().sent;
        if (!sent.idempotent) {
            examined(violation_kind::run_twice);
            if (where.final.size() > 1) {
                report(violation_kind::run_twice, sent.at, name,
                       fmt::format("{} log entries", where.final.size()));
            }
        }
        check_acknowledgement(name, sendings, where);
        check_not_run(name, sendings, where);
        check_late_commit(name, sendings, where);
    }

    /// Earliest time at which a later term than this one began.
    auto superseded_at(const database_id& database, term_number term) const -> std::optional<time_point> {
        auto earliest = std::optional<time_point>{};
        for (const auto& [key, at] : superseded_) {
            if (key.first == database && key.second >= term) {
                earliest = earliest ? std::min(*earliest, at) : at;
            }
        }
        return earliest;
    }

    auto check_acknowledgement(const request_name& name, const std::vector<attempt>& sendings,
                               const effects& where) -> void {
        const auto acknowledged =
            std::find_if(sendings.begin(), sendings.end(), [](const attempt& it) { return it.done(); });
        if (acknowledged == sendings.end() || !logs_.contains(std::get<database_id>(name))) {
            return;
        }
        const auto& database = std::get<database_id>(name);
        const auto answered = acknowledged->answer->at;
        examined(violation_kind::write_lost);
        if (!where.final.empty()) {
            return;
        }
        if (where.removed.empty()) {
            return report(violation_kind::write_lost, answered, name, "in no log");
        }
        const auto& entry = *where.removed.front();
        const auto ended = superseded_at(database, entry.at.term);
        const auto place = fmt::format("only in term {} at position {}", entry.at.term, entry.at.log);
        if (ended) {
            examined(violation_kind::superseded_write);
        }
        if (ended && entry.committed > *ended) {
            return report(violation_kind::superseded_write, entry.committed, name, place);
        }
        // Without replication before the acknowledgement, the end of the term may take the write along, but
        // only if it was acknowledged before that end.
        if (acknowledged->sent->ack == ack_mode::primary && ended &&
            answered <= *ended + settings_.answer_transit) {
            ++report_.lost_with_primary;
        } else {
            report(violation_kind::write_lost, answered, name, place);
        }
    }

    /// An effect belongs to "not run" only if each sending before it was answered so.
    auto check_not_run(const request_name& name, const std::vector<attempt>& sendings, const effects& where)
        -> void {
        const auto is_refused = [](const attempt& it) {
            return it.answer != nullptr && it.answer->outcome == verdict::not_run;
        };
        if (std::none_of(sendings.begin(), sendings.end(), is_refused)) {
            return;
        }
        examined(violation_kind::false_not_run);
        for (const auto* list : {&where.final, &where.removed}) {
            for (const auto* it : *list) {
                const auto explained =
                    std::any_of(sendings.begin(), sendings.end(), [&](const attempt& other) {
                        return other.sent->at <= it->committed && !is_refused(other);
                    });
                if (!explained) {
                    report(violation_kind::false_not_run, it->committed, name,
                           fmt::format("in the log of term {} at position {}", it->at.term, it->at.log));
                    return;
                }
            }
        }
    }

    /// Effects after the revocation of the key, whatever the caller was told.
    auto check_late_commit(const request_name& name, const std::vector<attempt>& sendings,
                           const effects& where) -> void {
        const auto found = revoked_.find(sendings.front().sent->key);
        if (found == revoked_.end()) {
            return;
        }
        const auto limit = found->second + settings_.revocation_limit;
        // `check_key` reports the sendings after the limit that were served.
        const auto reported = std::any_of(sendings.begin(), sendings.end(), [&](const attempt& it) {
            return it.done() && it.sent->at > limit;
        });
        examined(violation_kind::revoked_key);
        for (const auto* list : {&where.final, &where.removed}) {
            for (const auto* it : *list) {
                if (!reported && it->committed > limit) {
                    report(violation_kind::revoked_key, it->committed, name,
                           "committed after the revocation");
                    return;
                }
            }
        }
    }

    /// A row that only one request ever writes may change once, also by entries without a request id.
    auto check_rows_of_single_requests() -> void {
        for (const auto& [row, writers] : writers_) {
            const auto& name = *writers.begin();
            const auto& sent = *requests_.at(name).front().sent;
            const auto found = final_changes_.find(row);
            const auto by_id = effects_.find(name);
            const auto reported = by_id != effects_.end() && by_id->second.final.size() > 1;
            if (writers.size() == 1 && !sent.idempotent && !reported && found != final_changes_.end() &&
                found->second > 1) {
                report(violation_kind::run_twice, sent.at, name,
                       fmt::format("row {} was changed {} times", row.second, found->second));
            }
        }
    }

    /// Spans in which requests of the account ran. A request of unknown outcome counts if a log has it.
    auto runs_of(const account_id& account) const -> std::vector<admission_span> {
        auto runs = std::vector<admission_span>{};
        for (const auto& [number, it] : attempts_) {
            if (it.sent != nullptr && it.sent->account == account && it.done()) {
                runs.push_back({it.sent->at, it.answer->at});
            }
        }
        for (const auto& [name, sendings] : requests_) {
            const auto found = effects_.find(name);
            const auto served =
                std::any_of(sendings.begin(), sendings.end(), [](const attempt& it) { return it.done(); });
            if (std::get<account_id>(name) != account || served || found == effects_.end()) {
                continue;
            }
            const auto& list = found->second.final.empty() ? found->second.removed : found->second.final;
            runs.push_back({sendings.front().sent->at, list.front()->committed});
        }
        return runs;
    }

    /// Rates that some instance may still apply. While a change spreads, the larger rate counts; the burst is
    /// the largest of the run.
    auto check_limit(const account_id& account, std::vector<const account_limit*> limits) -> void {
        std::sort(limits.begin(), limits.end(), [](const auto* a, const auto* b) { return a->at < b->at; });
        auto rates = std::vector<rate_step>{};
        auto burst = 0.0;
        for (const auto* it : limits) {
            const auto lower = !rates.empty() && it->rate < rates.back().rate;
            rates.push_back({lower ? it->at + settings_.limit_change : it->at, it->rate});
            burst = std::max(burst, it->burst);
        }
        std::sort(rates.begin(), rates.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
        auto runs = runs_of(account);
        report_.examined[violation_kind::limit_exceeded] += runs.size();
        for (const auto& it : find_limit_excess(std::move(runs), rates, burst)) {
            const auto length = std::chrono::duration<double>(it.to - it.from).count();
            report(violation_kind::limit_exceeded, it.from, {database_id{}, account, request_id{}},
                   fmt::format("{} requests ran within {:.3f} s; {:.1f} are allowed", it.count, length,
                               it.allowed));
        }
    }

    check_settings settings_;
    check_report report_;
    std::map<std::uint64_t, attempt> attempts_;
    std::map<database_id, std::vector<const member_log*>> logs_;
    std::map<key_id, time_point> revoked_;
    std::map<account_id, std::vector<const account_limit*>> limits_;
    std::map<std::pair<database_id, term_number>, time_point> superseded_;
    std::map<request_name, effects> effects_;
    std::map<request_name, std::vector<attempt>> requests_; ///< writes, in order of sending number
    std::map<std::tuple<database_id, std::string, std::string>, std::vector<own_write>> own_writes_;
    std::map<row_name, row_history> row_histories_;
    std::map<row_name, std::set<request_name>> writers_;
    std::map<row_name, std::uint64_t> final_changes_;
};

} // namespace

auto check_report::count(violation_kind kind) const -> std::size_t {
    return static_cast<std::size_t>(std::count_if(violations.begin(), violations.end(),
                                                  [&](const violation& it) { return it.kind == kind; }));
}

auto check_history(const std::vector<history_record>& history, const check_settings& settings)
    -> check_report {
    return checker{history, settings}.run();
}

} // namespace citronlug::bench
