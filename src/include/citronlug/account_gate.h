#pragma once

#include <citronlug/accountant.h>
#include <citronlug/desired_state.h>
#include <citronlug/rate_window.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace citronlug {

/// Part of its share of a rate that an instance uses while it cannot reach the accountant. The accountant
/// keeps the whole share free for instances that it does not hear, since shares are stated at different
/// times.
inline constexpr double unheard_part = 0.9;
/// An instance without an answer of the accountant for this time, or with a question that failed, goes over
/// to its part of the rate.
inline constexpr duration accountant_silence = 700ms;

/// Question to the accountant for tokens of one account, and its answer.
struct token_question {
    account_id account;
    std::uint32_t wanted = 0;
};
struct token_answer {
    account_id account;
    std::uint32_t tokens = 0;
    duration wait{};  ///< until the account has a token
    double share = 0; ///< part of the account's rate that this instance used lately
};

/// Admission of operations by the rate of their client account, at one instance. Tokens come in small batches
/// from the accountant; without it each instance admits the part of the rate that it used before, starting
/// from nothing, so that the sum over all instances stays within rate and burst. Answers the load of one
/// account that sends many times its rate. Not thread-safe.
class account_gate {
public:
    auto set_limits(time_point now, const desired_state& rules) -> void;
    auto set_instances(std::uint32_t live) -> void { instances_ = live; }

    /// Spends one token. `ask`: `questions` has something to send; try again after `on_answers`.
    [[nodiscard]] auto admit(time_point now, const account_id& account, time_point deadline) -> admission;
    /// Questions to send now; each is handed out once.
    [[nodiscard]] auto questions(time_point now) -> std::vector<token_question>;
    auto on_answers(time_point now, time_point asked_at, const std::vector<token_answer>& answers) -> void;
    /// The questions handed out last were not answered.
    auto on_no_answer(time_point now, const std::vector<token_question>& asked) -> void;
    [[nodiscard]] auto has_accountant(time_point now) const -> bool;
    [[nodiscard]] auto has_questions() const -> bool { return !to_ask_.empty(); }

private:
    struct entry {
        rate_limit limit;
        std::unique_ptr<limit_policy> granted;
        double share = 0;     ///< as the accountant last stated it; 0: unknown
        double own_level = 0; ///< tokens while there is no accountant
        time_point own_at;
    };

    [[nodiscard]] auto admit_alone(time_point now, entry& it) const -> bool;

    std::map<account_id, entry> entries_;
    std::map<account_id, bool> to_ask_;
    std::uint32_t instances_ = 1;
    time_point answered_at_ = time_point{} - 1h;
};

/// The accountant's side: limits of all accounts over a sliding window, reduced by the part that unheard
/// instances may use.
class account_ledger {
public:
    /// `window`: span over which operators count an account's operations.
    explicit account_ledger(duration window)
        : window_{window} {}

    auto set_limits(time_point now, const desired_state& rules) -> void;
    /// Instances that reported lately. For the others a part of each rate is kept free.
    auto set_heard(time_point now, const std::set<instance_id>& heard) -> void;
    [[nodiscard]] auto take(time_point now, const instance_id& instance, const token_question& asked)
        -> token_answer;
    /// Forgets what was handed out. The next accounts count as used up over the last window, but for a part
    /// of their burst.
    auto reset() -> void;

private:
    struct usage {
        double per_s = 0; ///< moving average of tokens taken
        time_point at;
        /// Part of the rate that the instance uses when it does not reach the accountant.
        double stated_share = 0;
        time_point heard_at;
        bool unheard = false; ///< as `set_heard` last said
    };
    struct entry {
        rate_limit limit;
        rate_window granted;
        std::map<instance_id, usage> used;
    };

    [[nodiscard]] static auto present(const usage& it, time_point now) -> double;

    duration window_;
    std::map<account_id, entry> entries_;
};

} // namespace citronlug
