#pragma once

#include "coordination/speed_estimate.h"
#include "state/time.h"

#include <cstdint>

namespace persimmonstile {

// Tasks of one service that are alike: those of jobs, or the requests of one method.
struct scheduler_task_class {
    // Typical run time in seconds. Averaged over many samples, because all slowness is relative to it.
    speed_estimate typical{256};
    // Mean run time in seconds, which unlike the typical one counts long tasks in full.
    double mean_seconds = 0;
    std::uint32_t samples = 0;
    time_point last_admitted;
};

} // namespace persimmonstile
