#pragma once

#include "state/agent_status.h"
#include "state/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace persimmonstile {

// The state of an entry as reported by GET /v1/status.
struct entry_status {
    std::string name;
    config_revision revision = 0;
    table_version version = 0;
    std::size_t partitions = 0;
    // This entry holds a valid lease, and a majority of the grantors has at least its configuration revision.
    bool in_force = false;
    bool draining = false;
    std::size_t active_jobs = 0;
    std::size_t waiting_tasks = 0;
    std::vector<agent_status> agents;
};

} // namespace persimmonstile
