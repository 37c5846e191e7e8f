#pragma once

#include <cstdint>
#include <string>

namespace persimmonstile {

// Effective settings of one team, after defaults and exceptions are applied.
struct team_policy {
    std::string name;
    // Relative share of the capacity when teams compete for it.
    std::uint32_t share = 1;
    // Maximum number of running tasks of the team in the whole cell; 0 means no limit.
    std::uint32_t max_running = 0;
};

} // namespace persimmonstile
