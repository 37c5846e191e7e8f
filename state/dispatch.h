#pragma once

#include "state/ids.h"
#include "state/incarnation.h"
#include "state/task_payload.h"

#include <chrono>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Owner to agent: run these tasks of one job. The agent accepts a task only if its own incarnation is target
// and it knows no newer epoch of the partition.
struct dispatch {
    incarnation target;
    partition_id partition = 0;
    epoch_number epoch = 0;
    config_revision revision = 0;
    job_id job;
    std::string service;
    std::string traceparent;
    // Time until the job's deadline, measured when the message was sent. No task is started after the
    // deadline.
    std::int64_t remaining_ms = 0;
    std::vector<task_payload> tasks;
    // Method of a single request; empty for a job.
    std::string method;
    // The configuration allows this request to run more than once, so a later attempt may start it again.
    bool is_idempotent = false;

    std::chrono::milliseconds remaining() const { return std::chrono::milliseconds{remaining_ms}; }

    static constexpr auto members() {
        return std::make_tuple(&dispatch::target, &dispatch::partition, &dispatch::epoch, &dispatch::revision,
                               &dispatch::job, &dispatch::service, &dispatch::traceparent,
                               &dispatch::remaining_ms, &dispatch::tasks, &dispatch::method,
                               &dispatch::is_idempotent);
    }
};

} // namespace persimmonstile
