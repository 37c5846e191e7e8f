#pragma once

#include "coordination/agent_directory.h"
#include "coordination/job_ledger.h"
#include "coordination/late_job_patience.h"
#include "coordination/run_time_model.h"
#include "state/deployment_config.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace persimmonstile {

// A task and the agent that is to run it.
struct planned_run {
    task_ref task;
    agent_number agent = 0;
    // Expected run time there.
    milliseconds expected{0};
};

// What to do with the jobs that wait.
struct run_plan {
    std::vector<planned_run> runs;
    // Jobs that found no room for any task and cannot end in time for their callers any more.
    std::vector<job_id> hopeless;
    // Jobs that will be late, while all room goes to others.
    std::vector<job_id> without_prospect;
};

// Decides which waiting tasks go where. Orders jobs by what their completion is still worth, and chooses for
// each task the backend server that is expected to finish it first.
class run_planner {
public:
    // A task runs longer by remote_data_factor on another rack than that of its data.
    run_planner(std::string zone, double remote_data_factor, std::uint64_t seed)
        : zone_{std::move(zone)}
        , remote_data_factor_{remote_data_factor}
        , random_{seed} {}

    // Places what can be placed now. The needs of placed tasks are taken from the agents' room by the caller.
    run_plan plan(const std::vector<ledger_job*>& waiting, agent_directory& agents,
                  const run_time_model& times, const deployment_config& config, time_point now);

    // Whether the agent may get a run of the service now, apart from its room.
    static bool is_usable(const agent_view& agent, const std::string& service,
                          const deployment_config& config, time_point now);
    // Whether the agent may get runs of kept jobs, so that a successor would find them.
    static bool is_usable_for_kept(const agent_view& agent) {
        return agent.is_session_introduced && agent.is_recorded;
    }

private:
    // The jobs of a service that will be late and have not begun, in one plan.
    struct late_jobs {
        std::vector<job_id> without_room;
        bool is_one_begun = false;
        // Runs of jobs that can be in time or have begun.
        std::size_t others_begun = 0;
    };

    static void refuse_late(const late_jobs& jobs, late_job_patience& patience, run_plan& result,
                            time_point now);
    std::vector<agent_view*> usable_agents(agent_directory& agents, const std::string& service,
                                           const deployment_config& config, time_point now);
    agent_view* choose(const ledger_job& job, const task_ref& task, const ledger_task& state, double seconds,
                       const std::vector<agent_view*>& usable, const std::vector<planned_run>& planned);

    double used_part(const agent_view& agent) const;

    std::string zone_;
    double remote_data_factor_;
    std::mt19937_64 random_;
    // Room of the usable agents while a plan is made.
    std::map<agent_number, resources> room_;
    // By service.
    std::map<std::string, late_job_patience> patience_;
};

} // namespace persimmonstile
