#pragma once

#include <cstdint>

namespace persimmonstile {

// Load of one backend server, as input to a placement policy.
struct placement_load {
    std::uint32_t slots = 1;
    // Tasks of all entries that are running, queued or in flight to the backend server. Fractional, because
    // the number of tasks of other entries is an estimate.
    double tasks = 0;
    // Expected run time of one task in seconds.
    double run_seconds = 0;
};

} // namespace persimmonstile
