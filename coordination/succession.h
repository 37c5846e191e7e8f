#pragma once

#include "state/adoption.h"
#include "state/time.h"

#include <set>
#include <string>

namespace persimmonstile {

// The taking over of a deposed session's jobs. Its tasks may be placed once every agent that may have runs of
// that session has said which, and refuses its orders from then on.
struct succession {
    adoption record;
    // Names of the agents that are still to answer.
    std::set<std::string> unanswered;
    // By then the runs have ended at all agents that cannot be reached.
    time_point certain_at{};
    bool is_settled = false;
};

} // namespace persimmonstile
