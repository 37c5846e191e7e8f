#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// Decision of the scheduler to send these waiting tasks of one job to this agent. revision is the revision of
// the configuration in use; the dispatch contains it.
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
