#pragma once

#include "coordination/agent_view.h"
#include "state/resources.h"
#include "state/time.h"

namespace persimmonstile {

// When an agent is expected to have capacity for a task that does not fit there now.
struct release_forecast {
    // Infinite if the capacity may never come.
    double seconds = 0;
    // The agent itself has predicted it from the progress of its runs. Otherwise it is derived from the rate
    // at which runs start there, since in the long run as many end.
    bool is_reported = false;

    // `free` is the reported free capacity less what this entry has sent since, and needs_per_run the
    // processor needs of a typical run.
    static release_forecast of(const agent_view& agent, const resources& free, const resources& needs,
                               double needs_per_run, time_point now);
};

} // namespace persimmonstile
