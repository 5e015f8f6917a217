#include "load.h"

#include "faults.h"
#include "http_client.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <queue>
#include <random>
#include <thread>

namespace citronlug::bench {

namespace {

constexpr std::size_t sessions_per_account = 6; ///< per database
constexpr duration ticker_interval = 50ms;
constexpr int max_attempts = 4;
constexpr duration drain_time = 6s;
/// The balancer before the instances asks each for its health at this interval.
constexpr duration health_interval = 500ms;
constexpr duration health_timeout = 1s;
/// The account that the ticker's writes belong to; it has a rate far above its need.
constexpr std::string_view ticker_account = "ticker";

struct session_state {
    std::string row;
    std::string token;
    std::int64_t next_value = 1;
    int generation = 0; ///< counts the sessions that a change of primary ended
    bool busy = false;  ///< a write is under way, or its outcome is not known
};

/// Bucket that tells whether an arrival was within its account's rate.
struct ideal_bucket {
    rate_limit limit;
    double level = 0;
    duration updated{};

    auto take(duration now) -> bool {
        const auto gained = static_cast<double>((now - updated).count()) * 1e-6 * limit.rate;
        level = std::min(limit.burst, level + gained);
        updated = now;
        if (level < 1) {
            return false;
        }
        level -= 1;
        return true;
    }
};

struct operation {
    operation_record record;
    std::string route;
    std::string sql;
    std::vector<std::string> parameters;
    session_state* session = nullptr;
    std::string token; ///< the session's token when the request was sent
    duration give_up{};
};

struct event {
    duration at{};
    std::uint64_t order = 0;
    std::function<void()> run;

    auto operator<(const event& other) const -> bool {
        return at != other.at ? at > other.at : order > other.order;
    }
};

auto wall_now() -> std::chrono::steady_clock::time_point {
    return std::chrono::steady_clock::now();
}

class load_runner {
public:
    load_runner(const profile& plan, const cluster& fleet, const load_options& options)
        : plan_{plan}
        , fleet_{fleet}
        , options_{options}
        , injector_{fleet, http_}
        , random_{options.seed} {
        for (const auto& it : plan.accounts) {
            buckets_[it.account] = ideal_bucket{it.limit, it.limit.burst, {}};
            for (std::size_t database = 0; database < fleet.databases.size(); ++database) {
                for (std::size_t n = 0; n < sessions_per_account; ++n) {
                    sessions_[{it.account, database}].push_back(
                        session_state{fmt::format("{}-{}", it.account.value, n), "", 1, 0, false});
                }
            }
        }
        ticker_values_.assign(fleet.databases.size(), 0);
        healthy_.assign(fleet.instances.size(), true);
    }

    auto prepare() -> result<std::size_t> {
        start_ = wall_now();
        auto count = std::size_t{0};
        for (std::size_t database = 0; database < fleet_.databases.size(); ++database) {
            if (!insert_row(database, "catalogue", "ticker")) {
                return failure{
                    failure_code::no_primary, fmt::format("cannot prepare database {}", database), {}};
            }
            for (const auto& account : plan_.accounts) {
                for (const auto& it : sessions_[{account.account, database}]) {
                    if (!insert_row(database, "proofs", it.row)) {
                        return failure{
                            failure_code::no_primary, fmt::format("cannot prepare row {}", it.row), {}};
                    }
                    ++count;
                }
            }
        }
        return count;
    }

    auto run() -> load_outcome {
        start_ = wall_now();
        outcome_.started = time_point{std::chrono::duration_cast<duration>(start_.time_since_epoch())};
        for (const auto& it : plan_.accounts) {
            schedule_arrival(it, duration{});
        }
        for (std::size_t database = 0; database < fleet_.databases.size(); ++database) {
            schedule_ticker(database, ticker_interval);
        }
        for (const auto& it : options_.faults) {
            schedule(it.at, [this, it] { start_fault(it); });
        }
        for (std::size_t n = 0; n < fleet_.instances.size(); ++n) {
            schedule_health_check(n, duration{});
        }
        auto next_progress = duration{1s};
        while (now() < options_.length + drain_time && (now() < options_.length || busy())) {
            run_due_events();
            http_.poll(time_to_next_event());
            if (options_.progress && now() >= next_progress) {
                fmt::print(stderr, "\r{:3} s, {} operations, {} in flight ",
                           next_progress.count() / 1'000'000, outcome_.records.size(), http_.in_flight());
                std::fflush(stderr);
                next_progress += 1s;
            }
        }
        if (options_.progress) {
            fmt::print(stderr, "\n");
        }
        return std::move(outcome_);
    }

private:
    [[nodiscard]] auto now() const -> duration {
        return std::chrono::duration_cast<duration>(wall_now() - start_);
    }

    [[nodiscard]] auto busy() const -> bool { return http_.in_flight() > 0 || pending_retries_ > 0; }

    auto schedule(duration at, std::function<void()> run) -> void {
        events_.push(event{at, ++event_count_, std::move(run)});
    }

    auto run_due_events() -> void {
        while (!events_.empty() && events_.top().at <= now()) {
            auto due = events_.top();
            events_.pop();
            due.run();
        }
    }

    [[nodiscard]] auto time_to_next_event() const -> duration {
        return events_.empty() ? duration{5ms} : std::min(duration{5ms}, events_.top().at - now());
    }

    [[nodiscard]] auto offered_rate(const account_load& account) const -> double {
        const auto& heavy = options_.heavy;
        const auto active = heavy && heavy->account == account.account && now() >= heavy->at &&
                            now() < heavy->at + heavy->length;
        return account.offered * options_.scale * (active ? heavy->factor : 1.0);
    }

    auto schedule_arrival(const account_load& account, duration previous) -> void {
        const auto rate = offered_rate(account);
        if (rate <= 0) {
            return;
        }
        const auto gap = std::exponential_distribution<double>{rate}(random_);
        const auto at = previous + duration{static_cast<std::int64_t>(gap * 1e6)};
        if (at >= options_.length) {
            return;
        }
        schedule(at, [this, account, at] {
            start_operation(account, at);
            schedule_arrival(account, at);
        });
    }

    auto schedule_ticker(std::size_t database, duration at) -> void {
        if (at >= options_.length) {
            return;
        }
        schedule(at, [this, database, at] {
            auto work = std::make_shared<operation>();
            work->record.kind = operation_kind::ticker;
            work->record.account = account_id{std::string{ticker_account}};
            work->record.database = database;
            work->record.row = "catalogue/ticker";
            work->record.value = ++ticker_values_[database];
            work->route = fmt::format("ticker-{}", database + 1);
            work->sql = "UPDATE catalogue SET value = $1 WHERE id = 'ticker'";
            work->parameters = {std::to_string(*work->record.value)};
            begin(work, at);
            schedule_ticker(database, at + ticker_interval);
        });
    }

    auto schedule_health_check(std::size_t instance, duration at) -> void {
        if (at >= options_.length) {
            return;
        }
        schedule(at, [this, instance, at] {
            http_.send(
                "GET", fleet_.instances[instance].caller_url + "/healthz", {}, "", health_timeout,
                [this, instance](const http_answer& answer) { healthy_[instance] = answer.status == 200; });
            schedule_health_check(instance, at + health_interval);
        });
    }

    /// Draws one of the instances that the balancer holds for healthy; any instance if there is none.
    [[nodiscard]] auto draw_instance() -> std::size_t {
        auto choices = std::vector<std::size_t>{};
        for (std::size_t n = 0; n < healthy_.size(); ++n) {
            if (healthy_[n]) {
                choices.push_back(n);
            }
        }
        return choices.empty() ? random_() % healthy_.size() : choices[random_() % choices.size()];
    }

    auto start_fault(const fault& what) -> void {
        outcome_.faults.push_back(injector_.inject(what, now()));
        const auto n = outcome_.faults.size() - 1;
        schedule(now() + what.length, [this, n] { injector_.heal(outcome_.faults[n], now()); });
    }

    [[nodiscard]] auto draw_kind() -> operation_kind {
        const auto draw = std::uniform_real_distribution<double>{0, 1}(random_);
        if (draw < plan_.mix.aged_reads) {
            return operation_kind::aged_read;
        }
        if (draw < plan_.mix.aged_reads + plan_.mix.session_reads) {
            return operation_kind::session_read;
        }
        return draw < 1 - plan_.mix.orders ? operation_kind::session_write : operation_kind::order;
    }

    auto start_operation(const account_load& account, duration at) -> void {
        outcome_.arrivals[account.account].push_back(at);
        auto work = std::make_shared<operation>();
        auto& record = work->record;
        record.account = account.account;
        record.database = random_() % fleet_.databases.size();
        record.within_rate = buckets_[account.account].take(at);
        record.kind = draw_kind();
        auto& sessions = sessions_[{account.account, record.database}];
        auto* session = &sessions[random_() % sessions.size()];
        if (record.kind == operation_kind::session_write && session->busy) {
            record.kind = operation_kind::session_read;
        }
        const auto suffix = std::to_string(record.database + 1);
        switch (record.kind) {
        case operation_kind::session_read:
            work->route = "proof-" + suffix;
            work->sql = "SELECT value FROM proofs WHERE id = $1";
            work->parameters = {session->row};
            work->session = session;
            record.row = "proofs/" + session->row;
            break;
        case operation_kind::session_write:
            work->route = "approve-" + suffix;
            work->sql = "UPDATE proofs SET value = $1 WHERE id = $2";
            record.value = session->next_value++;
            work->parameters = {std::to_string(*record.value), session->row};
            work->session = session;
            record.row = "proofs/" + session->row;
            session->busy = true;
            break;
        case operation_kind::order:
            work->route = "order-" + suffix;
            work->sql = "INSERT INTO orders (id, account, amount) VALUES ($1, $2, $3)";
            work->parameters = {fmt::format("o{}", ++order_count_), account.account.value, "1"};
            record.row = "orders/" + work->parameters[0];
            record.value = 1;
            break;
        default:
            work->route = "catalogue-" + suffix;
            work->sql = "SELECT value FROM catalogue WHERE id = 'ticker'";
            record.row = "catalogue/ticker";
            break;
        }
        begin(work, at);
    }

    auto begin(const std::shared_ptr<operation>& work, duration at) -> void {
        work->record.request_id = fmt::format("{}-{}", options_.seed, ++request_count_);
        work->record.intended = at;
        work->give_up = at + plan_.deadline;
        send(work);
    }

    auto send(const std::shared_ptr<operation>& work) -> void {
        auto& record = work->record;
        ++record.attempt;
        record.sent = now();
        record.instance = draw_instance();
        auto parameters = std::string{};
        for (const auto& it : work->parameters) {
            parameters += fmt::format("{}\"{}\"", parameters.empty() ? "" : ",", it);
        }
        if (work->session != nullptr) {
            work->token = work->session->token;
            record.session =
                fmt::format("{}/{}/{}", record.database, work->session->row, work->session->generation);
        }
        const auto session =
            work->token.empty() ? std::string{} : fmt::format(R"("session":"{}",)", work->token);
        const auto deadline_ms = std::max<std::int64_t>(50, (work->give_up - record.sent).count() / 1000);
        auto body = fmt::format(R"({{"request_id":"{}","deadline_ms":{},{}"sql":"{}","parameters":[{}]}})",
                                record.request_id, deadline_ms, session, work->sql, parameters);
        const auto key = fleet_.keys.find(record.account);
        const auto headers = std::vector<std::string>{
            "Content-Type: application/json",
            "Authorization: Bearer " + (key == fleet_.keys.end() ? std::string{} : key->second)};
        http_.send("POST", fleet_.instances[record.instance].caller_url + "/v1/routes/" + work->route,
                   headers, std::move(body), duration{deadline_ms * 1000} + 500ms,
                   [this, work](http_answer answer) { finish(work, answer); });
    }

    auto finish(const std::shared_ptr<operation>& work, const http_answer& answer) -> void {
        auto& record = work->record;
        record.answered = now();
        const auto body = QJsonDocument::fromJson(QByteArray::fromStdString(answer.body)).object();
        record.outcome =
            value_of<verdict>(body["outcome"].toString().toStdString()).value_or(verdict::unknown);
        record.code = answer.status == 0 ? "transport" : body["code"].toString().toStdString();
        record.from_replica = body["from_replica"].toBool();
        record.data_age = duration{static_cast<std::int64_t>(body["data_age_ms"].toDouble() * 1000)};
        const auto is_read =
            record.kind == operation_kind::aged_read || record.kind == operation_kind::session_read;
        if (is_read && record.outcome == verdict::done) {
            record.value = body["rows"].toArray()[0].toArray()[0].toString().toLongLong();
        }
        if (work->session != nullptr) {
            update_session(*work, body["session"].toString().toStdString());
        }
        outcome_.records.push_back(record);
        if (retry(work)) {
            return;
        }
        if (record.kind == operation_kind::session_write) {
            work->session->busy = false;
        }
    }

    /// Tokens are opaque, so a read's token replaces the session's only if no other answer came meanwhile;
    /// a write's token always does, since a session has one write at a time.
    auto update_session(const operation& work, const std::string& token) -> void {
        auto& session = *work.session;
        if (work.record.code == name_of(failure_code::session_lost) && session.token == work.token) {
            session.token.clear();
            ++session.generation;
        } else if (work.record.outcome == verdict::done &&
                   (work.record.kind == operation_kind::session_write || session.token == work.token)) {
            session.token = token;
        }
    }

    /// Sends writes of unknown outcome again with the same request id; reads and refused work are left.
    auto retry(const std::shared_ptr<operation>& work) -> bool {
        const auto& record = work->record;
        const auto is_write =
            record.kind == operation_kind::session_write || record.kind == operation_kind::order;
        if (!is_write || record.outcome != verdict::unknown || record.attempt >= max_attempts) {
            return false;
        }
        constexpr auto pause = duration{500ms};
        ++pending_retries_;
        work->give_up = now() + pause + plan_.deadline;
        schedule(now() + pause, [this, work] {
            --pending_retries_;
            send(work);
        });
        return true;
    }

    auto insert_row(std::size_t database, std::string_view table, std::string_view row) -> bool {
        const auto key = fleet_.keys.find(account_id{std::string{ticker_account}});
        for (int attempt = 0; attempt < 40; ++attempt) {
            const auto sql = fmt::format("INSERT INTO {} (id, value) VALUES ($1, 0)", table);
            const auto body = fmt::format(
                R"({{"request_id":"prepare-{}-{}-{}","deadline_ms":2000,"sql":"{}","parameters":["{}"]}})",
                database, table, row, sql, row);
            const auto answer = http_.call(
                "POST", fmt::format("{}/v1/routes/approve-{}", fleet_.instances[0].caller_url, database + 1),
                {"Content-Type: application/json",
                 "Authorization: Bearer " + (key == fleet_.keys.end() ? std::string{} : key->second)},
                body, 3s);
            if (answer.status == 200) {
                return true;
            }
            if (attempt == 39) {
                fmt::print(stderr, "preparation failed: status {} {}\n", answer.status, answer.body);
            }
            http_.poll(250ms);
            std::this_thread::sleep_for(std::chrono::milliseconds{250});
        }
        return false;
    }

    const profile& plan_;
    const cluster& fleet_;
    const load_options& options_;
    http_client http_;
    fault_injector injector_;
    std::mt19937_64 random_;
    std::chrono::steady_clock::time_point start_;
    std::priority_queue<event> events_;
    std::uint64_t event_count_ = 0;
    std::uint64_t request_count_ = 0;
    std::uint64_t order_count_ = 0;
    int pending_retries_ = 0;
    std::map<account_id, ideal_bucket> buckets_;
    std::map<std::pair<account_id, std::size_t>, std::vector<session_state>> sessions_;
    std::vector<std::int64_t> ticker_values_;
    std::vector<bool> healthy_; ///< by instance
    load_outcome outcome_;
};

} // namespace

auto prepare_rows(const profile& plan, const cluster& fleet) -> result<std::size_t> {
    const auto options = load_options{};
    auto runner = load_runner{plan, fleet, options};
    return runner.prepare();
}

auto run_load(const profile& plan, const cluster& fleet, const load_options& options) -> load_outcome {
    auto runner = load_runner{plan, fleet, options};
    return runner.run();
}

} // namespace citronlug::bench
