#include <citronlug/plugin.h>
#include <citronlug/rate_limit.h>

#include <algorithm>

namespace citronlug {

namespace {

/// Baseline: each instance has its own bucket with an equal share of rate and burst, and requests no tokens.
class static_share_limit final : public limit_policy {
public:
    auto set_limit(time_point now, rate_limit limit, std::uint32_t live_instances) -> void override {
        advance(now);
        const auto share = static_cast<double>(std::max<std::uint32_t>(live_instances, 1));
        limit_ = {limit.rate / share, limit.burst / share};
        level_ = std::min(level_, limit_.burst);
    }

    [[nodiscard]] auto admit(time_point now, time_point deadline) -> admission override {
        advance(now);
        if (level_ >= 1) {
            --level_;
            return admission::admitted;
        }
        return token_at() > deadline ? admission::refused : admission::wait;
    }

    [[nodiscard]] auto request_size(time_point /*now*/) -> std::uint32_t override { return 0; }
    auto on_grant(time_point /*now*/, time_point /*requested_at*/, std::uint32_t /*tokens*/,
                  duration /*wait*/) -> void override {}
    auto on_grant_failed(time_point /*now*/) -> void override {}

    [[nodiscard]] auto retry_at(time_point now) const -> time_point override {
        return std::max(now, token_at());
    }

private:
    auto advance(time_point now) -> void {
        if (updated_ && now > *updated_) {
            const auto earned = limit_.rate * std::chrono::duration<double>{now - *updated_}.count();
            level_ = std::min(limit_.burst, level_ + earned);
        }
        updated_ = std::max(updated_.value_or(now), now);
    }
    /// Time of the next token; an hour ahead if the share of the burst is below one token.
    [[nodiscard]] auto token_at() const -> time_point {
        if (limit_.rate <= 0 || limit_.burst < 1) {
            return updated_.value_or(time_point{}) + 1h;
        }
        const auto missing = std::chrono::duration<double>{(1 - level_) / limit_.rate};
        return updated_.value_or(time_point{}) + std::chrono::ceil<duration>(missing);
    }

    rate_limit limit_;
    double level_ = 0;
    std::optional<time_point> updated_;
};

const auto registered = plugin_registration<limit_policy, static_share_limit>{"static_share"};

} // namespace

} // namespace citronlug
