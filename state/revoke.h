#pragma once

#include "state/ids.h"
#include "state/task_attempt.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// Owner to agent: do not start these tasks. The agent answers for each: not_started, or its present state. It
// refuses the dispatch of a named attempt that arrives after this message.
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
