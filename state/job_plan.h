#pragma once

#include "state/job_step.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// The work that a caller submits: the steps, and the payload that is passed to every task.
struct job_plan {
    std::string payload;
    std::vector<job_step> steps;
    // Number of occurrences of a repeated job; 0 for a job that runs once and immediately. Occurrence k, from
    // 0, runs all steps and starts no earlier than first_start_ms + k * interval_ms. first_start_ms is
    // calendar time in milliseconds since 1970.
    std::uint32_t repeat_count = 0;
    std::int64_t first_start_ms = 0;
    std::int64_t interval_ms = 0;
    // The acceptance of a durable job is reported to the caller only after the job is in the store. A
    // non-durable job lasts only as long as its caller's request, and is lost with the entry that owns it.
    bool is_durable = true;

    std::uint32_t occurrence_count() const { return repeat_count == 0 ? 1 : repeat_count; }
    // Memory that the owner of the job needs for it, in bytes, when all its occurrences have begun.
    std::uint64_t estimated_bytes() const {
        constexpr std::uint64_t bytes_per_job = 1000;
        constexpr std::uint64_t bytes_per_step = 200;
        constexpr std::uint64_t bytes_per_task = 200;
        std::uint64_t bytes = bytes_per_step * steps.size();
        for (const job_step& step : steps)
            bytes += bytes_per_task * step.task_count;
        return bytes_per_job + payload.size() + bytes * occurrence_count();
    }

    static constexpr auto members() {
        return std::make_tuple(&job_plan::payload, &job_plan::steps, &job_plan::repeat_count,
                               &job_plan::first_start_ms, &job_plan::interval_ms, &job_plan::is_durable);
    }
};

} // namespace persimmonstile
