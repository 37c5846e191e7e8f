#pragma once

#include "coordination/ledger_task.h"
#include "state/resources.h"
#include "state/task_ref.h"
#include "state/time.h"

#include <string>
#include <vector>

namespace persimmonstile {

// A waiting task as the placement sees it.
struct placement_task {
    const task_ref& ref;
    resources needs;
    // Expected run time on a backend server of typical speed.
    double seconds = 0;
    // Rack that holds the data; empty for none.
    const std::string& data_rack;
    const std::vector<agent_number>& avoided_agents;
    // The job should end by then.
    time_point due{};
    // When the task could have started at the earliest.
    time_point waiting_since{};
};

} // namespace persimmonstile
