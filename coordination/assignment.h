#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <vector>

namespace persimmonstile {

// The scheduler's decision: send these waiting tasks of one job to this agent.
struct assignment {
    job_id job;
    incarnation agent;
    std::vector<task_index> tasks;
};

} // namespace persimmonstile
