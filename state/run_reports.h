#pragma once

#include "state/agent_room.h"
#include "state/run_report.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// Agent to entry: news of runs, and the room that is left after them. Without reports it only tells the room.
struct run_reports {
    std::vector<run_report> reports;
    agent_room room;

    static constexpr auto members() { return std::make_tuple(&run_reports::reports, &run_reports::room); }
};

} // namespace persimmonstile
