#pragma once

#include "state/ids.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Entry to owner: report the state of a job, or cancel the job.
struct job_lookup_request {
    std::uint64_t token = 0;
    job_id job;
    bool is_cancellation = false;

    static constexpr auto members() {
        return std::make_tuple(&job_lookup_request::token, &job_lookup_request::job,
                               &job_lookup_request::is_cancellation);
    }
};

} // namespace persimmonstile
