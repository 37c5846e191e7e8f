#pragma once

#include "state/ids.h"
#include "state/incarnation.h"
#include "state/service_capacity.h"

#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Agent to entry, on connecting and on every change: identity of the agent and the services it can run.
struct agent_status {
    incarnation agent;
    std::string zone;
    std::string rack;
    bool draining = false;
    config_revision revision = 0;
    // Empty while no backend server is announced and while the backend server is leaving.
    std::vector<service_capacity> services;

    static constexpr auto members() {
        return std::make_tuple(&agent_status::agent, &agent_status::zone, &agent_status::rack,
                               &agent_status::draining, &agent_status::revision, &agent_status::services);
    }
};

} // namespace persimmonstile
