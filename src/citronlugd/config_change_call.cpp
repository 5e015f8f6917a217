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

/// State of one change between the calls to the daemon. The callbacks keep it alive.
class change_call : public std::enable_shared_from_this<change_call> {
public:
    change_call(administration& daemon, change_order order, admin_api::reply done)
        : daemon_(daemon)
        , order_(std::move(order))
        , done_(std::move(done)) {}

    auto start() -> void {
        if (const auto refusal = daemon_.refuse_change()) {
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
        if (!order_.id.empty()) {
            if (const auto* earlier = find_change(current, order_.id); earlier != nullptr) {
                return accept(*earlier, true);
            }
        }
        auto edited = order_.edit(current);
        if (auto* refusal = std::get_if<admin_response>(&edited); refusal != nullptr) {
            return done_(std::move(*refusal));
        }
        next_ = std::get<configuration>(std::move(edited));
        base_ = current.version;
        change_id_ = record_change(next_, current.rules, order_.author, order_.summary,
                                   daemon_.wall_seconds(), order_.id);
        if (const auto size = to_json(next_).size(); size > max_config_bytes) {
            return done_(
                error_response({failure_code::bad_request,
                                fmt::format("the configuration would have {} bytes; the store accepts {}",
                                            size, max_config_bytes),
                                {}}));
        }
        write();
    }

    auto write() -> void {
        // Reading from the store may have taken longer than the authority lasted.
        if (const auto refusal = daemon_.refuse_change(); refusal) {
            return uncertain_ ? report_unknown() : done_(error_response(*refusal));
        }
        ++attempts_;
        daemon_.write_config(next_, base_, [self = shared_from_this()](result<std::uint64_t> outcome) {
            if (const auto* version = std::get_if<std::uint64_t>(&outcome); version != nullptr) {
                auto change = self->next_.history.back();
                change.version = *version;
                return self->accept(change, false);
            }
            const auto& error = std::get<failure>(outcome);
            if (error.code == failure_code::store_unavailable) {
                self->uncertain_ = true;
            } else if (error.code != failure_code::conflict) {
                return self->uncertain_ ? self->report_unknown() : self->done_(error_response(error));
            }
            self->read_back();
        });
    }

    auto read_back() -> void {
        daemon_.read_config([self = shared_from_this()](result<configuration> found) {
            if (std::holds_alternative<configuration>(found)) {
                return self->decide(std::get<configuration>(found));
            }
            if (++self->attempts_ < max_attempts) {
                return self->read_back();
            }
            if (self->uncertain_) {
                return self->report_unknown();
            }
            self->done_(error_response({failure_code::conflict,
                                        "another change came first, and the store does not tell which; "
                                        "nothing was changed",
                                        {}}));
        });
    }

    auto decide(const configuration& current) -> void {
        if (const auto* own = find_change(current, change_id_); own != nullptr) {
            return accept(*own, false);
        }
        if (current.version == base_) {
            // The update may still be on its way. Repeating it is safe, since only one can succeed.
            return attempts_ < max_attempts ? write() : report_unknown();
        }
        // The base version is gone, so this update can no longer take effect.
        uncertain_ = false;
        if (order_.repeat_after_conflict && attempts_ < max_attempts) {
            return prepare(current);
        }
        done_(conflict_response(current, base_));
    }

    auto accept(const config_change& change, bool repeated) -> void {
        const auto version = change.version;
        auto body = order_.accepted(change, repeated);
        body.insert("version", static_cast<qint64>(version));
        body.insert("repeated", repeated);
        body.insert("confirmed", true);
        if (const auto refusal = daemon_.refuse_change()) {
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
             fmt::format("the store did not tell whether change {} took effect; look for it in the "
                         "history once the store answers",
                         change_id_),
             {}},
            {{"outcome", "unknown"}, {"change", to_qt(change_id_)}}));
    }

    administration& daemon_;
    change_order order_;
    admin_api::reply done_;
    configuration next_;
    std::uint64_t base_ = 0;
    std::string change_id_;
    int attempts_ = 0;
    bool uncertain_ = false; ///< an update was sent whose outcome is not known
};

} // namespace

auto run_change(administration& daemon, change_order order, admin_api::reply done) -> void {
    std::make_shared<change_call>(daemon, std::move(order), std::move(done))->start();
}

auto conflict_response(const configuration& current, std::uint64_t base) -> admin_response {
    auto meanwhile = std::vector<config_change>{};
    for (const auto& it : current.history) {
        if (it.version > base) {
            meanwhile.push_back(it);
        }
    }
    const auto complete =
        current.version > base && !current.history.empty() &&
        (current.history.size() < max_history_entries || current.history.front().version <= base + 1);
    return error_response(
        {failure_code::conflict,
         fmt::format("the configuration has version {}, not {}; nothing was changed", current.version, base),
         {}},
        {{"version", static_cast<qint64>(current.version)},
         {"meanwhile", to_json_array(meanwhile)},
         {"meanwhile_complete", complete}});
}

} // namespace citronlug
