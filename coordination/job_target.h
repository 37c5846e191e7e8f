#pragma once

#include "state/time.h"

namespace persimmonstile {

// Time limits after which the completion of a job loses its value, and the expected duration of the job.
struct job_target {
    // A job that ends after this time is late.
    time_point in_time{};
    // After this time the completion has no value, or the caller no longer waits for it.
    time_point useful_until{};
    // Expected time from the start of the first task to the end of the last one if no task has to wait for
    // capacity.
    milliseconds chain_duration{0};
};

} // namespace persimmonstile
