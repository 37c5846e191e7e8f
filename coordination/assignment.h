#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// Decision of the scheduler to send some waiting tasks of one job to an agent. revision is that of the
// configuration in use and is copied into the dispatch message.
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
