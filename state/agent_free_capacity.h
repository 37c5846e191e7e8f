#pragma once

#include "state/resources.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Free capacity of an agent. A run whose start order the backend server has not answered counts as running.
struct agent_free_capacity {
    resources free;
    // Total needs of the runs that are queued at the agent.
    resources queued;
    // Number of start orders (run_start_request) that came from the entry to which this message goes and that
    // free and queued include.
    std::uint64_t received_starts = 0;

    bool operator==(const agent_free_capacity&) const = default;

    static constexpr auto members() {
        return std::make_tuple(&agent_free_capacity::free, &agent_free_capacity::queued,
                               &agent_free_capacity::received_starts);
    }
};

} // namespace persimmonstile
