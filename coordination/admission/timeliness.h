#pragma once

#include "coordination/job_target.h"
#include "state/time.h"

#include <chrono>
#include <cstdint>

namespace persimmonstile {

// A job ends with its longest task. That task takes about this multiple of the expected run time, because a
// step has several tasks and their run times differ.
constexpr double longest_task_factor = 1.3;

// Whether a job can end in time, late but still useful, or too late for its caller.
enum class timeliness : std::uint8_t { in_time, late, too_late };

inline timeliness timeliness_of(const job_target& target, time_point now) {
    const std::chrono::duration<double, std::milli> longest_chain =
        longest_task_factor * target.chain_duration;
    if (now + longest_chain <= target.in_time)
        return timeliness::in_time;
    return now + target.chain_duration <= target.useful_until ? timeliness::late : timeliness::too_late;
}

} // namespace persimmonstile
