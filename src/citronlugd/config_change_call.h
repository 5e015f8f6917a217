#pragma once

#include "admin_api.h"
#include "administration.h"

#include <QJsonObject>

#include <functional>
#include <string>
#include <variant>

namespace citronlug {

/// A configuration change requested by an operator.
struct change_request {
    std::string author;
    std::string summary;
    /// Idempotency key from the operator's client, or empty. A change whose id is already in the history is
    /// not applied again.
    std::string id;
    /// Returns the edited configuration, or the error response that rejects the change. Called again with a
    /// newer configuration after a conflict if `repeat_after_conflict` is set.
    std::function<std::variant<configuration, admin_response>(const configuration& current)> edit;
    /// True for changes that do not depend on the base version, such as adding a key.
    bool repeat_after_conflict = false;
    /// Builds the response body for an accepted change; `repeated` if an earlier call with the same id
    /// applied it.
    std::function<QJsonObject(const config_change& change, bool repeated)> accepted;
};

/// Applies the change as a read-modify-write with a conditional update. If the response to the update is
/// lost, the configuration is read back, and the change id in its history shows whether the update took
/// effect. If the object still has the base version, the update may still be in flight; the same conditional
/// update is then repeated, up to a fixed number of attempts. The change is reported as accepted only once
/// it is stored.
auto run_change(administration& daemon, change_request change, admin_api::reply done) -> void;

/// Response to a change that lost a version conflict: the current version, and the changes since
/// `base_version` with their authors.
[[nodiscard]] auto conflict_response(const configuration& current, std::uint64_t base_version)
    -> admin_response;

} // namespace citronlug
