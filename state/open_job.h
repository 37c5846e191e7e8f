#pragma once

#include "state/job_plan.h"
#include "state/task_progress.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Stored record of a job that has not ended. It holds everything that a successor of the job's owner needs.
struct open_job {
    std::string queue;
    std::string service;
    // Number of failed runs of one task after which the job fails.
    std::uint32_t max_attempts = 1;
    // Calendar time at which the job was accepted, in milliseconds since 1970.
    std::int64_t accepted_ms = 0;
    job_plan plan;
    std::vector<task_progress> progress;

    static constexpr auto members() {
        return std::make_tuple(&open_job::queue, &open_job::service, &open_job::max_attempts,
                               &open_job::accepted_ms, &open_job::plan, &open_job::progress);
    }
};

} // namespace persimmonstile
