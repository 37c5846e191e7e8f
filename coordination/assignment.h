#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// The scheduler's decision: send these waiting tasks of one job to this agent. revision is that of the
// configuration in use, which the dispatch names.
struct assignment {
    job_id job;
    incarnation agent;
    std::vector<task_index> tasks;
    config_revision revision = 0;

    static constexpr auto members() {
        return std::make_tuple(&assignment::job, &assignment::agent, &assignment::tasks,
                               &assignment::revision);
    }
};

} // namespace persimmonstile
