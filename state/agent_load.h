#pragma once

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Slots and tasks of one agent for one service. Sent as part of task_reports, never as a message of its own.
struct agent_load {
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;

    static constexpr auto members() {
        return std::make_tuple(&agent_load::slots, &agent_load::running, &agent_load::queued);
    }
};

} // namespace persimmonstile
