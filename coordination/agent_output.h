#pragma once

#include "coordination/backend_order.h"
#include "coordination/decision.h"
#include "state/run_state.h"
#include "state/work_message.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace persimmonstile {

// Identifies a connection of a daemon to a peer. The number is not reused after the connection is closed.
using link_number = std::uint64_t;

// The orders, messages and log records that an agent produces after an event.
struct agent_output {
    std::vector<backend_order> orders;
    std::vector<std::pair<link_number, work_message>> messages;
    std::vector<decision> decisions;
    // Connections to close, because the agent no longer serves the entry.
    std::vector<link_number> links_to_close;
    // Final states of the runs that ended, for metrics.
    std::vector<run_state> ends;
};

} // namespace persimmonstile
