#pragma once

#include "state/agent_status.h"
#include "state/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace persimmonstile {

// What GET /v1/status reports of an entry.
struct entry_status {
    std::string name;
    config_revision revision = 0;
    table_version version = 0;
    std::size_t partitions = 0;
    // A majority of the grantors holds this entry's revision and its grants are valid.
    bool in_force = false;
    bool draining = false;
    std::size_t active_jobs = 0;
    std::size_t waiting_tasks = 0;
    std::vector<agent_status> agents;
};

} // namespace persimmonstile
