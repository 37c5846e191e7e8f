#pragma once

#include "coordination/job_target.h"
#include "coordination/ledger_job.h"
#include "coordination/robust_average.h"
#include "state/queue_policy.h"

#include <string>
#include <unordered_map>

namespace persimmonstile {

// Predicts run times by correcting the callers' estimates with the run times of ended runs. The estimates are
// rough, but within one queue they are wrong by a similar factor.
class run_time_model {
public:
    // Records that a task with this estimate ran for run_time on a backend server with this slowness.
    void observe(const std::string& queue, milliseconds estimate, std::chrono::microseconds run_time,
                 double slowness);
    // Expected run time on a backend server of typical speed.
    double expected_seconds(const std::string& queue, milliseconds estimate) const;

    // Derives the time limits of the job from its expected duration and the policy of its queue. queue is
    // null if the queue is no longer configured.
    job_target target_of(const ledger_job& job, const queue_policy* queue) const;

private:
    // Ratio of the run time on a typical backend server to the caller's estimate, by queue.
    std::unordered_map<std::string, robust_average> run_time_ratios_;
};

} // namespace persimmonstile
