#pragma once

#include <string>

namespace persimmonstile {

// Outcome of one HTTP request. status is 0 if no complete answer arrived; then error says why and sent tells
// whether the server may have received the request.
struct http_answer {
    long status = 0;
    std::string body;
    std::string error;
    bool sent = false;
    // The consumer of the body received some of it.
    bool consumed = false;
    // The consumer of the body ended the transfer because it had all it needed.
    bool ended_by_consumer = false;
    bool timed_out = false;
};

} // namespace persimmonstile
