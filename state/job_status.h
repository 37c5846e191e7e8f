#pragma once

#include "state/incarnation.h"
#include "state/job_state.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Stored record of a job under its id; any entry can look it up. The state of an open job is stored as
// queued, even when its owner knows more.
struct job_status {
    job_state state = job_state::queued;
    // Session that accepted the job.
    incarnation owner;
    // Calendar time of the end, in milliseconds since 1970.
    std::int64_t ended_ms = 0;

    static constexpr auto members() {
        return std::make_tuple(&job_status::state, &job_status::owner, &job_status::ended_ms);
    }
};

} // namespace persimmonstile
