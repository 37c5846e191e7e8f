#pragma once

#include "state/ids.h"
#include "state/task_attempt.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// Owner to agent: do not start these tasks. The agent reports each task, either as not_started or with its
// current state. If a dispatch of a listed attempt arrives after this message, the agent refuses it.
struct revoke {
    partition_id partition = 0;
    epoch_number epoch = 0;
    job_id job;
    std::vector<task_attempt> tasks;

    static constexpr auto members() {
        return std::make_tuple(&revoke::partition, &revoke::epoch, &revoke::job, &revoke::tasks);
    }
};

} // namespace persimmonstile
