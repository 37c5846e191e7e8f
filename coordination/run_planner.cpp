#include "coordination/run_planner.h"

#include "coordination/find_queue.h"
#include "coordination/placement/probation_trial.h"

#include <algorithm>
#include <cstddef>
#include <tuple>
#include <utility>

namespace persimmonstile {

namespace {

// Time that a start order and its report add to the run: within a zone, and further time between zones.
constexpr double local_overhead_seconds = 0.002;
constexpr double remote_overhead_seconds = 0.003;

// Maximum random increase of the cost, as a fraction. Without it, entries that see the same free capacity
// would all choose the same one of several equal backend servers.
constexpr double cost_jitter = 0.04;

// Among nearly equal backend servers, one with more free capacity is less likely to be full when the order
// arrives. At full utilization the cost is higher by this fraction.
constexpr double utilization_weight = 0.3;

// Cost factor of a backend server whose agent is in avoided_agents of this task. It makes that one the last
// choice.
constexpr double failed_backend_factor = 4;

bool has_label(const agent_view& agent, const std::string& label) {
    const std::vector<std::string>& labels = agent.profile.backend.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool is_same_step(const task_ref& left, const task_ref& right) {
    return left.job == right.job && left.occurrence == right.occurrence && left.step == right.step;
}

// Number of tasks of the step that run at the agent or are planned for it.
std::size_t count_step_tasks(const agent_view& agent, const task_ref& step,
                             const std::vector<planned_run>& planned) {
    const auto running = std::count_if(agent.runs.begin(), agent.runs.end(),
                                       [&](const auto& run) { return is_same_step(run.first.task, step); });
    const auto chosen = std::count_if(planned.begin(), planned.end(), [&](const planned_run& run) {
        return run.agent == agent.number && is_same_step(run.task, step);
    });
    return static_cast<std::size_t>(running + chosen);
}

// Constraints of the job and the step that concern neither capacity nor time.
placement_rejection constraint_rejection(const agent_view& agent, const ledger_job& job, const task_ref& task,
                                         const std::vector<planned_run>& planned) {
    const job_step& step = job.step(task.step);
    if (job.is_durable() && !run_planner::is_usable_for_durable(agent))
        return placement_rejection::not_durable;
    if (!step.required_label.empty() && !has_label(agent, step.required_label))
        return placement_rejection::wrong_label;
    if (step.max_per_backend > 0 && count_step_tasks(agent, task, planned) >= step.max_per_backend)
        return placement_rejection::too_many_of_step;
    return placement_rejection::none;
}

} // namespace

bool run_planner::is_usable(const agent_view& agent, const std::string& service,
                            const deployment_config& config, time_point now) {
    return agent.link != 0 && agent.is_introduced && agent.profile.accepts_runs &&
           agent.profile.backend.service == service && now >= agent.backoff_until &&
           !config.zones_out.contains(agent.profile.backend.zone);
}

run_plan run_planner::plan(const std::vector<ledger_job*>& waiting, agent_directory& agents,
                           const run_time_model& times, const deployment_config& config, time_point now) {
    std::vector<waiting_job> order;
    order.reserve(waiting.size());
    for (ledger_job* job : waiting) {
        const queue_policy* queue = find_queue_by_name(config, job->record->queue);
        order.push_back(make_waiting_job(*job, times.target_of(*job, queue), queue, now));
    }
    sort(order, now);

    run_plan result;
    free_capacity_.clear();
    unplaced_.clear();
    if (placement_)
        placement_->begin_pass(
            waiting,
            [&](const ledger_job& job, agent_number number) {
                const agent_view* agent = agents.find_by_number(number);
                return agent != nullptr && is_usable(*agent, job.record->service, config, now);
            },
            now);
    std::map<std::string, std::vector<agent_view*>> usable;
    std::map<std::string, late_jobs> late;
    for (const waiting_job& next : order) {
        const std::string& service = next.job->record->service;
        const auto [found, is_new] = usable.try_emplace(service);
        if (is_new)
            found->second = usable_agents(agents, service, config, now);
        const std::vector<agent_view*>& candidates = found->second;
        const std::size_t planned_before = result.runs.size();
        due_ = next.due;
        job_ledger::for_each_placeable_task(*next.job, [&](const task_ref& task, const job_step& step,
                                                           ledger_task& state) {
            const double seconds = times.expected_seconds(next.job->record->queue, step.estimate());
            if (agent_view* agent = choose_agent(*next.job, task, state, seconds, candidates, result.runs)) {
                free_capacity_[agent->number] -= step.task_needs;
                const std::chrono::duration<double> expected{seconds * agent->slowness.value_or(1.0) *
                                                             distance_factor(step, *agent)};
                result.runs.push_back(
                    {task, agent->number, std::chrono::duration_cast<milliseconds>(expected)});
            }
        });
        const std::size_t planned = result.runs.size() - planned_before;
        if (waiting_order_ && planned > 0)
            waiting_order_->record_start(next.job->record->queue, now);
        // A late job that has started counts with those that can be in time, as in the order.
        const timeliness value = next.class_in_order();
        if (value == timeliness::too_late && planned == 0)
            result.cannot_finish.push_back(next.job->id);
        late_jobs& late_jobs_of_service = late[service];
        if (value != timeliness::late)
            late_jobs_of_service.other_starts += planned;
        else if (planned > 0)
            late_jobs_of_service.has_late_start = true;
        else if (!next.job->is_durable())
            late_jobs_of_service.unplaced_jobs.push_back(next.job->id);
    }
    for (const auto& [service, jobs] : late)
        refuse_late_jobs(jobs, late_job_policies_[service], result, now);
    result.notes = std::exchange(notes_, {});
    return result;
}

void run_planner::sort(std::vector<waiting_job>& jobs, time_point now) {
    if (waiting_order_) {
        waiting_order_->sort(jobs, now);
        return;
    }
    std::sort(jobs.begin(), jobs.end(), [](const waiting_job& left, const waiting_job& right) {
        const timeliness left_class = left.class_in_order();
        const timeliness right_class = right.class_in_order();
        return std::tie(left_class, left.due, left.job->id) < std::tie(right_class, right.due, right.job->id);
    });
}

// Refuses the late jobs of a service if all capacity keeps going to other jobs.
void run_planner::refuse_late_jobs(const late_jobs& jobs, late_job_policy& policy, run_plan& result,
                                   time_point now) {
    if (jobs.has_late_start)
        policy.record_placement();
    else if (!jobs.unplaced_jobs.empty())
        policy.record_passed_over(jobs.other_starts, now);
    if (policy.should_refuse(now))
        result.late_without_capacity.insert(result.late_without_capacity.end(), jobs.unplaced_jobs.begin(),
                                            jobs.unplaced_jobs.end());
}

// Returns the agents that may get a run now and stores their free capacity. Suspect agents are left out
// unless they are the majority. In that case the cause is probably elsewhere, and some runs may succeed.
std::vector<agent_view*> run_planner::usable_agents(agent_directory& agents, const std::string& service,
                                                    const deployment_config& config, time_point now) {
    std::vector<agent_view*> healthy;
    std::vector<agent_view*> all;
    for (auto& [number, agent] : agents.all()) {
        if (!is_usable(agent, service, config, now))
            continue;
        all.push_back(&agent);
        if (!agent.profile.is_suspect)
            healthy.push_back(&agent);
        free_capacity_[number] = agent.free();
        if (placement_)
            placement_->add(agent);
    }
    return 2 * healthy.size() >= all.size() ? healthy : all;
}

// Fraction of a backend server's processors in use, including the runs planned so far.
double run_planner::utilization(const agent_view& agent) const {
    const auto all = static_cast<double>(agent.profile.backend.capacity.cpu_millicores);
    const auto free = static_cast<double>(free_capacity_.at(agent.number).cpu_millicores);
    return all > 0 ? 1 - free / all : 1;
}

// Returns the backend server with enough capacity and the lowest cost, or null if there is none.
agent_view* run_planner::choose_agent(const ledger_job& job, const task_ref& task, const ledger_task& state,
                                      double seconds, const std::vector<agent_view*>& usable,
                                      const std::vector<planned_run>& planned) {
    if (placement_)
        return choose_by_forecast(job, task, state, seconds, usable, planned);
    const job_step& step = job.step(task.step);
    std::uniform_real_distribution<double> jitter{1.0, 1.0 + cost_jitter};
    agent_view* best = nullptr;
    double best_cost = 0;
    for (agent_view* agent : usable) {
        if (!step.task_needs.fits_in(free_capacity_[agent->number]))
            continue;
        if (job.is_durable() && !is_usable_for_durable(*agent))
            continue;
        if (!step.required_label.empty() && !has_label(*agent, step.required_label))
            continue;
        if (step.max_per_backend > 0 && count_step_tasks(*agent, task, planned) >= step.max_per_backend)
            continue;
        double cost = seconds * agent->slowness.value_or(1.0) * jitter(random_) *
                      (1 + utilization_weight * utilization(*agent));
        if (!step.data_rack.empty() && step.data_rack != agent->profile.backend.rack)
            cost *= remote_data_factor_;
        if (std::find(state.avoided_agents.begin(), state.avoided_agents.end(), agent->number) !=
            state.avoided_agents.end())
            cost *= failed_backend_factor;
        cost += local_overhead_seconds + (agent->profile.zone == zone_ ? 0 : remote_overhead_seconds);
        if (best == nullptr || cost < best_cost) {
            best = agent;
            best_cost = cost;
        }
    }
    return best != nullptr ? best : choose_for_trial(job, task, usable, planned);
}

// Returns an agent on probation for a task that is larger than what such agents offer, or null.
agent_view* run_planner::choose_for_trial(const ledger_job& job, const task_ref& task,
                                          const std::vector<agent_view*>& usable,
                                          const std::vector<planned_run>& planned) {
    const resources& needs = job.step(task.step).task_needs;
    const auto may_try = [&](const agent_view* agent) {
        return agent->profile.is_on_probation &&
               probation_trial::is_idle_on_probation(*agent, free_capacity_.at(agent->number)) &&
               needs.fits_in(agent->profile.backend.capacity) &&
               constraint_rejection(*agent, job, task, planned) == placement_rejection::none;
    };
    const auto found = std::find_if(usable.begin(), usable.end(), may_try);
    if (found == usable.end() || !probation_trial::is_needed(needs, usable))
        return nullptr;
    notes_.push_back({"trying a large task at a backend server on probation", job.id, (*found)->number, {}});
    return *found;
}

agent_view* run_planner::try_by_forecast(const ledger_job& job, const placement_task& request,
                                         const std::vector<agent_view*>& usable,
                                         const std::vector<planned_run>& planned) {
    agent_view* agent = choose_for_trial(job, request.ref, usable, planned);
    if (agent != nullptr)
        placement_->take(*agent, request, {});
    return agent;
}

// A task with a reservation finds capacity that others do not.
bool run_planner::is_known_unplaceable(const ledger_job& job, const placement_task& request,
                                       const std::vector<agent_view*>& usable) const {
    if (placement_->has_reservation(request.ref))
        return false;
    const job_step& step = job.step(request.ref.step);
    return std::any_of(unplaced_.begin(), unplaced_.end(), [&](const unplaced_task& known) {
        if (known.usable != &usable || !known.needs.fits_in(request.needs) || request.seconds < known.seconds)
            return false;
        if (is_same_step(known.task, request.ref))
            return true;
        const bool is_as_constrained = !known.is_spread && (job.is_durable() || !known.is_durable) &&
                                       (known.label.empty() || known.label == step.required_label) &&
                                       known.rack == step.data_rack;
        const bool may_reserve =
            known.may_wait && placement_->may_reserve_more() &&
            (request.due < known.due || known.needs != request.needs || known.seconds != request.seconds);
        return is_as_constrained && !may_reserve;
    });
}

// Returns the agent where the task is expected to end first, or null if there is none.
agent_view* run_planner::choose_by_forecast(const ledger_job& job, const task_ref& task,
                                            const ledger_task& state, double seconds,
                                            const std::vector<agent_view*>& usable,
                                            const std::vector<planned_run>& planned) {
    const job_step& step = job.step(task.step);
    const placement_task request{task,
                                 step.task_needs,
                                 seconds,
                                 step.data_rack,
                                 state.avoided_agents,
                                 due_,
                                 std::max(job.accepted, state.placed)};
    struct option {
        agent_view* agent = nullptr;
        placement_candidate candidate;
        double cost = 0;
    };
    if (is_known_unplaceable(job, request, usable))
        return try_by_forecast(job, request, usable, planned);
    const bool had_reservation = placement_->has_reservation(task);
    option now;
    option later;
    for (agent_view* agent : usable) {
        const placement_candidate candidate = placement_->evaluate(*agent, request);
        if (candidate.rejection != placement_rejection::none ||
            constraint_rejection(*agent, job, task, planned) != placement_rejection::none)
            continue;
        const double cost = placement_->perturbed_total(candidate.cost);
        option& best = candidate.must_wait ? later : now;
        if (best.agent == nullptr || cost < best.cost)
            best = {agent, candidate, cost};
    }
    const placement_choice choice =
        placement_->choose(request, now.agent != nullptr ? &now.candidate : nullptr,
                           later.agent != nullptr ? &later.candidate : nullptr);
    bool is_reserved = had_reservation;
    if (choice == placement_choice::wait && now.agent == nullptr &&
        placement_->reserve(*later.agent, request, later.candidate)) {
        is_reserved = true;
        notes_.push_back({"reserved capacity for a task that fits nowhere", job.id, later.agent->number,
                          std::chrono::duration_cast<milliseconds>(
                              std::chrono::duration<double>{later.candidate.cost.wait})});
    }
    if (now.agent == nullptr) {
        if (!is_reserved)
            unplaced_.push_back({&usable, task, step.task_needs, seconds, step.required_label, step.data_rack,
                                 job.is_durable(), step.max_per_backend > 0, due_, later.agent != nullptr});
        return try_by_forecast(job, request, usable, planned);
    }
    if (choice == placement_choice::wait) {
        const auto wait = std::chrono::duration_cast<milliseconds>(
            std::chrono::duration<double>{later.candidate.cost.wait});
        if (placement_->is_first_look(request))
            notes_.push_back(
                {"task waits for capacity on the rack of its data", job.id, later.agent->number, wait});
        return nullptr;
    }
    placement_->take(*now.agent, request, now.candidate);
    return now.agent;
}

} // namespace persimmonstile
