#pragma once

#include "state/resources.h"
#include "state/run_ref.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmonstile {

// A queued run at the time of a decision.
struct waiting_run {
    run_ref run;
    // Name of the entry that owns the run.
    std::string entry;
    resources needs;
    // Expected run time; 0 if unknown.
    milliseconds expected{0};
    std::uint32_t priority = 0;
    // Time left until the run must start so that its job ends in time. Not set if it is unknown or over.
    std::optional<milliseconds> start_within;
    // Time in the queue.
    milliseconds waited{0};
};

} // namespace persimmonstile
