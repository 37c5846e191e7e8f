#pragma once

#include <cstdint>
#include <string>

namespace persimmonstile {

// Effective settings of one team after defaults and exceptions.
struct team_policy {
    std::string name;
    // Relative share of the capacity when teams compete.
    std::uint32_t share = 1;
    // Tasks of the team that run at once in the whole cell; 0 means no bound.
    std::uint32_t max_running = 0;
};

} // namespace persimmonstile
