#include "transport/http_span_sink.h"

#include <stdexcept>

#include <curl/curl.h>

namespace persimmonstile {
namespace {

constexpr const char* traces_path = "/v1/traces";
constexpr long first_success = 200;
constexpr long last_success = 299;

std::string traces_url(std::string base_url) {
    while (base_url.ends_with('/')) {
        base_url.pop_back();
    }
    return base_url + traces_path;
}

std::size_t discard(char* /*data*/, std::size_t size, std::size_t count, void* /*context*/) {
    return size * count;
}

} // namespace

struct http_span_sink::connection {
    connection() {
        // Counted by libcurl, so that other users of the library do not have to know.
        curl_global_init(CURL_GLOBAL_DEFAULT);
        handle = curl_easy_init();
        headers = curl_slist_append(nullptr, "Content-Type: application/json");
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() {
        curl_slist_free_all(headers);
        curl_easy_cleanup(handle);
        curl_global_cleanup();
    }

    CURL* handle = nullptr;
    curl_slist* headers = nullptr;
};

http_span_sink::http_span_sink(const std::string& base_url, std::chrono::milliseconds timeout)
    : connection_{std::make_unique<connection>()} {
    if (connection_->handle == nullptr) {
        throw std::runtime_error("libcurl cannot be initialised");
    }
    CURL* handle = connection_->handle;
    curl_easy_setopt(handle, CURLOPT_URL, traces_url(base_url).c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, connection_->headers);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &discard);
    // Collectors are addressed by IP number inside the platform; a proxy of the environment does not apply.
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    // Timeouts by signal are not safe with several threads.
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
}

http_span_sink::~http_span_sink() = default;

bool http_span_sink::write(const std::string& request) {
    CURL* handle = connection_->handle;
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.size()));
    if (curl_easy_perform(handle) != CURLE_OK) {
        return false;
    }
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    return status >= first_success && status <= last_success;
}

} // namespace persimmonstile
