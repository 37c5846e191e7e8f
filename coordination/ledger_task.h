#pragma once

#include "state/run_ref.h"
#include "state/time.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// The phase of a task as the owner of the job knows it.
//   waiting    has no run; may be placed once its step is ready
//   placed     sent to an agent, not known to run
//   running    the agent has confirmed the start
//   done       ended with success
enum class task_phase : std::uint8_t { waiting, placed, running, done };

// Identifies an agent within one entry process.
using agent_number = std::uint32_t;

// The state of one task at the owner of its job.
struct ledger_task {
    task_phase phase = task_phase::waiting;
    // Number of the newest run; 0 before the first one.
    run_number run = 0;
    // Agent of the newest run, valid while the task is placed or running.
    agent_number agent = 0;
    // Number of failed runs, through their own fault or the backend server's.
    std::uint32_t failures = 0;
    // The failed runs that are known by number. An agent reports an end until it is acknowledged, also to a
    // successor of the job's owner, and each run counts once.
    std::set<run_number> failed_runs;
    time_point placed{};
    time_point started{};
    std::string checkpoint;
    // Agents where a run of the task ended without being done (failed, stopped, lapsed, broken or alone) or
    // was refused because the backend server is unhealthy. Other refusals do not count. Other agents are
    // preferred.
    std::vector<agent_number> avoided_agents;
    // The run is being stopped so that the task can run elsewhere.
    bool is_being_moved = false;
};

} // namespace persimmonstile
