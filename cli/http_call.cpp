#include "cli/http_call.h"

#include <memory>

#include <curl/curl.h>

namespace persimmonstile {

namespace {

using curl_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using curl_headers = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::size_t append_to_string(char* data, std::size_t size, std::size_t count, void* target) {
    static_cast<std::string*>(target)->append(data, size * count);
    return size * count;
}

std::string header_of(CURL* handle, const char* name) {
    curl_header* header = nullptr;
    if (curl_easy_header(handle, name, 0, CURLH_HEADER, -1, &header) != CURLHE_OK) {
        return "";
    }
    return header->value;
}

} // namespace

std::variant<call_answer, call_error> perform(const http_call& call) {
    const curl_handle handle{curl_easy_init(), &curl_easy_cleanup};
    // Expect is removed, because curl would wait for "100 Continue" before it sends a large body.
    curl_headers headers{curl_slist_append(nullptr, "Expect:"), &curl_slist_free_all};
    curl_slist_append(headers.get(), "Content-Type: application/json");
    call_answer answer;
    curl_easy_setopt(handle.get(), CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &append_to_string);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &answer.body);
    if (!call.body.empty()) {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, call.body.c_str());
    }
    curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, call.method.c_str());
    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        return call_error{curl_easy_strerror(code)};
    }
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &answer.status);
    answer.retry_after = header_of(handle.get(), "Retry-After");
    return answer;
}

} // namespace persimmonstile
