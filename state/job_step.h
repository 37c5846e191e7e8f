#pragma once

#include "state/resources.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// One step of a job: a number of identical tasks that may run in parallel.
struct job_step {
    std::uint32_t task_count = 0;
    resources task_needs;
    // The caller's rough estimate of the run time of one task; 0 if there is none.
    std::int64_t estimate_ms = 0;
    // Indexes of the steps whose tasks must all be done before a task of this step starts.
    std::vector<std::uint32_t> after;
    // Label that the backend server must have; empty for none.
    std::string required_label;
    // Rack that holds the data; tasks take longer on other racks. Empty for none.
    std::string data_rack;
    // Maximum number of tasks of this step that one backend server runs; 0 for no limit.
    std::uint32_t max_per_backend = 0;
    // Tasks write checkpoints, from which a later run of the same task resumes.
    bool has_checkpoints = false;
    // All tasks of the step start together and end together.
    bool is_gang = false;
    // Tasks take longer if they are spread over several racks.
    bool prefers_one_rack = false;
    // Copies of a task may run in parallel; the first one that finishes counts.
    bool allows_copies = false;

    std::chrono::milliseconds estimate() const { return std::chrono::milliseconds{estimate_ms}; }

    static constexpr auto members() {
        return std::make_tuple(&job_step::task_count, &job_step::task_needs, &job_step::estimate_ms,
                               &job_step::after, &job_step::required_label, &job_step::data_rack,
                               &job_step::max_per_backend, &job_step::has_checkpoints, &job_step::is_gang,
                               &job_step::prefers_one_rack, &job_step::allows_copies);
    }
};

} // namespace persimmonstile
