#pragma once

#include "admin_api.h"
#include "administration.h"

#include <QJsonObject>

#include <functional>
#include <string>
#include <variant>

namespace citronlug {

/// A change of the configuration that an operator asks for.
struct change_request {
    std::string author;
    std::string summary;
    /// Chosen by the operator's program, or empty. A change whose id is in the history is not made again.
    std::string id;
    /// Changes the configuration that the store holds, or answers why not. It may be called again with a
    /// newer configuration if `repeat_after_conflict` is set.
    std::function<std::variant<configuration, admin_response>(const configuration& current)> edit;
    /// True for changes that are right on any version, such as a new key.
    bool repeat_after_conflict = false;
    /// Answer to an accepted change; `repeated` if an earlier call with the same id made it.
    std::function<QJsonObject(const config_change& change, bool repeated)> accepted;
};

/// Performs the change: reads, edits, updates conditionally. After a lost answer it reads back and tells
/// from the random id in the history whether the change took effect. If the object still has the old
/// version, the update may be under way, so the same update is repeated until the store decides.
/// The change is reported as accepted only when the store has it.
auto run_change(administration& daemon, change_request change, admin_api::reply done) -> void;

/// Answer to the loser of a race: the present version and the changes since `base_version`, with their
/// authors.
[[nodiscard]] auto conflict_response(const configuration& current, std::uint64_t base_version)
    -> admin_response;

} // namespace citronlug
