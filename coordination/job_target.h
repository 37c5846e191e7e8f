#pragma once

#include "state/time.h"

namespace persimmonstile {

// Times up to which the completion of a job is useful to its caller.
struct job_target {
    time_point in_time{};
    // After this time the completion has no value, or no caller waits for it.
    time_point useful{};
    // Expected time from the start of the first task to the end of the last one, if none has to wait.
    milliseconds chain{0};
};

} // namespace persimmonstile
