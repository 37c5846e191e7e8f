#pragma once

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Load of one agent for one service, sent along with messages that are due anyway.
struct agent_load {
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;

    static constexpr auto members() {
        return std::make_tuple(&agent_load::slots, &agent_load::running, &agent_load::queued);
    }
};

} // namespace persimmonstile
