#pragma once

#include "state/capacity_release.h"
#include "state/resources.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Free capacity of an agent. A run whose start order the backend server has not answered counts as running.
struct agent_free_capacity {
    resources free;
    // Total needs of the runs that are queued at the agent.
    resources queued;
    // Number of start orders (run_start_request) that came from the entry to which this message goes and that
    // free and queued include.
    std::uint64_t received_starts = 0;
    // Capacity that is expected to come free beyond `free`, in order of time. Empty if the agent does not
    // predict it.
    std::vector<capacity_release> releases;
    // Number of runs of all entries that the agent has accepted since its process started; 0 if the agent
    // does not count them.
    std::uint64_t accepted_runs = 0;

    bool operator==(const agent_free_capacity&) const = default;

    static constexpr auto members() {
        return std::make_tuple(&agent_free_capacity::free, &agent_free_capacity::queued,
                               &agent_free_capacity::received_starts, &agent_free_capacity::releases,
                               &agent_free_capacity::accepted_runs);
    }
};

} // namespace persimmonstile
