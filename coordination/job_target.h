#pragma once

#include "state/time.h"

namespace persimmonstile {

// Until when the completion of a job is worth something to its caller.
struct job_target {
    time_point in_time{};
    // Afterwards the completion is worth nothing, or nobody waits any more.
    time_point useful{};
    // Expected time from the start of the first task to the end of the last one, if none has to wait.
    milliseconds chain{0};
};

} // namespace persimmonstile
