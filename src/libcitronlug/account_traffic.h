#pragma once

// Load of one client account on a simulated cell. Include citronlug/testing.h first.

#include "cell_simulation.h"

#include <citronlug/accountant.h>
#include <citronlug/plugin.h>

namespace citronlug::testing {

/// Bucket that sees all requests at once: the reference for the limit and for wrongful refusals.
class reference_bucket {
public:
    explicit reference_bucket(rate_limit limit)
        : limit_{limit}
        , level_{limit.burst} {}
    /// Takes one token; negative levels mean waiting.
    auto take(time_point now) -> double {
        const auto earned = limit_.rate * std::chrono::duration<double>{now - updated_}.count();
        level_ = std::min(limit_.burst, level_ + earned) - 1;
        updated_ = now;
        return level_;
    }
    auto put_back() -> void { ++level_; }

private:
    rate_limit limit_;
    double level_;
    time_point updated_ = at(0ms);
};

class account_traffic {
public:
    static constexpr duration interval = 10ms;

    account_traffic(cell_simulation& cell, const std::string& policy, role_id role, rate_limit limit,
                    double clock_error, duration patience = 1s)
        : cell_{cell}
        , role_{std::move(role)}
        , limit_{limit}
        , patience_{patience}
        , used_{{limit.rate * (1 + clock_error), limit.burst + 1e-6}}
        , ideal_{limit}
        , entries_(cell.nodes.size())
        , demand(cell.nodes.size(), 0.0) {
        for (auto& it : entries_) {
            it.policy = plugin_registry<limit_policy>::make(policy);
        }
        tick();
    }

private:
    struct waiting {
        time_point arrived;
        bool within_rate = false;
    };
    struct entry {
        std::unique_ptr<limit_policy> policy;
        std::deque<waiting> queue;
        std::optional<accountant> account;
        epoch_number epoch = 0;
        incarnation run = 0;
        time_point asked_at; ///< local
    };

    cell_simulation& cell_;
    role_id role_;
    rate_limit limit_;
    duration patience_; ///< deadline of each request
    reference_bucket used_;
    reference_bucket ideal_;
    std::vector<entry> entries_;

public:
    std::vector<double> demand; ///< requests per second at each node
    int admitted = 0;
    int refused = 0;
    int possible = 0; ///< requests that one bucket for the fleet would have admitted in time
    int wrongful = 0; ///< refused among those
    int above = 0;    ///< requests admitted above rate * T + burst
    double worst = 0; ///< largest excess over rate * T + burst

private:
    auto tick() -> void {
        for (auto n = std::size_t{0}; n < entries_.size(); ++n) {
            if (cell_.nodes[n]->node && cell_.now >= cell_.nodes[n]->paused_until) {
                serve(n);
            }
        }
        cell_.after(interval, [this] { tick(); });
    }
    auto serve(std::size_t n) -> void {
        auto& it = entries_[n];
        const auto& node = *cell_.nodes[n];
        const auto now = cell_.local_time(n);
        if (it.run != node.run) { // a new process knows nothing
            it.run = node.run;
            it.queue.clear();
            it.account.reset();
            it.epoch = 0;
            it.policy->on_grant_failed(now);
        }
        const auto held = node.held.find(role_);
        if (held != node.held.end() && held->second != it.epoch) {
            it.epoch = held->second;
            it.account.emplace(limit_, now, node.after_expiry.at(role_));
        }
        const auto live = static_cast<std::uint32_t>(node.node->live_members(now).size());
        it.policy->set_limit(now, limit_, live);
        if (cell_.random_fraction() < demand[n] * std::chrono::duration<double>{interval}.count()) {
            const auto within =
                ideal_.take(cell_.now) >= -limit_.rate * std::chrono::duration<double>{patience_}.count();
            possible += within ? 1 : 0;
            if (!within) {
                ideal_.put_back();
            }
            it.queue.push_back({cell_.now, within});
        }
        for (auto count = it.queue.size(); count > 0; --count) {
            const auto request = it.queue.front();
            it.queue.pop_front();
            const auto left = request.arrived + patience_ - cell_.now;
            const auto result = left <= 0ms ? admission::refused : it.policy->admit(now, now + left);
            if (result == admission::admitted) {
                ++admitted;
                if (const auto level = used_.take(cell_.now); level < 0) {
                    ++above;
                    worst = std::max(worst, -level);
                }
            } else if (result == admission::refused) {
                ++refused;
                wrongful += request.within_rate ? 1 : 0;
            } else {
                it.queue.push_back(request);
                if (result == admission::ask) {
                    ask(n);
                }
            }
        }
    }
    auto ask(std::size_t n) -> void {
        const auto now = cell_.local_time(n);
        const auto wanted = entries_[n].policy->ask_size(now);
        const auto place = cell_.nodes[n]->node->locate(role_);
        const auto run = cell_.nodes[n]->run;
        const auto fail = [this, n, run](duration wait) {
            cell_.after(wait, [this, n, run] {
                cell_.deliver(n, run,
                              [this, n] { entries_[n].policy->on_grant_failed(cell_.local_time(n)); });
            });
        };
        if (!place) {
            fail(interval);
            return;
        }
        const auto to = static_cast<std::size_t>(std::stoi(place->holder.value.substr(1)) - 1);
        if (!cell_.nodes[to]->node || cell_.blocked[n][to] || cell_.blocked[to][n]) {
            fail(300ms);
            return;
        }
        cell_.after(1ms, [this, n, to, run, wanted, asked = now, fail] {
            auto& holder = entries_[to];
            const auto until =
                cell_.nodes[to]->node ? cell_.nodes[to]->node->authority_until() : time_point{};
            if (!cell_.holds_role(to, role_) || !holder.account ||
                !may_grant(limit_, cell_.local_time(to), until) ||
                cell_.now < cell_.nodes[to]->paused_until) {
                fail(10ms);
                return;
            }
            const auto tokens = holder.account->take(cell_.local_time(to), wanted);
            const auto wait = holder.account->wait_for_token(cell_.local_time(to));
            cell_.after(1ms + duration{cell_.random_below(2000)}, [this, n, run, asked, tokens, wait] {
                cell_.deliver(n, run, [this, n, asked, tokens, wait] {
                    entries_[n].policy->on_grant(cell_.local_time(n), asked, tokens, wait);
                });
            });
        });
    }
};

} // namespace citronlug::testing
