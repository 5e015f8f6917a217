#include "config_change_call.h"

#include "admin_json.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>

namespace citronlug {

namespace {

constexpr int max_attempts = 5;

auto find_change(const configuration& config, const std::string& id) -> const config_change* {
    const auto it = std::find_if(config.history.begin(), config.history.end(),
                                 [&](const auto& change) { return change.id == id; });
    return it == config.history.end() ? nullptr : &*it;
}

/// State of one change across its asynchronous calls. The pending callbacks own it.
class change_call : public std::enable_shared_from_this<change_call> {
public:
    change_call(administration& daemon, change_request change, admin_api::reply done)
        : daemon_(daemon)
        , request_(std::move(change))
        , done_(std::move(done)) {}

    auto start() -> void {
        if (const auto refusal = daemon_.check_change_authority()) {
            return done_(error_response(*refusal));
        }
        daemon_.read_config([self = shared_from_this()](result<configuration> found) {
            if (const auto* error = std::get_if<failure>(&found); error != nullptr) {
                return self->done_(error_response(*error));
            }
            self->prepare(std::get<configuration>(found));
        });
    }

private:
    auto prepare(const configuration& current) -> void {
        if (!request_.id.empty()) {
            if (const auto* earlier = find_change(current, request_.id); earlier != nullptr) {
                return report_accepted(*earlier, true);
            }
        }
        auto edited = request_.edit(current);
        if (auto* refusal = std::get_if<admin_response>(&edited); refusal != nullptr) {
            return done_(std::move(*refusal));
        }
        edited_ = std::get<configuration>(std::move(edited));
        base_version_ = current.version;
        change_id_ = record_change(edited_, current.rules, request_.author, request_.summary,
                                   daemon_.wall_seconds(), request_.id);
        if (const auto size = to_json(edited_).size(); size > max_config_bytes) {
            return done_(
                error_response({failure_code::bad_request,
                                fmt::format("the configuration would have {} bytes; the store accepts {}",
                                            size, max_config_bytes),
                                {}}));
        }
        write();
    }

    auto write() -> void {
        // The authority may have expired while the store was read.
        if (const auto refusal = daemon_.check_change_authority(); refusal) {
            return outcome_unknown_ ? report_unknown() : done_(error_response(*refusal));
        }
        ++attempts_;
        daemon_.write_config(
            edited_, base_version_, [self = shared_from_this()](result<std::uint64_t> outcome) {
                if (const auto* version = std::get_if<std::uint64_t>(&outcome); version != nullptr) {
                    auto change = self->edited_.history.back();
                    change.version = *version;
                    return self->report_accepted(change, false);
                }
                const auto& error = std::get<failure>(outcome);
                if (error.code == failure_code::store_unavailable) {
                    self->outcome_unknown_ = true;
                } else if (error.code != failure_code::conflict) {
                    return self->outcome_unknown_ ? self->report_unknown()
                                                  : self->done_(error_response(error));
                }
                self->read_back();
            });
    }

    auto read_back() -> void {
        daemon_.read_config([self = shared_from_this()](result<configuration> found) {
            if (std::holds_alternative<configuration>(found)) {
                return self->resolve_outcome(std::get<configuration>(found));
            }
            if (++self->attempts_ < max_attempts) {
                return self->read_back();
            }
            if (self->outcome_unknown_) {
                return self->report_unknown();
            }
            self->done_(error_response({failure_code::conflict,
                                        "another change was made first, but the store could not be read "
                                        "to identify it; nothing was changed",
                                        {}}));
        });
    }

    auto resolve_outcome(const configuration& current) -> void {
        if (const auto* own_change = find_change(current, change_id_); own_change != nullptr) {
            return report_accepted(*own_change, false);
        }
        if (current.version == base_version_) {
            // The update may still be in flight. Repeating it is safe: at most one conditional update on this
            // base version can succeed.
            return attempts_ < max_attempts ? write() : report_unknown();
        }
        // The base version has been replaced, so this update can no longer take effect.
        outcome_unknown_ = false;
        if (request_.repeat_after_conflict && attempts_ < max_attempts) {
            return prepare(current);
        }
        done_(conflict_response(current, base_version_));
    }

    auto report_accepted(const config_change& change, bool repeated) -> void {
        const auto version = change.version;
        auto body = request_.accepted(change, repeated);
        body.insert("version", static_cast<qint64>(version));
        body.insert("repeated", repeated);
        body.insert("confirmed", true);
        if (const auto refusal = daemon_.check_change_authority()) {
            body.insert("confirmed", false);
            body.insert("warning",
                        to_qt(fmt::format("the store has version {}, but this instance lost contact with "
                                          "the majority of its cell meanwhile; check that the version is "
                                          "in force: {}",
                                          version, refusal->message)));
        }
        done_(json_response(200, body));
    }

    auto report_unknown() -> void {
        done_(error_response(
            {failure_code::store_unavailable,
             fmt::format("could not determine whether change {} took effect; look for it in the "
                         "history once the store answers",
                         change_id_),
             {}},
            {{"outcome", "unknown"}, {"change", to_qt(change_id_)}}));
    }

    administration& daemon_;
    change_request request_;
    admin_api::reply done_;
    configuration edited_;
    std::uint64_t base_version_ = 0;
    std::string change_id_;
    int attempts_ = 0;
    bool outcome_unknown_ = false; ///< an update was sent, but its outcome is not known
};

} // namespace

auto run_change(administration& daemon, change_request change, admin_api::reply done) -> void {
    std::make_shared<change_call>(daemon, std::move(change), std::move(done))->start();
}

auto conflict_response(const configuration& current, std::uint64_t base_version) -> admin_response {
    auto later_changes = std::vector<config_change>{};
    for (const auto& it : current.history) {
        if (it.version > base_version) {
            later_changes.push_back(it);
        }
    }
    const auto complete =
        current.version > base_version && !current.history.empty() &&
        (current.history.size() < max_history_entries || current.history.front().version <= base_version + 1);
    return error_response({failure_code::conflict,
                           fmt::format("the configuration has version {}, not {}; nothing was changed",
                                       current.version, base_version),
                           {}},
                          {{"version", static_cast<qint64>(current.version)},
                           {"meanwhile", to_json_array(later_changes)},
                           {"meanwhile_complete", complete}});
}

} // namespace citronlug
