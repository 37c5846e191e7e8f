#pragma once

#include "state/backend_profile.h"

#include <cstdint>

namespace persimmonstile {

// A backend server's report of its profile to its agent, with a sequence number and a clock reading.
struct backend_announcement {
    backend_profile profile;
    // Increases with each report within one lifetime of the backend server, so that the agent can ignore
    // stale reports.
    std::uint64_t sequence = 0;
    std::int64_t clock_ms = 0;
};

} // namespace persimmonstile
