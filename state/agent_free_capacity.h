#pragma once

#include "state/resources.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Free capacity of an agent. A run counts as running while the backend server has not answered its start
// order.
struct agent_free_capacity {
    resources free;
    // Resources needed by the runs that are queued at the agent.
    resources queued;
    // Number of start messages from the receiving entry that these figures include.
    std::uint64_t received_starts = 0;

    bool operator==(const agent_free_capacity&) const = default;

    static constexpr auto members() {
        return std::make_tuple(&agent_free_capacity::free, &agent_free_capacity::queued,
                               &agent_free_capacity::received_starts);
    }
};

} // namespace persimmonstile
