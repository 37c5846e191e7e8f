#pragma once

#include "state/ids.h"
#include "state/job_spec.h"

#include <string>
#include <tuple>

namespace persimmonstile {

// Entry to owner: a submission that arrived at another entry. The owner answers with job_result.
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
