#pragma once

#include <citronlug/coordination.h>

#include <string>
#include <vector>

namespace citronlug {

/// Deputies lend tokens of client accounts while there is no coordinator. In a large fleet most instances use
/// an account rarely: a share of its rate for each of them holds no whole token, while a few larger shares
/// do.
inline constexpr std::size_t max_deputies = 3;

struct token_deputy {
    instance_id instance;
    std::string address;
};

/// Chooses deputies among the instances that reported recently. Those with the most processor time come
/// first, because they answer for the whole fleet. The coordinator `self` is none: deputies are needed when
/// it is lost.
[[nodiscard]] auto choose_deputies(const instance_id& self, const std::vector<instance_report>& recent)
    -> std::vector<token_deputy>;

/// Which deputy an instance asks next. Requests start at different deputies and move on to the next one when
/// a deputy does not answer or has too few tokens. Not thread-safe.
class deputy_requests {
public:
    /// `start`: differs between instances.
    explicit deputy_requests(std::uint64_t start)
        : next_{start} {}

    auto set_deputies(std::vector<std::string> addresses) -> void { addresses_ = std::move(addresses); }
    /// Address to send a request to now; empty if there is no deputy, or a request has no answer yet and is
    /// not older than `deputy_timeout`.
    [[nodiscard]] auto begin(time_point now) -> std::string;
    /// Number of the last request. An answer to an earlier one no longer counts.
    [[nodiscard]] auto number() const -> std::uint64_t { return number_; }
    /// `sufficient`: the deputy answered with all tokens that were requested.
    auto on_answer(std::uint64_t number, bool sufficient) -> void;

private:
    std::vector<std::string> addresses_;
    std::uint64_t next_;
    std::uint64_t number_ = 0;
    bool pending_ = false;
    time_point begun_at_;
};

/// A request without an answer by then is abandoned: its tokens would have lapsed.
inline constexpr duration deputy_timeout = 200ms;

} // namespace citronlug
