#pragma once

#include "state/ids.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Entry to owner: report the state of a job, or cancel the job. Sent to all entries if the job to be
// cancelled is not in the store, because non-durable jobs are known to their entry only.
struct job_lookup_request {
    std::uint64_t token = 0;
    job_id job;
    bool is_cancellation = false;
    // The store has recorded that the job is withdrawn.
    bool is_withdrawn = false;

    static constexpr auto members() {
        return std::make_tuple(&job_lookup_request::token, &job_lookup_request::job,
                               &job_lookup_request::is_cancellation, &job_lookup_request::is_withdrawn);
    }
};

} // namespace persimmonstile
