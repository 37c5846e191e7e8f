#pragma once

#include "coordination/robust_average.h"
#include "state/time.h"

#include <cstdint>

namespace persimmonstile {

// Run time statistics of similar tasks of one service: those of jobs, or the requests of one method.
struct scheduler_task_class {
    // Typical run time in seconds. It covers many samples, because slowness is measured relative to it.
    robust_average typical_run_seconds{256};
    // Mean run time in seconds. Unlike the typical run time it counts long tasks in full.
    double mean_run_seconds = 0;
    std::uint32_t samples = 0;
    time_point last_admitted;
};

} // namespace persimmonstile
