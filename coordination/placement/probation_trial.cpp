#include "coordination/placement/probation_trial.h"

#include "coordination/agent_limits.h"

#include <algorithm>

namespace persimmonstile {

bool probation_trial::is_idle_on_probation(const agent_view& agent, const resources& free) {
    return agent.profile.is_on_probation && agent.runs.empty() &&
           agent.reported_capacity.queued == resources{} &&
           free == agent_limits::probation_capacity(agent.profile.backend.capacity);
}

bool probation_trial::is_needed(const resources& needs, const std::vector<agent_view*>& usable) {
    return std::all_of(usable.begin(), usable.end(), [&](const agent_view* agent) {
        return agent->profile.is_on_probation || !needs.fits_in(agent->profile.backend.capacity);
    });
}

} // namespace persimmonstile
