#pragma once

#include <chrono>
#include <string>
#include <variant>

namespace persimmonstile {

// One HTTP request. An empty body sends none.
struct http_call {
    std::string method = "GET";
    std::string url;
    std::string body;
    std::chrono::milliseconds timeout{10000};
};

// Status, Retry-After as sent (empty if absent) and body of an answer.
struct call_answer {
    long status = 0;
    std::string retry_after;
    std::string body;
};

// Why no answer arrived.
struct call_error {
    std::string detail;
};

// Performs the call and waits for its answer.
std::variant<call_answer, call_error> perform(const http_call& call);

} // namespace persimmonstile
