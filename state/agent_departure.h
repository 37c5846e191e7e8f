#pragma once

#include "state/incarnation.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Agent to entry, the last message before a planned stop: the hashes of all jobs that the agent has on
// record. The agent accepts no more tasks, so any job that is not listed did not reach it within the
// deduplication_window; older records are deleted. Without this list, such a job would get an unknown
// outcome once the agent has exited.
struct agent_departure {
    incarnation agent;
    std::vector<std::uint64_t> jobs;

    static constexpr auto members() {
        return std::make_tuple(&agent_departure::agent, &agent_departure::jobs);
    }
};

} // namespace persimmonstile
