#pragma once

#include "state/job_step.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// The work that a caller submits: the payload passed to every task, and the steps.
struct job_plan {
    std::string payload;
    std::vector<job_step> steps;
    // The steps run this many times, occurrence k not before first_start + k * interval (calendar time in
    // milliseconds since 1970). 0 for a job that runs once and immediately.
    std::uint32_t repeat_count = 0;
    std::int64_t first_start_ms = 0;
    std::int64_t interval_ms = 0;
    // Durable job: its acceptance is reported to the caller only after the job is in the store. Any other job
    // lives only as long as its caller's request, and is lost with the entry that runs it.
    bool is_durable = true;

    std::uint32_t occurrence_count() const { return repeat_count == 0 ? 1 : repeat_count; }

    static constexpr auto members() {
        return std::make_tuple(&job_plan::payload, &job_plan::steps, &job_plan::repeat_count,
                               &job_plan::first_start_ms, &job_plan::interval_ms, &job_plan::is_durable);
    }
};

} // namespace persimmonstile
