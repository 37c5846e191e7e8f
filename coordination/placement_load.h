#pragma once

#include <cstdint>

namespace persimmonstile {

// What a placement policy knows of one backend server.
struct placement_load {
    std::uint32_t slots = 1;
    // Tasks of all entries that run, queue or are on their way there. Fractional, because the part of the
    // other entries is an estimate.
    double tasks = 0;
    // Expected run time of one task, in seconds.
    double run_seconds = 0;
};

} // namespace persimmonstile
