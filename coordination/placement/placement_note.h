#pragma once

#include "coordination/ledger_task.h"
#include "state/ids.h"
#include "state/time.h"

#include <string_view>

namespace persimmonstile {

// A decision of the placement to be logged.
struct placement_note {
    // Must refer to a string literal.
    std::string_view what;
    job_id job;
    agent_number agent = 0;
    milliseconds expected_wait{0};
};

} // namespace persimmonstile
