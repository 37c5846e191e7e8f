#pragma once

#include "state/ids.h"
#include "state/incarnation.h"
#include "state/task_report.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// Agent to new owner, in reply to query_job: every task of the job that this incarnation started, or accepted
// and then gave up. If reports is empty, the job never reached the agent.
struct job_report {
    incarnation agent;
    partition_id partition = 0;
    epoch_number epoch = 0;
    job_id job;
    std::vector<task_report> reports;

    static constexpr auto members() {
        return std::make_tuple(&job_report::agent, &job_report::partition, &job_report::epoch,
                               &job_report::job, &job_report::reports);
    }
};

} // namespace persimmonstile
