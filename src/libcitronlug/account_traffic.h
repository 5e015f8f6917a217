#pragma once

// Load of one client account on a simulated cell. Include citronlug/testing.h first.

#include "cell_simulation.h"

#include <citronlug/plugin.h>
#include <citronlug/rate_limit.h>

namespace citronlug::testing {

/// Token bucket for all requests of the fleet: the reference for the limit and for wrongful refusals.
class reference_bucket {
public:
    explicit reference_bucket(rate_limit limit)
        : limit_{limit}
        , level_{limit.burst} {}
    /// Takes one token and returns the level; a negative level means that the request has to wait.
    auto take(time_point now) -> double {
        const auto earned = limit_.rate * std::chrono::duration<double>{now - updated_}.count();
        level_ = std::min(limit_.burst, level_ + earned) - 1;
        updated_ = now;
        return level_;
    }
    auto return_token() -> void { ++level_; }

private:
    rate_limit limit_;
    double level_;
    time_point updated_ = at(0ms);
};

class account_traffic {
public:
    static constexpr duration interval = 10ms;

    account_traffic(cell_simulation& cell, const std::string& policy, role_id role, rate_limit limit,
                    double clock_error, duration request_timeout = 1s)
        : cell_{cell}
        , role_{std::move(role)}
        , limit_{limit}
        , request_timeout_{request_timeout}
        , admitted_bucket_{{limit.rate * (1 + clock_error), limit.burst + 1e-6}}
        , fleet_bucket_{limit}
        , entries_(cell.nodes.size())
        , demand(cell.nodes.size(), 0.0) {
        for (auto& it : entries_) {
            it.policy = plugin_registry<limit_policy>::make(policy);
        }
        tick();
    }

private:
    struct queued_request {
        time_point arrived;
        bool admissible = false;
    };
    struct entry {
        std::unique_ptr<limit_policy> policy;
        std::deque<queued_request> queue;
        std::optional<token_bucket> bucket;
        epoch_number epoch = 0;
        incarnation run = 0;
        time_point requested_at; ///< on the local clock
    };

    cell_simulation& cell_;
    role_id role_;
    rate_limit limit_;
    duration request_timeout_; ///< deadline of each request
    reference_bucket admitted_bucket_;
    reference_bucket fleet_bucket_;
    std::vector<entry> entries_;

public:
    std::vector<double> demand; ///< requests per second at each node
    int admitted = 0;
    int refused = 0;
    int admissible_requests = 0;  ///< that one bucket for the fleet would have admitted in time
    int wrongful = 0;             ///< admissible requests that were refused
    int admitted_above_limit = 0; ///< above rate * T + burst
    double max_excess = 0;        ///< largest excess over rate * T + burst

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
        if (it.run != node.run) { // a restarted process has no state
            it.run = node.run;
            it.queue.clear();
            it.bucket.reset();
            it.epoch = 0;
            it.policy->on_grant_failed(now);
        }
        const auto held = node.held.find(role_);
        if (held != node.held.end() && held->second != it.epoch) {
            it.epoch = held->second;
            it.bucket.emplace(limit_, now, node.after_expiry.at(role_));
        }
        const auto live = static_cast<std::uint32_t>(node.node->live_members(now).size());
        it.policy->set_limit(now, limit_, live);
        if (cell_.random_fraction() < demand[n] * std::chrono::duration<double>{interval}.count()) {
            const auto admissible = fleet_bucket_.take(cell_.now) >=
                                    -limit_.rate * std::chrono::duration<double>{request_timeout_}.count();
            admissible_requests += admissible ? 1 : 0;
            if (!admissible) {
                fleet_bucket_.return_token();
            }
            it.queue.push_back({cell_.now, admissible});
        }
        for (auto count = it.queue.size(); count > 0; --count) {
            const auto request = it.queue.front();
            it.queue.pop_front();
            const auto left = request.arrived + request_timeout_ - cell_.now;
            const auto result = left <= 0ms ? admission::refused : it.policy->admit(now, now + left);
            if (result == admission::admitted) {
                ++admitted;
                if (const auto level = admitted_bucket_.take(cell_.now); level < 0) {
                    ++admitted_above_limit;
                    max_excess = std::max(max_excess, -level);
                }
            } else if (result == admission::refused) {
                ++refused;
                wrongful += request.admissible ? 1 : 0;
            } else {
                it.queue.push_back(request);
                if (result == admission::ask) {
                    request_tokens(n);
                }
            }
        }
    }
    auto request_tokens(std::size_t n) -> void {
        const auto now = cell_.local_time(n);
        const auto wanted = entries_[n].policy->request_size(now);
        const auto location = cell_.nodes[n]->node->locate(role_);
        const auto run = cell_.nodes[n]->run;
        const auto fail = [this, n, run](duration wait) {
            cell_.after(wait, [this, n, run] {
                cell_.deliver(n, run,
                              [this, n] { entries_[n].policy->on_grant_failed(cell_.local_time(n)); });
            });
        };
        if (!location) {
            fail(interval);
            return;
        }
        const auto holder_index = static_cast<std::size_t>(std::stoi(location->holder.value.substr(1)) - 1);
        if (!cell_.nodes[holder_index]->node || cell_.blocked[n][holder_index] ||
            cell_.blocked[holder_index][n]) {
            fail(300ms);
            return;
        }
        cell_.after(1ms, [this, n, holder_index, run, wanted, requested_at = now, fail] {
            auto& grantor = entries_[holder_index];
            const auto until = cell_.nodes[holder_index]->node
                                   ? cell_.nodes[holder_index]->node->authority_until()
                                   : time_point{};
            if (!cell_.holds_role(holder_index, role_) || !grantor.bucket ||
                !may_grant(limit_, cell_.local_time(holder_index), until) ||
                cell_.now < cell_.nodes[holder_index]->paused_until) {
                fail(10ms);
                return;
            }
            const auto tokens = grantor.bucket->take(cell_.local_time(holder_index), wanted);
            const auto wait = grantor.bucket->wait_for_token(cell_.local_time(holder_index));
            cell_.after(1ms + duration{cell_.random_below(2000)}, [this, n, run, requested_at, tokens, wait] {
                cell_.deliver(n, run, [this, n, requested_at, tokens, wait] {
                    entries_[n].policy->on_grant(cell_.local_time(n), requested_at, tokens, wait);
                });
            });
        });
    }
};

} // namespace citronlug::testing
