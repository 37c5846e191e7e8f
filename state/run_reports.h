#pragma once

#include "state/agent_room.h"
#include "state/run_report.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Agent to entry: news of runs, and the room that is left after them. Without reports it only tells the room.
struct run_reports {
    std::vector<run_report> reports;
    agent_room room;
    // The agent's clock at the sending, as in view_ping. The entry echoes it with its next start_runs.
    std::int64_t sent_ns = 0;

    static constexpr auto members() {
        return std::make_tuple(&run_reports::reports, &run_reports::room, &run_reports::sent_ns);
    }
};

} // namespace persimmonstile
