#include "coordination/entry_core.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace persimmonstile {

// Collects the tasks that the planning pass has left waiting.
void entry_core::update_unmet_demands(time_point now) {
    unmet_demands_.clear();
    const bool may_place_durable = is_ownership_certain(now);
    for (auto& [id, job] : ledger_.jobs()) {
        if (job.phase != job_phase::open || (job.is_durable() && !may_place_durable))
            continue;
        const std::string& service = job.record->service;
        job_ledger::for_each_placeable_task(job, [&](const task_ref&, const job_step& step,
                                                     const ledger_task&) {
            const bool is_spread = step.max_per_backend > 0;
            const auto same =
                std::find_if(unmet_demands_.begin(), unmet_demands_.end(), [&](const unmet_demand& known) {
                    return known.service == service && known.label == step.required_label &&
                           known.needs == step.task_needs && known.is_spread == is_spread;
                });
            if (same != unmet_demands_.end())
                ++same->tasks;
            else
                unmet_demands_.push_back({service, step.required_label, step.task_needs, 1, is_spread});
        });
    }
}

// Asks other entries for agents if tasks wait and no agent that serves this entry has capacity for them.
void entry_core::request_agents(time_point now) {
    update_unmet_demands(now);
    // Agents serve all entries if there are few.
    if (members().entries().size() <= limits_.entries_per_agent)
        return;
    std::vector<unmet_demand> demands;
    for (unmet_demand demand : unmet_demands_) {
        demand.is_unreachable = true;
        bool has_capacity = false;
        for (const auto& [number, agent] : agents_.all()) {
            if (agent.link == 0 || !agent.profile.accepts_runs ||
                config_->zones_out.contains(agent.profile.backend.zone) ||
                !could_run(agent, demand.service, demand.label, demand.needs))
                continue;
            demand.is_unreachable = false;
            has_capacity = has_capacity || (!demand.is_spread && demand.needs.fits_in(agent.free()));
        }
        if (!has_capacity && (demand.is_unreachable || limits_.borrows_when_full))
            demands.push_back(std::move(demand));
    }
    std::map<std::string, link_number> lenders;
    for (const auto& [link, peer] : peers_) {
        if (peer.lends_agents)
            lenders[peer.name] = link;
    }
    std::vector<std::pair<link_number, room_request>> requests =
        agent_requester_.take_requests(demands, lenders, now);
    if (requests.empty())
        return;
    record_decision("asking other entries for agents", {},
                    {{"entries", static_cast<std::int64_t>(requests.size())},
                     {"service", requests.front().second.service},
                     {"label", requests.front().second.required_label}});
    for (auto& [link, request] : requests)
        output_.messages.emplace_back(link, std::move(request));
}

void entry_core::receive(link_number link, const room_request& message, time_point now) {
    if (!limits_.borrows_agents || !config_ || !peers_.contains(link))
        return;
    const std::vector<std::string> addresses = entry_addresses();
    const std::vector<agent_number> selected = agent_selector_.select(
        message, agents_, unmet_demands_, {addresses.begin(), addresses.end()}, *config_, now);
    record_decision(selected.empty() ? "no agent for another entry" : "asking agents to serve another entry",
                    {},
                    {{"entry", message.entry_address},
                     {"agents", static_cast<std::int64_t>(selected.size())},
                     {"wanted", message.wanted}});
    for (const agent_number number : selected)
        output_.messages.emplace_back(agents_.find_by_number(number)->link,
                                      connection_request{message.entry_address, true});
}

} // namespace persimmonstile
