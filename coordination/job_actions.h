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
struct task_message_to_agent {
    incarnation to;
    task_message message;
};

// The reply for one waiting caller.
struct caller_answer {
    caller_token token = 0;
    job_id job;
    job_reply reply;
};

// Tasks that the scheduler has to queue. A new job must pass admission first. Tasks that are queued again,
// and those of a job that may have started, need no admission.
struct queue_request {
    job_id job;
    std::shared_ptr<const job_spec> spec;
    std::vector<task_index> tasks;
    time_point deadline;
    bool needs_admission = false;
};

// A task that no longer uses a slot of its agent, with the last report about it.
struct returned_task {
    incarnation agent;
    job_id job;
    task_report report;
};

// Summary of an ended job for metrics and trace spans.
struct ended_job {
    job_id job;
    bool complete = false;
    failure_reason reason = failure_reason::outcome_unknown;
    time_point accepted;
    std::size_t tasks = 0;
};

// Actions that the entry has to carry out after an event of the job table.
struct job_actions {
    std::vector<task_message_to_agent> sends;
    std::vector<caller_answer> answers;
    std::vector<queue_request> queue;
    std::vector<returned_task> returned;
    // True if the submission created a job. False if it was refused or a job with the same id existed.
    bool accepted = false;
    std::vector<ended_job> ended;
    // Jobs that were removed without an outcome, because they were refused or moved to another owner.
    std::vector<job_id> dropped;
    // Jobs whose waiting tasks the scheduler must drop.
    std::vector<job_id> withdrawn;
    // One for each partition that this entry lost, to be sent to the new owner.
    std::vector<partition_handover> handovers;
    // Number of reports that matched no outstanding task, because they were late or duplicate, or because
    // they crossed with another message.
    std::size_t stray_reports = 0;
};

} // namespace persimmonstile
