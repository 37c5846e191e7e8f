#pragma once

#include "coordination/decision.h"
#include "state/time.h"

#include <string_view>
#include <utility>
#include <vector>

namespace persimmonstile {

struct ledger_job;

// Summarizes a job for a log line that explains a failed or late request: its queue, the time since its
// acceptance and until its first placement in microseconds (placed_us is left out if there was none), the
// number of tasks and of those done, and the number of runs and of those that failed.
std::vector<std::pair<std::string_view, decision::value>> summarize_job(const ledger_job& job,
                                                                        time_point now);

} // namespace persimmonstile
