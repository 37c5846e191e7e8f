#pragma once

#include "state/incarnation.h"
#include "state/run_report.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Agent to entry: all runs that the agent knows of one owner. What the owner ordered with the start messages
// that are included and is not listed has not started and never will.
struct run_inventory {
    // Session of the owner, or of the deposed owner that the entry succeeded. Empty name for runs whose owner
    // the agent does not know.
    incarnation owner;
    std::vector<run_report> reports;
    // Start messages of the entry on this connection that came before.
    std::uint64_t starts_seen = 0;

    static constexpr auto members() {
        return std::make_tuple(&run_inventory::owner, &run_inventory::reports, &run_inventory::starts_seen);
    }
};

} // namespace persimmonstile
