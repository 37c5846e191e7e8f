#pragma once

#include "state/incarnation.h"
#include "state/run_report.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// Agent to entry: all runs that the agent knows of one owner. What the owner ordered before and is not listed
// has not started and never will.
struct run_inventory {
    // Session of the owner, or of the deposed owner that the entry succeeded. Empty name for runs whose owner
    // the agent does not know.
    incarnation owner;
    std::vector<run_report> reports;

    static constexpr auto members() {
        return std::make_tuple(&run_inventory::owner, &run_inventory::reports);
    }
};

} // namespace persimmonstile
