#pragma once

#include "state/job_step.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// What a caller asks to be run: the payload that every task receives, and the steps.
struct job_plan {
    std::string payload;
    std::vector<job_step> steps;
    // The steps run this many times, occurrence k not before first_start + k * interval (calendar time in
    // milliseconds since 1970). 0 for a job that runs once, at once.
    std::uint32_t repeat_count = 0;
    std::int64_t first_start_ms = 0;
    std::int64_t interval_ms = 0;
    // The caller is told only when the job is in the store. Otherwise the job lives with its caller's call,
    // and is lost with the entry that runs it.
    bool is_kept = true;

    std::uint32_t occurrence_count() const { return repeat_count == 0 ? 1 : repeat_count; }

    static constexpr auto members() {
        return std::make_tuple(&job_plan::payload, &job_plan::steps, &job_plan::repeat_count,
                               &job_plan::first_start_ms, &job_plan::interval_ms, &job_plan::is_kept);
    }
};

} // namespace persimmonstile
