#pragma once

#include <cstdint>
#include <vector>

namespace persimmonstile {

// What the scheduler keeps of a team across all services.
struct scheduler_team {
    std::uint32_t share = 1;
    // Bound on the tasks that this entry runs at once for the team; 0 means none.
    std::uint32_t max_running = 0;
    std::uint32_t running = 0;
    // State last given to the queues.
    bool blocked = false;
    // Services in whose queue the team has appeared.
    std::vector<std::uint32_t> services;

    bool is_blocked() const { return max_running > 0 && running >= max_running; }
};

} // namespace persimmonstile
