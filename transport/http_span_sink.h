#pragma once

#include "transport/curl_handle.h"
#include "transport/span_sink.h"

#include <atomic>
#include <chrono>
#include <string>

namespace persimmonstile {

// Posts each request to an OTLP/HTTP collector.
class http_span_sink : public span_sink {
public:
    // base_url has no "/v1/traces"; timeout bounds one request.
    http_span_sink(std::string base_url, std::chrono::milliseconds timeout);

    bool write(const std::string& request) override;

private:
    std::string url_;
    std::chrono::milliseconds timeout_;
    std::atomic<bool> stopped_ = false;
    curl_handle client_;
};

} // namespace persimmonstile
