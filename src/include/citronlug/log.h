#pragma once

#include <citronlug/types.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace citronlug {

enum class log_level { debug, info, warning, error };

template <>
struct name_table<log_level> {
    static constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
};

/// A named value of a log line. Values of the names "key", "token", "secret", "password" and
/// "authorization" are never written.
struct log_field {
    std::string_view name;
    std::string value;
};

/// `text` with the secret of each caller's key and each bearer credential replaced by "***".
[[nodiscard]] auto redact(std::string_view text) -> std::string;

/// One line without line end: time (UTC), level, instance, event and name="value" pairs. Values are quoted,
/// with quotes, backslashes and control characters escaped, so that no value can forge a line or field.
[[nodiscard]] auto format_log_line(std::int64_t wall_us, log_level level, const instance_id& instance,
                                   std::string_view event, const std::vector<log_field>& fields)
    -> std::string;

/// Structured log of one process. Thread-safe: each line is passed to the sink by one call.
class logger {
public:
    using sink = std::function<void(const std::string& line)>;

    /// Writes to standard error unless another sink is given. The sink is called on the writer's thread.
    logger(instance_id instance, log_level min_level, sink out = {});

    auto write(std::int64_t wall_us, log_level level, std::string_view event,
               const std::vector<log_field>& fields = {}) const -> void;

private:
    instance_id instance_;
    log_level min_level_;
    sink out_;
};

} // namespace citronlug
