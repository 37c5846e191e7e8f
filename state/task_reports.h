#pragma once

#include "state/agent_load.h"
#include "state/ids.h"
#include "state/incarnation.h"
#include "state/task_report.h"

#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Agent to owner: results and refusals of tasks of one job, with the agent's current load.
struct task_reports {
    incarnation agent;
    epoch_number epoch = 0;
    job_id job;
    std::string service;
    agent_load load;
    std::vector<task_report> reports;

    static constexpr auto members() {
        return std::make_tuple(&task_reports::agent, &task_reports::epoch, &task_reports::job,
                               &task_reports::service, &task_reports::load, &task_reports::reports);
    }
};

} // namespace persimmonstile
