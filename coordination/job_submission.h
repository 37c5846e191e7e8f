#pragma once

#include "state/ids.h"
#include "state/job_plan.h"
#include "state/time.h"

#include <string>

namespace persimmonstile {

// A caller's wish to have a job run.
struct job_submission {
    caller_token token = 0;
    job_id job;
    std::string queue;
    job_plan plan;
    // The caller waits for the answer until then.
    time_point answer_by{};
};

} // namespace persimmonstile
