#pragma once

#include <cstdint>
#include <string>

namespace persimmonstile {

// Effective settings of one team, with defaults and exceptions applied.
struct team_policy {
    std::string name;
    // Weight of the team when teams compete for capacity.
    std::uint32_t share = 1;
    // Maximum number of running tasks of the team in the whole cell; 0 for no limit.
    std::uint32_t max_running = 0;
};

} // namespace persimmonstile
