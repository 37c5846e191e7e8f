#pragma once

#include "state/resources.h"

#include <cstdint>
#include <string>

namespace persimmonstile {

// Tasks of one service and label that a planning pass could not place.
struct unmet_demand {
    std::string service;
    // Label that the backend server must have; empty for none.
    std::string label;
    // Needs of one task.
    resources needs;
    std::uint32_t tasks = 0;
    // Each backend server may run a limited number of the tasks, so free capacity may not be usable for them.
    bool is_spread = false;
    // No connected agent could run such a task even if it were idle, so waiting here achieves nothing.
    bool is_unreachable = false;
};

} // namespace persimmonstile
