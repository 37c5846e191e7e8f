#pragma once

#include "coordination/backend_order.h"
#include "coordination/decision.h"
#include "state/run_state.h"
#include "state/work_message.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace persimmonstile {

// Numbers the connections of a daemon to its peers; never used again after the connection closed.
using link_number = std::uint64_t;

// What an agent does in consequence of an event.
struct agent_output {
    std::vector<backend_order> orders;
    std::vector<std::pair<link_number, work_message>> messages;
    std::vector<decision> decisions;
    // How runs ended, for metrics.
    std::vector<run_state> ends;
};

} // namespace persimmonstile
