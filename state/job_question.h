#pragma once

#include "state/ids.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Entry to the entry that owns a job: what is its state, or cancel it.
struct job_question {
    std::uint64_t token = 0;
    job_id job;
    bool is_cancel = false;

    static constexpr auto members() {
        return std::make_tuple(&job_question::token, &job_question::job, &job_question::is_cancel);
    }
};

} // namespace persimmonstile
