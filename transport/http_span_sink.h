#pragma once

#include "transport/span_sink.h"

#include <chrono>
#include <memory>

namespace persimmonstile {

// Posts each request to an OTLP/HTTP collector.
class http_span_sink : public span_sink {
public:
    // base_url has no "/v1/traces"; timeout bounds one request.
    http_span_sink(const std::string& base_url, std::chrono::milliseconds timeout);
    ~http_span_sink() override;

    bool write(const std::string& request) override;

private:
    struct connection;
    std::unique_ptr<connection> connection_;
};

} // namespace persimmonstile
