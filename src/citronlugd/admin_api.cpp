#include "admin_api.h"

#include "admin_json.h"
#include "config_change_call.h"

#include <QJsonDocument>

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace citronlug {

namespace {

constexpr std::string_view prefix = "/admin/v1";
/// Revoked keys are kept only to be listed; beyond this number, those issued first are dropped.
constexpr std::size_t max_revoked_keys = 1000;
constexpr std::size_t max_text_bytes = 300;

auto sha256_hex(std::string_view text) -> std::string {
    unsigned char digest[crypto_hash_sha256_BYTES];
    char hex[sizeof digest * 2 + 1];
    crypto_hash_sha256(digest, reinterpret_cast<const unsigned char*>(text.data()), text.size());
    sodium_bin2hex(hex, sizeof hex, digest, sizeof digest);
    return hex;
}

auto bad_request(std::string message) -> admin_response {
    return error_response({failure_code::bad_request, std::move(message), {}});
}

auto not_found(const std::string& message) -> admin_response {
    return error_response({failure_code::no_route, message, {}});
}

auto rules_refused(const QJsonArray& errors) -> admin_response {
    auto response = error_response(
        {failure_code::bad_request, "the rules have errors; nothing was changed", {}}, {{"errors", errors}});
    response.status = 422;
    return response;
}

/// Texts in the change history are single lines of bounded length.
auto is_valid_history_text(const std::string& text) -> bool {
    return !text.empty() && text.size() <= max_text_bytes &&
           std::none_of(text.begin(), text.end(),
                        [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; });
}

/// One error for each client account that has valid keys but no limit rule.
auto accounts_without_limit(const configuration& config) -> QJsonArray {
    auto errors = QJsonArray{};
    auto seen = std::vector<account_id>{};
    for (const auto& it : config.keys) {
        if (it.state != key_state::valid || config.rules.limits.count(it.account) > 0 ||
            std::find(seen.begin(), seen.end(), it.account) != seen.end()) {
            continue;
        }
        seen.push_back(it.account);
        errors.append(to_json_object(rule_error{
            0, 0, fmt::format("client account '{}' has valid keys but no limit rule", it.account.value),
            "a limit rule for it, or withdraw its keys first"}));
    }
    return errors;
}

auto drop_excess_revoked_keys(std::vector<key_entry>& keys) -> void {
    auto revoked = static_cast<std::size_t>(std::count_if(
        keys.begin(), keys.end(), [](const auto& it) { return it.state == key_state::revoked; }));
    keys.erase(std::remove_if(keys.begin(), keys.end(),
                              [&](const auto& it) {
                                  if (it.state != key_state::revoked || revoked <= max_revoked_keys) {
                                      return false;
                                  }
                                  --revoked;
                                  return true;
                              }),
               keys.end());
}

auto is_change_id(const std::string& text) -> bool {
    return text.size() >= 16 && text.size() <= 64 &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

auto new_change(const QJsonObject& body, const std::string& author) -> change_request {
    auto request = change_request{};
    request.author = author;
    request.id = body.value("change_id").toString().toStdString();
    return request;
}

/// Parses a request body; `std::nullopt` if it is not a JSON object.
auto parse_body(const std::string& body) -> std::optional<QJsonObject> {
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(body));
    return document.isObject() ? std::optional{document.object()} : std::nullopt;
}

auto parse_unsigned(const std::string& text) -> std::optional<std::uint64_t> {
    auto value = std::uint64_t{0};
    const auto* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, value);
    return ec == std::errc{} && end == last ? std::optional{value} : std::nullopt;
}

} // namespace

class admin_api::implementation {
public:
    implementation(administration& daemon, std::vector<admin_credential> credentials)
        : daemon_(daemon)
        , credentials_(std::move(credentials)) {}

    auto handle(const admin_request& request, const reply& done) -> void {
        const auto author = authenticate(request.authorization);
        if (!author) {
            return done(
                error_response({failure_code::unauthorised, "the administration token is not valid", {}}));
        }
        if (!request.path.starts_with(prefix)) {
            return done(not_found("unknown path; the administration API is under /admin/v1"));
        }
        const auto path = request.path.substr(prefix.size());
        if (request.method == "GET") {
            return get(path, request, done);
        }
        if (request.method == "POST") {
            return post(path, request, *author, done);
        }
        auto response = bad_request("the administration API accepts GET and POST");
        response.status = 405;
        done(std::move(response));
    }

private:
    /// Name of the matching credential. Compares all credentials, so that the time taken does not reveal
    /// which one matches.
    [[nodiscard]] auto authenticate(const std::string& authorization) const -> std::optional<std::string> {
        constexpr std::string_view scheme = "Bearer ";
        if (!authorization.starts_with(scheme)) {
            return std::nullopt;
        }
        const auto hash = sha256_hex(std::string_view{authorization}.substr(scheme.size()));
        auto found = std::optional<std::string>{};
        for (const auto& it : credentials_) {
            if (it.token_hash.size() == hash.size() &&
                sodium_memcmp(it.token_hash.data(), hash.data(), hash.size()) == 0) {
                found = it.name;
            }
        }
        return found;
    }

    auto get(const std::string& path, const admin_request& request, const reply& done) -> void {
        if (path == "/status") {
            return daemon_.status(
                [done](const instance_status& it) { done(json_response(200, to_json_object(it))); });
        }
        if (path == "/metrics") {
            return done({200, "text/plain; version=0.0.4", daemon_.metrics_text()});
        }
        if (path == "/timeline") {
            return get_timeline(request, done);
        }
        if (path == "/versions") {
            return daemon_.versions([this, done](const std::vector<instance_version>& it) {
                done(json_response(200, {{"newest", static_cast<qint64>(daemon_.current_config().version)},
                                         {"instances", to_json_array(it)}}));
            });
        }
        if (path == "/rules") {
            return with_config(done, [](const configuration& it) {
                return QJsonObject{{"text", to_qt(it.rules_text)}};
            });
        }
        if (path == "/history") {
            return with_config(done, [](const configuration& it) {
                return QJsonObject{{"changes", to_json_array(it.history)}};
            });
        }
        if (path == "/keys") {
            return with_config(done, [](const configuration& it) {
                return QJsonObject{{"keys", to_json_array(it.keys)}};
            });
        }
        done(not_found("unknown path"));
    }

    /// Responds with the stored configuration, or with the one in force on this instance if the store does
    /// not answer.
    template <class MakeBody>
    auto with_config(const reply& done, MakeBody make_body) -> void {
        daemon_.read_config([this, done, make_body](const result<configuration>& found) {
            const auto* stored = std::get_if<configuration>(&found);
            const auto config = stored != nullptr ? *stored : daemon_.current_config();
            auto body = make_body(config);
            body.insert("version", static_cast<qint64>(config.version));
            body.insert("from_store", stored != nullptr);
            done(json_response(200, body));
        });
    }

    auto get_timeline(const admin_request& request, const reply& done) -> void {
        auto filter = timeline_filter{};
        for (const auto& [name, value] : request.query) {
            const auto number = parse_unsigned(value);
            if (name == "database") {
                filter.database = database_id{value};
            } else if (name == "account") {
                filter.account = account_id{value};
            } else if (name == "request") {
                filter.request = request_id{value};
            } else if (name == "since_us" && number) {
                filter.since_us = static_cast<std::int64_t>(*number);
            } else if (name == "limit" && number && *number >= 1 && *number <= 10'000) {
                filter.limit = *number;
            } else {
                return done(
                    bad_request(fmt::format("query '{}' is not valid; accepted: database, account, request, "
                                            "since_us=MICROSECONDS, limit=1..10000",
                                            name)));
            }
        }
        daemon_.events(filter, [done](const std::vector<timeline_event>& it) {
            done(json_response(200, {{"events", to_json_array(it)}}));
        });
    }

    auto post(const std::string& path, const admin_request& request, const std::string& author,
              const reply& done) -> void {
        const auto body = parse_body(request.body);
        if (!body) {
            return done(bad_request("the body is no JSON object"));
        }
        if (body->contains("change_id") && !is_change_id(body->value("change_id").toString().toStdString())) {
            return done(bad_request("accepted: change_id of 16 to 64 hexadecimal digits"));
        }
        constexpr std::string_view keys = "/keys/";
        constexpr std::string_view withdraw = "/withdraw";
        if (path == "/rules") {
            return apply_rules(*body, author, done);
        }
        if (path == "/keys") {
            return issue(*body, author, done);
        }
        if (path.starts_with(keys) && path.ends_with(withdraw) &&
            path.size() > keys.size() + withdraw.size()) {
            return withdraw_key(key_id{path.substr(keys.size(), path.size() - keys.size() - withdraw.size())},
                                *body, author, done);
        }
        done(not_found("unknown path"));
    }

    auto apply_rules(const QJsonObject& body, const std::string& author, const reply& done) -> void {
        const auto expected = body.value("expected_version");
        const auto summary = body.value("summary").toString().toStdString();
        if (!body.value("text").isString() || !expected.isDouble() || expected.toInteger(-1) < 0 ||
            !is_valid_history_text(summary)) {
            return done(bad_request(
                fmt::format("accepted: text, expected_version (a whole number), summary (one line "
                            "of 1 to {} bytes)",
                            max_text_bytes)));
        }
        const auto text = body.value("text").toString().toStdString();
        auto parsed = parse_rules(text);
        if (const auto* errors = std::get_if<std::vector<rule_error>>(&parsed); errors != nullptr) {
            return done(rules_refused(to_json_array(*errors)));
        }
        const auto base_version = static_cast<std::uint64_t>(expected.toInteger());
        auto request = new_change(body, author);
        request.summary = summary;
        request.edit = [base_version, text, rules = std::get<rule_set>(std::move(parsed))](
                           const configuration& current) -> std::variant<configuration, admin_response> {
            if (current.version != base_version) {
                return conflict_response(current, base_version);
            }
            auto next = current;
            next.rules_text = text;
            next.rules = rules;
            if (const auto errors = accounts_without_limit(next); !errors.isEmpty()) {
                return rules_refused(errors);
            }
            return next;
        };
        request.accepted = [](const config_change& change, bool) {
            return QJsonObject{{"change", to_json_object(change)}};
        };
        run_change(daemon_, std::move(request), done);
    }

    auto issue(const QJsonObject& body, const std::string& author, const reply& done) -> void {
        const auto account = account_id{body.value("account").toString().toStdString()};
        const auto requester = body.value("requester").toString().toStdString();
        if (account.empty() || !is_valid_history_text(requester)) {
            return done(bad_request("accepted: account, requester (who asked for the key)"));
        }
        const auto key = issue_key(account, requester);
        auto request = new_change(body, author);
        request.summary =
            fmt::format("key {} issued for {}, asked by {}", key.entry.id.value, account.value, requester);
        request.repeat_after_conflict = true;
        request.edit =
            [entry = key.entry](const configuration& current) -> std::variant<configuration, admin_response> {
            if (current.rules.limits.count(entry.account) == 0) {
                return not_found(fmt::format("client account '{}' has no limit rule; apply one first",
                                             entry.account.value));
            }
            auto next = current;
            next.keys.push_back(entry);
            return next;
        };
        request.accepted = [key](const config_change& change, bool repeated) {
            if (repeated) {
                // Only the hash of a key is stored, so the key issued earlier cannot be returned again.
                return QJsonObject{{"change", to_json_object(change)}};
            }
            return QJsonObject{{"id", to_qt(key.entry.id.value)},
                               {"account", to_qt(key.entry.account.value)},
                               {"key", to_qt(key.text)}};
        };
        run_change(daemon_, std::move(request), done);
    }

    auto withdraw_key(const key_id& id, const QJsonObject& body, const std::string& author, const reply& done)
        -> void {
        const auto reason = body.value("reason").toString().toStdString();
        if (!is_valid_history_text(reason)) {
            return done(bad_request("accepted: reason (one line)"));
        }
        auto request = new_change(body, author);
        request.summary = fmt::format("key {} withdrawn: {}", id.value, reason);
        request.repeat_after_conflict = true;
        request.edit = [id](const configuration& current) -> std::variant<configuration, admin_response> {
            auto next = current;
            const auto it = std::find_if(next.keys.begin(), next.keys.end(),
                                         [&](const auto& key) { return key.id == id; });
            if (it == next.keys.end()) {
                return not_found("unknown key id");
            }
            if (it->state == key_state::revoked) {
                return json_response(200, {{"id", to_qt(id.value)},
                                           {"version", static_cast<qint64>(current.version)},
                                           {"confirmed", true},
                                           {"already", true}});
            }
            it->state = key_state::revoked;
            drop_excess_revoked_keys(next.keys);
            return next;
        };
        request.accepted = [id](const config_change&, bool) {
            return QJsonObject{{"id", to_qt(id.value)}};
        };
        run_change(daemon_, std::move(request), done);
    }

    administration& daemon_;
    std::vector<admin_credential> credentials_;
};

admin_api::admin_api(administration& daemon, std::vector<admin_credential> credentials)
    : impl_(std::make_shared<implementation>(daemon, std::move(credentials))) {}

admin_api::~admin_api() = default;

auto admin_api::handle(const admin_request& request, reply done) -> void {
    impl_->handle(request, done);
}

} // namespace citronlug
