#pragma once

#include "coordination/fair_queue.h"
#include "coordination/scheduler_backend.h"
#include "coordination/speed_estimate.h"
#include "state/service_policy.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmonstile {

// Backend servers and waiting tasks of one service.
template <typename policy> struct scheduler_service {
    std::string name;
    policy placement;
    std::vector<scheduler_backend> backends;
    std::vector<std::uint32_t> free_backends;
    fair_queue queue;
    std::size_t waiting = 0;
    // Typical run time on all backend servers.
    speed_estimate typical;
    // Mean run time in seconds, which unlike the typical one counts long tasks in full.
    double mean_seconds = 0;
    // Backend servers that take tasks, and the tasks per second that they can complete for this entry.
    std::size_t serving = 0;
    double rate = 0;
    // A backend server has offered the service at some time.
    bool was_served = false;
};

} // namespace persimmonstile
