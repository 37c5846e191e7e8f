#pragma once

#include "state/job_state.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Reply to the job_lookup_request with the same token.
struct job_lookup_reply {
    std::uint64_t token = 0;
    // The replying entry owns the job or knows that the job has ended. Otherwise state has no meaning.
    bool is_known = false;
    job_state state = job_state::unknown;

    static constexpr auto members() {
        return std::make_tuple(&job_lookup_reply::token, &job_lookup_reply::is_known,
                               &job_lookup_reply::state);
    }
};

} // namespace persimmonstile
