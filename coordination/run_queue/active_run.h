#pragma once

#include "state/resources.h"
#include "state/time.h"

#include <cstdint>

namespace persimmonstile {

// What is known about a run that uses capacity, at the time of a prediction.
struct active_run {
    resources needs;
    // Expected run time; 0 if unknown.
    milliseconds expected{0};
    milliseconds elapsed{0};
    // Latest progress, and the time from the start until it was observed. 0 if none was observed, or if the
    // start time is not known.
    std::uint32_t percent = 0;
    milliseconds elapsed_at_progress{0};
    // A stop order is in flight or has been executed.
    bool is_stopping = false;
};

} // namespace persimmonstile
