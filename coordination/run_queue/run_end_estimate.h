#pragma once

#include "coordination/run_queue/active_run.h"
#include "state/time.h"

#include <cstdint>
#include <optional>

namespace persimmonstile {

// Progress below this is not extrapolated: backend servers report whole percents, so the estimate would be
// wrong by more than a tenth.
constexpr std::uint32_t min_extrapolated_percent = 10;

// Remaining time of the run if it goes on at the rate of its progress so far. Not set if too little progress
// was observed. Negative if the run should have ended already.
std::optional<milliseconds> remaining_by_progress(const active_run& run);

// Time within which the run ends with a probability of one half. Not set if nothing is known about it.
std::optional<milliseconds> median_remaining(const active_run& run);

} // namespace persimmonstile
