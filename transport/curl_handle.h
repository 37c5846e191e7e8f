#pragma once

#include "state/time.h"
#include "transport/http_answer.h"

#include <atomic>
#include <functional>
#include <string>
#include <string_view>

namespace persimmonstile {

// One easy handle of libcurl with its kept-alive connections. Used by one thread at a time.
class curl_handle {
public:
    // Receives the body piece by piece and returns false to end the transfer.
    using chunk_consumer = std::function<bool(std::string_view)>;

    struct timeouts {
        milliseconds connect{500};
        milliseconds total{2000};
    };

    curl_handle();
    ~curl_handle();
    curl_handle(const curl_handle&) = delete;
    curl_handle& operator=(const curl_handle&) = delete;

    // Blocks until the answer is complete. The transfer ends early once stopped is set. Without a consumer
    // the body is collected in the answer.
    http_answer post_json(const std::string& url, const std::string& body, timeouts limits,
                          const std::atomic<bool>& stopped, const chunk_consumer& consume = {});
    http_answer get(const std::string& url, timeouts limits, const std::atomic<bool>& stopped);

private:
    http_answer perform(const std::string& url, timeouts limits, const std::atomic<bool>& stopped,
                        const chunk_consumer& consume);

    void* easy_;
};

} // namespace persimmonstile
