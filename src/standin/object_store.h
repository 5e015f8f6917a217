#pragma once

#include <citronlug/types.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Models of the platform's object API and instance list. No I/O.
namespace citronlug::standin {

struct stored_object {
    std::uint64_t version = 0;
    std::string value;
};

/// Objects with versions. Versions grow over the life of the store and are never reused.
class object_store {
public:
    /// The present object, or its former version if `former` is set; nothing if there is none.
    [[nodiscard]] auto get(const std::string& key, bool former = false) const -> std::optional<stored_object>;
    /// Writes if the object has the expected version (0: does not exist). Returns success and the present
    /// version.
    struct put_outcome {
        bool written = false;
        std::uint64_t version = 0;
    };
    auto put(const std::string& key, std::uint64_t expected, std::string value) -> put_outcome;

private:
    struct slot {
        stored_object present;
        std::optional<stored_object> former;
    };
    std::map<std::string, slot> objects_;
    std::uint64_t version_ = 0;
};

/// Refills with a fixed rate, up to one second's worth.
class call_rate {
public:
    explicit call_rate(double per_second)
        : per_second_(per_second)
        , level_(per_second) {}

    /// Takes one call; false if there is none.
    [[nodiscard]] auto take(time_point now) -> bool;

private:
    double per_second_;
    double level_;
    time_point updated_;
};

struct announced_instance {
    std::string instance;
    std::string cell;
    std::string peer_address;
    std::string admin_address;
    std::string domain;
    bool leaving = false;

    auto operator==(const announced_instance&) const -> bool = default;
};

/// List of instances. Readers see each change only after the lag.
class instance_list {
public:
    instance_list(duration lag, duration expiry)
        : lag_(lag)
        , expiry_(expiry) {}

    auto announce(time_point now, announced_instance entry) -> void;
    auto remove(time_point now, const std::string& instance) -> void;
    [[nodiscard]] auto list(time_point now) -> std::vector<announced_instance>;

private:
    struct change {
        time_point visible_at;
        std::string instance;
        std::optional<announced_instance> entry;
    };
    struct live_entry {
        announced_instance entry;
        time_point announced;
    };
    auto expire(time_point now) -> void;

    duration lag_;
    duration expiry_;
    std::map<std::string, live_entry> live_;
    std::deque<change> changes_; ///< in order of `visible_at`
    std::map<std::string, announced_instance> visible_;
};

} // namespace citronlug::standin
