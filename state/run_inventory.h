#pragma once

#include "state/incarnation.h"
#include "state/run_report.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Agent to entry: all runs of one owner that the agent knows. received_starts tells which start messages the
// list covers. If one of them ordered a run that is not listed, the run has not started and never will.
struct run_inventory {
    // Session or process of the entry, or the session of a deposed owner that the entry succeeded. The name
    // is empty for runs whose owner the agent does not know.
    incarnation owner;
    std::vector<run_report> reports;
    // Number of run_start_request messages that the agent received on this connection before it sent the
    // inventory.
    std::uint64_t received_starts = 0;
    // The agent sends runs without a known owner to all connected entries, and asks this one alone to find
    // out from the store whether their jobs exist.
    bool is_store_check_requested = false;

    static constexpr auto members() {
        return std::make_tuple(&run_inventory::owner, &run_inventory::reports,
                               &run_inventory::received_starts, &run_inventory::is_store_check_requested);
    }
};

} // namespace persimmonstile
