#pragma once

#include "state/incarnation.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Agent to entry, as the last message before a planned stop: the hashes of all jobs of which it has a record.
// It accepts nothing more. A later query about any other job is thereby answered, so that jobs which never
// reached this agent do not get an unknown outcome only because it is gone.
struct agent_parting {
    incarnation agent;
    std::vector<std::uint64_t> jobs;

    static constexpr auto members() { return std::make_tuple(&agent_parting::agent, &agent_parting::jobs); }
};

} // namespace persimmonstile
