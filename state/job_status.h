#pragma once

#include "state/incarnation.h"
#include "state/job_state.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Stored record of a job, under its id. Any entry can look it up. While the job is open, the stored state is
// queued, even if tasks are running already; only the owner knows more.
struct job_status {
    job_state state = job_state::queued;
    // Session that accepted the job.
    incarnation owner;
    // Calendar time at which the job ended, in milliseconds since 1970.
    std::int64_t ended_ms = 0;
    // The job was cancelled before any session had accepted it. owner is the session that stored this. The
    // record keeps an acceptance that is still under way from taking effect.
    bool is_withdrawn = false;

    static constexpr auto members() {
        return std::make_tuple(&job_status::state, &job_status::owner, &job_status::ended_ms,
                               &job_status::is_withdrawn);
    }
};

} // namespace persimmonstile
