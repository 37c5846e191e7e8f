#include "standins/backend_announcer.h"

#include <chrono>
#include <memory>
#include <utility>

#include <curl/curl.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

// The agent ends the membership after 1500 ms, so two lost announcements do no harm.
constexpr std::chrono::milliseconds announce_interval{500};
constexpr long announce_timeout_ms = 400;

using curl_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using curl_headers = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::size_t discard(char* /*data*/, std::size_t size, std::size_t count, void* /*target*/) {
    return size * count;
}

std::string announcement_body(const backend_announcement& contents, backend_announced_state state) {
    const nlohmann::json body{{"service", contents.service},
                              {"url", contents.url},
                              {"slots", contents.slots},
                              {"connections", contents.connections},
                              {"state", state == backend_announced_state::leaving ? "leaving" : "serving"}};
    return body.dump();
}

} // namespace

backend_announcer::backend_announcer(std::string agent_url, backend_announcement contents)
    : agent_url_(std::move(agent_url))
    , contents_(std::move(contents))
    , thread_([this] { run(); }) {}

backend_announcer::~backend_announcer() {
    {
        const std::lock_guard guard{lock_};
        stopped_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void backend_announcer::set_state(backend_announced_state state) {
    {
        const std::lock_guard guard{lock_};
        state_ = state;
        pending_ = true;
        state_accepted_ = false;
    }
    changed_.notify_all();
}

std::uint64_t backend_announcer::accepted() const {
    return accepted_;
}

bool backend_announcer::is_accepted() const {
    return state_accepted_;
}

void backend_announcer::run() {
    std::unique_lock guard{lock_};
    while (!stopped_) {
        const backend_announced_state state = state_;
        pending_ = false;
        if (state != backend_announced_state::silent) {
            guard.unlock();
            const bool accepted = announce(state);
            guard.lock();
            if (accepted) {
                ++accepted_;
                state_accepted_ = state_accepted_ || state == state_;
            }
        }
        changed_.wait_for(guard, announce_interval, [this] { return stopped_ || pending_; });
    }
}

bool backend_announcer::announce(backend_announced_state state) const {
    const std::string url = agent_url_ + "/v1/announce";
    const std::string body = announcement_body(contents_, state);
    const curl_handle handle{curl_easy_init(), &curl_easy_cleanup};
    const curl_headers headers{curl_slist_append(nullptr, "Content-Type: application/json"),
                               &curl_slist_free_all};
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, announce_timeout_ms);
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &discard);
    long status = 0;
    if (curl_easy_perform(handle.get()) != CURLE_OK) {
        return false;
    }
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    return status >= 200 && status < 300;
}

} // namespace persimmonstile
