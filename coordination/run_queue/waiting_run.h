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
    // Time left until the run must start so that its job ends in time. If that is unknown, the rest of the
    // queue timeout. Not set if it was over when the run arrived.
    std::optional<milliseconds> start_within;
    // Since the agent accepted the run.
    milliseconds waited{0};
};

} // namespace persimmonstile
