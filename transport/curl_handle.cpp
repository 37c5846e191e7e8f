#include "transport/curl_handle.h"

#include <memory>
#include <stdexcept>

#include <curl/curl.h>

namespace persimmonstile {

namespace {

// Larger than the base64 form of the largest value of the store, 1 MiB.
constexpr std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;

constexpr long status_ok = 200;

struct transfer {
    CURL* easy = nullptr;
    http_answer* answer = nullptr;
    const curl_handle::chunk_consumer* consume = nullptr;
    const std::atomic<bool>* stopped = nullptr;
};

std::size_t receive(char* data, std::size_t size, std::size_t count, void* context) {
    auto& state = *static_cast<transfer*>(context);
    const std::string_view chunk{data, size * count};
    long status = 0;
    curl_easy_getinfo(state.easy, CURLINFO_RESPONSE_CODE, &status);
    // The consumer expects the body of a success only.
    if (*state.consume && status == status_ok) {
        state.answer->consumed = true;
        if ((*state.consume)(chunk))
            return chunk.size();
        state.answer->ended_by_consumer = true;
        return 0;
    }
    if (state.answer->body.size() + chunk.size() > max_answer_bytes)
        return 0;
    state.answer->body += chunk;
    return chunk.size();
}

int check_stopped(void* context, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
    return static_cast<transfer*>(context)->stopped->load() ? 1 : 0;
}

// Errors at which certainly no byte of the request left this process.
bool is_before_sending(CURLcode code) {
    return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
           code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL;
}

bool is_sent(CURL* easy, CURLcode code) {
    long bytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &bytes);
    return !is_before_sending(code) && bytes > 0;
}

struct slist_free {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

void initialize_library_once() {
    // curl_global_init is not safe to run twice at the same time.
    [[maybe_unused]] static const CURLcode done = curl_global_init(CURL_GLOBAL_DEFAULT);
}

} // namespace

curl_handle::curl_handle()
    : easy_{(initialize_library_once(), curl_easy_init())} {
    if (easy_ == nullptr)
        throw std::runtime_error{"libcurl could not create a handle"};
}

curl_handle::~curl_handle() {
    curl_easy_cleanup(easy_);
}

http_answer curl_handle::post_json(const std::string& url, const std::string& body, timeouts limits,
                                   const std::atomic<bool>& stopped, const chunk_consumer& consume) {
    curl_easy_reset(easy_);
    std::unique_ptr<curl_slist, slist_free> headers{
        curl_slist_append(nullptr, "Content-Type: application/json")};
    // Without this, libcurl waits up to 1 s for "100 Continue" before it sends a large body.
    headers.reset(curl_slist_append(headers.release(), "Expect:"));
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, body.data());
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    return perform(url, limits, stopped, consume);
}

http_answer curl_handle::get(const std::string& url, timeouts limits, const std::atomic<bool>& stopped) {
    curl_easy_reset(easy_);
    return perform(url, limits, stopped, {});
}

http_answer curl_handle::perform(const std::string& url, timeouts limits, const std::atomic<bool>& stopped,
                                 const chunk_consumer& consume) {
    http_answer answer;
    transfer state{easy_, &answer, &consume, &stopped};
    curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(limits.connect.count()));
    curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, static_cast<long>(limits.total.count()));
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &receive);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, &state);
    curl_easy_setopt(easy_, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(easy_, CURLOPT_XFERINFOFUNCTION, &check_stopped);
    curl_easy_setopt(easy_, CURLOPT_XFERINFODATA, &state);
    const CURLcode code = curl_easy_perform(easy_);
    answer.sent = is_sent(easy_, code);
    answer.timed_out = code == CURLE_OPERATION_TIMEDOUT;
    if (code == CURLE_OK)
        curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &answer.status);
    else
        answer.error = curl_easy_strerror(code);
    return answer;
}

} // namespace persimmonstile
