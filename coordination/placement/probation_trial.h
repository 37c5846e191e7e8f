#pragma once

#include "coordination/agent_view.h"
#include "state/resources.h"

#include <vector>

namespace persimmonstile {

// A backend server on probation is offered with a part of its capacity until a run succeeds. If all backend
// servers that are large enough for a task are on probation, the task would never be placed.
class probation_trial {
public:
    // Whether the agent is on probation, has no runs of any entry, and has got none in this pass. `free` is
    // what is left of its capacity in this planning pass.
    static bool is_idle_on_probation(const agent_view& agent, const resources& free);

    // Whether a task with these needs may be tried at an agent that is_idle_on_probation: no agent of
    // `usable` that is not on probation is large enough for it. Each entry sends one such task at a time.
    static bool is_needed(const resources& needs, const std::vector<agent_view*>& usable);
};

} // namespace persimmonstile
