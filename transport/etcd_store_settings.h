#pragma once

#include "coordination/call_rate_limiter.h"

#include <string>
#include <vector>

namespace persimmonstile {

struct etcd_store_settings {
    // Base URLs, such as "http://10.0.0.1:2379". At least one. They are tried in turn.
    std::vector<std::string> endpoints;
    milliseconds connect_timeout{500};
    // Bound on one request to one endpoint. A watch is bounded by the time its caller wants to wait.
    milliseconds request_timeout{2000};
    call_rate_limiter_settings pacing;
};

} // namespace persimmonstile
