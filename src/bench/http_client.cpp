#include "http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <stdexcept>
#include <unordered_map>

namespace citronlug::bench {

namespace {

struct transfer {
    std::string request_body;
    std::string answer_body;
    curl_slist* headers = nullptr;
    http_client::handler done;
};

auto append(char* data, std::size_t size, std::size_t count, void* target) -> std::size_t {
    static_cast<std::string*>(target)->append(data, size * count);
    return size * count;
}

} // namespace

class http_client::implementation {
public:
    implementation()
        : multi_{curl_multi_init()} {
        if (multi_ == nullptr) {
            throw std::runtime_error("curl_multi_init failed");
        }
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, 2048L);
    }

    ~implementation() {
        for (auto& [easy, state] : active_) {
            curl_multi_remove_handle(multi_, easy);
            curl_slist_free_all(state->headers);
            curl_easy_cleanup(easy);
        }
        for (auto* easy : idle_) {
            curl_easy_cleanup(easy);
        }
        curl_multi_cleanup(multi_);
    }

    implementation(const implementation&) = delete;
    auto operator=(const implementation&) -> implementation& = delete;

    auto send(const std::string& method, const std::string& url, const std::vector<std::string>& headers,
              std::string body, duration timeout, handler done) -> void {
        auto* easy = take_handle();
        auto state = std::make_unique<transfer>();
        state->request_body = std::move(body);
        state->done = std::move(done);
        for (const auto& it : headers) {
            state->headers = curl_slist_append(state->headers, it.c_str());
        }
        state->headers = curl_slist_append(state->headers, "Expect:");
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, state->headers);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count() / 1000));
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &state->answer_body);
        if (!state->request_body.empty()) {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(state->request_body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, state->request_body.c_str());
        }
        active_.emplace(easy, std::move(state));
        curl_multi_add_handle(multi_, easy);
    }

    auto poll(duration wait) -> void {
        auto running = 0;
        curl_multi_perform(multi_, &running);
        deliver();
        if (wait >= 1ms) {
            curl_multi_poll(multi_, nullptr, 0, static_cast<int>(wait.count() / 1000), nullptr);
            curl_multi_perform(multi_, &running);
            deliver();
        }
    }

    [[nodiscard]] auto in_flight() const -> std::size_t { return active_.size(); }

private:
    auto take_handle() -> CURL* {
        if (idle_.empty()) {
            return curl_easy_init();
        }
        auto* easy = idle_.back();
        idle_.pop_back();
        curl_easy_reset(easy);
        return easy;
    }

    auto deliver() -> void {
        auto left = 0;
        while (auto* message = curl_multi_info_read(multi_, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            auto* easy = message->easy_handle;
            auto answer = http_answer{};
            if (message->data.result == CURLE_OK) {
                curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer.status);
            }
            auto it = active_.find(easy);
            auto state = std::move(it->second);
            active_.erase(it);
            curl_multi_remove_handle(multi_, easy);
            curl_slist_free_all(state->headers);
            idle_.push_back(easy);
            answer.body = std::move(state->answer_body);
            state->done(std::move(answer));
        }
    }

    CURLM* multi_;
    std::unordered_map<CURL*, std::unique_ptr<transfer>> active_;
    std::vector<CURL*> idle_;
};

http_client::http_client()
    : impl_{std::make_unique<implementation>()} {}
http_client::~http_client() = default;

auto http_client::send(const std::string& method, const std::string& url,
                       const std::vector<std::string>& headers, std::string body, duration timeout,
                       handler done) -> void {
    impl_->send(method, url, headers, std::move(body), timeout, std::move(done));
}

auto http_client::poll(duration wait) -> void {
    impl_->poll(wait);
}

auto http_client::in_flight() const -> std::size_t {
    return impl_->in_flight();
}

auto http_client::call(const std::string& method, const std::string& url,
                       const std::vector<std::string>& headers, std::string body, duration timeout)
    -> http_answer {
    auto out = http_answer{};
    auto finished = false;
    send(method, url, headers, std::move(body), timeout, [&](http_answer answer) {
        out = std::move(answer);
        finished = true;
    });
    while (!finished) {
        poll(2ms);
    }
    return out;
}

} // namespace citronlug::bench
