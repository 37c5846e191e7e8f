#pragma once

#include "state/backend_profile.h"

#include <cstdint>

namespace persimmonstile {

// A profile that a backend server reported to its agent, with its sequence number and clock reading.
struct backend_announcement {
    backend_profile profile;
    // Increases with each report within one life, so that a stale report is detected.
    std::uint64_t sequence = 0;
    std::int64_t clock_ms = 0;
};

} // namespace persimmonstile
