#pragma once

#include "coordination/job_target.h"
#include "coordination/ledger_job.h"
#include "coordination/speed_estimate.h"
#include "state/queue_policy.h"

#include <string>
#include <unordered_map>

namespace persimmonstile {

// Expected run times, learnt from the runs that ended. The estimates of callers are rough, but off in the
// same way within a queue.
class run_time_model {
public:
    // A task with this estimate ran for this long on a backend server with this slowness.
    void observe(const std::string& queue, milliseconds estimate, std::chrono::microseconds run_time,
                 double slowness);
    // On a backend server of usual speed.
    double expected_seconds(const std::string& queue, milliseconds estimate) const;

    // queue may be null if the queue is no longer configured.
    job_target target_of(const ledger_job& job, const queue_policy* queue) const;

private:
    // Run time in units of the caller's estimate.
    std::unordered_map<std::string, speed_estimate> ratios_;
};

} // namespace persimmonstile
