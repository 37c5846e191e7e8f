#pragma once

#include "state/session_adoption.h"
#include "state/time.h"

#include <set>
#include <string>

namespace persimmonstile {

// Progress of the adoption of a deposed session's jobs. Their tasks may be placed once every agent that may
// have runs of that session has reported them and rejects further orders of the session.
struct adoption_progress {
    session_adoption record;
    // Names of the agents that have not replied yet.
    std::set<std::string> unanswered_agents;
    // Time by which the runs on all unreachable agents have ended.
    time_point runs_ended_by{};
    bool is_settled = false;
};

} // namespace persimmonstile
