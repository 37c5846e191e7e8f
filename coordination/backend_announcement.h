#pragma once

#include "state/backend_profile.h"
#include "state/time.h"

#include <cstdint>

namespace persimmonstile {

// A backend server's report of its profile to its agent, with a sequence number and a clock reading.
struct backend_announcement {
    backend_profile profile;
    // Increases with each report within one lifetime of the backend server, so that the agent can ignore
    // stale reports.
    std::uint64_t sequence = 0;
    std::int64_t clock_ms = 0;
    // Time until the draining backend server leaves; 0 if it is unknown.
    milliseconds leaves_in{0};
};

} // namespace persimmonstile
