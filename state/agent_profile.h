#pragma once

#include "state/agent_free_capacity.h"
#include "state/backend_profile.h"
#include "state/incarnation.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace persimmonstile {

// Agent to entry, first on each connection and again on every change: identity and state of the agent and of
// the backend server on the same machine.
struct agent_profile {
    incarnation agent;
    std::string zone;
    // The agent accepts new runs. False while the backend server is unknown, unresponsive or shutting down,
    // the agent does not know which runs the backend server has, the agent is shutting down, or the
    // availability zone is out of service.
    bool accepts_runs = false;
    // backend.id is empty while no backend server is known.
    backend_profile backend;
    agent_free_capacity reported_capacity;
    // Runs of this agent fail or make no progress, even if the backend server reports itself healthy. Entries
    // prefer other agents.
    bool is_suspect = false;
    // Minimum time until the draining backend server leaves, in milliseconds; 0 if it is not known to leave.
    std::int64_t leaves_in_ms = 0;
    // The backend server was avoided and offers a part of its capacity until a run succeeds. Agents of older
    // versions do not set it.
    bool is_on_probation = false;

    static constexpr auto members() {
        return std::make_tuple(&agent_profile::agent, &agent_profile::zone, &agent_profile::accepts_runs,
                               &agent_profile::backend, &agent_profile::reported_capacity,
                               &agent_profile::is_suspect, &agent_profile::leaves_in_ms,
                               &agent_profile::is_on_probation);
    }
};

} // namespace persimmonstile
