#pragma once

#include <cstdint>

namespace persimmonstile {

// Counters and gauges of a backend server stand-in.
struct backend_counts {
    // Tasks answered after they ran, tasks declined, and tasks that never get an answer.
    std::uint64_t finished = 0;
    std::uint64_t declined = 0;
    std::uint64_t hung = 0;
    // Tasks that arrived while all slots were busy.
    std::uint64_t over_slots = 0;
    // Tasks that arrived on a connection beyond the announced number.
    std::uint64_t over_connections = 0;
    // Tasks that run or wait for a slot, without the hung ones.
    std::uint64_t in_progress = 0;
    std::uint64_t peak_running = 0;
    std::uint64_t peak_connections = 0;
};

} // namespace persimmonstile
