#pragma once

#include "state/time.h"

#include <cstddef>
#include <vector>

namespace persimmonstile::soak {

// What became of the callers.
struct caller_totals {
    std::size_t jobs = 0;
    std::size_t completed = 0;
    std::size_t failed = 0;
    std::size_t cancelled = 0;
    std::size_t refused = 0;
    // Tries without an answer.
    std::size_t unanswered = 0;
    // Jobs that were handed in during a calm time, and how many of them were completed.
    std::size_t calm_jobs = 0;
    std::size_t calm_completed = 0;
    // From the first try to the answer, of completed jobs.
    std::vector<milliseconds> response_times;
};

} // namespace persimmonstile::soak
