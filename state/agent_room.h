#pragma once

#include "state/resources.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Room that an agent has left. Runs in doubt count as running until they are resolved.
struct agent_room {
    resources free;
    // Needs of the runs that wait at the agent.
    resources queued;
    // Number of start messages of the receiving entry that are included.
    std::uint64_t starts_seen = 0;

    bool operator==(const agent_room&) const = default;

    static constexpr auto members() {
        return std::make_tuple(&agent_room::free, &agent_room::queued, &agent_room::starts_seen);
    }
};

} // namespace persimmonstile
