#pragma once

#include "state/incarnation.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace persimmonstile {

// State that the scheduler keeps for an agent.
struct scheduler_agent {
    incarnation id;
    std::string zone;
    bool is_connected = false;
    bool draining = false;
    bool zone_out = false;
    // Service number, and number of the backend server within that service.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> backends;

    bool accepts_tasks() const { return is_connected && !draining && !zone_out; }
};

} // namespace persimmonstile
