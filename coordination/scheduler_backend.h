#pragma once

#include "coordination/ejection_state.h"
#include "coordination/robust_average.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace persimmonstile {

// A task that was assigned to a backend server and has not returned.
struct in_flight_task {
    std::uint32_t job = 0;
    task_index index = 0;
    // Run time charged to the team, in seconds.
    float charged_seconds = 0;
    time_point sent;
};

// State of one agent's backend server for one service, as one entry sees it.
struct scheduler_backend {
    std::uint32_t agent = 0;
    // Announced concurrency; 0 if the service is no longer offered.
    std::uint32_t slots = 0;
    std::vector<in_flight_task> in_flight;
    // Run time of tasks here relative to the typical run time of tasks of their class; 2 is half as fast.
    robust_average slowness;
    ejection_state health;
    // Time of the last return of a started task, or of an assignment to the idle backend server if that is
    // later.
    time_point silent_since;
    // Job number of the last failure plus 1; 0 if there was no failure.
    std::uint32_t last_failed_job = 0;
    // Tasks of other entries according to the last report, and the time of that report.
    double others = 0;
    time_point others_reported_at;
    // The earliest pending wakeup.
    std::optional<time_point> wakeup;
    // This backend server's contribution to the counts and sums of its service.
    bool is_serving = false;
    bool is_ejected = false;
    double rate = 0;
    double own_slots_rate = 0;
    double failure_ratio = 0;
};

} // namespace persimmonstile
