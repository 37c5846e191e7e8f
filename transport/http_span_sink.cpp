#include "transport/http_span_sink.h"

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

} // namespace

http_span_sink::http_span_sink(std::string base_url, std::chrono::milliseconds timeout)
    : url_{traces_url(std::move(base_url))}
    , timeout_{timeout} {}

bool http_span_sink::write(const std::string& request) {
    const http_answer answer = client_.post_json(url_, request, {timeout_, timeout_}, stopped_);
    return answer.status >= first_success && answer.status <= last_success;
}

} // namespace persimmonstile
