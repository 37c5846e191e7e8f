#pragma once

#include "state/ids.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Entry to the owner of a job: report the job's state, or cancel the job.
struct job_question {
    std::uint64_t token = 0;
    job_id job;
    bool is_cancel = false;

    static constexpr auto members() {
        return std::make_tuple(&job_question::token, &job_question::job, &job_question::is_cancel);
    }
};

} // namespace persimmonstile
