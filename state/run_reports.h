#pragma once

#include "state/agent_free_capacity.h"
#include "state/run_report.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Agent to entry: changed runs, and the agent's free capacity after these changes. If reports is empty, the
// message only updates the free capacity.
struct run_reports {
    std::vector<run_report> reports;
    agent_free_capacity reported_capacity;
    // Reading of the agent's clock when it sent the message, as in view_ping. The entry returns it in its
    // next run_start_request.
    std::int64_t sent_ns = 0;

    static constexpr auto members() {
        return std::make_tuple(&run_reports::reports, &run_reports::reported_capacity, &run_reports::sent_ns);
    }
};

} // namespace persimmonstile
