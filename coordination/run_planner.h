#pragma once

#include "coordination/admission/waiting_job.h"
#include "coordination/admission/waiting_order.h"
#include "coordination/agent_directory.h"
#include "coordination/job_ledger.h"
#include "coordination/late_job_policy.h"
#include "coordination/placement/placement_model.h"
#include "coordination/placement/placement_note.h"
#include "coordination/run_time_model.h"
#include "state/deployment_config.h"
#include "state/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace persimmonstile {

// A task and the agent that is to run it.
struct planned_run {
    task_ref task;
    agent_number agent = 0;
    // Expected run time at that agent.
    milliseconds expected{0};
};

// Result of a planning pass over the waiting jobs.
struct run_plan {
    std::vector<planned_run> runs;
    // Jobs that can no longer end while their callers wait and the completion has value, and for which no
    // task was placed.
    std::vector<job_id> cannot_finish;
    // Late jobs of services whose capacity has been going to other jobs for too long.
    std::vector<job_id> late_without_capacity;
    // Decisions other than a normal placement.
    std::vector<placement_note> notes;
};

// Decides which waiting tasks run where. It orders jobs by how useful their completion still is. For each
// task it chooses the backend server with the lowest cost, which is essentially the expected run time there.
class run_planner {
public:
    // remote_data_factor multiplies the cost of a task on a rack other than that of its data.
    // forecasts_placement places tasks by their expected end.
    run_planner(std::string zone, double remote_data_factor, std::uint64_t seed,
                bool forecasts_placement = false)
        : zone_{std::move(zone)}
        , remote_data_factor_{remote_data_factor}
        , random_{seed} {
        if (forecasts_placement)
            placement_.emplace(zone_, remote_data_factor_, seed);
    }

    // The agent has reported its capacity, which is stored in its view.
    void record_report(agent_view& agent, time_point now) {
        if (placement_)
            placement_->record_report(agent, now);
    }
    // An agent has returned a run for lack of capacity.
    void record_return(std::chrono::nanoseconds since_sent) {
        if (placement_)
            placement_->record_return(since_sent);
    }

    // Orders the jobs by priority and slack from now on. Their refusal is left to the caller.
    void use_waiting_order() { waiting_order_.emplace(); }
    // No job waits any more.
    void clear_waiting() {
        if (waiting_order_)
            waiting_order_->clear();
    }
    // Factor by which the run time of a task of the step grows because its data is on another rack; 1 if
    // tasks are placed by speed and free capacity, which leaves the distance to the learnt speed of the
    // agent.
    double distance_factor(const job_step& step, const agent_view& agent) const {
        const bool is_remote =
            !step.data_rack.empty() && step.data_rack != agent.profile.backend.rack && placement_;
        return is_remote ? remote_data_factor_ : 1.0;
    }

    // Places all tasks that fit now. The caller subtracts the needs of placed tasks from the agents'
    // capacity.
    run_plan plan(const std::vector<ledger_job*>& waiting, agent_directory& agents,
                  const run_time_model& times, const deployment_config& config, time_point now);

    // Whether the agent may start a run of the service now if it has enough free capacity.
    static bool is_usable(const agent_view& agent, const std::string& service,
                          const deployment_config& config, time_point now);
    // Whether the agent may get runs of durable jobs. A successor of this entry must be able to find such
    // runs, and must not exist yet.
    static bool is_usable_for_durable(const agent_view& agent) {
        return agent.is_session_introduced && agent.is_recorded && agent.is_ownership_confirmed;
    }

private:
    // What one planning pass did for the late jobs of a service that have not started.
    struct late_jobs {
        // Best-effort jobs for which no task was placed.
        std::vector<job_id> unplaced_jobs;
        bool has_late_start = false;
        // Runs planned for all other jobs of the service.
        std::size_t other_starts = 0;
    };

    void sort(std::vector<waiting_job>& jobs, time_point now);
    static void refuse_late_jobs(const late_jobs& jobs, late_job_policy& policy, run_plan& result,
                                 time_point now);
    std::vector<agent_view*> usable_agents(agent_directory& agents, const std::string& service,
                                           const deployment_config& config, time_point now);
    agent_view* choose_agent(const ledger_job& job, const task_ref& task, const ledger_task& state,
                             double seconds, const std::vector<agent_view*>& usable,
                             const std::vector<planned_run>& planned);
    agent_view* choose_for_trial(const ledger_job& job, const task_ref& task,
                                 const std::vector<agent_view*>& usable,
                                 const std::vector<planned_run>& planned);
    agent_view* choose_by_forecast(const ledger_job& job, const task_ref& task, const ledger_task& state,
                                   double seconds, const std::vector<agent_view*>& usable,
                                   const std::vector<planned_run>& planned);

    // Places the task for which no other agent was found at an agent on probation, if that is needed.
    agent_view* try_by_forecast(const ledger_job& job, const placement_task& request,
                                const std::vector<agent_view*>& usable,
                                const std::vector<planned_run>& planned);

    // A task that found no capacity in this planning pass. Other tasks find none either if they need as much
    // and are as constrained, because capacity only decreases during a pass.
    struct unplaced_task {
        const std::vector<agent_view*>* usable = nullptr;
        // Only its job, occurrence and step are compared.
        task_ref task;
        resources needs;
        double seconds = 0;
        std::string label;
        std::string rack;
        bool is_durable = false;
        bool is_spread = false;
        time_point due{};
        // An agent is expected to have capacity soon, so a more urgent task might reserve it.
        bool may_wait = false;
    };
    bool is_known_unplaceable(const ledger_job& job, const placement_task& request,
                              const std::vector<agent_view*>& usable) const;

    double utilization(const agent_view& agent) const;

    std::string zone_;
    double remote_data_factor_;
    std::mt19937_64 random_;
    // Free capacity of the usable agents during a planning pass.
    std::map<agent_number, resources> free_capacity_;
    // Decides for each service when its late jobs are refused.
    std::map<std::string, late_job_policy> late_job_policies_;
    // Empty if tasks are placed by speed and free capacity.
    std::optional<placement_model> placement_;
    // Time by which the job that is being placed should end, and the notes of the planning pass.
    time_point due_{};
    std::vector<unplaced_task> unplaced_;
    // Empty while admission is not forecast.
    std::optional<waiting_order> waiting_order_;
    std::vector<placement_note> notes_;
};

} // namespace persimmonstile
