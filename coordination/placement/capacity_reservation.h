#pragma once

#include "coordination/ledger_task.h"
#include "state/resources.h"
#include "state/task_ref.h"
#include "state/time.h"

namespace persimmonstile {

// Capacity of an agent that is kept for a task which fits nowhere now.
struct capacity_reservation {
    agent_number agent = 0;
    task_ref task;
    resources needs;
    // When the task is expected to start there.
    time_point start{};
};

} // namespace persimmonstile
