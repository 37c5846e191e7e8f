#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <tuple>

namespace persimmonstile {

// Event that reports that a connection to the agent was opened or reopened, or that the incarnation has ended
// for good.
struct agent_presence {
    incarnation agent;
    bool gone = false;
    config_revision revision = 0;

    static constexpr auto members() {
        return std::make_tuple(&agent_presence::agent, &agent_presence::gone, &agent_presence::revision);
    }
};

} // namespace persimmonstile
