#pragma once

#include "platform.h"

#include <citronlug/store_history.h>

namespace citronlug {

/// The platform's store with each answer judged by its era. The era of an answer is reported before the
/// answer itself, so that what builds on older revisions has been dropped by then.
class guarded_store final {
public:
    struct observers {
        /// The store's era is `now`; `restored`: the store has come back from an older copy.
        std::function<void(std::uint64_t before, std::uint64_t now, bool restored)> on_era;
        std::function<void()> on_dropped; ///< an answer of an older era was dropped
    };

    guarded_store(object_store& store, observers on);

    auto list(record_kind kind, const std::string& after, object_store::answer_handler done) -> void;
    auto watch(record_kind kind, std::uint64_t after, duration wait, object_store::answer_handler done)
        -> void;
    auto write(record_kind kind, const store_record& record, std::uint64_t expected_revision,
               object_store::answer_handler done) -> void;
    auto set_address(const std::string& address) -> void { store_.set_address(address); }

    /// Another instance has seen this era.
    auto learn(std::uint64_t era) -> void;
    [[nodiscard]] auto era() const -> std::uint64_t { return history_.era(); }

private:
    auto report_change(std::uint64_t before, bool restored) -> void;
    auto observe(const store_answer& answer) -> void;
    auto report_dropped(std::uint64_t before) -> void;

    object_store& store_;
    observers on_;
    store_history history_;
};

} // namespace citronlug
