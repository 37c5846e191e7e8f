#pragma once

#include <cstdint>
#include <vector>

namespace persimmonstile {

// State that the scheduler keeps for a team across all services.
struct scheduler_team {
    std::uint32_t share = 1;
    // Maximum number of tasks that this entry runs at once for the team; 0 means no limit.
    std::uint32_t max_running = 0;
    std::uint32_t running = 0;
    // Whether the queues of the services currently skip the team.
    bool is_blocked_in_queues = false;
    // Services whose queue has contained jobs of the team.
    std::vector<std::uint32_t> services;

    bool is_blocked() const { return max_running > 0 && running >= max_running; }
};

} // namespace persimmonstile
