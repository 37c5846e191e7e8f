#include "coordination/placement/placement_model.h"

#include "coordination/placement/shortage_outlook.h"

#include <algorithm>
#include <cstddef>

namespace persimmonstile {

namespace {

// Time that a start order and its report add to the run: within a zone, and further time between zones.
constexpr double local_overhead_seconds = 0.002;
constexpr double remote_overhead_seconds = 0.003;

// Maximum random increase of the cost, as a fraction. It is smaller than the difference between the speeds
// of two kinds of backend servers.
constexpr double cost_jitter = 0.04;

// The capacity of fast backend servers is scarce. At full utilization a run costs more there by this fraction
// of its run time, so that tasks of all kinds leave them at the same utilization.
constexpr double utilization_weight = 0.3;

// Run time factor of a backend server where the task has failed, so that it is the last choice.
constexpr double failed_backend_factor = 4;

// A run must be expected to end this much before its backend server leaves, as a fraction of its run time.
// Run times vary by a factor of e^0.4.
constexpr double departure_margin = 0.5;

// Weight of a run in the average needs. About the last 100 runs count.
constexpr double needs_weight = 0.01;

} // namespace

void placement_model::record_report(agent_view& agent, time_point now) {
    const resources left = agent.reported_capacity.free - agent.reported_capacity.queued;
    capacity_history::report report;
    report.free = static_cast<double>(left.cpu_millicores);
    report.own_change = static_cast<double>(agent.own_change.cpu_millicores);
    report.own_runs = agent.own_runs_since_report;
    report.accepted_runs = agent.reported_capacity.accepted_runs;
    report.needs_per_run = needs_per_run_;
    if (const capacity_history& history = agent.capacity;
        !history.is_empty() && history.last() >= needs_per_run_)
        shortages_.observe(history.expected_starts(now), slots_in(history.last()),
                           report.free - report.own_change < needs_per_run_);
    agent.capacity.record(report, now);
    agent.own_change = {};
    agent.own_runs_since_report = 0;
}

void placement_model::begin_pass(time_point now) {
    now_ = now;
    slots_.clear();
}

void placement_model::add(agent_view& agent) {
    agent.placement_slot = slots_.size();
    placement_slot& slot = slots_.emplace_back();
    slot.agent = &agent;
    slot.free = agent.free();
    slot.expected_starts = agent.capacity.expected_starts(now_);
    slot.slowness = agent.slowness.value_or(1.0);
    slot.overhead = local_overhead_seconds + (agent.profile.zone == zone_ ? 0 : remote_overhead_seconds);
}

placement_candidate placement_model::evaluate(const agent_view& agent, const placement_task& task) const {
    const placement_slot& slot = slot_of(agent);
    placement_candidate result;
    result.agent = agent.number;
    if (!task.needs.fits_in(slot.free)) {
        result.rejection = placement_rejection::no_capacity;
        return result;
    }
    result.cost.run = task.seconds * slot.slowness;
    if (!task.data_rack.empty() && task.data_rack != agent.profile.backend.rack)
        result.cost.run *= remote_data_factor_;
    if (agent.profile.leaves_in_ms > 0) {
        const std::chrono::duration<double> left =
            agent.profile_received_at + milliseconds{agent.profile.leaves_in_ms} - now_;
        if (result.cost.run * (1 + departure_margin) > left.count()) {
            result.rejection = placement_rejection::departs;
            return result;
        }
    }
    if (std::find(task.avoided_agents.begin(), task.avoided_agents.end(), agent.number) !=
        task.avoided_agents.end())
        result.cost.run *= failed_backend_factor;
    result.cost.overhead = slot.overhead;
    // A larger task needs the room of several runs.
    const auto left = static_cast<double>(slot.free.cpu_millicores - task.needs.cpu_millicores);
    result.shortage_probability = shortages_.probability(slot.expected_starts, slots_in(left) + 1);
    const std::chrono::duration<double> spare = task.due - now_;
    const shortage_outlook shortage{result.shortage_probability,
                                    returns_.return_probability(result.shortage_probability),
                                    returns_.return_seconds()};
    result.cost.risk = shortage.cost(spare.count() - result.cost.run) +
                       result.cost.run * utilization_weight * slot.utilization();
    return result;
}

double placement_model::perturbed_total(const placement_cost& cost) {
    std::uniform_real_distribution<double> jitter{0.0, cost_jitter};
    return cost.total() + cost.run * jitter(random_);
}

void placement_model::take(const agent_view& agent, const placement_task& task,
                           const placement_candidate& chosen) {
    slots_[agent.placement_slot].free -= task.needs;
    const auto needs = static_cast<double>(task.needs.cpu_millicores);
    needs_per_run_ += needs_weight * (needs - needs_per_run_);
    returns_.record_start(chosen.shortage_probability);
}

} // namespace persimmonstile
