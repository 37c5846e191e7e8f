#pragma once

#include "state/backend_profile.h"

#include <cstdint>

namespace persimmonstile {

// What a backend server reported to its agent.
struct backend_announcement {
    backend_profile profile;
    // Grows with each report of one life, so that a delayed report is recognised.
    std::uint64_t sequence = 0;
    std::int64_t clock_ms = 0;
};

} // namespace persimmonstile
