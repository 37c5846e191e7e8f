#pragma once

#include "state/ids.h"
#include "state/job_outcome.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// admitted   the scheduler queued the job's tasks
// refused    the scheduler refused the job
// abandoned  the scheduler refused the job after this entry's grants had expired. The successor may be
//            running the job, so callers are sent there instead of being told not_run.
enum class admission_result : std::uint8_t { admitted, refused, abandoned };

// Result of the admission check that a queue_request asked for.
struct admission_decision {
    job_id job;
    admission_result result = admission_result::admitted;
    job_failed refusal;

    static constexpr auto members() {
        return std::make_tuple(&admission_decision::job, &admission_decision::result,
                               &admission_decision::refusal);
    }
};

} // namespace persimmonstile
