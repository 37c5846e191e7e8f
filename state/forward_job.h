#pragma once

#include "state/ids.h"
#include "state/job_spec.h"

#include <string>
#include <tuple>

namespace persimmonstile {

// Entry to owner: a job submitted at an entry that does not own it. The owner replies with job_result.
struct forward_job {
    caller_token token = 0;
    job_id job;
    job_spec spec;
    std::string traceparent;

    static constexpr auto members() {
        return std::make_tuple(&forward_job::token, &forward_job::job, &forward_job::spec,
                               &forward_job::traceparent);
    }
};

} // namespace persimmonstile
