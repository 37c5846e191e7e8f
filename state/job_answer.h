#pragma once

#include "state/job_state.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// The reply to the job_question with the same token.
struct job_answer {
    std::uint64_t token = 0;
    // The replying entry owns the job or knows that it has ended. If false, state has no meaning.
    bool is_known = false;
    job_state state = job_state::unknown;

    static constexpr auto members() {
        return std::make_tuple(&job_answer::token, &job_answer::is_known, &job_answer::state);
    }
};

} // namespace persimmonstile
