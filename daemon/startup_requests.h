#pragma once

#include "state/time.h"
#include "transport/http_server.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace persimmonstile {

// Limits for requests that wait for the first configuration.
struct startup_request_limits {
    // A restarted entry reads the configuration within some tens of milliseconds after it starts to listen. A
    // longer wait would use up the caller's latency objective.
    milliseconds max_wait{300};
    // The number of requests that arrive within that time in the largest deployment.
    std::size_t max_requests = 300;
};

// A request that arrived before the configuration was read.
struct startup_request {
    http_request request;
    http_responder respond;
    time_point arrived{};
};

// Holds requests that arrive before the process has read its configuration, for a bounded time. Refusing them
// immediately after a restart would fail callers that can be served some tens of milliseconds later.
class startup_requests {
public:
    explicit startup_requests(const startup_request_limits& limits = {})
        : limits_{limits} {}

    // Returns false if the limit is reached. The caller must then answer the request immediately.
    bool hold(const http_request& request, const http_responder& respond, time_point now);
    // Drops the requests of a closed connection.
    void connection_closed(std::uint64_t connection);
    // Removes and returns all held requests, oldest first.
    std::vector<startup_request> take_all();
    // Removes and returns the requests that have waited too long.
    std::vector<startup_request> take_expired(time_point now);
    bool is_empty() const { return waiting_.empty(); }

private:
    startup_request_limits limits_;
    std::deque<startup_request> waiting_;
};

} // namespace persimmonstile
