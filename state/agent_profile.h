#pragma once

#include "state/agent_room.h"
#include "state/backend_profile.h"
#include "state/incarnation.h"

#include <optional>
#include <string>
#include <tuple>

namespace persimmonstile {

// Agent to entry, first on each connection and on every change: who the agent is and which backend server is
// beside it.
struct agent_profile {
    incarnation agent;
    std::string zone;
    // Takes new runs: the backend server serves, the agent knows what runs there and is not shutting down.
    bool accepts_runs = false;
    // Empty id while none is known.
    backend_profile backend;
    agent_room room;
    // Its runs fail or stand still, whatever the backend server says of itself. Better places are to be
    // preferred.
    bool is_suspect = false;

    static constexpr auto members() {
        return std::make_tuple(&agent_profile::agent, &agent_profile::zone, &agent_profile::accepts_runs,
                               &agent_profile::backend, &agent_profile::room, &agent_profile::is_suspect);
    }
};

} // namespace persimmonstile
