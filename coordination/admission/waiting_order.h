#pragma once

#include "coordination/admission/waiting_job.h"
#include "state/time.h"

#include <map>
#include <string>
#include <vector>

namespace persimmonstile {

// Orders waiting jobs: those that can end in time come first, then by start, priority and slack. A queue
// whose jobs wait while none of them starts gets the first place for one job after max_queue_wait, so that a
// queue of low priority is not passed over for ever.
class waiting_order {
public:
    // A job of 60 ms, the shortest that callers submit, is useless 468 ms after its arrival. A queue that
    // gets a start within this time still serves some of its callers.
    static constexpr milliseconds max_queue_wait{400};

    // jobs are all waiting jobs of the entry.
    void sort(std::vector<waiting_job>& jobs, time_point now);
    // No job waits any more, so no queue has been passed over.
    void clear() { waiting_since_.clear(); }
    // A task of a job of the queue was placed.
    void record_start(const std::string& queue, time_point now);

private:
    // When a job of each queue with waiting jobs was last placed, or the first one began to wait.
    std::map<std::string, time_point> waiting_since_;
};

} // namespace persimmonstile
