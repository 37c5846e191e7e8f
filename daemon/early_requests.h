#pragma once

#include "state/time.h"
#include "transport/http_server.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace persimmonstile {

// Figures by which requests wait for the first configuration.
struct early_limits {
    // A restarted entry has read the configuration some tens of milliseconds after it began to listen; a
    // longer wait would use up the objective of a caller.
    milliseconds patience{300};
    // As many as come in that time on the largest deployment.
    std::size_t most = 300;
};

// A request that cannot be judged yet.
struct early_request {
    http_request request;
    http_responder respond;
    time_point arrived{};
};

// Requests that came before the process has read the configuration. They wait for it for a short while,
// because a caller that is refused at once after a restart would have been served some tens of milliseconds
// later.
class early_requests {
public:
    explicit early_requests(const early_limits& limits = {})
        : limits_{limits} {}

    // False if there is no place; the request has to be answered now.
    bool hold(const http_request& request, const http_responder& respond, time_point now);
    // The connection is closed, so nobody waits behind it.
    void connection_closed(std::uint64_t connection);
    // All that wait, the first one first.
    std::vector<early_request> take_all();
    // Those that have waited too long.
    std::vector<early_request> take_expired(time_point now);
    bool is_empty() const { return waiting_.empty(); }

private:
    early_limits limits_;
    std::deque<early_request> waiting_;
};

} // namespace persimmonstile
