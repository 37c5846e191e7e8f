#pragma once

#include "state/ids.h"
#include "state/job_plan.h"
#include "state/time.h"

#include <string>

namespace persimmonstile {

// A caller's request to run a job in a queue.
struct job_submission {
    caller_token token = 0;
    job_id job;
    std::string queue;
    job_plan plan;
    // Time until which the caller waits for the answer.
    time_point answer_by{};
};

} // namespace persimmonstile
