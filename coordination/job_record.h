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

// Where a task of a job stands, as its owner knows it.
enum class task_phase : std::uint8_t { waiting, dispatched, done };

// One task of a job at its owner. agent and attempt are those of the latest dispatch.
struct owned_task {
    task_phase phase = task_phase::waiting;
    std::uint32_t attempt = 0;
    incarnation agent;
    std::string answer;
};

// admitting  the scheduler has not decided on admission yet
// querying   agents are asked what they know of the job after a takeover
// running    tasks wait or run
// ended      the outcome is fixed
enum class job_phase : std::uint8_t { admitting, querying, running, ended };

// One job at its owner, kept until the deduplication window after its end has passed.
struct job_record {
    std::shared_ptr<const job_spec> spec;
    std::string traceparent;
    partition_id partition = 0;
    job_phase phase = job_phase::admitting;
    bool idempotent = false;
    std::uint32_t retries = 0;
    time_point accepted;
    time_point deadline;
    time_point ended;
    std::vector<owned_task> tasks;
    std::size_t done_count = 0;
    // Outstanding tasks for each agent.
    std::map<incarnation, std::uint32_t> outstanding;
    // Agents that have not answered query_job yet, and whether any task turned out to have been accepted
    // somewhere.
    std::set<incarnation> unanswered;
    bool found_by_query = false;
    std::vector<caller_token> callers;
    std::optional<job_outcome> outcome;
    std::size_t retained_bytes = 0;
};

} // namespace persimmonstile
