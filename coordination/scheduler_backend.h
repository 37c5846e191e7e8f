#pragma once

#include "coordination/speed_estimate.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace persimmonstile {

// A task that was assigned and has not come back.
struct in_flight_task {
    std::uint32_t job = 0;
    task_index index = 0;
    // Run time charged to the team, in seconds.
    float charged = 0;
    time_point sent;
};

// One agent's backend server for one service, as one entry sees it.
struct scheduler_backend {
    std::uint32_t agent = 0;
    // Announced concurrency; 0 if the service is no longer offered.
    std::uint32_t slots = 0;
    std::vector<in_flight_task> in_flight;
    speed_estimate speed;
    // Tasks of other entries as of the last report, and when that was.
    double others = 0;
    time_point others_at;
    // No task before this time after a refusal, and the length of that pause.
    time_point paused_until;
    std::chrono::nanoseconds pause{0};
    // The earliest pending wakeup.
    std::optional<time_point> wakeup;
    // What this backend server contributes to the service's sums.
    bool is_serving = false;
    double rate = 0;
};

} // namespace persimmonstile
