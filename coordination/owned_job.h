#pragma once

#include "state/ids.h"
#include "state/incarnation.h"
#include "state/job_outcome.h"
#include "state/job_spec.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// The state of a task as the owner of its job knows it.
enum class owned_task_phase : std::uint8_t { waiting, dispatched, done };

// One task of a job at its owner. agent and attempt are those of the latest dispatch.
struct owned_task {
    owned_task_phase phase = owned_task_phase::waiting;
    std::uint32_t attempt = 0;
    incarnation agent;
    std::string answer;
};

// The phase of a job at its owner.
//   admitting  the scheduler has not decided on admission yet
//   querying   after a takeover, agents are asked for the state of the job
//   running    tasks are waiting or running
//   ended      the outcome is final
enum class owned_job_phase : std::uint8_t { admitting, querying, running, ended };

// The state of a job at its owner. It is retained after the job's end for the deduplication window.
struct owned_job {
    std::shared_ptr<const job_spec> spec;
    std::string traceparent;
    partition_id partition = 0;
    owned_job_phase phase = owned_job_phase::admitting;
    bool is_idempotent = false;
    std::uint32_t retries = 0;
    time_point accepted;
    time_point deadline;
    time_point ended;
    std::vector<owned_task> tasks;
    std::size_t done_count = 0;
    // Number of dispatched tasks that have not ended, by agent.
    std::map<incarnation, std::uint32_t> outstanding;
    // Agents that have not answered query_job yet.
    std::set<incarnation> unanswered_agents;
    // An agent has answered that it accepted a task of the job.
    bool was_found_by_query = false;
    std::vector<caller_token> callers;
    std::optional<job_outcome> outcome;
    std::size_t retained_bytes = 0;
};

} // namespace persimmonstile
