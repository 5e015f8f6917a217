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

/// Named value of a log line. Values of fields named "key", "token", "secret", "password" and
/// "authorization" are always redacted.
struct log_field {
    std::string_view name;
    std::string value;
};

/// `text` with the secret part of API keys and bearer credentials replaced by "***".
[[nodiscard]] auto redact(std::string_view text) -> std::string;

/// Formats one line, without a line terminator: time (UTC), level, instance, event and name="value" pairs.
/// Quotes, backslashes and control characters in values are escaped to prevent log injection.
[[nodiscard]] auto format_log_line(std::int64_t wall_us, log_level level, const instance_id& instance,
                                   std::string_view event, const std::vector<log_field>& fields)
    -> std::string;

/// Structured log of one process. Thread-safe if the sink is: each line is passed to it in a single call.
class logger {
public:
    using sink = std::function<void(const std::string& line)>;

    /// Writes to standard error unless another sink is given. The sink runs on the calling thread.
    logger(instance_id instance, log_level min_level, sink out = {});

    auto write(std::int64_t wall_us, log_level level, std::string_view event,
               const std::vector<log_field>& fields = {}) const -> void;

private:
    instance_id instance_;
    log_level min_level_;
    sink out_;
};

} // namespace citronlug
