#pragma once

#include "state/failure_reason.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace persimmonstile {

// A job whose tasks all succeeded. answers[i] is the JSON text that task i returned.
struct job_completed {
    std::vector<std::string> answers;

    static constexpr auto members() { return std::make_tuple(&job_completed::answers); }
};

// A job that ended without the results of all its tasks. This includes canceled and refused jobs.
struct job_failed {
    failure_reason reason = failure_reason::outcome_unknown;
    std::string detail;
    // Set if the reason is not_run and a later submission may succeed.
    std::int64_t retry_after_ms = 0;
    // The job was refused because of load or quota (HTTP 429), not because the service is unavailable (503).
    bool is_at_capacity = false;

    std::chrono::milliseconds retry_after() const { return std::chrono::milliseconds{retry_after_ms}; }

    static constexpr auto members() {
        return std::make_tuple(&job_failed::reason, &job_failed::detail, &job_failed::retry_after_ms,
                               &job_failed::is_at_capacity);
    }
};

// Final result of a job.
using job_outcome = std::variant<job_completed, job_failed>;

} // namespace persimmonstile
