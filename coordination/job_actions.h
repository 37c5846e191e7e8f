#pragma once

#include "state/failure_reason.h"
#include "state/ids.h"
#include "state/incarnation.h"
#include "state/job_reply.h"
#include "state/job_spec.h"
#include "state/task_message.h"
#include "state/task_report.h"
#include "state/time.h"

#include <memory>
#include <vector>

namespace persimmonstile {

// A task message for one agent.
struct task_send {
    incarnation to;
    task_message message;
};

// The answer for one waiting caller.
struct caller_answer {
    caller_token token = 0;
    job_id job;
    job_reply reply;
};

// Tasks to be queued by the scheduler. A new job must pass admission. Returned tasks and tasks of a job that
// has started are always queued.
struct queue_request {
    job_id job;
    std::shared_ptr<const job_spec> spec;
    std::vector<task_index> tasks;
    time_point deadline;
    bool needs_admission = false;
};

// An agent has a free slot again; the report that freed it is included.
struct returned_task {
    incarnation agent;
    job_id job;
    task_report report;
};

// A job has ended; for metrics and spans.
struct ended_job {
    job_id job;
    bool complete = false;
    failure_reason reason = failure_reason::outcome_unknown;
    time_point accepted;
    std::size_t tasks = 0;
};

// Actions that the entry has to carry out after an event of the job table.
struct job_actions {
    std::vector<task_send> sends;
    std::vector<caller_answer> answers;
    std::vector<queue_request> queue;
    std::vector<returned_task> returned;
    // True if the submission created a job, false if a job with the same id existed.
    bool accepted = false;
    std::vector<ended_job> ended;
    // Jobs that were removed without an outcome, because they were refused or moved to another owner.
    std::vector<job_id> dropped;
    // Jobs whose waiting tasks the scheduler must drop.
    std::vector<job_id> withdrawn;
    // Partitions that this entry lost; each handover goes to the new owner.
    std::vector<partition_handover> handovers;
    // Reports that matched no outstanding task: late, duplicate, or crossed with another message.
    std::size_t stray_reports = 0;
};

} // namespace persimmonstile
