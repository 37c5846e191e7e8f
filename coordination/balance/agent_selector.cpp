#include "coordination/balance/agent_selector.h"

#include "coordination/entry_subset.h"
#include "coordination/run_planner.h"

#include <algorithm>
#include <chrono>

namespace persimmonstile {

bool could_run(const agent_view& agent, const std::string& service, const std::string& label,
               const resources& needs) {
    const backend_profile& backend = agent.profile.backend;
    const bool has_label = label.empty() || std::find(backend.labels.begin(), backend.labels.end(), label) !=
                                                backend.labels.end();
    return backend.service == service && has_label && needs.fits_in(backend.capacity);
}

namespace {

// Whether the agent's free capacity is worth another connection. The entries that the agent serves already
// compete for a small rest of its capacity, and each run that does not fit is returned.
bool has_spare_capacity(const agent_view& agent, const room_request& request) {
    const resources free = agent.free();
    const bool is_needed = !request.required_label.empty();
    const bool is_idle = agent.profile.backend.capacity.fits_in(free);
    return request.needs.fits_in(free) &&
           (is_needed || is_idle || (request.needs * agent_selector::min_free_tasks).fits_in(free));
}

} // namespace

std::vector<agent_number> agent_selector::select(const room_request& request, const agent_directory& agents,
                                                 const std::vector<unmet_demand>& own_demands,
                                                 const std::set<std::string>& entries,
                                                 const deployment_config& config, time_point now) {
    const std::chrono::duration<double> passed = now - refilled_at_;
    available_ = std::min(max_burst, available_ + agents_per_second * passed.count());
    refilled_at_ = now;
    std::erase_if(asked_until_, [&](const auto& asked) { return now >= asked.second; });

    std::vector<const agent_view*> suitable;
    for (const auto& [number, agent] : agents.all()) {
        if (is_suitable(agent, request, own_demands, config, now))
            suitable.push_back(&agent);
    }
    // Several entries receive such requests at the same time. A random choice keeps them from asking the same
    // agent.
    std::shuffle(suitable.begin(), suitable.end(), random_);
    std::vector<agent_number> selected;
    for (const agent_view* agent : suitable) {
        if (selected.size() >= request.wanted || available_ < 1)
            break;
        available_ -= 1;
        if (choose_entries(agent->name, entries, max_entries_).contains(request.entry_address))
            continue;
        asked_until_[{agent->number, request.entry_address}] = now + hold_;
        selected.push_back(agent->number);
    }
    return selected;
}

// An agent that could run tasks that wait here is kept, also if its free capacity is too small for them now:
// it has to accumulate until they fit.
bool agent_selector::is_suitable(const agent_view& agent, const room_request& request,
                                 const std::vector<unmet_demand>& own_demands,
                                 const deployment_config& config, time_point now) const {
    if (!run_planner::is_usable(agent, request.service, config, now) || agent.profile.is_suspect ||
        !could_run(agent, request.service, request.required_label, request.needs) ||
        !has_spare_capacity(agent, request) || asked_until_.contains({agent.number, request.entry_address}))
        return false;
    return std::none_of(own_demands.begin(), own_demands.end(), [&](const unmet_demand& own) {
        return could_run(agent, own.service, own.label, own.needs);
    });
}

} // namespace persimmonstile
